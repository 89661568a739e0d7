"""Requests that end each endpoint that runs them, sent again by their caller.

They must not end one endpoint after another, whether the request itself, its
stream or its pieces do so, and whichever gateways receive or plan it.
"""

import pathlib
import random

import pytest
import trio

from soak import _callers, _faults, _findings, _gateways

_GATEWAYS = 3
_START_S = 15.0
_SECONDS = 6.0


async def repeat_harmful(
    harmful: _callers.Harmful, folder: pathlib.Path
) -> _findings.Findings:
    """Run gateways under a harmful request and a little other load."""
    findings = _findings.Findings()
    async with trio.open_nursery() as nursery:
        world = _faults.World(findings, random.Random(1), nursery)
        await world.start()
        for index in range(_GATEWAYS):
            world.gateways.append(
                _gateways.Gateway(f'g{index}', folder, world.store.server.port)
            )
        for gateway in world.gateways:
            gateway.configure(tuple(one.peers for one in world.gateways))
            nursery.start_soon(gateway.store_way.serve)
            nursery.start_soon(gateway.serve)
        for number in range(3):
            caller = _callers.Caller(
                number, world.gateways, findings, random.Random(number)
            )
            nursery.start_soon(caller.serve, 0.1)
        with trio.fail_after(_START_S):
            while findings.statuses['200'] < _GATEWAYS * 2:
                await trio.sleep(0.1)
        caller = _callers.Caller(
            _GATEWAYS, world.gateways, findings, random.Random(_GATEWAYS)
        )
        with trio.move_on_after(_SECONDS):
            await caller.repeat(1, harmful, 0.1)
        nursery.cancel_scope.cancel()
    return findings


class TestFatalRequests:
    @pytest.mark.parametrize(
        'harmful',
        _callers.HARMFUL,
        ids=lambda harmful: f'{harmful[0]}-{harmful[-1].value}',
    )
    def test_request_reaches_no_endpoint_after_three_deaths(
        self, harmful: _callers.Harmful, tmp_path: pathlib.Path
    ) -> None:
        findings = trio.run(repeat_harmful, harmful, tmp_path)
        assert findings.deaths >= 3
        assert not findings.broken
