"""Quarantine of prompt parts under which endpoints ended."""

import dataclasses
import hashlib
import logging
import math
from collections.abc import Iterable
from typing import Final

from lentilspool.admission import _events, _part_evidence
from lentilspool.admission import _part_quarantine_types as types

_logger: Final = logging.getLogger(__name__)
_RANK_BYTES: Final = 8
_MAX_LOGGED_PARTS: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Refusal of requests with some parts, for the same deaths."""

    part: str
    """One of the parts."""

    until: float
    """When it ends."""

    deaths: frozenset[str]
    """Deaths that count against the part."""


class PartQuarantine:
    """Tells which prompt parts end the endpoints that write answers on them.

    Requests with such a part may have nothing else in common. Call
    ``record_death`` with the parts of the requests at an endpoint that ended,
    and ``clear_completed`` with those of a request that has completed. Ask
    ``refusal_s`` before each attempt. ``reports_since`` and ``merge`` exchange
    what is known with other entries.

    Parts that always occurred together cannot be told apart, so a part is
    refused only beside all parts that explain its deaths as well. Requests
    with some of them run, and what happens to these tells which is sound.

    Parts are examined wherever they stand in a prompt. Of more than can be
    kept of one death, those stay that have not completed and that other
    deaths count against.
    """

    def __init__(self, limits: types.PartLimits | None = None) -> None:
        self._limits = limits or types.PartLimits()
        self._evidence = _part_evidence.PartEvidence(self._limits)
        # Parts of completed requests, in the order of their completion.
        self._sound: dict[str, None] = {}
        # By all parts that explain the deaths; a request must have them all.
        self._refusals: dict[frozenset[str], _Refusal] = {}
        self._judged_version = 0
        self._refusals_version = 0

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._evidence.version

    @property
    def refusals_version(self) -> int:
        """Number of changes of what is refused."""
        self._judge()
        return self._refusals_version

    @property
    def size(self) -> int:
        """Number of pairs of a death and a part on record."""
        return self._evidence.size

    def refusal_s(self, parts: Iterable[str], now: float) -> float | None:
        """Return for how many seconds a prompt is refused; None if it runs.

        ``parts`` are those that other prompts may share.
        """
        self._judge()
        if not self._refusals:
            return None
        held = frozenset(parts)
        waits = [
            refusal.until - now
            for suspects, refusal in self._refusals.items()
            if suspects <= held
        ]
        longest_s = max(waits, default=0)
        return longest_s if longest_s > 0 else None

    def record_death(
        self,
        death: str,
        suspects: Iterable[str],
        proved: Iterable[str],
        now: float,
    ) -> bool:
        """Count a death against parts; return whether anything is new.

        ``suspects`` are parts of requests whose answers had not begun,
        ``proved`` those of requests whose answers the endpoint was writing.
        """
        proved_parts = frozenset(proved)
        suspected = self._select(death, frozenset(suspects) - proved_parts)
        cleared = self._select(death, proved_parts)
        changed = self.clear_completed(proved_parts)
        if not suspected:
            return changed
        report = types.PartReport(
            death, suspected, cleared, self._limits.lifetime_s
        )
        return self.merge((report,), now) or changed

    def clear_completed(self, parts: Iterable[str]) -> bool:
        """Clear the parts of a completed request; return if any was suspect."""
        changed = False
        for part in parts:
            self._sound.pop(part, None)
            self._sound[part] = None
            for death in tuple(self._evidence.deaths(part)):
                changed = self._evidence.clear(death, part) or changed
        while len(self._sound) > self._limits.max_sound:
            self._sound.pop(next(iter(self._sound)))
        return changed

    def reports_since(
        self, version: int, now: float
    ) -> tuple[types.PartReport, ...]:
        """Return what changed after a version, for other entries."""
        changed: dict[str, tuple[set[str], set[str]]] = {}
        for death, part in self._evidence.changed_since(version):
            groups = changed.setdefault(death, (set(), set()))
            is_open = death in self._evidence.deaths(part)
            groups[0 if is_open else 1].add(part)
        return tuple(
            types.PartReport(
                name,
                frozenset(suspects),
                frozenset(cleared),
                self._evidence.time(name) + self._limits.lifetime_s - now,
            )
            for name, (suspects, cleared) in changed.items()
        )

    def merge(self, reports: Iterable[types.PartReport], now: float) -> bool:
        """Add what another entry knows; return whether any of it was new."""
        changed = False
        lifetime_s = self._limits.lifetime_s
        for report in reports:
            if report.remaining_s <= 0:
                continue
            remaining_s = min(report.remaining_s, lifetime_s)
            self._evidence.date(report.death, now + remaining_s - lifetime_s)
            for part in report.cleared:
                changed = self._evidence.clear(report.death, part) or changed
            for part in report.suspects:
                changed = self._evidence.suspect(report.death, part) or changed
        self._evidence.forget(now - lifetime_s)
        return changed

    def _select(self, death: str, parts: frozenset[str]) -> frozenset[str]:
        """Return the parts of a death to keep, if there are too many.

        The choice among equal ones differs from death to death, so that none
        is left out of all.
        """
        if len(parts) <= self._limits.max_parts:
            return parts
        ranks = {
            part: (
                part in self._sound,
                -self._evidence.count(part),
                hashlib.blake2b(
                    f'{death} {part}'.encode(), digest_size=_RANK_BYTES
                ).digest(),
            )
            for part in parts
        }
        ranked = sorted(parts, key=ranks.__getitem__)
        return frozenset(ranked[: self._limits.max_parts])

    def _judge(self) -> None:
        """Decide what is refused, if the evidence has changed."""
        if self._judged_version == self._evidence.version:
            return
        self._judged_version = self._evidence.version
        refusals: dict[frozenset[str], _Refusal] = {}
        for deaths, parts in self._evidence.often.items():
            found = self._refusal(deaths, parts)
            if found:
                refusals[self._evidence.suspects(deaths)] = found
        if refusals == self._refusals:
            return
        self._log_changes(refusals)
        self._refusals = refusals
        self._refusals_version += 1

    def _log_changes(self, refusals: dict[frozenset[str], _Refusal]) -> None:
        for suspects, refusal in refusals.items():
            if self._refusals.get(suspects) != refusal:
                companions = sorted(suspects - {refusal.part})
                _events.PART_REFUSED.log(
                    _logger,
                    part=refusal.part,
                    companions=companions[:_MAX_LOGGED_PARTS],
                    deaths=sorted(refusal.deaths),
                )
        kept = {one.part for one in refusals.values()}
        for released in self._refusals.values():
            if released.part not in kept:
                _events.PART_RELEASED.log(_logger, part=released.part)

    def _refusal(
        self, deaths: frozenset[str], parts: list[str]
    ) -> _Refusal | None:
        """Return the longest refusal of parts with the same deaths."""
        sound = next((one for one in parts if one in self._sound), None)
        other = next((one for one in parts if one not in self._sound), None)
        found = [
            _Refusal(part, until, deaths)
            for part in (sound, other)
            if part and (until := self._refused_until(part, deaths))
        ]
        return max(found, key=lambda one: one.until, default=None)

    def _refused_until(self, part: str, deaths: frozenset[str]) -> float | None:
        """Return when the refusal of a part ends; None if it runs."""
        limits = self._limits
        needed, together_s, refusal_s = (
            (
                limits.sound_deaths,
                limits.sound_together_s,
                limits.sound_refusal_s,
            )
            if part in self._sound
            else (limits.deaths, limits.together_s, limits.refusal_s)
        )
        times = self._evidence.times(deaths)
        excess = _count(times, together_s) - needed
        if excess < 0:
            return None
        refusal_s = min(refusal_s * float(2**excess), limits.lifetime_s)
        return times[-1] + refusal_s


def _count(times: Iterable[float], together_s: float) -> int:
    """Return the number of deaths, those at about one time as one."""
    count = 0
    counted_at = -math.inf
    for at in times:
        if at - counted_at > together_s:
            count += 1
            counted_at = at
    return count
