"""Orders to engines of one pool through delays, pauses and replacements.

Half of the engines check fencing numbers. Orders are delayed, lost and
doubled on the way to the engine; sidecars are paused, replaced (their late
orders still arrive) and engines restart. ``converged`` is the share of
engines that hold the newest state at the end; ``weight_limit_exceeded``
counts loads beyond the weight store's token bucket.
"""

import dataclasses
import functools
import logging
import random
from collections.abc import Callable, Iterator
from typing import Final

from bench import _events
from lentilspool import config, orders

_Answer = Callable[[orders.EngineAnswer], None]

_POOL: Final = config.PoolDocument(kind='engine')
_CHANGES: Final = 6
_CHANGE_EVERY_S: Final = 60.0
_QUIET_S: Final = 240.0
_LOAD_S: Final = 4.0
_LATE_S: Final = 20.0
_STORE_PER_S: Final = 1.0
_STORE_BURST: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Arm:
    name: str
    fenced: bool = True
    reads_back: bool = True
    slots: bool = True


_ARMS: Final = (
    _Arm('lentilspool'),
    _Arm('no_fencing', fenced=False, reads_back=False),
    _Arm('no_read_back', reads_back=False),
    _Arm('no_load_slots', slots=False),
)


class _Store:
    """The weight store: a token bucket that counts what exceeds it."""

    def __init__(self) -> None:
        self._tokens = _STORE_BURST
        self._filled_at = 0.0
        self.loads = 0
        self.exceeded = 0

    def fetch(self, now: float) -> None:
        filled = self._tokens + (now - self._filled_at) * _STORE_PER_S
        self._tokens = min(filled, _STORE_BURST)
        self._filled_at = now
        self.loads += 1
        if self._tokens < 1:
            self.exceeded += 1
        else:
            self._tokens -= 1


class _Engine:
    """An engine, which may check numbers, and loads models for a while."""

    def __init__(self, world: '_World', checks: bool) -> None:
        self.state = orders.EngineState()
        self.held = orders.FencingNumber(0, 0, 0)
        self.checks = checks
        self.loading: orders.EngineState | None = None
        self._world = world
        self._loads = 0

    def restart(self) -> None:
        self.state = orders.EngineState()
        self.held = orders.FencingNumber(0, 0, 0)
        self.loading = None
        self._loads += 1

    def take(self, order: orders.Order, answer: _Answer) -> None:
        """Carry an order out and answer; a later order replaces it."""
        number = order.fencing
        if self.checks and number <= self.held:
            answer(orders.RefusedOld(number, self.held))
            return
        self.held = max(number, self.held)
        self._loads += 1
        self.loading = None
        if order.target == self.state:
            answer(orders.Applied(number))
            return
        self._world.store.fetch(self._world.queue.now)
        self.loading = order.target
        load = self._loads
        self._world.queue.after(
            _LOAD_S, lambda: self._loaded(load, order, answer)
        )

    def _loaded(self, load: int, order: orders.Order, answer: _Answer) -> None:
        if load != self._loads:
            answer(orders.NotApplied(order.fencing, 'replaced'))
            return
        self.state = order.target
        self.loading = None
        answer(orders.Applied(order.fencing))


class _Sidecar:
    """A sidecar's life: orders to its engine, progress to its peers."""

    def __init__(
        self, name: str, incarnation: int, engine: _Engine, world: '_World'
    ) -> None:
        self.name = name
        self.alive = True
        self._engine = engine
        self._world = world
        self._skew_s = world.rng.uniform(-0.1, 0.1)
        self._paused_until = 0.0
        arm = world.arm
        self._fencing: config.FencingMode = (
            'checked' if engine.checks or not arm.reads_back else 'ignored'
        )
        period_s = 5.0 if arm.reads_back else 10.0**9
        schedule = orders.LoadSchedule(
            name, orders.StoreLimits(loads_per_s=_STORE_PER_S)
        )
        schedule.set_sidecars(world.names if arm.slots else (name,))
        self.orders = orders.EndpointOrders(
            orders.OrderQueue(
                incarnation,
                self._fencing,
                orders.OrderLimits(
                    unchecked_read_interval_s=period_s,
                    checked_read_interval_s=2 * period_s,
                ),
            ),
            orders.Rollout(name, orders.RolloutLimits()),
            schedule,
        )
        self.orders.rollout.set_pool(world.names)
        self.adopt(world.version)

    def adopt(self, version: int) -> None:
        pool = dataclasses.replace(_POOL, model='m', model_version=str(version))
        if version and self.alive:
            self.orders.update_target(
                version, pool, config.PolicyDocument(), self._world.queue.now
            )

    def pause(self, seconds: float) -> None:
        self._paused_until = self._world.queue.now + seconds

    def tick(self) -> None:
        now = self._world.queue.now
        if not self.alive or now < self._paused_until:
            return
        if self._paused_until:
            self._paused_until = 0
            self.orders.queue.discard_state()
        step = self.orders.step(now, now + self._skew_s, in_flight=0)
        if isinstance(step, orders.SendOrder):
            self._world.to_engine(
                functools.partial(self._engine.take, step.order, self._answered)
            )
        elif isinstance(step, orders.ReadState):
            self._world.soon(functools.partial(self._read, step.number))

    def tell(self) -> None:
        now = self._world.queue.now
        if not self.alive or now < self._paused_until:
            return
        progress = self.orders.progress(self.name)
        for peer in self._world.sidecars.values():
            self._world.to_peer(functools.partial(peer.hear, progress))

    def hear(self, progress: orders.RolloutProgress) -> None:
        now = self._world.queue.now
        if self.alive and now >= self._paused_until:
            self.orders.rollout.record_progress(progress, now)

    def _answered(self, answer: orders.EngineAnswer) -> None:
        self._world.soon(functools.partial(self._take_answer, answer))

    def _take_answer(self, answer: orders.EngineAnswer) -> None:
        if self.alive:
            self.orders.queue.record_answer(answer, self._world.queue.now)

    def _read(self, number: int) -> None:
        held = self._engine.held if self._engine.checks else None
        reported = orders.ReportedState(number, self._engine.state, held)
        if self.alive:
            self.orders.queue.record_state(reported, self._world.queue.now)


class _World:
    """One pool, its engines, and what goes wrong."""

    def __init__(self, arm: _Arm, seed: int, endpoints: int) -> None:
        self.arm = arm
        self.rng = random.Random(seed)
        self.queue = _events.EventQueue()
        self.store = _Store()
        self.version = 0
        self.names = tuple(f's{number:02}' for number in range(endpoints))
        self.engines = {
            name: _Engine(self, checks=arm.fenced and index % 2 == 0)
            for index, name in enumerate(self.names)
        }
        self.sidecars: dict[str, _Sidecar] = {}
        self.capacity_min = 1.0
        for name in self.names:
            self._start(name)

    def to_engine(self, action: Callable[[], None]) -> None:
        """Carry an order: at times late, doubled, or lost."""
        for _ in range(1 + self._happens(20)):
            delay_s = self.rng.uniform(0, _LATE_S if self._happens(15) else 0.1)
            if not self._happens(5):
                self.queue.after(delay_s, action)

    def to_peer(self, action: Callable[[], None]) -> None:
        if not self._happens(10):
            self.soon(action)

    def soon(self, action: Callable[[], None]) -> None:
        self.queue.after(self.rng.uniform(0.001, 0.05), action)

    def run(self) -> None:
        for _ in range(_CHANGES):
            self._change()
            until_s = self.queue.now + _CHANGE_EVERY_S
            self.queue.run(until_s)
        self.queue.run(self.queue.now + _QUIET_S)

    def converged(self) -> float:
        newest = str(self.version)
        right = sum(
            engine.state.model_version == newest
            for engine in self.engines.values()
        )
        return right / len(self.engines)

    def _happens(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def _start(self, name: str) -> None:
        """Start a sidecar; a former one on the host is gone."""
        former = self.sidecars.get(name)
        if former is not None:
            former.alive = False
        incarnation = 1 + int(self.queue.now * 1000)
        sidecar = _Sidecar(name, incarnation, self.engines[name], self)
        self.sidecars[name] = sidecar
        self.queue.every(self.rng.uniform(0.15, 0.25), sidecar.tick)
        self.queue.every(self.rng.uniform(0.9, 1.1), sidecar.tell)

    def _change(self) -> None:
        """Publish a version; trouble follows while it is rolled out."""
        self.version += 1
        for sidecar in self.sidecars.values():
            self.queue.after(
                self.rng.uniform(0, 6),
                functools.partial(sidecar.adopt, self.version),
            )
        for name in self.rng.sample(self.names, 3):
            when_s = self.rng.uniform(5, 50)
            self.queue.after(when_s, functools.partial(self._start, name))
        for name in self.rng.sample(self.names, 2):
            paused = self.sidecars[name]
            self.queue.after(
                self.rng.uniform(0, 40),
                functools.partial(paused.pause, self.rng.uniform(1, 30)),
            )
        restarted = self.engines[self.rng.choice(self.names)]
        self.queue.after(self.rng.uniform(0, 50), restarted.restart)
        for second in range(int(_CHANGE_EVERY_S)):
            self.queue.after(second, self._sample)

    def _sample(self) -> None:
        """Record the share of engines that serve."""
        serving = sum(
            engine.loading is None for engine in self.engines.values()
        )
        share = serving / len(self.engines)
        self.capacity_min = min(self.capacity_min, share)


def run(*, seed: int = 1, endpoints: int = 24) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm."""
    logging.getLogger('lentilspool').addHandler(logging.NullHandler())
    for arm in _ARMS:
        world = _World(arm, seed, endpoints)
        world.run()
        yield {
            'arm': arm.name,
            'seed': seed,
            'converged': round(world.converged(), 3),
            'weight_limit_exceeded': world.store.exceeded,
            'loads': world.store.loads,
            'capacity_min': round(world.capacity_min, 3),
        }
