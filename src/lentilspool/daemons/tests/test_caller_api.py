"""Tests of the callers' interface while its entry stops as planned."""

from typing import Any, cast

import pytest
import trio
from trio import testing

from lentilspool import settings
from lentilspool.daemons import (
    _acceptor,
    _asgi,
    _caller_api,
    _collector,
    _problem,
    _runner,
    _status,
    _submission,
)

PATH = '/v1/pipelines/day-plan/requests'


class RefusingReader:
    """Refuses every request, after it has counted it."""

    def __init__(self) -> None:
        self.seen = 0

    async def read(
        self, name: str, scope: _asgi.Scope, receive: _asgi.Receive
    ) -> _problem.Response:
        self.seen += 1
        return _problem.invalid_response(400, 'refused by the test')


class _Metrics:
    metrics = None


async def _receive() -> dict[str, Any]:
    return {'type': 'http.request'}


async def _ignore(message: dict[str, Any]) -> None:
    """Discard a part of an answer."""


def _make_api(reader: RefusingReader) -> _caller_api.CallerApi:
    return _caller_api.CallerApi(
        cast(_submission.SubmissionReader, reader),
        cast(_runner.RequestRunner, None),
        cast(_collector.Collector, None),
        cast(_acceptor.Acceptor, None),
        settings.CallerLimits(),
        cast(_status.Status, _Metrics()),
    )


async def _request_at(api: _caller_api.CallerApi, at: float) -> None:
    await trio.sleep_until(at)
    scope = {'type': 'http', 'method': 'POST', 'path': PATH}
    await api(scope, _receive, _ignore)


class TestDrain:
    @pytest.mark.parametrize(
        ('requests', 'seconds'),
        [
            ((), 1),
            ((0.2,), 1),
            # A starved host gets the same requests more slowly.
            ((0.2, 0.6, 0.9, 1.3, 1.7), 2.2),
        ],
    )
    def test_takes_requests_until_no_more_come(
        self, requests: tuple[float, ...], seconds: float
    ) -> None:
        async def main() -> None:
            reader = RefusingReader()
            api = _make_api(reader)
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                for at in requests:
                    nursery.start_soon(_request_at, api, began + at)
                await api.drain()
                taken = trio.current_time() - began
            assert taken == pytest.approx(seconds, abs=0.1)
            assert reader.seen == len(requests)

        trio.run(main, clock=testing.MockClock(autojump_threshold=0))

    def test_takes_requests_after_the_process_stood_still(self) -> None:
        clock = testing.MockClock()

        async def main() -> None:
            reader = RefusingReader()
            api = _make_api(reader)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(api.drain)
                await testing.wait_all_tasks_blocked()
                clock.jump(3)
                await testing.wait_all_tasks_blocked()
                assert not api.dump()['refusing']
                clock.autojump_threshold = 0

        trio.run(main, clock=clock)
