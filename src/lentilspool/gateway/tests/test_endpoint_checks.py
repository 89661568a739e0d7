"""Tests of the check whether an endpoint has ended."""

import logging
import socket

import pytest
import trio
from trio import testing

from lentilspool import serving, settings
from lentilspool.gateway import (
    _content_quarantine,
    _endpoint_checks,
    _events,
    _metrics,
    _sockets,
)

CONTENTS = ('one', 'two')
PARTS = (
    _endpoint_checks.PromptParts(suspects=frozenset(('shared', 'fatal'))),
    _endpoint_checks.PromptParts(proved=frozenset(('shared',))),
    _endpoint_checks.PromptParts(suspects=frozenset(('shared', 'rare'))),
)


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


class SilentEndpoint:
    """An endpoint that accepts a connection only at a later attempt."""

    def __init__(self, silent_attempts: int) -> None:
        self._silent_attempts = silent_attempts
        self.attempts = 0

    async def try_connect(
        self, host: str, port: int, limit_s: float
    ) -> trio.SocketStream | _sockets.Unreachable:
        self.attempts += 1
        await trio.sleep(limit_s)
        if self.attempts <= self._silent_attempts:
            return _sockets.Unreachable.no_response
        near, far = trio.socket.socketpair()
        far.close()
        return trio.SocketStream(near)


async def check_silent() -> None:
    """Check an endpoint while another one answers."""
    async with trio.open_nursery() as nursery:
        checks = _endpoint_checks.EndpointChecks(
            settings.SendSettings(),
            _metrics.GatewayMetrics(),
            _content_quarantine.ContentQuarantine(
                settings.QuarantineSettings()
            ),
            nursery,
        )
        checks.check(endpoint_at(9), CONTENTS, PARTS[0])
        await trio.sleep(0.1)
        checks.record_answer()


class TestEndpointChecks:
    def deaths(self, caplog: pytest.LogCaptureFixture) -> list[object]:
        return [
            record.__dict__['fields']['contents']
            for record in caplog.records
            if record.__dict__.get('event') == _events.ENDPOINT_DIED.number
        ]

    def suspects(self, caplog: pytest.LogCaptureFixture) -> list[object]:
        return [
            record.__dict__['fields']['suspects']
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

    def test_death_names_parts_that_no_other_request_has_proved(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        async def check_parts() -> None:
            async with trio.open_nursery() as nursery:
                checks = _endpoint_checks.EndpointChecks(
                    settings.SendSettings(),
                    _metrics.GatewayMetrics(),
                    _content_quarantine.ContentQuarantine(
                        settings.QuarantineSettings()
                    ),
                    nursery,
                )
                for parts in PARTS:
                    checks.check(endpoint_at(port), CONTENTS, parts)

        with socket.create_server(('127.0.0.1', 0)) as closed:
            port = closed.getsockname()[1]
        with caplog.at_level(logging.WARNING):
            trio.run(check_parts)
        assert self.suspects(caplog) == [['fatal', 'rare']]

    def test_endpoint_that_accepts_connections_has_not_ended(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            trio.run(check, listener.getsockname()[1])
        assert not self.deaths(caplog)

    @pytest.mark.parametrize(
        ('silent_s', 'died'), [(1.5, False), (60, True)], ids=['pause', 'dark']
    )
    def test_endpoint_that_is_silent_for_a_second_has_not_ended(
        self,
        silent_s: float,
        died: bool,
        caplog: pytest.LogCaptureFixture,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        attempts = int(silent_s / settings.SendSettings().connect_s)
        silent = SilentEndpoint(attempts)
        monkeypatch.setattr(_sockets, 'try_connect', silent.try_connect)
        with caplog.at_level(logging.WARNING):
            trio.run(
                check_silent, clock=testing.MockClock(autojump_threshold=0)
            )
        assert bool(self.deaths(caplog)) is died
        expected = [sorted(PARTS[0].suspects)] if died else []
        assert self.suspects(caplog) == expected
