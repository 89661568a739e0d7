"""Which software version began a stream, and which versions were listed.

What two versions write does not fit together, so a stream that a caller takes
up again may go on only at the version that began it.
"""

import collections
import dataclasses
import hashlib
import itertools
import math
from collections.abc import Iterable
from typing import Final

from lentilspool.serving import _endpoints, _entry_order

_MAX_STREAMS: Final = 30_000
_DIGEST_BYTES: Final = 12
_MAX_HISTORY_S: Final = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamVersion:
    """Where a stream was begun."""

    service: str
    """Service of the endpoint that began it; empty if not known."""

    version: str
    """Software version of that endpoint."""


def stream_key(team: str, request_id: str) -> str:
    """Return the identity of a stream, of the same size for any request id.

    ``request_id`` is that of the request whose answer began the stream. Teams
    cannot name each other's streams.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f'{len(team)} {team} {request_id}'.encode())
    return digest.hexdigest()


class StreamVersions:
    """Versions of the streams that were begun lately.

    The number of streams is bounded; the longest unchanged are dropped first.
    """

    def __init__(self, max_streams: int = _MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._streams: collections.OrderedDict[
            str, tuple[StreamVersion, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._streams)

    def record(
        self, key: str, begun: StreamVersion, keep_s: float, now: float
    ) -> None:
        """Record where a stream was begun, for some seconds from now."""
        self._streams[key] = (begun, now + keep_s)
        self._streams.move_to_end(key)
        self._drop_first(now)

    def find(self, key: str, now: float) -> StreamVersion | None:
        """Return where a stream was begun; None if it is not known."""
        begun, expires_at = self._streams.get(key, (None, 0.0))
        return begun if expires_at > now else None

    def latest(self, most: int, now: float) -> list[tuple[str, StreamVersion]]:
        """Return the streams that were recorded last, oldest first."""
        last = itertools.islice(reversed(self._streams.items()), most)
        return [
            (key, begun)
            for key, (begun, expires_at) in reversed(list(last))
            if expires_at > now
        ]

    def _drop_first(self, now: float) -> None:
        while self._streams:
            key, (_, expires_at) = next(iter(self._streams.items()))
            if len(self._streams) <= self._max_streams and expires_at > now:
                return
            self._streams.pop(key)


class VersionHistory:
    """Versions that were listed lately, by service.

    ``add`` records an endpoint that is listed, also for a moment, and
    ``update`` applies all that are listed now. ``begin`` records that a listing
    was read, before which changes may have been missed, and ``follow`` that
    all changes up to a position have been applied. Positions are those of the
    store, so time that passes between two reads leaves no gap. ``complete``
    records that no other version was ever listed.
    """

    def __init__(self) -> None:
        self._listed: set[tuple[str, str]] = set()
        self._listed_until: dict[tuple[str, str], float] = {}
        self._known_since = math.inf
        self._began: _entry_order.Position = (0, 0)
        self._followed: _entry_order.Position = (0, 0)

    @property
    def began(self) -> _entry_order.Position:
        """Position of the listing from which on no change was missed."""
        return self._began

    @property
    def followed(self) -> _entry_order.Position:
        """Position up to which no change was missed; (0, 0) for none."""
        return self._followed

    @property
    def is_complete(self) -> bool:
        """Whether all versions are known that were ever listed."""
        return self._known_since == -math.inf

    def add(self, endpoint: _endpoints.Endpoint) -> None:
        """Record an endpoint that may be gone again at the next update."""
        self._listed.add((endpoint.service, endpoint.version))

    def update(
        self, endpoints: Iterable[_endpoints.Endpoint], now: float
    ) -> None:
        """Apply the endpoints that are listed now."""
        listed = {(one.service, one.version) for one in endpoints}
        for gone in self._listed - listed:
            self._listed_until[gone] = now
        self._listed = listed
        self._listed_until = {
            pair: until
            for pair, until in self._listed_until.items()
            if now - until <= _MAX_HISTORY_S
        }

    def begin(self, position: _entry_order.Position, now: float) -> None:
        """Record a new listing, complete at its position."""
        self._known_since = now
        self._began = position
        self._followed = position

    def follow(self, position: _entry_order.Position) -> None:
        """Record that all changes up to a position are known."""
        self._followed = max(self._followed, position)

    def complete(
        self, endpoints: Iterable[_endpoints.Endpoint], now: float
    ) -> None:
        """Record all endpoints that were listed at any time before."""
        for one in endpoints:
            pair = (one.service, one.version)
            if pair not in self._listed:
                # When it left is not known.
                self._listed_until[pair] = now
        self._known_since = -math.inf

    def covers(self, seconds: float, now: float) -> bool:
        """Whether all versions are known that were listed in that time."""
        return now - self._known_since > seconds

    def versions(
        self, services: Iterable[str], seconds: float, now: float
    ) -> set[str]:
        """Return the versions of services that were listed in that time."""
        wanted = set(services)
        late = {
            pair
            for pair, until in self._listed_until.items()
            if now - until <= seconds
        }
        return {
            version
            for service, version in self._listed | late
            if service in wanted
        }
