"""Command-line parsing with fire, followed by the command itself.

The function given to fire only returns a command object. The command is run
after fire has accepted all arguments, so a misspelt flag starts nothing.
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
    """A command with validated arguments."""

    def run(self) -> int:
        """Run the command; return the exit status."""
        ...


def run(
    component: Callable[..., Any] | dict[str, Callable[..., Any]],
    name: str,
    arguments: Sequence[str] | None = None,
) -> int:
    """Parse the arguments, run the command and return the exit status.

    A wrong argument or an invalid settings file gives one line on standard
    error and status 2.
    """
    given = sys.argv[1:] if arguments is None else list(arguments)
    try:
        command = _parse(component, name, given)
    except fire.core.FireExit as stop:
        return _report_exit(stop, name)
    except settings.SettingsError as error:
        return _report_usage_error(name, str(error))
    if not hasattr(command, 'run'):
        return _report_usage_error(name, 'a command is missing; see --help')
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
            serialize=lambda _output: None,
        )


def _report_exit(stop: fire.core.FireExit, name: str) -> int:
    if not stop.code:
        return 0
    return _report_usage_error(name, stop.trace.elements[-1].ErrorAsStr())


def _report_usage_error(name: str, problem: str) -> int:
    line = ' '.join(problem.split())
    sys.stderr.write(f'{name}: {line}\n')
    return USAGE_ERROR
