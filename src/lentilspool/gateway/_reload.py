"""Settings that are read again while the process runs."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import settings
from lentilspool.gateway import _events

_logger: Final = logging.getLogger(__name__)
# The platform may change the file without a signal.
_POLL_S: Final = 2.0

Load = Callable[[], settings.GatewaySettings]
Take = Callable[[settings.GatewaySettings], None]


class Reloader:
    """Reads the settings again, on request and now and then.

    ``take`` gets changed settings; which of them can change while the
    process runs is for it to know. Settings that cannot be read leave the
    old ones in force.
    """

    def __init__(
        self, own: settings.GatewaySettings, load: Load, take: Take
    ) -> None:
        self._own = own
        self._load = load
        self._take = take
        self._failed = ''

    def reload(self) -> None:
        """Read the settings now."""
        try:
            found = self._load()
        except settings.SettingsError as error:
            if str(error) != self._failed:
                self._failed = str(error)
                _events.RELOAD_FAILED.log(_logger, problem=self._failed)
            return
        self._failed = ''
        if found == self._own:
            return
        changed = [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name) != getattr(self._own, field.name)
        ]
        self._own = found
        _events.RELOADED.log(_logger, changed=changed)
        self._take(found)

    async def serve(self) -> None:
        """Read the settings now and then, until cancelled."""
        while True:
            await trio.sleep(_POLL_S)
            self.reload()
