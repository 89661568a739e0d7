"""Configuration in force in one process."""

from typing import Any

import trio

from lentilspool import config, dialects, settings


class Configuration:
    """Reads the published configuration and holds the version in force."""

    def __init__(
        self, platform: settings.PlatformSettings, nursery: trio.Nursery
    ) -> None:
        self._platform = platform
        self._nursery = nursery
        self._client = dialects.HttpClient(platform.configuration_url, 2)
        self._document: config.Document | None = None
        self._version = 0
        self._digest = ''

    @property
    def document(self) -> config.Document | None:
        """Configuration in force, or None before the first is had."""
        return self._document

    @property
    def version(self) -> int:
        """Number of the version in force."""
        return self._version

    async def start(self) -> None:
        """Begin to follow the published configuration."""
        self._nursery.start_soon(self._follow)

    async def drain(self) -> None:
        """Nothing is in flight."""

    async def stop(self) -> None:
        """Close connections."""
        await self._client.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'version': self._version, 'digest': self._digest}

    async def _follow(self) -> None:
        while True:
            reply = await self._client.get_json(
                f'/v1/config?after={self._version}',
                self._platform.read_timeout_s,
            )
            self._adopt(reply)
            await trio.sleep(1 if self._document else 0.1)

    def _adopt(self, reply: Any) -> None:
        base = reply and reply.get('base')
        if not base or base['number'] <= self._version:
            return
        self._document = settings.convert(
            base['document'], config.Document, 'configuration'
        )
        self._version = base['number']
