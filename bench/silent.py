"""Connections that go silent for good while new ones work.

An entry keeps a connection to each endpoint; every so often one swallows
all that is written to it. The figures count the time from the silence to
the last request that is written to the connection, the requests whose
answer was lost, and whether the endpoint was ever judged as failing. At
the end one endpoint dies, and every connection to it stays silent. The
bound knows of a silence at once: zero seconds.
"""

import dataclasses
import itertools
import math
import random
import types
from collections.abc import Iterator

from bench import _events
from lentilspool import retries

_ARMS = types.MappingProxyType(
    {
        'lentilspool': 0.0,
        'call_timeout': 5.0,
        'keep_alive': 15.0,
    }
)
_TICK_S = 0.1
_ROUND_TRIP_S = 0.001
_DEATH_S = 30.0


@dataclasses.dataclass(slots=True)
class _Connection:
    number: int
    silent_at: float = math.inf
    last_written: float = 0.0
    last_heard: float = 0.0


class _Link:
    """One endpoint as one entry reaches it."""

    def __init__(self, arm: str, queue: _events.EventQueue) -> None:
        self.health = retries.ConnectionHealth()
        self.dead = False
        self.judged_at = math.inf
        self.false_judgements = 0
        self.lost = 0
        self.avoided_s: list[float] = []
        self._limit_s = _ARMS[arm]
        self._queue = queue
        self._made = 0
        self._known: dict[int, _Connection] = {}
        self._current: _Connection | None = None

    def call(self, service_s: float) -> None:
        connection = self._pick()
        now = self._queue.now
        connection.last_written = now
        self.health.sent(connection.number, now)
        self._queue.after(service_s, lambda: self._answer(connection))

    def silence(self) -> None:
        """Make the connection in use silent for good."""
        if self._current and math.isinf(self._current.silent_at):
            self._current.silent_at = self._queue.now

    def check(self) -> None:
        now = self._queue.now
        if self._limit_s:
            return
        for number in self.health.connections_to_probe(now):
            self._probe(self._known[number])
        if self.health.check(now).endpoint_silent:
            if self.dead:
                self.judged_at = min(self.judged_at, now)
            else:
                self.false_judgements += 1

    def finish(self) -> None:
        """Collect the times of the silent connections."""
        self.avoided_s = [
            max(known.last_written - known.silent_at, 0)
            for known in self._known.values()
            if known.silent_at < self._queue.now
        ]

    def _pick(self) -> _Connection:
        now = self._queue.now
        current = self._current
        if self._limit_s:
            if current and now - current.last_heard < self._limit_s:
                return current
            return self._connect()
        choice = self.health.choose(now)
        if isinstance(choice, retries.UseConnection):
            return self._known[choice.connection]
        if isinstance(choice, retries.Probe):
            self._probe(self._known[choice.connection])
        return self._connect()

    def _connect(self) -> _Connection:
        self._made += 1
        self._current = _Connection(self._made, last_heard=self._queue.now)
        self._known[self._made] = self._current
        self.health.opened(self._made, self._queue.now)
        self._probe(self._current)
        return self._current

    def _probe(self, connection: _Connection) -> None:
        self.health.probed(connection.number, self._queue.now)
        self._queue.after(_ROUND_TRIP_S, lambda: self._echo(connection))

    def _echo(self, connection: _Connection) -> None:
        if not self.dead and connection.silent_at > self._queue.now:
            self.health.progressed(connection.number, self._queue.now)

    def _answer(self, connection: _Connection) -> None:
        if self.dead or connection.silent_at <= self._queue.now:
            self.lost += 1
            return
        connection.last_heard = self._queue.now
        self.health.answered(connection.number, self._queue.now)


def _simulate(
    arm: str, seed: int, endpoints: int, rate: float, duration_s: float
) -> dict[str, object]:
    rng = random.Random(seed)
    queue = _events.EventQueue()
    links = [_Link(arm, queue) for _ in range(endpoints)]
    calls = 0

    def arrive() -> None:
        nonlocal calls
        calls += 1
        rng.choice(links).call(rng.expovariate(1 / 0.2))
        queue.after(rng.expovariate(rate * endpoints), arrive)

    def silence() -> None:
        rng.choice(links).silence()
        queue.after(rng.expovariate(1.0), silence)

    def check() -> None:
        for checked in links:
            checked.check()

    queue.after(0, arrive)
    queue.after(0, silence)
    queue.every(_TICK_S, check)
    queue.run(duration_s)
    lost = _finish(links)
    links[0].dead = True
    queue.run(duration_s + _DEATH_S)
    judged_s = links[0].judged_at - duration_s
    return {
        **_times(links),
        'lost_share': round(lost / calls, 5),
        'dead_endpoint_seconds': (
            None if math.isinf(judged_s) else round(judged_s, 4)
        ),
    }


def _finish(links: list[_Link]) -> int:
    for link in links:
        link.finish()
    return sum(ended.lost for ended in links)


def _times(links: list[_Link]) -> dict[str, object]:
    avoided_s = sorted(
        itertools.chain.from_iterable(link.avoided_s for link in links)
    )
    rank = min(int(len(avoided_s) * 0.99), len(avoided_s) - 1)
    return {
        'silences': len(avoided_s),
        'p99_seconds': round(avoided_s[rank], 4),
        'max_seconds': round(avoided_s[-1], 4),
        'false_judgements': sum(link.false_judgements for link in links),
    }


def run(
    *,
    seed: int = 1,
    endpoints: int = 8,
    rate: float = 10.0,
    duration: float = 300.0,
) -> Iterator[dict[str, object]]:
    """Yield each arm; ``rate`` is in calls a second and endpoint."""
    for arm in _ARMS:
        figures = _simulate(arm, seed, endpoints, rate, duration)
        yield {'arm': arm, 'seed': seed, **figures}
