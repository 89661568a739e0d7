"""Runs a small fleet in a trio loop beside behave's own thread."""

import tempfile
import threading

import trio

from standins import _fleet

START_LIMIT_S = 30


class Loop:
    """A trio loop in a thread, into which steps send coroutines."""

    def __init__(self):
        self._token = None
        self._scope = None
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,))
        self._thread.start()
        self._ready.wait()

    def run(self, function, *arguments):
        return trio.from_thread.run(
            function, *arguments, trio_token=self._token
        )

    def call(self, function, *arguments):
        return trio.from_thread.run_sync(
            function, *arguments, trio_token=self._token
        )

    def close(self):
        trio.from_thread.run_sync(self._scope.cancel, trio_token=self._token)
        self._thread.join()

    async def _main(self):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self._scope = nursery.cancel_scope
            self._token = trio.lowlevel.current_trio_token()
            self._ready.set()
            await trio.sleep_forever()


def before_scenario(context, scenario):
    if 'store' in scenario.effective_tags:
        context.loop = Loop()
        context.temporary = tempfile.TemporaryDirectory()
        context.folder = context.temporary.name
    if 'fleet' not in scenario.effective_tags:
        return
    context.loop = Loop()

    def start_fleet(plan):
        context.fleet = context.loop.run(_make, plan, context.loop.nursery)

    context.start_fleet = start_fleet


async def _make(plan, nursery):
    fleet = _fleet.Fleet(plan, nursery)
    with trio.fail_after(START_LIMIT_S):
        await fleet.start()
    return fleet


def after_scenario(context, scenario):
    if scenario.effective_tags & {'fleet', 'store'}:
        context.loop.close()
    if 'store' in scenario.effective_tags:
        context.temporary.cleanup()
