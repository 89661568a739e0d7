"""Tests of requests that may wait, with fake calls to other entries."""

from collections.abc import Awaitable, Callable
from typing import cast

import pytest
import trio
from trio import testing

from lentilspool import admission, kernel
from lentilspool.daemons import (
    _held_calls,
    _held_request_runner,
    _held_requests,
    _hosts,
)

REQUEST = admission.HeldRequest('r', 'draft', 't', b'{}')
OTHER_ENTRY = _hosts.Host('entry-1', '127.0.0.1', 1, 'zone-b', 'entry')


class _FakeCalls:
    """Answers every copy and every transfer with the same result."""

    def __init__(self, stored: bool | None) -> None:
        self._stored = stored

    async def send_copy(self, copy: admission.SendCopy) -> bool | None:
        return self._stored

    async def transfer(self, move: admission.Transfer) -> bool:
        return bool(self._stored)

    async def renew(
        self, renewal: admission.LeaseRenewal
    ) -> admission.LeaseRenewalAnswer:
        return admission.LeaseRenewalAnswer()


class _FakeRunner:
    """Completes every request after five seconds."""

    def __init__(self) -> None:
        self.started = 0

    def stop(self, request_id: str) -> None:
        """Does nothing; runs continue to their end."""

    async def run(
        self,
        held: admission.HeldRequest,
        on_finished: Callable[
            [admission.HeldRequest, kernel.Outcome], Awaitable[None]
        ],
    ) -> None:
        self.started += 1
        await trio.sleep(5)
        await on_finished(held, kernel.Complete(b'{}'))


async def _accept_request(
    stored: bool | None, nursery: trio.Nursery
) -> tuple[kernel.Outcome, _FakeRunner, _held_requests.HeldRequests]:
    runner = _FakeRunner()
    held_requests = _held_requests.HeldRequests(
        admission.Peer('entry-0', 'zone-a'),
        cast(_held_calls.HeldCalls, _FakeCalls(stored)),
        cast(_held_request_runner.HeldRequestRunner, runner),
        nursery,
    )
    held_requests.update_hosts((OTHER_ENTRY,))
    outcome = await held_requests.accept(REQUEST, 10)
    await testing.wait_all_tasks_blocked()
    return outcome, runner, held_requests


def run(main: Callable[[trio.Nursery], Awaitable[None]]) -> None:
    async def with_nursery() -> None:
        async with trio.open_nursery() as nursery:
            await main(nursery)
            nursery.cancel_scope.cancel()

    trio.run(with_nursery, clock=testing.MockClock(autojump_threshold=0.01))


class TestAccept:
    @pytest.mark.parametrize(
        ('stored', 'kind', 'started'),
        [
            (True, kernel.Accepted, 1),
            (False, kernel.NotRun, 0),
            # No answer: the standby may have the copy and take over.
            (None, kernel.Unknown, 1),
        ],
    )
    def test_outcome_depends_on_standby_storing_the_copy(
        self, stored: bool | None, kind: type[kernel.Outcome], started: int
    ) -> None:
        async def main(nursery: trio.Nursery) -> None:
            outcome, runner, _requests = await _accept_request(stored, nursery)
            assert isinstance(outcome, kind)
            assert runner.started == started

        run(main)


class TestDrain:
    def test_waits_for_requests_that_cannot_be_transferred(self) -> None:
        async def main(nursery: trio.Nursery) -> None:
            _outcome, _runner, held_requests = await _accept_request(
                True, nursery
            )
            await held_requests.start()
            held_requests.update_hosts(())
            drain_started = trio.current_time()
            await held_requests.drain()
            assert 4 <= trio.current_time() - drain_started <= 8

        run(main)
