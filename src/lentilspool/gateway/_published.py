"""Published state: the operator's configuration and endpoint entries."""

import dataclasses
import logging
from collections.abc import Callable, Sequence
from typing import Final

from lentilspool import platform, serving
from lentilspool.gateway import _events, _packing, _store_era

_logger: Final = logging.getLogger(__name__)
CONFIGURATION: Final = 'configuration'
ENDPOINTS: Final = 'endpoints'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """One item of the store, as gateways send it to each other."""

    key: str
    """Key in the store."""

    payload: bytes | None
    """Content; None if the item was deleted."""

    revision: int
    """Revision of the last change."""

    era: int = 0
    """Era of the store in which the revision was given out."""

    @property
    def position(self) -> serving.Position:
        """Position of the last change in the store's history."""
        return self.era, self.revision


class PublishedState:
    """Current configuration and endpoints.

    Listings and changes may come in any order, from the store or from other
    gateways. Within an era of the store, an item never returns to an older
    revision. An era begins with a copy that may be some seconds old, so what
    is known by the writers' own numbers is kept: the configuration never
    returns to a lower version, nor an endpoint to an earlier state.
    """

    def __init__(self) -> None:
        self.endpoint_index = serving.EndpointIndex()
        self.store_era = _store_era.StoreEra()
        self.versions = serving.VersionHistory()
        self.configuration: serving.Configuration | None = None
        self.routes: serving.RouteTable | None = None
        self._configuration_item: StoredItem | None = None
        self._entries: dict[str, StoredItem] = {}
        # Latest write of each endpoint, also of those that are gone.
        self._states: dict[str, serving.EntryState] = {}
        # Position and removal time of missing endpoints, by key.
        self._missing: dict[str, tuple[serving.Position, float]] = {}
        self._position: serving.Position = (0, 0)
        self._listeners: list[Callable[[], None]] = []
        # The last packed content of each kind, with its revision.
        self._packed_by_kind: dict[str, tuple[object, bytes]] = {}

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def revision(self) -> int:
        """Revision up to which the listing of endpoints is complete."""
        return self._position[1]

    @property
    def position(self) -> serving.Position:
        """Era and revision up to which the listing is complete."""
        return self._position

    @property
    def ready(self) -> bool:
        """Whether a configuration and a listing of endpoints are known."""
        return self.configuration is not None and self._position > (0, 0)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of the state."""
        self._listeners.append(listener)

    def apply_configuration(self, item: StoredItem, source: str) -> None:
        """Apply a configuration if its version is higher.

        ``source`` is ``store`` or ``gateway``, for the log.
        """
        if item.payload is None:
            return
        current = self._configuration_item
        if current and item.position == current.position:
            return
        try:
            decoded = platform.decode_configuration(item.payload)
        except platform.FormatError as error:
            _events.CONFIGURATION_REFUSED.log(_logger, problem=str(error))
            return
        if decoded.version <= self.version:
            return
        self._configuration_item = item
        self.configuration = decoded
        self.routes = serving.RouteTable(decoded)
        _events.CONFIGURED.log(
            _logger,
            version=decoded.version,
            revision=item.revision,
            routes=len(decoded.routes),
            source=source,
        )
        self._notify_listeners()

    def apply_listing(
        self,
        items: list[StoredItem],
        position: serving.Position,
        keep_missing_until: float,
    ) -> None:
        """Apply a complete listing.

        Known endpoints that are missing from it are kept until the given
        time, in seconds of ``_clock.now``; 0 removes them now.
        """
        listed = {item.key for item in items}
        for item in items:
            self._apply_entry(item)
        for key in set(self._entries) - listed:
            current = self._entries[key]
            if current.position <= position and current.payload is not None:
                self._mark_missing(key, position, keep_missing_until)
        self._position = max(self._position, position)
        _events.LISTED.log(
            _logger,
            era=position[0],
            revision=position[1],
            missing=len(self._missing),
            endpoints=len(self.endpoint_index.endpoints),
        )
        self._notify_listeners()

    def apply_changes(
        self,
        items: list[StoredItem],
        position: serving.Position,
        keep_missing_until: float,
    ) -> None:
        """Apply changes, oldest first.

        Deleted endpoints are kept as in ``apply_listing``.
        """
        for item in items:
            if item.payload is None:
                current = self._entries.get(item.key)
                if current and current.position < item.position:
                    self._mark_missing(
                        item.key, item.position, keep_missing_until
                    )
            else:
                self._apply_entry(item)
        self._position = max(self._position, position)
        if items:
            self._notify_listeners()

    def drop_expired(self, now: float) -> None:
        """Remove missing endpoints whose time has expired."""
        due = [key for key, (_, at) in self._missing.items() if at <= now]
        for key in due:
            position, _ = self._missing.pop(key)
            self._remove(key, position)
        if due:
            self._notify_listeners()

    def apply_leaving(
        self, leaving: frozenset[str], last_resorts: frozenset[str]
    ) -> None:
        """Apply the incarnations of endpoints that state that they leave.

        ``last_resorts`` are those that may get work if there is no other.
        """
        generation = self.endpoint_index.generation
        self.endpoint_index.apply_leaving(leaving, last_resorts)
        if self.endpoint_index.generation != generation:
            self._notify_listeners()

    def export(self, kind: str) -> tuple[int, bytes]:
        """Return revision and packed content of a kind of state."""
        if kind == CONFIGURATION:
            items = (
                [self._configuration_item] if self._configuration_item else []
            )
            return self.version, self._packed(kind, self.version, items)
        entries = [item for item in self._entries.values() if item.payload]
        return self.revision, self._packed(kind, self._position, entries)

    def merge(self, kind: str, revision: int, content: bytes) -> None:
        """Apply the exported state of another gateway if it is newer.

        Raises ``msgspec.MsgspecError`` if the content is invalid.
        """
        items = _packing.unpack(content, StoredItem)
        _events.LEARNED.log(
            _logger, kind=kind, revision=revision, entries=len(items)
        )
        if kind == CONFIGURATION:
            for item in items:
                self.apply_configuration(item, 'gateway')
            return
        # Gateways of an older release do not state the era of items.
        era = max((one.era for one in items), default=0)
        if (era, revision) > self._position:
            self.apply_listing(items, (era, revision), 0)

    def _packed(
        self, kind: str, key: object, items: Sequence[StoredItem]
    ) -> bytes:
        current = self._packed_by_kind.get(kind)
        if current is None or current[0] != key:
            current = (key, _packing.pack(items))
            self._packed_by_kind[kind] = current
        return current[1]

    def _apply_entry(self, item: StoredItem) -> None:
        current = self._entries.get(item.key)
        if current and current.position >= item.position:
            return
        state = platform.decode_entry_state(item.payload or b'')
        known = self._states.get(item.key)
        is_copy = current is not None and item.era > current.era
        if is_copy and known and state and serving.is_outdated(known, state):
            _events.ENTRY_OUTDATED.log(
                _logger,
                endpoint=item.key.removeprefix(platform.ENDPOINT_PREFIX),
                era=item.era,
                revision=item.revision,
                sequence=state.sequence,
                known_sequence=known.sequence,
                gone=not known.listed,
            )
            return
        self._missing.pop(item.key, None)
        self._entries[item.key] = item
        if state:
            self._states[item.key] = state
        name = item.key.removeprefix(platform.ENDPOINT_PREFIX)
        try:
            endpoint = platform.decode_endpoint(name, item.payload or b'')
        except platform.FormatError as error:
            _events.ENTRY_REFUSED.log(
                _logger, endpoint=name, problem=str(error)
            )
            self.endpoint_index.remove(name)
            return
        self.endpoint_index.put(endpoint)
        self.versions.add(endpoint)
        _events.ENDPOINT.log(
            _logger,
            endpoint=name,
            service=endpoint.service,
            address=endpoint.address,
            version=endpoint.version,
            ready=endpoint.ready,
            revision=item.revision,
        )

    def _mark_missing(
        self, key: str, position: serving.Position, until: float
    ) -> None:
        if until:
            self._missing.setdefault(key, (position, until))
        else:
            self._remove(key, position)

    def _remove(self, key: str, position: serving.Position) -> None:
        era, revision = position
        self._entries[key] = StoredItem(key, None, revision, era)
        known = self._states.get(key)
        if known:
            self._states[key] = dataclasses.replace(known, listed=False)
        name = key.removeprefix(platform.ENDPOINT_PREFIX)
        self.endpoint_index.remove(name)
        _events.ENDPOINT.log(
            _logger, endpoint=name, ready=False, gone=True, revision=revision
        )

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
