"""``lentilspool-explain``: traces a request through the logs."""

import dataclasses
import pathlib
import sys

from lentilspool import explain
from lentilspool.programs import _command

_NOTHING_FOUND = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Prints the trace of one request, or the timeline of all processes."""

    files: tuple[str, ...]
    """Log files of the processes."""

    request: str
    """Id of the request to trace; empty for the timeline."""

    def run(self) -> int:
        """Print the rows; return 1 if there are none, 2 if a file is unreadable."""
        text: list[str] = []
        for name in self.files:
            try:
                content = pathlib.Path(name).read_text('utf-8', 'replace')
            except OSError as error:
                sys.stderr.write(f'lentilspool-explain: {name}: {error}\n')
                return 2
            text.extend(content.splitlines())
        lines = explain.read(text)
        if self.request:
            rows = explain.trace_request(lines, self.request)
        else:
            rows = list(explain.timeline(lines))
        for row in rows:
            sys.stdout.write(f'{row}\n')
        return 0 if rows else _NOTHING_FOUND


def command(*files: str, request: str = '') -> Explain:
    """Trace a request through the logs of several processes.

    Example: lentilspool-explain front-1.log front-2.log --request 9c41d07b

    Args:
        files: Log files, each with the lines of one or more processes.
        request: Id of the request; if omitted, state changes and failures
            of all processes are counted per second.
    """
    return Explain(tuple(str(name) for name in files), str(request))


def main() -> None:
    """Run the program."""
    sys.exit(_command.run(command, 'lentilspool-explain'))


if __name__ == '__main__':
    main()
