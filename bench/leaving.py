"""Time from a sidecar's leaving until no entry sends it new work.

Entries and sidecars hold leases; the host list lags, heartbeats and
notices are lost, and some entries are paused. Each round is a fleet of its
own in which one sidecar leaves. ``seconds_max`` is the latest moment at
which an entry would still have chosen the leaving sidecar; ``cut_off``
counts calls that were at it, or on the way to it, when it ended.
"""

import dataclasses
import functools
import logging
import random
from collections.abc import Callable, Iterator
from typing import Final

from bench import _events
from lentilspool import membership

_POOL: Final = 'p'
_LEAVES_AT: Final = 8.0
_GRACE_S: Final = 10.0
_LIST_PERIOD_S: Final = 2.0
_TICK_S: Final = 0.1
_ARRIVAL_S: Final = 0.1
_SERVICE_S: Final = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class _Arm:
    name: str
    notices: int
    refuses: bool
    leases: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _Scale:
    entries: int
    sidecars: int
    loss: float
    lag_s: float


_MANY: Final = 1000000
_ARMS: Final = (
    _Arm('lentilspool', notices=_MANY, refuses=True),
    _Arm('notice_without_refusal', notices=_MANY, refuses=False),
    _Arm('refusal_only', notices=0, refuses=True),
    _Arm('one_message', notices=1, refuses=False),
    _Arm('host_list_only', notices=0, refuses=False, leases=False),
)


class _Entry:
    """An entry: chooses a sidecar for each call, at times paused."""

    def __init__(self, name: str, world: '_World') -> None:
        own = membership.ProcessLocation(name, 'z1')
        self.view = membership.Membership(own, 0, membership.MembershipLimits())
        self.name = name
        self._world = world
        self._awake = True
        self._inbox: list[Callable[[], None]] = []

    def pause(self, seconds: float) -> None:
        self._awake = False
        self._world.queue.after(seconds, self._wake)

    def deliver(self, action: Callable[[], None]) -> None:
        if self._awake:
            action()
        else:
            self._inbox.append(action)

    def hear(self, heartbeat: membership.Heartbeat) -> None:
        now = self._world.queue.now
        self.view.receive(heartbeat, now)
        if heartbeat.leaving:
            sidecar = self._world.sidecars[heartbeat.process]
            self._world.send(lambda: sidecar.acknowledged(self.name))

    def work(self) -> None:
        if not self._awake:
            return
        now = self._world.queue.now
        self.view.run_checks(now)
        names = self._world.choices(self.view, now)
        if self._world.leaver in names:
            self._world.still_chosen_at = now
        if names:
            sidecar = self._world.sidecars[self._world.rng.choice(names)]
            sidecar.on_way += 1
            self._world.carry(lambda: sidecar.call(self))

    def _wake(self) -> None:
        """Act on what was believed, before reading what came meanwhile."""
        self._awake = True
        self.work()
        for action in self._inbox:
            action()
        self._inbox.clear()


class _Sidecar:
    """A sidecar: heartbeats, calls, and at the end a notice of leaving."""

    def __init__(self, name: str, world: '_World') -> None:
        template = membership.Heartbeat(
            process=name,
            incarnation=1,
            sequence=0,
            zone='z1',
            pool=_POOL,
            address='127.0.0.1',
            port=1,
        )
        self._beat = membership.HeartbeatScheduler(
            template, membership.HeartbeatLimits()
        )
        for entry in world.entries:
            self._beat.add_peer(entry.name)
        self._world = world
        self._notice: membership.LeavingNotice | None = None
        self._left_at = 0.0
        self._sent: dict[str, int] = {}
        self._in_flight = 0
        self.on_way = 0
        self.stopped = False

    def leave(self) -> None:
        now = self._world.queue.now
        self._left_at = now
        self._notice = membership.LeavingNotice(
            self._beat.peers, now, membership.NoticeLimits()
        )

    def acknowledged(self, entry: str) -> None:
        if self._notice is not None:
            self._notice.acknowledge(entry)

    def tick(self) -> None:
        """Send what is due; end when nothing can be cut off any more."""
        if self.stopped:
            return
        now = self._world.queue.now
        leaving = self._notice is not None
        due = self._notice.due(now) if self._notice else self._beat.due(now)
        for name in due:
            self._sent[name] = self._sent.get(name, 0) + 1
            if not leaving or self._sent[name] <= self._world.arm.notices:
                self._send_heartbeat(name, leaving)
        if self._notice is not None and self._may_stop(self._notice, now):
            self.stopped = True
            self._world.cut_off += self._in_flight + self.on_way

    def call(self, entry: _Entry) -> None:
        """Take a call or refuse it; an ended process does neither."""
        self.on_way -= 1
        if self.stopped:
            return
        if self._notice is not None and self._world.arm.refuses:
            name = self._world.leaver
            self._world.carry(
                lambda: entry.deliver(
                    lambda: entry.view.record_draining_refusal(name, 1)
                )
            )
        else:
            self._in_flight += 1
            service_s = self._world.rng.expovariate(1 / _SERVICE_S)
            self._world.queue.after(service_s, self._finish)

    def _finish(self) -> None:
        self._in_flight -= 1

    def _may_stop(self, notice: membership.LeavingNotice, now: float) -> bool:
        if self._world.arm.notices == _MANY:
            return notice.can_exit(self._in_flight, now)
        return now >= self._left_at + _GRACE_S

    def _send_heartbeat(self, name: str, leaving: bool) -> None:
        now = self._world.queue.now
        heartbeat = self._beat.next_heartbeat(
            name,
            now,
            membership.ReportedLoad(),
            membership.ActiveConfig(),
            leaving=leaving,
        )
        if not leaving:
            self._sent.pop(name)
        entry = self._world.by_name[name]
        self._world.send(lambda: entry.deliver(lambda: entry.hear(heartbeat)))


class _World:
    """One round: a small fleet in which one sidecar leaves."""

    def __init__(self, arm: _Arm, scale: _Scale, seed: str) -> None:
        self.arm = arm
        self.rng = random.Random(seed)
        self.queue = _events.EventQueue()
        self.still_chosen_at = _LEAVES_AT
        self.cut_off = 0
        self.leaver = 's0'
        self._scale = scale
        self.entries = [
            _Entry(name, self) for name in _names('e', scale.entries)
        ]
        self.by_name = {entry.name: entry for entry in self.entries}
        self.sidecars = {
            name: _Sidecar(name, self) for name in _names('s', scale.sidecars)
        }

    def send(self, action: Callable[[], None]) -> None:
        """Send a message that may be lost."""
        if self.rng.random() >= self._scale.loss:
            self.carry(action)

    def carry(self, action: Callable[[], None]) -> None:
        """Carry a call or its answer over an open connection."""
        self.queue.after(self.rng.uniform(0.0002, 0.005), action)

    def choices(
        self, view: membership.Membership, now: float
    ) -> tuple[str, ...]:
        if self.arm.leases:
            return tuple(
                member.name for member in view.usable_members(_POOL, now)
            )
        return view.subset(_POOL)

    def run(self) -> None:
        for entry in self.entries:
            entry.view.update_hosts(self._listed())
            self._repeat(_ARRIVAL_S, entry.work)
        for sidecar in self.sidecars.values():
            self._repeat(_TICK_S, sidecar.tick)
        self._repeat(_LIST_PERIOD_S, self._update_lists)
        self.queue.at(_LEAVES_AT, self.sidecars[self.leaver].leave)
        for entry in self.rng.sample(self.entries, 3):
            starts_at = _LEAVES_AT + self.rng.uniform(-1.5, 0.5)
            pause_s = self.rng.uniform(0.2, 6)
            self.queue.at(starts_at, functools.partial(entry.pause, pause_s))
        self.queue.run(_LEAVES_AT + self._scale.lag_s + 4 * _LIST_PERIOD_S)

    def _repeat(self, period_s: float, action: Callable[[], None]) -> None:
        first = self.rng.uniform(0, period_s)
        self.queue.at(first, lambda: self.queue.every(period_s, action))

    def _update_lists(self) -> None:
        for entry in self.entries:
            entry.deliver(
                functools.partial(entry.view.update_hosts, self._listed())
            )

    def _listed(self) -> list[membership.ListedHost]:
        """Return the host list, as old as its lag."""
        leaving = self.queue.now >= _LEAVES_AT + self._scale.lag_s
        return [
            membership.ListedHost(
                name,
                '127.0.0.1',
                1,
                'z1',
                _POOL,
                state=membership.HostState.leaving
                if leaving and name == self.leaver
                else membership.HostState.live,
            )
            for name in self.sidecars
        ]


def run(
    *,
    seed: int = 1,
    rounds: int = 6,
    entries: int = 24,
    sidecars: int = 8,
    loss: float = 0.1,
    list_lag_s: float = 30,
) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm."""
    logging.getLogger('lentilspool').addHandler(logging.NullHandler())
    scale = _Scale(entries, sidecars, loss, list_lag_s)
    for arm in _ARMS:
        worlds = [
            _World(arm, scale, f'{seed}/{number}') for number in range(rounds)
        ]
        yield {'arm': arm.name, 'seed': seed, **_measure(worlds)}


def _measure(worlds: list[_World]) -> dict[str, object]:
    seconds = []
    cut_off = 0
    for world in worlds:
        world.run()
        seconds.append(world.still_chosen_at - _LEAVES_AT)
        cut_off += world.cut_off
    return {
        'rounds': len(worlds),
        'seconds_mean': round(sum(seconds) / len(seconds), 3),
        'seconds_max': round(max(seconds), 3),
        'cut_off': cut_off,
    }


def _names(prefix: str, count: int) -> list[str]:
    return [f'{prefix}{number}' for number in range(count)]
