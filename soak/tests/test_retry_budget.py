"""Repeats that real gateways send, while faults last and processes restart.

Retries of requests and pieces stay within the allowance of each service,
summed over all gateways, and most requests are served once a fault is over.
"""

import itertools
import json
import logging
import os
import pathlib
import random
from collections.abc import Awaitable, Callable

import pytest
import trio

from soak import _callers, _faults, _findings, _gateways, _proxy

_GATEWAYS = 5
_CALLERS = 40
_START_S = 30.0
_SECONDS = 14.0
_WORK_S = 0.06
_logger = logging.getLogger(__name__)
Fault = Callable[[_faults.World, pathlib.Path], Awaitable[None]]


def planner(folder: pathlib.Path, gateways: list[_gateways.Gateway]) -> str:
    """Return the gateway that most gateways named last as the planner."""
    named: list[str] = []
    for gateway in gateways:
        log = (folder / f'{gateway.name}.log').read_text(errors='replace')
        names = [
            json.loads(line)['planner']
            for line in log.splitlines()
            if '"planner"' in line and '322' in line
        ]
        named += names[-1:]
    return max(set(named), key=named.count)


async def kill_planners(world: _faults.World, folder: pathlib.Path) -> None:
    while True:
        name = planner(folder, world.gateways)
        next(one for one in world.gateways if one.name == name).kill()
        await trio.sleep(3)


async def pause_planners(world: _faults.World, folder: pathlib.Path) -> None:
    while True:
        name = planner(folder, world.gateways)
        await next(one for one in world.gateways if one.name == name).pause(1)
        await trio.sleep(1.5)


async def restart_gateways(world: _faults.World, folder: pathlib.Path) -> None:
    for gateway in itertools.cycle(world.gateways):
        gateway.kill()
        await trio.sleep(1)


def reject(service: str) -> Fault:
    async def fault(world: _faults.World, folder: pathlib.Path) -> None:
        for endpoint in world.endpoints:
            endpoint.rejects = endpoint.service == service
        await trio.sleep(_SECONDS / 2)
        for endpoint in world.endpoints:
            endpoint.rejects = False

    return fault


def reset(service: str) -> Fault:
    async def fault(world: _faults.World, folder: pathlib.Path) -> None:
        for _ in range(int(_SECONDS)):
            await trio.sleep(0.3)
            for endpoint in world.endpoints:
                if endpoint.service == service:
                    endpoint.proxy.set_mode(_proxy.Mode.reset)
                    endpoint.proxy.set_mode(_proxy.Mode.passing)

    return fault


async def crash_endpoints(world: _faults.World, folder: pathlib.Path) -> None:
    while True:
        await trio.sleep(1.5)
        await world.crash()


def together(*faults: Fault) -> Fault:
    async def fault(world: _faults.World, folder: pathlib.Path) -> None:
        async with trio.open_nursery() as nursery:
            for one in faults:
                nursery.start_soon(one, world, folder)

    return fault


async def play(fault: Fault, folder: pathlib.Path) -> _findings.Findings:
    """Run gateways under the load of many callers and a fault."""
    findings = _findings.Findings()
    async with trio.open_nursery() as nursery:
        world = _faults.World(findings, random.Random(1), nursery)
        await world.start()
        for endpoint in world.endpoints:
            endpoint.work_s = _WORK_S
        for index in range(_GATEWAYS):
            world.gateways.append(
                _gateways.Gateway(f'g{index}', folder, world.store.server.port)
            )
        for gateway in world.gateways:
            gateway.configure(tuple(one.peers for one in world.gateways[:3]))
            nursery.start_soon(gateway.store_way.serve)
            nursery.start_soon(gateway.serve)
        for number in range(_CALLERS):
            caller = _callers.Caller(
                number, world.gateways, findings, random.Random(number)
            )
            nursery.start_soon(caller.serve, 1)
        with trio.fail_after(_START_S):
            while findings.statuses['200'] < _CALLERS:
                await trio.sleep(0.1)
        await trio.sleep(5)
        with trio.move_on_after(_SECONDS):
            await fault(world, folder)
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    return findings


FAULTS = {
    'planners killed': kill_planners,
    'planners paused': pause_planners,
    'gateways restarted': restart_gateways,
    'pieces rejected': reject('prepare'),
    'streams rejected': reject('model'),
    'requests rejected': reject('desk'),
    'pieces reset': reset('prepare'),
    'requests reset': reset('desk'),
    'streams reset': reset('model'),
    'endpoints crash, gateways restart': together(
        crash_endpoints, restart_gateways
    ),
    'requests rejected, gateways restart': together(
        reject('desk'), restart_gateways
    ),
    'streams rejected, gateways restart': together(
        reject('model'), restart_gateways
    ),
}


# ``LENTILSPOOL_DEEP_SEED`` plays all of them; each takes some 20 s.
PLAYED = (
    tuple(FAULTS)
    if os.environ.get('LENTILSPOOL_DEEP_SEED')
    else ('planners killed', 'pieces rejected', 'streams rejected')
)


class TestRetryBudget:
    @pytest.mark.parametrize('name', PLAYED)
    def test_repeats_stay_within_the_allowance(
        self, name: str, tmp_path: pathlib.Path
    ) -> None:
        findings = trio.run(play, FAULTS[name], tmp_path)
        worst = findings.budget_rule.worst()
        _logger.info('%s: %s %s', name, dict(findings.statuses), worst)
        assert all(one.excess <= 0 for one in worst)
        assert not findings.broken
