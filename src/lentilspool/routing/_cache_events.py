"""Cache events of engines, as sidecars pass them on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prompt prefixes that an engine holds.

    A block is named by the hash of the whole prompt up to its end, so
    that a block that is held implies all blocks before it.
    """

    endpoint: str
    """Name of the endpoint."""

    incarnation: str
    """Incarnation of the engine; a new one holds nothing."""

    sequence: int
    """Number of the event in this incarnation, without gaps."""

    stored: tuple[int, ...] = ()
    """Hashes of blocks that are now held."""

    evicted: tuple[int, ...] = ()
    """Hashes of blocks that are no longer held."""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheSnapshot:
    """All the blocks that an engine holds; the answer to a resync."""

    endpoint: str
    """Name of the endpoint."""

    incarnation: str
    """Incarnation of the engine."""

    sequence: int
    """Number of the last event that the snapshot covers."""

    blocks: tuple[int, ...]
    """Hashes of the blocks held, the most recently used last."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The index has taken in the event, or dropped an old one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResyncNeeded:
    """Events are missing; the index wants a snapshot of the endpoint."""

    endpoint: str
    """Name of the endpoint."""

    missed: int
    """Number of events that are missing."""


CacheVerdict = Applied | ResyncNeeded
