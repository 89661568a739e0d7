"""``lentilspool-entry``: the entry daemon as a process."""

import dataclasses
import sys

from lentilspool import settings as settings_package
from lentilspool.programs import _command


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Runs the daemon, or only checks its settings."""

    checked: settings_package.EntrySettings
    """Settings, already checked."""

    only_check: bool
    """Whether to end before anything is started."""

    def run(self) -> int:
        """Run until the process is told to stop."""
        if self.only_check:
            sys.stdout.write('settings are valid\n')
            return 0
        # Imported here, so that checking settings stays light.
        from lentilspool import daemons
        from lentilspool.programs import _serve

        daemon = daemons.entry(self.checked)
        return _serve.serve(daemon, self.checked.log_level)


def command(settings: str, check_settings: bool = False) -> Serve:
    """Serves callers over HTTP and runs their requests stage by stage.

    Example: lentilspool-entry --settings examples/settings/entry.jsonc

    Args:
        settings: File of settings, JSON with comments.
        check_settings: Check the settings and exit.
    """
    checked = settings_package.load_file(
        settings, settings_package.EntrySettings
    )
    return Serve(checked, check_settings)


def main() -> None:
    """Run the program."""
    sys.exit(_command.run(command, 'lentilspool-entry'))
