"""``python -m soak judge HISTORY``: judges a history of a run."""

import dataclasses
import pathlib
import sys

import msgspec
from fire import decorators

from soak import _history, _history_file
from soak.judges import _all

_CLEAN = 0
_BROKEN = 1
_UNREADABLE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Judges one history."""

    path: pathlib.Path
    """File of the history."""

    def run(self) -> int:
        """Print a line of JSON a finding; return the exit status."""
        history = _read(self.path)
        if isinstance(history, _history_file.HistoryError):
            sys.stderr.write(f'{self.path}: {history}\n')
            return _UNREADABLE
        findings = _all.judge(history)
        for finding in findings:
            line = msgspec.json.encode(finding).decode()
            sys.stdout.write(f'{line}\n')
        return _BROKEN if findings else _CLEAN


# Otherwise a file named 123 would arrive as a number.
@decorators.SetParseFns(history=str)  # type: ignore[untyped-decorator]
def command(history: str) -> Judgement:
    """Judge the rules over a history.

    Prints findings: rule, clause, moment and requests. Ends with 1 if there
    are any, and with 2 if the file is not a whole history.

    Args:
        history: File that a run has written.
    """
    return Judgement(pathlib.Path(history))


def _read(
    path: pathlib.Path,
) -> _history.History | _history_file.HistoryError:
    try:
        return _history_file.read(path)
    except OSError as error:
        return _history_file.HistoryError(1, str(error))
