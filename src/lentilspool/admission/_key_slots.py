"""Homes of idempotency keys, from the published slots.

A table of slots is published under the name of its pool and the interval
of creation times that it is for, in ISO 8601::

    "deposits@2026-12-01T00:00:00Z/2027-01-01T00:00:00Z": ["10.0.0.1:7", ...]

The interval may be left out; then the table is for every key, and can never
be replaced. A key's home follows from the key and the tables alone, and a
table is never changed once published, so that two processes that hold
different versions still agree on the home, or one of them knows none.
"""

import dataclasses
import datetime
import math
from collections.abc import Mapping
from typing import Final

import xxhash

from lentilspool.admission import _keys

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTable:
    """Homes of the keys that were created in one interval."""

    pool: str
    """Pool whose requests the keys are for."""

    from_ms: float
    """First creation time of the interval, ms since the epoch."""

    until_ms: float
    """End of the interval, exclusive."""

    homes: tuple[str, ...]
    """Addresses of the sidecars, one for each slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotFault:
    """Why published slots are refused."""

    pool: str
    """Pool of the table."""

    problem: str
    """What is wrong with it."""


class KeySlots:
    """All slot tables of a configuration version; made by ``parse_slots``."""

    def __init__(self, tables: tuple[SlotTable, ...]) -> None:
        self._tables = tables

    @property
    def tables(self) -> tuple[SlotTable, ...]:
        """The tables, by pool and interval."""
        return self._tables

    def home(self, pool: str, key: _keys.IdempotencyKey) -> str | None:
        """Return the address of a key's home; none if no table is for it."""
        for table in self._tables:
            in_interval = table.from_ms <= key.created_ms < table.until_ms
            if table.pool == pool and in_interval:
                slot = xxhash.xxh3_64_intdigest(key.request_id.encode())
                return table.homes[slot % len(table.homes)]
        return None


def parse_slots(
    published: Mapping[str, tuple[str, ...]],
) -> KeySlots | SlotFault:
    """Return the tables of a document's ``key_slots``."""
    tables = []
    for name, homes in published.items():
        table = _parse_table(name, homes)
        if isinstance(table, SlotFault):
            return table
        tables.append(table)
    tables.sort(key=lambda held: (held.pool, held.from_ms))
    for earlier, later in zip(tables, tables[1:], strict=False):
        if earlier.pool == later.pool and earlier.until_ms > later.from_ms:
            return SlotFault(later.pool, 'two intervals overlap')
    return KeySlots(tuple(tables))


def check_slot_change(held: KeySlots, proposed: KeySlots) -> SlotFault | None:
    """Refuse a change that could give one key two homes.

    A new table must begin after all published ones of its pool have ended,
    and the last table of a pool must stay.
    """
    ends = _last_tables(held)
    proposed_tables = set(proposed.tables)
    for pool, last in ends.items():
        if last not in proposed_tables:
            return SlotFault(pool, 'its last table may not change or go')
    for added in proposed_tables.difference(held.tables):
        last_held = ends.get(added.pool)
        if last_held and added.from_ms < last_held.until_ms:
            return SlotFault(
                added.pool, 'a new table begins before the last one ends'
            )
    return None


def _last_tables(slots: KeySlots) -> dict[str, SlotTable]:
    return {table.pool: table for table in slots.tables}


def _parse_table(name: str, homes: tuple[str, ...]) -> SlotTable | SlotFault:
    pool, _, interval = name.partition('@')
    bounds = (-math.inf, math.inf)
    if interval:
        try:
            bounds = _parse_interval(interval)
        except ValueError as error:
            return SlotFault(pool, f'interval "{interval}": {error}')
    if not homes or bounds[0] >= bounds[1]:
        return SlotFault(pool, 'a table needs homes and a real interval')
    return SlotTable(pool, bounds[0], bounds[1], homes)


def _parse_interval(interval: str) -> tuple[float, float]:
    begin, _, end = interval.partition('/')
    return (_parse_ms(begin), _parse_ms(end))


def _parse_ms(text: str) -> float:
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        raise ValueError('a time needs an offset')
    return moment.timestamp() * _MS_PER_S
