"""Requests whose prompts have one part that ends each engine.

Each of them is new, and each comes to any gateway. Beside them come sound ones
of the same caller with the same other parts, which must still be served.
"""

import dataclasses
import itertools
import pathlib
import random
from typing import Final

import pytest
import trio

from soak import _callers, _faults, _findings, _gateways, _published

_GATEWAYS: Final = 3
_START_S: Final = 15.0
_SECONDS: Final = 8.0
# A slow machine takes longer to send enough sound requests.
_MAX_LONGER_S: Final = 15.0
_MIN_SENT: Final = 20
_REPLACED_S: Final = 2.5
_FATAL: Final = 'fatal'
_SHARED: Final = 'shared'
_RARE: Final = 'rare'
_FATAL_CALLERS: Final = 2
_SOUND_CALLERS: Final = 5
_SOUND_PAUSE_S: Final = 0.1
# Ends of engines by which the part must be known.
_KNOWN_ENDS: Final = 5
_MAX_LATE_RUNS: Final = 3
# Less than the window of 3 s in which gateways must agree.
_AGREE_S: Final = 1.0
_MIN_SHARE: Final = 0.5
# Sound requests in a row that show that all gateways have started.
_LAST_BEFORE: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Prompts of a day, and what happens beside them."""

    fatal: tuple[str, ...]
    """Parts of fatal prompts."""

    sound: tuple[str, ...] = (_SHARED,)
    """Parts of sound prompts, before one of their own."""

    route: str = 'draft'
    """Route of all requests."""

    pause_s: float = 0.15
    """Mean pause between two fatal requests of a caller."""

    replaced: bool = False
    """Whether one gateway is replaced."""


def long_prompts(place: int, parts: int) -> Case:
    """Return a case of many parts, with the fatal one at a place."""
    shared = [f'{_SHARED}{number}' for number in range(1, parts)]
    fatal = list(shared)
    fatal.insert(place - 1, _FATAL)
    return Case(tuple(fatal), tuple(shared))


CASES: Final = {
    'middle': Case((_SHARED, _FATAL)),
    'first': Case((_FATAL, _SHARED)),
    'place 18 of 20': long_prompts(18, 20),
    'place 40 of 40': long_prompts(40, 40),
    'hundreds of parts': long_prompts(250, 300),
    'companion': Case((_SHARED, _FATAL, _RARE), (_SHARED, _RARE)),
    'replaced': Case((_SHARED, _FATAL), replaced=True),
    'resumable': Case((_SHARED, _FATAL), route='resume'),
    'many': Case((_SHARED, _FATAL), pause_s=0.03),
}


@dataclasses.dataclass(slots=True)
class Day:
    """What was seen of sound requests."""

    findings: _findings.Findings
    """What callers and endpoints saw."""

    before: list[bool] = dataclasses.field(default_factory=list)
    """Whether each sound request before the fatal ones has begun."""

    sent: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    """When each later one was sent, and whether it has begun."""

    @property
    def share_before(self) -> float:
        """Share that had begun of the last ones before the fatal requests."""
        last = self.before[-_LAST_BEFORE:]
        return sum(last) / len(last)

    def share_since(self, at: float) -> float:
        """Return the share that has begun of those sent since a time."""
        begun = self.begun_since(at)
        assert len(begun) >= _MIN_SENT
        return sum(begun) / len(begun)

    def begun_since(self, at: float) -> list[bool]:
        """Return whether each one that was sent since a time has begun."""
        return [begun for sent_at, begun in self.sent if sent_at >= at]


class SingleCaller(_callers.Caller):
    """A caller that opens a connection for each request."""

    async def ask_once(self, asked: _findings.Asked) -> bool:
        """Ask without a retry; return whether the stream has begun."""
        self._progress = _callers.Progress()
        await self._ask(asked)
        await self._close()
        return self._progress.noted > 0


class Load:
    """Sends fatal and sound requests."""

    def __init__(self, case: Case, day: Day, world: _faults.World) -> None:
        self._case = case
        self._day = day
        self._world = world
        self._numbers = itertools.count(1)
        self.began = False

    async def send_sound(self, number: int) -> None:
        """Send sound requests until cancelled."""
        caller = self._caller(number)
        rng = random.Random(number)
        while True:
            await trio.sleep(rng.expovariate(1 / _SOUND_PAUSE_S))
            early = not self.began
            sent_at = trio.current_time()
            own = f'own{next(self._numbers)}'
            begun = await caller.ask_once(self._new((*self._case.sound, own)))
            if early:
                self._day.before.append(begun)
            else:
                self._day.sent.append((sent_at, begun))

    async def send_fatal(self, number: int) -> None:
        """Send fatal requests, no two alike, until cancelled."""
        caller = self._caller(number)
        rng = random.Random(number)
        while True:
            await trio.sleep(rng.expovariate(1 / self._case.pause_s))
            await caller.ask_once(self._new(self._case.fatal))

    def _caller(self, number: int) -> SingleCaller:
        return SingleCaller(
            number,
            self._world.gateways,
            self._day.findings,
            random.Random(number),
        )

    def _new(self, parts: tuple[str, ...]) -> _findings.Asked:
        name = f'r{next(self._numbers)}'
        route = self._case.route
        return _findings.Asked(
            name,
            _published.TEAMS[0],
            f'/{route}/{name}'.encode(),
            f'body of {name}'.encode(),
            'model',
            route == 'resume',
            (1, 2),
            parts=parts,
        )


def has_enough(day: Day) -> bool:
    """Whether enough sound requests were sent after the last end."""
    last_at = day.findings.fatal_parts.last_end_at
    return len(day.begun_since(last_at + _AGREE_S)) >= _MIN_SENT


async def run_day(case: Case, folder: pathlib.Path) -> Day:
    """Run gateways under fatal and sound requests."""
    day = Day(_findings.Findings())
    day.findings.fatal_parts.names.add(_FATAL)
    async with trio.open_nursery() as nursery:
        world = _faults.World(day.findings, random.Random(1), nursery)
        await world.start()
        for index in range(_GATEWAYS):
            world.gateways.append(
                _gateways.Gateway(f'g{index}', folder, world.store.server.port)
            )
        for gateway in world.gateways:
            gateway.configure(tuple(one.peers for one in world.gateways))
            nursery.start_soon(gateway.store_way.serve)
            nursery.start_soon(gateway.serve)
        load = Load(case, day, world)
        with trio.fail_after(_START_S):
            # Gateways refuse connections before they have started.
            await trio.sleep(1)
            for number in range(_SOUND_CALLERS):
                nursery.start_soon(load.send_sound, number)
            while sum(day.before[-_LAST_BEFORE:]) < _LAST_BEFORE:
                await trio.sleep(0.1)
        load.began = True
        for number in range(_FATAL_CALLERS):
            nursery.start_soon(load.send_fatal, _SOUND_CALLERS + number)
        if case.replaced:
            await trio.sleep(_REPLACED_S)
            world.gateways[0].kill()
            await trio.sleep(_SECONDS - _REPLACED_S)
        else:
            await trio.sleep(_SECONDS)
        with trio.move_on_after(_MAX_LONGER_S):
            while not has_enough(day):
                await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return day


class TestFatalParts:
    @pytest.mark.parametrize('name', CASES)
    def test_few_requests_with_a_fatal_part_reach_engines(
        self, name: str, tmp_path: pathlib.Path
    ) -> None:
        day = trio.run(run_day, CASES[name], tmp_path)
        fatal_parts = day.findings.fatal_parts
        assert fatal_parts.ended_at
        known_at = fatal_parts.end_at(_KNOWN_ENDS) + _AGREE_S
        assert fatal_parts.runs_after(known_at) <= _MAX_LATE_RUNS
        # If fewer have ended, no more did.
        known_at = min(known_at, fatal_parts.last_end_at + _AGREE_S)
        assert day.share_since(known_at) >= _MIN_SHARE * day.share_before
        assert not day.findings.broken
