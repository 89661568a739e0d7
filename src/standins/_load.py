"""Open-loop load: requests at a rate, whatever the answers do."""

import dataclasses
import json
import random
import re
import time
from collections import Counter
from typing import Any, Final

import httpcore
import trio
from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 600_000_000
_DIGITS: Final = 3
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000
_PERCENTILES: Final = (50, 95, 99)
_MARKER: Final = re.compile(r'marker-\d+-\d+')
_OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request of the mix."""

    pipeline: str
    """Name of the pipeline."""

    team: str
    """Team that sends the requests."""

    text: str = ''
    """Text before the marker."""

    weight: float = 1.0
    """Share in the mix."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is sent where, and how fast."""

    targets: tuple[str, ...]
    """Addresses and ports of entries."""

    kinds: tuple[Kind, ...]
    """Mix of requests."""

    requests: int
    """Number of requests."""

    rate: float
    """Requests a second, on average."""

    seed: int
    """Seed of arrivals and mix."""

    patience_s: float = 30.0
    """Seconds after which a request without any answer counts as lost."""

    services: tuple[str, ...] = ()
    """Addresses and ports of plain services that count executions."""


class LoadRun:
    """Sends one plan's requests and counts what became of them.

    Each request carries a marker of its own; an answer without it, or with
    another one, was misdelivered.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._counts: Counter[str] = Counter()
        self._costs: Counter[str] = Counter()
        self._latency = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        self._pool = httpcore.AsyncConnectionPool(max_connections=2000)

    async def run(self) -> dict[str, Any]:
        """Send every request and return the figures."""
        weights = [kind.weight for kind in self._plan.kinds]
        due = trio.current_time()
        started = time.time()
        async with trio.open_nursery() as nursery:
            for number in range(self._plan.requests):
                due += self._rng.expovariate(self._plan.rate)
                kind = self._rng.choices(self._plan.kinds, weights)[0]
                await trio.sleep_until(due)
                nursery.start_soon(self._send, number, kind)
        figures = self._figures(time.time() - started)
        figures['doubled'] = await self._doubled()
        await self._pool.aclose()
        return figures

    async def _send(self, number: int, kind: Kind) -> None:
        marker = f'marker-{self._plan.seed}-{number}'
        fields = {'text': f'{kind.text} {marker}', 'subject': marker}
        body = json.dumps({'team': kind.team, 'input': fields})
        target = self._plan.targets[number % len(self._plan.targets)]
        begun = trio.current_time()
        response = None
        with trio.move_on_after(self._plan.patience_s):
            response = await self._post(target, kind.pipeline, body)
        elapsed_s = trio.current_time() - begun
        self._latency.record_value(int(elapsed_s * _US_PER_S))
        if response is None:
            self._counts['lost'] += 1
            return
        self._count(response, marker)

    async def _post(
        self, target: str, pipeline: str, body: str
    ) -> httpcore.Response | None:
        try:
            return await self._pool.request(
                'POST',
                f'http://{target}/v1/pipelines/{pipeline}/requests',
                content=body.encode(),
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None

    def _count(self, response: httpcore.Response, marker: str) -> None:
        plain = json.loads(response.content)
        self._counts[plain['outcome']] += 1
        for cost in plain.get('cost_by_stage', ()):
            self._costs[cost['stage']] += cost['cost']
        if response.status != _OK:
            return
        found = set(_MARKER.findall(json.dumps(plain['answer'])))
        if found != {marker}:
            self._counts['misdelivered'] += 1

    async def _doubled(self) -> int:
        executions: Counter[str] = Counter()
        for service in self._plan.services:
            response = await self._pool.request(
                'GET', f'http://{service}/v1/executions'
            )
            executions.update(json.loads(response.content))
        return sum(1 for count in executions.values() if count > 1)

    def _figures(self, elapsed_s: float) -> dict[str, Any]:
        counts = self._counts
        late = counts['Late']
        latency_ms = {
            f'p{percentile}_ms': round(
                self._latency.get_value_at_percentile(percentile) / _US_PER_MS,
                2,
            )
            for percentile in _PERCENTILES
        }
        return {
            'requests': self._plan.requests,
            'completed': counts['Complete'],
            'on_time': counts['Complete'],
            'late': late,
            'not_run': counts['NotRun'],
            'unknown': counts['Unknown'],
            'failed': counts['Failed'],
            'lost': counts['lost'],
            'misdelivered': counts['misdelivered'],
            'requests_per_s': round(self._plan.requests / elapsed_s, 1),
            **latency_ms,
            'cost_by_stage': {
                stage: round(cost, 3)
                for stage, cost in sorted(self._costs.items())
            },
        }
