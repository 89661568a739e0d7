"""Tests of the check whether an endpoint has ended."""

import logging
import socket

import pytest
import trio

from lentilspool import serving, settings
from lentilspool.gateway import (
    _content_quarantine,
    _endpoint_checks,
    _events,
    _metrics,
)

CONTENTS = ('one', 'two')


def endpoint_at(port: int) -> serving.Endpoint:
    return serving.Endpoint('e', 'desk', '127.0.0.1', port, 'a', 1, True, 1)


async def check(port: int) -> None:
    """Check the endpoint at a port twice, with a content each time."""
    async with trio.open_nursery() as nursery:
        checks = _endpoint_checks.EndpointChecks(
            settings.SendSettings(),
            _metrics.GatewayMetrics(),
            _content_quarantine.ContentQuarantine(
                settings.QuarantineSettings()
            ),
            nursery,
        )
        for content in CONTENTS:
            checks.check(endpoint_at(port), (content,))


class TestEndpointChecks:
    def deaths(self, caplog: pytest.LogCaptureFixture) -> list[object]:
        return [
            record.__dict__['fields']['contents']
            for record in caplog.records
            if record.__dict__.get('event') == _events.ENDPOINT_DIED.number
        ]

    def test_refused_connection_is_a_death_under_all_contents(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        with caplog.at_level(logging.WARNING):
            with socket.create_server(('127.0.0.1', 0)) as closed:
                port = closed.getsockname()[1]
            trio.run(check, port)
        assert self.deaths(caplog) == [list(CONTENTS)]

    def test_endpoint_that_accepts_connections_has_not_ended(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            trio.run(check, listener.getsockname()[1])
        assert not self.deaths(caplog)
