"""Quarantine of contents that crash the endpoints which run them."""

import dataclasses
import logging
from collections.abc import Iterable
from typing import Final

from lentilspool import kernel
from lentilspool.admission import _events
from lentilspool.admission import _suspicions as types

_logger: Final = logging.getLogger(__name__)
_NOTHING: Final[frozenset[str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """A suspicion with its end on this process's clock."""

    deaths: frozenset[str]
    cleared: frozenset[str]
    expires_at: float
    alone_at: float

    @property
    def open_deaths(self) -> int:
        """Number of deaths that still count."""
        return len(self.deaths - self.cleared)


class Quarantine:
    """Counts the endpoint deaths of each content, shared between entries.

    Call ``judge`` before each attempt, ``endpoint_died`` with all contents
    that were in flight there, and ``completed`` when a content has run to
    its end, which clears it. ``shared`` and ``merge`` exchange suspicions
    with other entries, on change and with heartbeats. A suspect runs alone:
    if its endpoint dies then, nobody else can be meant.
    """

    def __init__(self, limits: types.QuarantineLimits | None = None) -> None:
        self._limits = limits or types.QuarantineLimits()
        self._held: dict[str, _Held] = {}

    @property
    def size(self) -> int:
        """Number of contents under suspicion."""
        return len(self._held)

    def judge(self, content_digest: str, now: float) -> types.Judgement:
        """Decide how a content may run."""
        held = self._find(content_digest, now)
        if held is None or not held.open_deaths:
            return types.RunFreely()
        if held.open_deaths < self._limits.deaths:
            return types.RunAlone(max(held.alone_at - now, 0))
        return types.Quarantined(
            kernel.NotRun(
                kernel.NotRunReason.quarantined,
                held.expires_at - now,
                f'{held.open_deaths} endpoints died while it ran',
            )
        )

    def endpoint_died(
        self, death: str, in_flight: Iterable[str], now: float
    ) -> None:
        """Count a death against every content that was in flight.

        ``death`` names the endpoint and its incarnation, so that entries
        which report the same death count it once.
        """
        for content_digest in in_flight:
            self._add(content_digest, frozenset((death,)), _NOTHING, now)

    def completed(self, content_digest: str, now: float) -> bool:
        """Clear a content; return whether it was under suspicion."""
        held = self._find(content_digest, now)
        if held is None or not held.open_deaths:
            return False
        self._held[content_digest] = dataclasses.replace(
            held, cleared=held.deaths
        )
        _events.CLEARED.log(_logger, content=content_digest)
        return True

    def shared(self, now: float) -> tuple[types.Suspicion, ...]:
        """Return all suspicions, to be sent to other entries."""
        self._forget_expired(now)
        return tuple(
            types.Suspicion(
                content_digest,
                held.deaths,
                held.cleared,
                held.expires_at - now,
            )
            for content_digest, held in self._held.items()
        )

    def merge(self, suspicions: Iterable[types.Suspicion], now: float) -> bool:
        """Take suspicions of another entry; return whether any was new.

        A lease that was received is never longer than one of our own.
        """
        changed = False
        for suspicion in suspicions:
            held = self._find(suspicion.content_digest, now)
            deaths = held.deaths if held else _NOTHING
            cleared = held.cleared if held else _NOTHING
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
        held = self._find(content_digest, now)
        if held is None:
            self._make_room(now)
            held = _Held(_NOTHING, _NOTHING, now, now)
        merged = dataclasses.replace(
            held, deaths=held.deaths | deaths, cleared=held.cleared | cleared
        )
        guilty = merged.open_deaths >= self._limits.deaths
        lease_s = self._limits.refusal_s if guilty else self._limits.suspicion_s
        if remaining_s is not None:
            lease_s = min(lease_s, remaining_s)
        alone_at = held.alone_at
        if merged.open_deaths > held.open_deaths:
            alone_at = now + self._limits.spread_s
            event = _events.QUARANTINED if guilty else _events.SUSPECTED
            event.log(
                _logger, content=content_digest, deaths=sorted(merged.deaths)
            )
        self._held[content_digest] = dataclasses.replace(
            merged,
            expires_at=max(held.expires_at, now + lease_s),
            alone_at=alone_at,
        )

    def _find(self, content_digest: str, now: float) -> _Held | None:
        held = self._held.get(content_digest)
        return held if held and held.expires_at > now else None

    def _forget_expired(self, now: float) -> None:
        expired = [
            content_digest
            for content_digest, held in self._held.items()
            if held.expires_at <= now
        ]
        for content_digest in expired:
            self._held.pop(content_digest)

    def _make_room(self, now: float) -> None:
        """Forget what is expired, then cleared, then soonest to expire."""
        if len(self._held) < self._limits.max_entries:
            return
        self._forget_expired(now)
        if len(self._held) >= self._limits.max_entries:
            least = min(
                self._held,
                key=lambda content_digest: (
                    self._held[content_digest].open_deaths,
                    self._held[content_digest].expires_at,
                ),
            )
            self._held.pop(least)
