"""Command line that both daemons share."""

import dataclasses
import sys

from lentilspool import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Runs a daemon, or only checks its settings."""

    checked: settings.EntrySettings | settings.SidecarSettings
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

        if isinstance(self.checked, settings.EntrySettings):
            daemon = daemons.entry(self.checked)
        else:
            daemon = daemons.sidecar(self.checked)
        return _serve.serve(daemon, self.checked.log_level)
