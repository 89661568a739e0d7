"""Quarantine of contents that crash the endpoints they run on."""

import dataclasses
import itertools
import logging
from collections.abc import Iterable
from typing import Final

from lentilspool import kernel
from lentilspool.admission import _events
from lentilspool.admission import _quarantine_types as types

_logger: Final = logging.getLogger(__name__)
_NO_DEATHS: Final[frozenset[str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _SuspicionRecord:
    """A suspicion, with its times on this process's clock."""

    deaths: frozenset[str]
    cleared: frozenset[str]
    expires_at: float
    earliest_run_at: float
    version: int = 0

    @property
    def open_deaths(self) -> int:
        """Number of deaths that count against the content."""
        return len(self.deaths - self.cleared)


class Quarantine:
    """Counts the endpoint deaths of each content, shared between entries.

    Call ``decide`` before each attempt, ``record_endpoint_death`` with all
    contents that were in flight at the endpoint, and ``clear_completed`` when
    a content has completed. ``suspicions_to_share`` and ``merge`` exchange
    suspicions with other entries, on change and with heartbeats; with
    ``suspicions_since`` only changes are sent. A content
    under suspicion runs alone at its endpoint, so that another death there
    cannot be caused by any other content.
    """

    def __init__(self, limits: types.QuarantineLimits | None = None) -> None:
        self._limits = limits or types.QuarantineLimits()
        # In the order of their last change.
        self._records: dict[str, _SuspicionRecord] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    @property
    def size(self) -> int:
        """Number of contents under suspicion."""
        return len(self._records)

    def decide(
        self, content_digest: str, now: float
    ) -> types.QuarantineDecision:
        """Decide whether a content runs freely, alone or not at all."""
        record = self._find(content_digest, now)
        if record is None or not record.open_deaths:
            return types.RunFreely()
        if record.open_deaths < self._limits.deaths:
            return types.RunAlone(max(record.earliest_run_at - now, 0))
        return types.Quarantined(
            kernel.NotRun(
                kernel.NotRunReason.quarantined,
                record.expires_at - now,
                f'{record.open_deaths} endpoints died while it ran',
            )
        )

    def open_deaths(self, content_digest: str, now: float) -> int:
        """Return the number of deaths that count against a content."""
        record = self._find(content_digest, now)
        return record.open_deaths if record else 0

    def record_endpoint_death(
        self, death: str, in_flight: Iterable[str], now: float
    ) -> None:
        """Count a death against every content that was in flight.

        ``death`` names the endpoint and its incarnation, so that a death
        that several entries report counts once.
        """
        for content_digest in in_flight:
            self._add(content_digest, frozenset((death,)), _NO_DEATHS, now)

    def clear_completed(
        self, content_digest: str, now: float, prefix: str = ''
    ) -> bool:
        """Clear a content; return whether it was under suspicion.

        Only deaths whose name begins with the prefix are cleared.
        """
        record = self._find(content_digest, now)
        if record is None:
            return False
        completed = frozenset(
            death for death in record.deaths if death.startswith(prefix)
        )
        if completed <= record.cleared:
            return False
        self._put(
            content_digest,
            dataclasses.replace(record, cleared=record.cleared | completed),
        )
        _events.CLEARED.log(_logger, content=content_digest, deaths=prefix)
        return True

    def suspicions_to_share(self, now: float) -> tuple[types.Suspicion, ...]:
        """Return all suspicions, for sending to other entries."""
        return self.suspicions_since(-1, now)

    def suspicions_since(
        self, version: int, now: float
    ) -> tuple[types.Suspicion, ...]:
        """Return the suspicions that changed after a version, latest first."""
        self._forget_expired(now)
        changed = itertools.takewhile(
            lambda entry: entry[1].version > version,
            reversed(self._records.items()),
        )
        return tuple(
            types.Suspicion(
                content_digest,
                record.deaths,
                record.cleared,
                record.expires_at - now,
            )
            for content_digest, record in changed
        )

    def merge(self, suspicions: Iterable[types.Suspicion], now: float) -> bool:
        """Add suspicions of another entry; return whether any was new.

        They last for the remaining time that was received, at most as long
        as a suspicion of this entry, so an exchange never extends them.
        """
        changed = False
        for suspicion in suspicions:
            record = self._find(suspicion.content_digest, now)
            deaths = record.deaths if record else _NO_DEATHS
            cleared = record.cleared if record else _NO_DEATHS
            known = suspicion.deaths <= deaths and suspicion.cleared <= cleared
            if not known and suspicion.remaining_s > 0:
                self._add(
                    suspicion.content_digest,
                    suspicion.deaths,
                    suspicion.cleared,
                    now,
                    suspicion.remaining_s,
                )
                changed = True
        return changed

    def _add(
        self,
        content_digest: str,
        deaths: frozenset[str],
        cleared: frozenset[str],
        now: float,
        remaining_s: float | None = None,
    ) -> None:
        record = self._find(content_digest, now)
        if record is None:
            self._make_room(now)
            record = _SuspicionRecord(_NO_DEATHS, _NO_DEATHS, now, now)
        merged = dataclasses.replace(
            record,
            deaths=record.deaths | deaths,
            cleared=record.cleared | cleared,
        )
        is_quarantined = merged.open_deaths >= self._limits.deaths
        lease_s = (
            self._limits.refusal_s
            if is_quarantined
            else self._limits.suspicion_s
        )
        if remaining_s is not None:
            lease_s = min(lease_s, remaining_s)
        earliest_run_at = record.earliest_run_at
        if merged.open_deaths > record.open_deaths:
            earliest_run_at = now + self._limits.spread_s
            event = _events.QUARANTINED if is_quarantined else _events.SUSPECTED
            event.log(
                _logger, content=content_digest, deaths=sorted(merged.deaths)
            )
        self._put(
            content_digest,
            dataclasses.replace(
                merged,
                expires_at=max(record.expires_at, now + lease_s),
                earliest_run_at=earliest_run_at,
            ),
        )

    def _put(self, content_digest: str, record: _SuspicionRecord) -> None:
        self._version += 1
        self._records.pop(content_digest, None)
        self._records[content_digest] = dataclasses.replace(
            record, version=self._version
        )

    def _find(self, content_digest: str, now: float) -> _SuspicionRecord | None:
        record = self._records.get(content_digest)
        return record if record and record.expires_at > now else None

    def _forget_expired(self, now: float) -> None:
        expired = [
            content_digest
            for content_digest, record in self._records.items()
            if record.expires_at <= now
        ]
        for content_digest in expired:
            self._records.pop(content_digest)

    def _make_room(self, now: float) -> None:
        """Evict records if the table is full.

        Expired records go first. If there are none, the record with the
        fewest open deaths goes, and of several the first to expire.
        """
        if len(self._records) < self._limits.max_entries:
            return
        self._forget_expired(now)
        if len(self._records) >= self._limits.max_entries:
            evicted = min(
                self._records,
                key=lambda content_digest: (
                    self._records[content_digest].open_deaths,
                    self._records[content_digest].expires_at,
                ),
            )
            self._records.pop(evicted)
