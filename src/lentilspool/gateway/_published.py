"""What operators and endpoints have published, as this process knows it."""

import dataclasses
import logging
from collections.abc import Callable, Sequence
from typing import Final

from lentilspool import platform, serving
from lentilspool.gateway import _events, _packing

_logger: Final = logging.getLogger(__name__)
CONFIGURATION: Final = 'configuration'
ENDPOINTS: Final = 'endpoints'


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """One item, as gateways hand it to each other."""

    key: str
    """Key in the store."""

    payload: bytes | None
    """Content; None if it was deleted."""

    revision: int
    """Revision of its last change."""


class Published:
    """Configuration in force and endpoints listed.

    Takes whole listings and single changes, from the store or from other
    gateways, in any order. An item never goes back to an older revision,
    and the configuration never to a lower version.
    """

    def __init__(self) -> None:
        self.directory = serving.EndpointIndex()
        self.configuration: serving.Configuration | None = None
        self.routes: serving.RouteTable | None = None
        self._document: Stored | None = None
        self._entries: dict[str, Stored] = {}
        self._lapsed: dict[str, tuple[int, float]] = {}
        self._revision = 0
        self._listeners: list[Callable[[], None]] = []
        # What was shared last of each kind, by its revision.
        self._packs: dict[str, tuple[int, bytes]] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def revision(self) -> int:
        """Revision up to which the listing of endpoints is complete."""
        return self._revision

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None and self._revision > 0

    def listen(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    def configure(self, item: Stored, source: str) -> None:
        """Take a configuration if its version is higher."""
        if item.payload is None:
            return
        if self._document and item.revision <= self._document.revision:
            return
        try:
            found = platform.configuration(item.payload)
        except platform.FormatError as error:
            _events.CONFIGURATION_REFUSED.log(_logger, problem=str(error))
            return
        if found.version <= self.version:
            return
        self._document = item
        self.configuration = found
        self.routes = serving.RouteTable(found)
        _events.CONFIGURED.log(
            _logger,
            version=found.version,
            revision=item.revision,
            routes=len(found.routes),
            source=source,
        )
        self._changed()

    def list_endpoints(
        self, items: list[Stored], revision: int, keep_missing_until: float
    ) -> None:
        """Take a whole listing.

        Endpoints that it lacks are kept until the given time, in seconds of
        ``_clock.now``; 0 drops them now.
        """
        listed = {item.key for item in items}
        for item in items:
            self._take(item)
        for key in set(self._entries) - listed:
            held = self._entries[key]
            if held.revision <= revision and held.payload is not None:
                self._lapse(key, revision, keep_missing_until)
        self._revision = max(self._revision, revision)
        _events.LISTED.log(
            _logger,
            revision=revision,
            endpoints=len(self.directory.endpoints),
        )
        self._changed()

    def change_endpoints(
        self, items: list[Stored], revision: int, keep_missing_until: float
    ) -> None:
        """Take single changes, oldest first."""
        for item in items:
            if item.payload is None:
                held = self._entries.get(item.key)
                if held and held.revision < item.revision:
                    self._lapse(item.key, item.revision, keep_missing_until)
            else:
                self._take(item)
        self._revision = max(self._revision, revision)
        if items:
            self._changed()

    def drop_lapsed(self, now: float) -> None:
        """Drop endpoints that were missing for long enough."""
        due = [key for key, (_, at) in self._lapsed.items() if at <= now]
        for key in due:
            revision, _ = self._lapsed.pop(key)
            self._remove(key, revision)
        if due:
            self._changed()

    def share(self, kind: str) -> tuple[int, bytes]:
        """Return revision and content of a kind, for another gateway."""
        if kind == CONFIGURATION:
            held = [self._document] if self._document else []
            return self.version, self._packed(kind, self.version, held)
        entries = [one for one in self._entries.values() if one.payload]
        return self._revision, self._packed(kind, self._revision, entries)

    def learn(self, kind: str, revision: int, content: bytes) -> None:
        """Take what another gateway has shared."""
        items = _packing.unpack(content, Stored)
        _events.LEARNED.log(
            _logger, kind=kind, revision=revision, entries=len(items)
        )
        if kind == CONFIGURATION:
            for item in items:
                self.configure(item, 'gateway')
        elif revision > self._revision:
            self.list_endpoints(items, revision, 0)

    def _packed(
        self, kind: str, revision: int, items: Sequence[Stored]
    ) -> bytes:
        held = self._packs.get(kind)
        if held is None or held[0] != revision:
            held = (revision, _packing.pack(items))
            self._packs[kind] = held
        return held[1]

    def _take(self, item: Stored) -> None:
        held = self._entries.get(item.key)
        if held and held.revision >= item.revision:
            return
        self._lapsed.pop(item.key, None)
        self._entries[item.key] = item
        name = item.key.removeprefix(platform.ENDPOINT_PREFIX)
        try:
            endpoint = platform.endpoint(name, item.payload or b'')
        except platform.FormatError as error:
            _events.ENTRY_REFUSED.log(
                _logger, endpoint=name, problem=str(error)
            )
            self.directory.remove(name)
            return
        self.directory.put(endpoint)
        _events.ENDPOINT.log(
            _logger,
            endpoint=name,
            service=endpoint.service,
            address=endpoint.address,
            ready=endpoint.ready,
            revision=item.revision,
        )

    def _lapse(self, key: str, revision: int, until: float) -> None:
        if until:
            self._lapsed.setdefault(key, (revision, until))
        else:
            self._remove(key, revision)

    def _remove(self, key: str, revision: int) -> None:
        self._entries[key] = Stored(key, None, revision)
        name = key.removeprefix(platform.ENDPOINT_PREFIX)
        self.directory.remove(name)
        _events.ENDPOINT.log(
            _logger, endpoint=name, ready=False, gone=True, revision=revision
        )

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()
