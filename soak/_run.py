"""One run of the soak."""

import dataclasses
import pathlib
import random
import tempfile
from typing import Final

import trio

from soak import (
    _callers,
    _drills,
    _faults,
    _findings,
    _gateways,
    _history_file,
)
from soak.judges import _all

_START_S: Final = 15.0
_CALM_S: Final = 6.0
_RECOVERED_SHARE: Final = 0.7
# A watch on a connection that a fault silenced times out by then.
_STORE_SETTLE_S: Final = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a run does."""

    seed: int
    """Seed of faults and callers."""

    seconds: float
    """Time with faults."""

    gateways: int
    """Gateway processes."""

    callers: int
    """Callers at the same time."""

    plant: str = ''
    """Name of a fault planted into the gateways; empty for none."""

    logs: str = ''
    """Folder for logs; a temporary one by default."""

    only: tuple[str, ...] = ()
    """Names of the disruptions that are drawn; all if empty."""

    settle_s: float = 15
    """Time after the faults until most requests must be served again."""


async def run(plan: Plan) -> tuple[_findings.Findings, str]:
    """Run a plan; return the findings and a line of figures."""
    findings = _findings.Findings()
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(plan.logs or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        await _play(plan, findings, folder)
        _judge(findings, folder / f'history-{plan.seed}.jsonl', plan.seed)
    findings.check_budget()
    return findings, findings.report(plan.seed, plan.seconds)


async def _play(
    plan: Plan, findings: _findings.Findings, folder: pathlib.Path
) -> None:
    rng = random.Random(plan.seed)
    async with trio.open_nursery() as nursery:
        world = _faults.World(findings, rng, nursery)
        await world.start()
        for index in range(plan.gateways):
            port = world.store.server.port
            gateway = _gateways.Gateway(f'g{index}', folder, port)
            if plan.plant:
                gateway.modules = ('soak.planted', f'--plant={plan.plant}')
            gateway.recorder = findings.recorder
            world.gateways.append(gateway)
        known = tuple(one.peers for one in world.gateways[:3])
        for gateway in world.gateways:
            gateway.configure(known)
            nursery.start_soon(gateway.store_way.serve)
            nursery.start_soon(gateway.serve)
            nursery.start_soon(gateway.probe)
        for number in range(plan.callers):
            caller = _callers.Caller(
                number, world.gateways, findings, random.Random(rng.random())
            )
            nursery.start_soon(caller.serve, 0.1)
        await _start(findings, world.gateways)
        with trio.move_on_after(plan.seconds):
            while True:
                await trio.sleep(rng.uniform(0.1, 1))
                await world.disturb(plan.only or world.drawn)
        await _recover(findings, plan.settle_s)
        if plan.settle_s >= _STORE_SETTLE_S:
            await _drills.check_last_restore(world, findings)
        nursery.cancel_scope.cancel()


def _judge(findings: _findings.Findings, path: pathlib.Path, seed: int) -> None:
    """Write the history, and judge what can be read of it."""
    findings.recorder.write(path, seed)
    history = _history_file.read(path)
    if isinstance(history, _history_file.HistoryError):
        findings.broken.append(f'history: {history}')
        return
    findings.judged = _all.judge(history)


async def _start(
    findings: _findings.Findings, gateways: list[_gateways.Gateway]
) -> None:
    """Wait until requests are served and all gateways are ready."""
    with trio.move_on_after(_START_S):
        while not findings.statuses['200'] or _unready(gateways):
            await trio.sleep(0.1)
    if not findings.statuses['200']:
        findings.broken.append('start: nothing was served')
    findings.broken += [
        f'start: not ready: {one.describe_start()}'
        for one in _unready(gateways)
    ]


def _unready(gateways: list[_gateways.Gateway]) -> list[_gateways.Gateway]:
    return [one for one in gateways if not one.was_ready]


async def _recover(findings: _findings.Findings, settle_s: float) -> None:
    """Check that most requests are served once faults have ended."""
    await trio.sleep(settle_s)
    before = findings.statuses.copy()
    await trio.sleep(_CALM_S)
    now = findings.statuses - before
    if now['200'] < _RECOVERED_SHARE * max(now.total(), 1):
        findings.broken.append(f'recover: {dict(now)}')
