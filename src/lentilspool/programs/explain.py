"""``lentilspool-explain``: from a request's id to the cause of its end."""

import dataclasses
import pathlib
import sys

from lentilspool import explain
from lentilspool.programs import _command

_NOT_FOUND = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Prints one request's way, or what the processes came to believe."""

    files: tuple[str, ...]
    """Log files of the processes."""

    request: str
    """Request to be explained; empty for the timeline."""

    def run(self) -> int:
        """Print the rows; 1 if the logs have none."""
        text: list[str] = []
        for name in self.files:
            try:
                held = pathlib.Path(name).read_text('utf-8', 'replace')
            except OSError as error:
                sys.stderr.write(f'lentilspool-explain: {name}: {error}\n')
                return 2
            text.extend(held.splitlines())
        lines = explain.read(text)
        if self.request:
            rows = explain.way(lines, self.request)
        else:
            rows = list(explain.timeline(lines))
        for row in rows:
            sys.stdout.write(f'{row}\n')
        return 0 if rows else _NOT_FOUND


def command(*files: str, request: str = '') -> Explain:
    """Join the log lines of several processes.

    Example: lentilspool-explain front-1.log front-2.log --request 9c41d07b

    Args:
        files: Log files, one or more processes in each.
        request: Request id; without it, what the processes came to believe
            is counted second by second.
    """
    return Explain(tuple(str(name) for name in files), str(request))


def main() -> None:
    """Run the program."""
    sys.exit(_command.run(command, 'lentilspool-explain'))


if __name__ == '__main__':
    main()
