"""The entry daemon."""

import time

import trio

from lentilspool import kernel, settings, telemetry, wire
from lentilspool.daemons import (
    _configuration,
    _daemon,
    _directory,
    _front,
    _http_server,
    _runner,
)


def entry(entry_settings: settings.EntrySettings) -> _daemon.Daemon:
    """Return an entry that runs when its ``run`` is awaited."""
    return _daemon.Daemon(
        entry_settings.name,
        _Build(entry_settings).build,
        entry_settings.drain_limit_s,
    )


class _Build:
    """Puts the parts of one entry together."""

    def __init__(self, entry_settings: settings.EntrySettings) -> None:
        self._settings = entry_settings
        self._incarnation = time.time_ns()

    async def build(self, nursery: trio.Nursery) -> kernel.Application:
        """Return the application with all components."""
        own = self._settings
        hello = wire.Hello(
            wire.PROTOCOL_VERSION, own.name, self._incarnation, own.zone
        )
        configuration = _configuration.Configuration(own.platform, nursery)
        directory = _directory.Directory(
            own.platform, hello, own.links, nursery
        )
        front = _front.Front(
            configuration,
            _runner.Runner(configuration, directory),
            own.callers,
            telemetry.Metrics(),
            lambda: directory.ready(configuration.document),
            lambda: application.dump(),
        )
        application = kernel.Application(
            {
                'configuration': configuration,
                'directory': directory,
                'http': _http_server.HttpServer(
                    front, own.address, own.port, nursery
                ),
            }
        )
        return application
