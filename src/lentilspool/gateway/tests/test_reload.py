"""Tests of reloading settings."""

import dataclasses

from lentilspool import settings
from lentilspool.gateway import _reload

OWN = settings.GatewaySettings(
    name='g',
    zone='a',
    callers='127.0.0.1:1',
    readiness='127.0.0.1:2',
    peers='127.0.0.1:3',
    metrics='127.0.0.1:4',
    known_peers=('127.0.0.1:5',),
    store=settings.StoreSettings('127.0.0.1:6'),
)


class SettingsFile:
    """Settings file with content that tests change; None is unreadable."""

    def __init__(self) -> None:
        self.content: settings.GatewaySettings | None = OWN
        self.applied: list[settings.GatewaySettings] = []

    def load(self) -> settings.GatewaySettings:
        if self.content is None:
            raise settings.SettingsError('file', '$', 'is no JSON')
        return self.content


class TestReloader:
    def test_only_changed_settings_are_applied(self) -> None:
        file = SettingsFile()
        reloader = _reload.Reloader(OWN, file.load, file.applied.append)
        reloader.reload()
        file.content = dataclasses.replace(OWN, known_peers=())
        reloader.reload()
        reloader.reload()
        assert file.applied == [file.content]

    def test_unreadable_settings_are_not_applied(self) -> None:
        file = SettingsFile()
        reloader = _reload.Reloader(OWN, file.load, file.applied.append)
        file.content = None
        reloader.reload()
        assert not file.applied
