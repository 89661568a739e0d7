"""Rolling replacement of every process once, under load, over real sockets.

An entry, then each sidecar, is stopped as planned and replaced by a new
process, while requests arrive at a steady rate through a balancer that
looks at ``/readyz`` twice a second. ``cut_off`` counts requests without an
answer, or with one that ended early; ``refused`` those refused although
another host could have run them. The baseline arm kills the processes.

Real clocks are used, so figures other than the counts differ between runs.
"""

import json
import logging
import random
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import httpcore
import trio

from standins import _fleet

_ENTRIES: Final = 2
_ENDPOINTS: Final = 2
_LOOK_S: Final = 0.5
_SETTLE_S: Final = 1.0
_OK: Final = 200
_DOCUMENT: Final = """{
  "pipelines": {
    "lookup": {"stages": [
      {"name": "encode", "pool": "stages"},
      {"name": "generate", "pool": "model", "max_output_tokens": 10}
    ]},
    "deposit": {"stages": [
      {"name": "deposit", "pool": "bookings", "repeatable": false}
    ]}
  },
  "pools": {
    "stages": {"kind": "stage"},
    "model": {"kind": "engine"},
    "bookings": {"kind": "service"}
  },
  "teams": {"t": {}}
}"""


def run(
    *, seed: int = 1, rate: float = 20, arms: str = 'lentilspool,kill'
) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm."""
    logging.disable(logging.INFO)
    names = arms.split(',') if isinstance(arms, str) else arms
    for arm in names:
        figures = trio.run(_measure, seed, rate, arm == 'lentilspool')
        yield {'arm': arm, 'seed': seed, **figures}


async def _measure(seed: int, rate: float, planned: bool) -> dict[str, Any]:
    async with trio.open_nursery() as nursery:
        document = json.loads(_DOCUMENT)
        plan = _fleet.Plan(
            document,
            dict.fromkeys(document['pools'], _ENDPOINTS),
            entries=_ENTRIES,
        )
        fleet = _fleet.Fleet(plan, nursery)
        await fleet.start()
        load = _Load(fleet, random.Random(seed), rate)
        async with trio.open_nursery() as senders:
            senders.start_soon(load.look)
            senders.start_soon(load.send_all, senders)
            await _replace_all(fleet, planned)
            load.stop()
        figures = load.figures()
        nursery.cancel_scope.cancel()
    return figures


async def _replace_all(fleet: _fleet.Fleet, planned: bool) -> None:
    await trio.sleep(_SETTLE_S)
    for index, name in enumerate(tuple(fleet.entries)):
        daemon, _port = fleet.entries[name]
        await _end(daemon, planned)
        await fleet.add_entry(name, index)
        await fleet.wait_ready()
        await trio.sleep(_SETTLE_S)
    for index, place in enumerate(tuple(fleet.places.values())):
        if place.sidecar is not None:
            await _end(place.sidecar, planned)
        await fleet.start_sidecar(place, index)
        await trio.sleep(_SETTLE_S)


async def _end(daemon: Any, planned: bool) -> None:
    if planned:
        daemon.request_stop()
    else:
        daemon.kill()
    await daemon.ended.wait()


class _Load:
    """Sends requests through a balancer and counts their outcomes."""

    def __init__(
        self, fleet: _fleet.Fleet, rng: random.Random, rate: float
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._rate = rate
        self._live = list(fleet.entries)
        self._stopped = False
        self._sent = 0
        self._counts: Counter[str] = Counter()

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    async def look(self) -> None:
        """Ask every entry from time to time whether it is ready."""
        while not self._stopped:
            live = []
            for name in tuple(self._fleet.entries):
                if await self._is_ready(name):
                    live.append(name)
            self._live = live or self._live
            await trio.sleep(_LOOK_S)

    async def send_all(self, nursery: trio.Nursery) -> None:
        """Send requests at the rate until stopped."""
        while not self._stopped:
            await trio.sleep(self._rng.expovariate(self._rate))
            self._sent += 1
            entry = self._rng.choice(self._live)
            pipeline = self._rng.choice(('lookup', 'lookup', 'deposit'))
            nursery.start_soon(self._send, entry, pipeline, self._sent)

    def figures(self) -> dict[str, Any]:
        """Return the counts, and deposits that ran more than once."""
        executions: Counter[str] = Counter()
        for place in self._fleet.places.values():
            executions.update(getattr(place.app, 'executions', {}))
        doubled = sum(1 for runs in executions.values() if runs > 1)
        return {
            'sent': self._sent,
            'complete': self._counts['Complete'],
            'cut_off': self._counts['cut_off'] + self._counts['Failed'],
            'refused': self._counts['NotRun'],
            'unknown': self._counts['Unknown'],
            'doubled': doubled,
        }

    async def _send(self, entry: str, pipeline: str, number: int) -> None:
        marker = f'request-{number}'
        try:
            reply = await self._fleet.post(
                entry,
                f'/v1/pipelines/{pipeline}/requests',
                {'team': 't', 'input': {'text': marker, 'subject': marker}},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self._counts['cut_off'] += 1
            return
        whole = reply.status != _OK or marker in reply.body.decode()
        outcome = reply.plain['outcome'] if whole else 'cut_off'
        self._counts[outcome] += 1

    async def _is_ready(self, name: str) -> bool:
        try:
            return (await self._fleet.get(name, '/readyz')).status == _OK
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False
