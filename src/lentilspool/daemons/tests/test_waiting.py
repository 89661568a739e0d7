"""Tests of requests that may wait, with fakes for other entries."""

from collections.abc import Awaitable, Callable
from typing import cast

import pytest
import trio
from trio import testing

from lentilspool import admission, kernel
from lentilspool.daemons import _held_calls, _hosts, _waiting, _waiting_runs

REQUEST = admission.HeldRequest('r', 'draft', 't', b'{}')
OTHER = _hosts.Host('entry-1', '127.0.0.1', 1, 'zone-b', 'entry')


class _Calls:
    """Answers every copy and transfer in the same way."""

    def __init__(self, stored: bool | None) -> None:
        self._stored = stored

    async def copy(self, copy: admission.SendCopy) -> bool | None:
        return self._stored

    async def transfer(self, move: admission.Transfer) -> bool:
        return bool(self._stored)

    async def renew(
        self, renewal: admission.LeaseRenewal
    ) -> admission.LeaseRenewalAnswer:
        return admission.LeaseRenewalAnswer()


class _Runs:
    """Runs a request in five seconds."""

    def __init__(self) -> None:
        self.started = 0

    def stop(self, request_id: str) -> None:
        """Runs go on to their end."""

    async def run(
        self,
        held: admission.HeldRequest,
        finish: Callable[
            [admission.HeldRequest, kernel.Outcome], Awaitable[None]
        ],
    ) -> None:
        self.started += 1
        await trio.sleep(5)
        await finish(held, kernel.Complete(b'{}'))


async def _accept(
    stored: bool | None, nursery: trio.Nursery
) -> tuple[kernel.Outcome, _Runs, _waiting.Waiting]:
    runs = _Runs()
    waiting = _waiting.Waiting(
        admission.Peer('entry-0', 'zone-a'),
        cast(_held_calls.HeldCalls, _Calls(stored)),
        cast(_waiting_runs.WaitingRuns, runs),
        nursery,
    )
    waiting.follow((OTHER,))
    outcome = await waiting.accept(REQUEST, 10)
    await testing.wait_all_tasks_blocked()
    return outcome, runs, waiting


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
            # The standby may hold the copy and take over: it may run.
            (None, kernel.Unknown, 1),
        ],
    )
    def test_claims_follow_from_the_copy(
        self, stored: bool | None, kind: type[kernel.Outcome], started: int
    ) -> None:
        async def main(nursery: trio.Nursery) -> None:
            outcome, runs, _waiting_part = await _accept(stored, nursery)
            assert isinstance(outcome, kind)
            assert runs.started == started

        run(main)


class TestDrain:
    def test_waits_for_what_cannot_be_moved(self) -> None:
        async def main(nursery: trio.Nursery) -> None:
            _outcome, _runs, waiting = await _accept(True, nursery)
            await waiting.start()
            waiting.follow(())
            begun = trio.current_time()
            await waiting.drain()
            assert 4 <= trio.current_time() - begun <= 8

        run(main)
