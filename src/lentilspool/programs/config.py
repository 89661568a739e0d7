"""``lentilspool-config``: checks and publishes configuration patches."""

import os
import sys
from collections.abc import Callable, Sequence
from typing import Any, Final

from lentilspool import settings
from lentilspool.programs import _command, _config_client, _config_commands

_PROGRAM_NAME: Final = 'lentilspool-config'
_DEFAULT_SERVICE_URL: Final = 'http://127.0.0.1:8500'
_DEFAULT_WAIT_TIMEOUT_S: Final = 30.0


def check(
    patch: str,
    service: str = _DEFAULT_SERVICE_URL,
    hosts: str = '',
    against: int = 0,
    author: str = '',
) -> _config_commands.Check:
    """Print the verdict that a patch would get; publish nothing.

    Example: lentilspool-config check patch.jsonc --service http://10.0.0.1:80

    Args:
        patch: File with a JSON merge patch; comments are allowed.
        service: URL of the platform's configuration service.
        hosts: URL of the platform's host list; the service's if empty.
        against: Version that the patch was made against; 0 for the newest.
        author: Name of the submitter; the USER variable if empty.
    """
    draft = _draft(patch, against, author)
    return _config_commands.Check(_platform(service, hosts), draft)


def diff(
    patch: str,
    service: str = _DEFAULT_SERVICE_URL,
    against: int = 0,
    author: str = '',
) -> _config_commands.Diff:
    """Print the values that a patch would change.

    Args:
        patch: File with a JSON merge patch; comments are allowed.
        service: URL of the platform's configuration service.
        against: Version that the patch was made against; 0 for the newest.
        author: Name of the submitter; the USER variable if empty.
    """
    draft = _draft(patch, against, author)
    return _config_commands.Diff(_platform(service), draft)


def submit(
    patch: str,
    service: str = _DEFAULT_SERVICE_URL,
    against: int = 0,
    author: str = '',
) -> _config_commands.Submit:
    """Publish a patch if it passes the check; print its verdict.

    Args:
        patch: File with a JSON merge patch; comments are allowed.
        service: URL of the platform's configuration service.
        against: Version that the patch was made against; 0 for the newest.
        author: Name of the submitter; the USER variable if empty.
    """
    draft = _draft(patch, against, author)
    return _config_commands.Submit(_platform(service), draft)


def wait(
    version: int,
    hosts: str = _DEFAULT_SERVICE_URL,
    timeout_s: float = _DEFAULT_WAIT_TIMEOUT_S,
) -> _config_commands.Wait:
    """Wait until every listed process has a version or a newer one in force.

    Args:
        version: Version to wait for; a higher one is accepted.
        hosts: URL of the platform's host list.
        timeout_s: Seconds after which processes that lag behind are listed.
    """
    awaited = _non_negative('version', version, int)
    limit_s = _non_negative('timeout_s', timeout_s, float)
    return _config_commands.Wait(_platform(hosts), awaited, limit_s)


def history(service: str = _DEFAULT_SERVICE_URL) -> _config_commands.History:
    """Print the verdict on each published entry since the base.

    Args:
        service: URL of the platform's configuration service.
    """
    return _config_commands.History(_platform(service))


def run(arguments: Sequence[str] | None = None) -> int:
    """Run one command; return the exit status."""
    commands: dict[str, Callable[..., Any]] = {
        'check': check,
        'diff': diff,
        'submit': submit,
        'wait': wait,
        'history': history,
    }
    return _command.run(commands, _PROGRAM_NAME, arguments)


def main() -> None:
    """Run the program."""
    sys.exit(run())


def _platform(service: str, hosts: str = '') -> _config_client.Platform:
    return _config_client.Platform(str(service), str(hosts or service))


def _draft(patch: str, against: int, author: str) -> _config_commands.Draft:
    merge = settings.load_file(str(patch), dict[str, Any])
    version = _non_negative('against', against, int)
    submitter = str(author) or os.environ.get('USER', 'unknown')
    return _config_commands.Draft(merge, version, submitter)


def _non_negative(flag: str, given: object, kind: type[Any]) -> Any:
    allowed = (int, float) if kind is float else (int,)
    if isinstance(given, bool) or not isinstance(given, allowed) or given < 0:
        raise settings.SettingsError(
            'arguments', f'--{flag}', f'"{given}" is not a number of at least 0'
        )
    return kind(given)
