"""Reload of the settings while the process runs."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import settings
from lentilspool.gateway import _events

_logger: Final = logging.getLogger(__name__)
# The platform may change the file without a signal.
_POLL_INTERVAL_S: Final = 2.0

Load = Callable[[], settings.GatewaySettings]
Apply = Callable[[settings.GatewaySettings], None]


class Reloader:
    """Reads the settings again, on request and periodically.

    Changed settings are passed to ``apply``, which decides which of them can
    change while the process runs. If the settings cannot be read, the old
    ones stay in force.
    """

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        load: Load,
        apply: Apply,
    ) -> None:
        self._settings = gateway_settings
        self._load = load
        self._apply = apply
        self._last_problem = ''

    def reload(self) -> None:
        """Read the settings now."""
        try:
            loaded = self._load()
        except settings.SettingsError as error:
            if str(error) != self._last_problem:
                self._last_problem = str(error)
                _events.RELOAD_FAILED.log(_logger, problem=self._last_problem)
            return
        self._last_problem = ''
        if loaded == self._settings:
            return
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = loaded
        _events.RELOADED.log(_logger, changed=changed)
        self._apply(loaded)

    async def serve(self) -> None:
        """Read the settings periodically until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S)
            self.reload()
