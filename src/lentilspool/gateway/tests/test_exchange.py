"""Tests of attempts that are cancelled because their callers leave."""

from collections.abc import Awaitable, Callable
from typing import cast

import pytest
import trio
from trio import testing

from lentilspool import platform, serving
from lentilspool.gateway import (
    _clock,
    _connection,
    _endpoint_checks,
    _exchange,
    _in_flight,
)

ENDPOINT = serving.Endpoint('e', 'model', '127.0.0.1', 9, 'a', 1, True, 1)
CALL = serving.Call('r', 'POST', '/x', 'h', '/x', (), '', None)
PARTS = _endpoint_checks.PromptParts(suspects=frozenset(('part',)))


class RecordedChecks:
    """Records the contents whose endpoints are checked."""

    def __init__(self) -> None:
        self.contents: list[tuple[str, ...]] = []

    def check(
        self,
        endpoint: serving.Endpoint,
        contents: tuple[str, ...],
        parts: _endpoint_checks.PromptParts,
    ) -> None:
        assert parts == PARTS
        self.contents.append(contents)


class OpenRequest:
    """What an attempt uses of a request, over one connection."""

    def __init__(self, connection: _connection.Connection) -> None:
        self.connection = connection
        self.checks = RecordedChecks()
        self.context = self
        self.pool = self
        self.call = CALL
        self.body = b''
        self.content = 'content'
        self.prompt_progress = self
        self.at_endpoint = PARTS
        self.route = self
        self.run = self
        self.repeatable = False

    def end(self, *, complete: bool) -> None:
        """Ignore that the endpoint was left."""

    def record_sent(
        self, endpoint: serving.Endpoint, time_left_s: float
    ) -> None:
        """Ignore the log line."""

    async def acquire(
        self,
        endpoint: serving.Endpoint,
        *,
        repeatable: bool,
        request_id: str | None = None,
    ) -> _connection.Connection:
        return self.connection

    async def release(
        self, endpoint: serving.Endpoint, connection: _connection.Connection
    ) -> None:
        await connection.close()


async def wait_directly() -> None:
    """Wait for a part of the answer in the task of the attempt."""
    await trio.sleep_forever()


async def wait_in_nursery() -> None:
    """Wait for a part of the answer beside another task."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        await trio.sleep_forever()


class TestCancelledAttempt:
    @pytest.mark.parametrize('wait', [wait_directly, wait_in_nursery])
    @pytest.mark.parametrize(('silent_s', 'checked'), [(0.1, False), (2, True)])
    def test_endpoint_is_checked_after_a_silence(
        self,
        silent_s: float,
        checked: bool,
        wait: Callable[[], Awaitable[None]],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        now = [100.0]
        monkeypatch.setattr(_clock, 'now', lambda: now[0])

        async def check() -> list[tuple[str, ...]]:
            near, _far = testing.memory_stream_pair()
            request = OpenRequest(
                _connection.Connection(cast(trio.SocketStream, near))
            )
            with trio.CancelScope() as scope:
                async with _exchange.attempt(
                    cast(_in_flight.InFlightRequest, request),
                    ENDPOINT,
                    platform.SendOptions('e', 1),
                ):
                    now[0] += silent_s
                    scope.cancel()
                    await wait()
            return request.checks.contents

        assert bool(trio.run(check)) is checked
