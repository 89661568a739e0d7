"""Mapping of idempotency keys to their home sidecars, by slot tables.

A key's home is the sidecar whose ledger records its request. A slot table
is published under the name of its pool and the interval of key creation
times that it covers, in ISO 8601::

    "deposits@2026-12-01T00:00:00Z/2027-01-01T00:00:00Z": ["10.0.0.1:7", ...]

Without an interval, the table covers every key and can never be replaced.
A key's home depends only on the key and the tables, and a published table
never changes. Two processes with different versions of the tables therefore
agree on the home, or one of them knows no home.
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
    """Homes of the keys created in one interval."""

    pool: str
    """Pool that the keys' requests are sent to."""

    from_ms: float
    """Start of the interval, inclusive, in ms since the Unix epoch."""

    until_ms: float
    """End of the interval, exclusive, in ms since the Unix epoch."""

    homes: tuple[str, ...]
    """Sidecar addresses, one for each slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotFault:
    """Why published slot tables are rejected."""

    pool: str
    """Pool of the table."""

    problem: str
    """What is wrong with the table."""


class KeySlots:
    """All slot tables of a configuration version; see ``parse_slots``."""

    def __init__(self, tables: tuple[SlotTable, ...]) -> None:
        self._tables = tables

    @property
    def tables(self) -> tuple[SlotTable, ...]:
        """All tables, ordered by pool and interval."""
        return self._tables

    def home(self, pool: str, key: _keys.IdempotencyKey) -> str | None:
        """Return the address of a key's home, if a table covers the key."""
        for table in self._tables:
            in_interval = table.from_ms <= key.created_ms < table.until_ms
            if table.pool == pool and in_interval:
                slot = xxhash.xxh3_64_intdigest(key.request_id.encode())
                return table.homes[slot % len(table.homes)]
        return None


def parse_slots(
    published: Mapping[str, tuple[str, ...]],
) -> KeySlots | SlotFault:
    """Parse the ``key_slots`` of a configuration document."""
    tables = []
    for name, homes in published.items():
        table = _parse_table(name, homes)
        if isinstance(table, SlotFault):
            return table
        tables.append(table)
    tables.sort(key=lambda parsed: (parsed.pool, parsed.from_ms))
    for earlier, later in zip(tables, tables[1:], strict=False):
        if earlier.pool == later.pool and earlier.until_ms > later.from_ms:
            return SlotFault(later.pool, 'two intervals overlap')
    return KeySlots(tuple(tables))


def check_slot_change(
    current: KeySlots, proposed: KeySlots
) -> SlotFault | None:
    """Return why a change could give one key two homes, else ``None``.

    A new table must not begin before all current tables of its pool have
    ended, and the last table of a pool must stay unchanged.
    """
    ends = _last_tables(current)
    proposed_tables = set(proposed.tables)
    for pool, last in ends.items():
        if last not in proposed_tables:
            return SlotFault(
                pool, 'its last table may not be changed or removed'
            )
    for added in proposed_tables.difference(current.tables):
        last_table = ends.get(added.pool)
        if last_table and added.from_ms < last_table.until_ms:
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
        return SlotFault(
            pool,
            'a table needs homes and an interval that ends after it begins',
        )
    return SlotTable(pool, bounds[0], bounds[1], homes)


def _parse_interval(interval: str) -> tuple[float, float]:
    begin, _, end = interval.partition('/')
    return (_parse_ms(begin), _parse_ms(end))


def _parse_ms(text: str) -> float:
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        raise ValueError('a time needs a UTC offset')
    return moment.timestamp() * _MS_PER_S
