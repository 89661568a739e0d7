"""Soft tables overwritten with garbage: time until they are right again.

Each entry holds rows of its sidecars. At one moment every row of every
entry is overwritten: leases that end in a year, wrong incarnations, wrong
addresses, and members that do not exist. ``seconds_max`` is the time until
the last entry is right for good; ``seconds_to_drop`` the time until the
last entry drops a sidecar that died; ``old_accepted`` counts late
heartbeats of former incarnations that were believed.
"""

import dataclasses
import random
from collections.abc import Callable, Iterator
from typing import Final, Protocol

from bench import _heartbeats
from lentilspool import membership

_TICK_S: Final = 0.5
_PERIOD_S: Final = 1.0
_LEASE_S: Final = 3.0
_REFRESH_S: Final = 10.0
_REQUEST_BYTES: Final = 40
_DIGEST_BYTES: Final = 9
_GARBAGE_AT: Final = 30.0
_JUDGED_UNTIL: Final = 90.0
_DIES_AT: Final = 100.0
_ENDS_AT: Final = 150.0
_YEAR_S: Final = 3.0e7
_POOL: Final = 'p'

_Rows = dict[str, membership.Heartbeat]


class _Way(Protocol):
    """One way to keep a table right."""

    def hear(self, full: membership.Heartbeat, now: float) -> int:
        """Take a sidecar's news; return the bytes that it cost."""
        ...

    def sweep(self, now: float) -> int:
        """Do what is due; return the bytes that it cost."""
        ...

    def believed(self, now: float) -> _Rows:
        """Return what is believed of the members that may get work."""
        ...

    def overwrite(self, garbage: _Rows) -> None:
        """Replace all rows."""
        ...


class _Leases:
    """Leases with deadlines, every fourth heartbeat with all fields."""

    def __init__(self, limits: membership.LeaseLimits) -> None:
        self._table = membership.LeaseTable(limits)
        self._heard: dict[str, int] = {}

    def hear(self, full: membership.Heartbeat, now: float) -> int:
        count = self._heard.get(full.process, 0)
        self._heard[full.process] = count + 1
        sent = full if count % 4 == 0 else _compact(full)
        self._table.renew(sent, now)
        return _heartbeats.frame_bytes(sent)

    def sweep(self, now: float) -> int:
        self._table.sweep(now)
        return 0

    def believed(self, now: float) -> _Rows:
        return {
            member.name: _described(member)
            for member in self._table.live_members(_POOL, now)
        }

    def overwrite(self, garbage: _Rows) -> None:
        scratch = membership.LeaseTable(membership.LeaseLimits())
        for heartbeat in garbage.values():
            scratch.renew(heartbeat, 0)
        self._table.replace_rows(
            {
                lease.member.name: dataclasses.replace(lease, ends_at=_YEAR_S)
                for lease in scratch
            }
        )


class _SecondChance:
    """Leases by a flag: cleared each period, dropped when found clear."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[membership.Heartbeat, bool]] = {}
        self._swept_at = 0.0

    def hear(self, full: membership.Heartbeat, now: float) -> int:
        self._rows[full.process] = (full, True)
        return _heartbeats.frame_bytes(full)

    def sweep(self, now: float) -> int:
        if now - self._swept_at >= _LEASE_S:
            self._swept_at = now
            self._rows = {
                name: (row, False)
                for name, (row, renewed) in self._rows.items()
                if renewed
            }
        return 0

    def believed(self, now: float) -> _Rows:
        return {name: row for name, (row, _) in self._rows.items()}

    def overwrite(self, garbage: _Rows) -> None:
        self._rows = {name: (row, True) for name, row in garbage.items()}


class _FullRefresh:
    """Everything is dropped and asked for again in each period."""

    def __init__(self) -> None:
        self._rows: _Rows = {}
        self._next: _Rows = {}
        self._refreshed_at = 0.0

    def hear(self, full: membership.Heartbeat, now: float) -> int:
        self._next[full.process] = full
        if full.process in self._rows:
            return _heartbeats.frame_bytes(_compact(full))
        self._rows[full.process] = full
        return _REQUEST_BYTES + _heartbeats.frame_bytes(full)

    def sweep(self, now: float) -> int:
        if now - self._refreshed_at < _REFRESH_S:
            return 0
        self._refreshed_at = now
        cost = sum(
            _REQUEST_BYTES + _heartbeats.frame_bytes(row)
            for row in self._next.values()
        )
        self._rows = self._next
        self._next = {}
        return cost

    def believed(self, now: float) -> _Rows:
        return self._rows

    def overwrite(self, garbage: _Rows) -> None:
        self._rows = dict(garbage)


class _Digests:
    """Compact heartbeats with a digest; the row is sent if it differs."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[membership.Heartbeat, float]] = {}

    def hear(self, full: membership.Heartbeat, now: float) -> int:
        held, _ = self._rows.get(full.process, (None, 0))
        self._rows[full.process] = (full, now + _LEASE_S)
        cost = _DIGEST_BYTES + _heartbeats.frame_bytes(_compact(full))
        if held is None or _identity(held) != _identity(full):
            cost += _REQUEST_BYTES + _heartbeats.frame_bytes(full)
        return cost

    def sweep(self, now: float) -> int:
        latest = now + _LEASE_S
        self._rows = {
            name: (row, min(ends_at, latest))
            for name, (row, ends_at) in self._rows.items()
            if ends_at > now
        }
        return 0

    def believed(self, now: float) -> _Rows:
        return {name: row for name, (row, _) in self._rows.items()}

    def overwrite(self, garbage: _Rows) -> None:
        self._rows = {name: (row, _YEAR_S) for name, row in garbage.items()}


def _compact(full: membership.Heartbeat) -> membership.Heartbeat:
    return dataclasses.replace(full, zone='', pool='', address='', port=0)


def _identity(row: membership.Heartbeat) -> tuple[object, ...]:
    return row.incarnation, row.zone, row.pool, row.address, row.port


def _described(member: membership.Member) -> membership.Heartbeat:
    return membership.Heartbeat(
        process=member.name,
        incarnation=member.incarnation,
        sequence=member.sequence,
        zone=member.zone,
        pool=member.pool,
        address=member.address,
        port=member.port,
    )


_WAYS: Final[tuple[tuple[str, Callable[[], _Way]], ...]] = (
    ('lentilspool', lambda: _Leases(membership.LeaseLimits())),
    (
        'lentilspool_short_bounds',
        lambda: _Leases(membership.LeaseLimits(_LEASE_S, _LEASE_S)),
    ),
    ('second_chance', _SecondChance),
    ('full_refresh', _FullRefresh),
    ('digests', _Digests),
)


class _World:
    """Entries that hold rows of the same sidecars."""

    def __init__(
        self,
        way: Callable[[], _Way],
        rng: random.Random,
        sizes: tuple[int, int],
    ) -> None:
        entries, sidecars = sizes
        self._rng = rng
        self._tables = [way() for _ in range(entries)]
        self._truth = {
            f's{number:03}': dataclasses.replace(
                _heartbeats.template(f's{number:03}', 'z1', _POOL),
                incarnation=100 + number,
                lease_ms=int(_LEASE_S * 1000),
            )
            for number in range(sidecars)
        }
        self._last_wrong = 0.0
        self._dead_believed = _DIES_AT
        self._bytes = 0
        self._old_accepted = 0

    def run(self) -> dict[str, object]:
        ticks = int(_ENDS_AT / _TICK_S)
        for tick in range(ticks):
            now = tick * _TICK_S
            if now == _GARBAGE_AT:
                for table in self._tables:
                    table.overwrite(self._garbage())
            self._beat(tick, now)
            for table in self._tables:
                self._bytes += table.sweep(now)
                self._judge(table, now)
        kept = len(self._tables) * _ENDS_AT
        return {
            'seconds_max': self._last_wrong - _GARBAGE_AT + _TICK_S,
            'seconds_to_drop': self._dead_believed - _DIES_AT,
            'old_accepted': self._old_accepted,
            'bytes_per_s': round(self._bytes / kept),
        }

    def _beat(self, tick: int, now: float) -> None:
        """Send every sidecar's heartbeat, and now and then an old one."""
        for index, (name, row) in enumerate(self._truth.items()):
            dead = index == 0 and now >= _DIES_AT
            due = (tick + index) % int(_PERIOD_S / _TICK_S) == 0
            if dead or not due:
                continue
            fresh = dataclasses.replace(row, sequence=row.sequence + tick)
            for table in self._tables:
                self._send(table, fresh, now)

    def _send(
        self, table: _Way, fresh: membership.Heartbeat, now: float
    ) -> None:
        if self._rng.randrange(10):
            self._bytes += table.hear(fresh, now)
        if now < _GARBAGE_AT and not self._rng.randrange(100):
            self._send_old(table, fresh, now)

    def _send_old(
        self,
        table: _Way,
        fresh: membership.Heartbeat,
        now: float,
    ) -> None:
        old = dataclasses.replace(fresh, incarnation=1)
        table.hear(old, now)
        believed = table.believed(now).get(fresh.process)
        if believed is not None and believed.incarnation == 1:
            self._old_accepted += 1
            table.hear(fresh, now)

    def _judge(self, table: _Way, now: float) -> None:
        believed = table.believed(now)
        first = next(iter(self._truth))
        if now >= _DIES_AT and first in believed:
            self._dead_believed = now
        if now < _GARBAGE_AT or now >= _JUDGED_UNTIL:
            return
        wrong = believed.keys() - self._truth.keys() or any(
            _identity(row) != _identity(self._truth[name])
            for name, row in believed.items()
        )
        missing = len(self._truth) - len(believed)
        if wrong or missing > len(self._truth) / 10:
            self._last_wrong = now

    def _garbage(self) -> _Rows:
        rows = [
            dataclasses.replace(
                row,
                incarnation=self._rng.randrange(10**9),
                sequence=self._rng.randrange(10**9),
                address=f'10.9.9.{self._rng.randrange(250)}',
                leaving=not self._rng.randrange(3),
            )
            for row in self._truth.values()
        ]
        foreign = [
            dataclasses.replace(row, process=f'x{row.process}')
            for row in rows[::3]
        ]
        return {row.process: row for row in (*rows, *foreign)}


def run(
    *, seed: int = 1, entries: int = 10, sidecars: int = 50
) -> Iterator[dict[str, object]]:
    """Yield the figures of each way."""
    for arm, way in _WAYS:
        world = _World(way, random.Random(seed), (entries, sidecars))
        yield {'arm': arm, 'seed': seed, **world.run()}
