"""``lentilspool-gateway``: the gateway as a process."""

import dataclasses
import sys
from functools import partial

from lentilspool import platform
from lentilspool import settings as settings_package
from lentilspool.programs import _command


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Runs a gateway, or only validates its settings."""

    path: str
    """Path of the settings file, which is loaded again when it changes."""

    checked: settings_package.GatewaySettings
    """Validated settings."""

    only_check: bool
    """Whether to exit after validation without starting the gateway."""

    def run(self) -> int:
        """Run until the process receives a signal to stop."""
        if self.only_check:
            sys.stdout.write('settings are valid\n')
            return 0
        # Imported here so that validating settings does not load the gateway.
        import trio

        from lentilspool import gateway, telemetry

        telemetry.configure_nonblocking_logs(
            self.checked.name, self.checked.log_level
        )
        trio.run(gateway.serve, self.checked, partial(_load, self.path))
        return 0


def command(settings: str = '', check_settings: bool = False) -> Serve:
    """Serve callers of the platform; gateways share the planning of requests.

    Example: lentilspool-gateway --settings gateway.jsonc

    Args:
        settings: Settings file, JSON with comments; by default the one that
            the platform provides.
        check_settings: Validate the settings and exit.
    """
    path = settings or platform.settings_path()
    return Serve(path, _load(path), check_settings)


def _load(path: str) -> settings_package.GatewaySettings:
    return settings_package.load_file(path, settings_package.GatewaySettings)


def main() -> None:
    """Run the program."""
    sys.exit(_command.run(command, 'lentilspool-gateway'))


if __name__ == '__main__':
    main()
