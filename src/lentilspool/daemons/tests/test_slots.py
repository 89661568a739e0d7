"""Tests of the queue and concurrency limit of an endpoint."""

from collections.abc import Awaitable, Callable

import trio
from trio import testing

from lentilspool import config, limits, wire
from lentilspool.daemons import _slots

DOCUMENT = config.Document(
    pipelines={},
    pools={'p': config.PoolDocument(kind='stage', max_in_flight=2)},
    teams={'t': config.TeamDocument()},
)


def call(*, alone: bool = False, may_queue: bool = True) -> wire.StageCall:
    return wire.StageCall(
        call_id=1,
        request_id='r',
        pipeline='x',
        stage='s',
        attempt=1,
        config_version=1,
        digest='d',
        body=b'{}',
        repeatable=True,
        deadline_ms=60_000,
        team='t',
        stream=False,
        priority=0,
        operation='s',
        max_output_tokens=1,
        later_ms=0,
        may_queue=may_queue,
        alone=alone,
    )


def run_with_slots(
    main: Callable[[_slots.Slots, trio.Nursery], Awaitable[None]],
) -> None:
    async def with_nursery() -> None:
        async with trio.open_nursery() as nursery:
            slots = _slots.Slots(limits.ServiceTimes())
            slots.apply_configuration(DOCUMENT, 'p')
            await main(slots, nursery)
            nursery.cancel_scope.cancel()

    trio.run(with_nursery, clock=testing.MockClock(autojump_threshold=0.01))


class TestAcquire:
    def test_call_that_may_not_queue_is_refused_when_full(self) -> None:
        async def main(slots: _slots.Slots, nursery: trio.Nursery) -> None:
            for _ in range(2):
                assert await slots.acquire(call(may_queue=False), 'p') is None
            refusal = await slots.acquire(call(may_queue=False), 'p')
            assert refusal is not None
            assert refusal.retry_after_s

        run_with_slots(main)

    def test_call_that_runs_alone_waits_and_blocks_later_calls(self) -> None:
        async def main(slots: _slots.Slots, nursery: trio.Nursery) -> None:
            started: list[str] = []

            async def acquire(name: str, given: wire.StageCall) -> None:
                await slots.acquire(given, 'p')
                started.append(name)

            await acquire('first', call())
            nursery.start_soon(acquire, 'alone', call(alone=True))
            await testing.wait_all_tasks_blocked()
            nursery.start_soon(acquire, 'later', call())
            await testing.wait_all_tasks_blocked()
            assert started == ['first']
            slots.release()
            await testing.wait_all_tasks_blocked()
            assert started == ['first', 'alone']
            slots.release()
            await testing.wait_all_tasks_blocked()
            assert started == ['first', 'alone', 'later']

        run_with_slots(main)

    def test_cancelled_call_does_not_block_later_calls(self) -> None:
        async def main(slots: _slots.Slots, nursery: trio.Nursery) -> None:
            await slots.acquire(call(), 'p')
            with trio.move_on_after(1) as scope:
                await slots.acquire(call(alone=True), 'p')
            assert scope.cancelled_caught
            assert await slots.acquire(call(), 'p') is None
            assert (slots.running, slots.queued) == (2, 0)

        run_with_slots(main)


class TestLimit:
    def test_no_calls_before_the_first_configuration(self) -> None:
        async def main() -> tuple[int, int]:
            slots = _slots.Slots(limits.ServiceTimes())
            before = slots.limit
            slots.apply_configuration(DOCUMENT, 'p')
            return before, slots.limit

        assert trio.run(main) == (0, 2)
