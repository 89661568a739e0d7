"""Prompt cache events of engines, as sidecars forward them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prompt prefixes that an engine has cached.

    A block is identified by the hash of the prompt up to the end of the
    block, so that a cached block implies all blocks before it.
    """

    endpoint: str
    """Name of the endpoint."""

    incarnation: str
    """Incarnation of the engine; a new one starts with an empty cache."""

    sequence: int
    """Consecutive number of the event in this incarnation."""

    stored: tuple[int, ...] = ()
    """Hashes of blocks that were added to the cache."""

    evicted: tuple[int, ...] = ()
    """Hashes of blocks that were removed from the cache."""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheSnapshot:
    """All blocks that an engine has cached, sent in answer to a resync."""

    endpoint: str
    """Name of the endpoint."""

    incarnation: str
    """Incarnation of the engine."""

    sequence: int
    """Number of the last event that the snapshot covers."""

    blocks: tuple[int, ...]
    """Hashes of the cached blocks, the most recently used last."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The event was applied, or was outdated and ignored."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResyncNeeded:
    """Events are missing; a snapshot of the endpoint is required."""

    endpoint: str
    """Name of the endpoint."""

    missed: int
    """Number of events that are missing."""


CacheEventOutcome = Applied | ResyncNeeded
