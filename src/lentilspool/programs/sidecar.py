"""``lentilspool-sidecar``: the sidecar daemon as a process."""

import sys

from lentilspool import settings as settings_package
from lentilspool.programs import _command, _daemon_command


def command(
    settings: str, check_settings: bool = False
) -> _daemon_command.Serve:
    """Run beside one endpoint; all calls to it go through the sidecar.

    Example: lentilspool-sidecar --settings examples/settings/sidecar-model.jsonc

    Args:
        settings: Settings file, JSON with comments.
        check_settings: Validate the settings and exit.
    """
    checked = settings_package.load_file(
        settings, settings_package.SidecarSettings
    )
    return _daemon_command.Serve(checked, check_settings)


def main() -> None:
    """Run the program."""
    sys.exit(_command.run(command, 'lentilspool-sidecar'))
