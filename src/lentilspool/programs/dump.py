"""``lentilspool-dump``: prints the state of a running process."""

import dataclasses
import json
import sys
from collections.abc import Iterator
from typing import Any, Final

import httpcore

from lentilspool.programs import _command

_CONNECT_TIMEOUT_S: Final = 5
_OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Dump:
    """Fetches the state of one process and prints it."""

    target: str
    """Address and HTTP port of the process."""

    table: bool
    """Whether to print lines of path and value instead of JSON."""

    def run(self) -> int:
        """Print the state; return status 1 if the process does not answer."""
        try:
            response = httpcore.request(
                'GET',
                f'http://{self.target}/dump',
                extensions={'timeout': {'connect': _CONNECT_TIMEOUT_S}},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            sys.stderr.write(f'lentilspool-dump: {self.target}: {error}\n')
            return _command.FAILURE
        if response.status != _OK:
            sys.stderr.write(f'{self.target}: status {response.status}\n')
            return _command.FAILURE
        sys.stdout.write(self._format(json.loads(response.content)))
        return 0

    def _format(self, state: Any) -> str:
        if not self.table:
            return f'{json.dumps(state, indent=2)}\n'
        rows = tuple(_rows('', state))
        width = max((len(path) for path, _ in rows), default=0)
        return ''.join(f'{path:<{width}}  {text}\n' for path, text in rows)


def _rows(path: str, plain: Any) -> Iterator[tuple[str, str]]:
    if isinstance(plain, dict) and plain:
        for name, child in plain.items():
            yield from _rows(f'{path}.{name}' if path else name, child)
    elif isinstance(plain, list) and plain:
        for index, child in enumerate(plain):
            yield from _rows(f'{path}[{index}]', child)
    else:
        yield path, json.dumps(plain)


def command(target: str, table: bool = False) -> Dump:
    """Print the state of a running process.

    Example: lentilspool-dump 127.0.0.1:8080 --table

    Args:
        target: Address and HTTP port, such as 127.0.0.1:8080.
        table: Print a table of paths and values instead of JSON.
    """
    return Dump(str(target), table)


def main() -> None:
    """Run the program."""
    sys.exit(_command.run(command, 'lentilspool-dump'))
