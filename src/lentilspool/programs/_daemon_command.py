"""Command shared by the entry and the sidecar daemon."""

import dataclasses
import sys

from lentilspool import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Runs a daemon, or only validates its settings."""

    checked: settings.EntrySettings | settings.SidecarSettings
    """Validated settings."""

    only_check: bool
    """Whether to exit after validation without starting the daemon."""

    def run(self) -> int:
        """Run until the process receives a signal to stop."""
        if self.only_check:
            sys.stdout.write('settings are valid\n')
            return 0
        # Imported here so that validating settings does not load the daemon.
        from lentilspool import daemons
        from lentilspool.programs import _serve

        if isinstance(self.checked, settings.EntrySettings):
            daemon = daemons.entry(self.checked)
        else:
            daemon = daemons.sidecar(self.checked)
        return _serve.serve(daemon, self.checked.log_level)
