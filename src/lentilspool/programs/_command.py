"""Command lines: fire reads the arguments, then the command runs.

The function given to fire only returns a command object. It runs after
every argument was consumed, so a misspelt flag starts nothing.
"""

import contextlib
import io
import sys
from collections.abc import Callable, Sequence
from typing import Any, Final, Protocol

import fire

from lentilspool import settings

USAGE_ERROR: Final = 2
FAILURE: Final = 1


class Command(Protocol):
    """A checked command; ``run`` returns the exit status."""

    def run(self) -> int:
        """Do the work."""
        ...


def run(
    component: Callable[..., Any] | dict[str, Callable[..., Any]],
    name: str,
    arguments: Sequence[str] | None = None,
) -> int:
    """Read the arguments, run the command and return the exit status.

    A wrong argument or a refused settings file gives one line on the
    standard error stream and the status 2.
    """
    given = sys.argv[1:] if arguments is None else list(arguments)
    try:
        command = _parse(component, name, given)
    except fire.core.FireExit as stop:
        return _explain(stop, name)
    except settings.SettingsError as error:
        return _complain(name, str(error))
    if not hasattr(command, 'run'):
        return _complain(name, 'a command is missing; see --help')
    status: int = command.run()
    return status


def _parse(component: Any, name: str, arguments: list[str]) -> Any:
    wants_help = not {'--help', '-h'}.isdisjoint(arguments)
    target = sys.stderr if wants_help else io.StringIO()
    with contextlib.redirect_stderr(target):
        return fire.Fire(
            component,
            command=arguments,
            name=name,
            serialize=lambda _printed: None,
        )


def _explain(stop: fire.core.FireExit, name: str) -> int:
    if not stop.code:
        return 0
    return _complain(name, stop.trace.elements[-1].ErrorAsStr())


def _complain(name: str, problem: str) -> int:
    line = ' '.join(problem.split())
    sys.stderr.write(f'{name}: {line}\n')
    return USAGE_ERROR
