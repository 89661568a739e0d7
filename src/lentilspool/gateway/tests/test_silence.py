"""Tests of the time for which endpoints are regarded as silent."""

import functools

import trio
from trio import testing

from lentilspool.gateway import _silence

LIMIT_S = 2.0


async def read_after(seconds: float) -> str:
    await trio.sleep(seconds)
    return 'part'


async def receive_event(watch: _silence.SilenceWatch, seconds: float) -> None:
    """Receive a part after some seconds and pass its event on."""
    await watch.receive(functools.partial(read_after, seconds))
    watch.record_progress()


class TestSilenceWatch:
    def test_each_event_has_the_whole_limit(self) -> None:
        async def check() -> None:
            watch = _silence.SilenceWatch(LIMIT_S)
            silent_at: list[float] = []

            async def note() -> None:
                await watch.wait_until_silent()
                silent_at.append(trio.current_time() - began_at)

            began_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(note)
                for pause_s in (1.5, 1.5, 1.5, 5):
                    await receive_event(watch, pause_s)
            assert silent_at == [1.5 * 3 + LIMIT_S]

        trio.run(check, clock=testing.MockClock(autojump_threshold=0))

    def test_time_without_a_read_does_not_count(self) -> None:
        async def check() -> None:
            watch = _silence.SilenceWatch(LIMIT_S)
            await watch.receive(functools.partial(read_after, 1))
            with trio.move_on_after(LIMIT_S * 3) as scope:
                await watch.wait_until_silent()
            assert scope.cancelled_caught

        trio.run(check, clock=testing.MockClock(autojump_threshold=0))

    def test_action_ends_when_an_event_arrives(self) -> None:
        async def check() -> None:
            watch = _silence.SilenceWatch(LIMIT_S)
            began_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive_event, watch, 3)
                await watch.wait_until_silent()
                await watch.unless_resumed(trio.sleep_forever)
            assert trio.current_time() - began_at == 3

        trio.run(check, clock=testing.MockClock(autojump_threshold=0))

    def test_action_that_finishes_ends_the_wait(self) -> None:
        async def check() -> None:
            watch = _silence.SilenceWatch(LIMIT_S)
            began_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive_event, watch, 9)
                await watch.wait_until_silent()
                await watch.unless_resumed(lambda: trio.sleep(1))
                assert trio.current_time() - began_at == LIMIT_S + 1

        trio.run(check, clock=testing.MockClock(autojump_threshold=0))

    def test_bytes_without_an_event_are_no_progress(self) -> None:
        async def check() -> None:
            watch = _silence.SilenceWatch(LIMIT_S)
            for _ in range(3):
                await watch.receive(functools.partial(read_after, 1))
            assert watch.is_overdue

        trio.run(check, clock=testing.MockClock(autojump_threshold=0))
