"""Quarantine of prompt parts under which endpoints ended."""

import dataclasses
import logging
import math
from collections.abc import Iterable
from typing import Final

from lentilspool.admission import _events, _part_evidence
from lentilspool.admission import _part_quarantine_types as types

_logger: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Refusal of requests with a part."""

    until: float
    """When it ends."""

    companions: frozenset[str]
    """Parts that explain its deaths as well; a request must have them too."""


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
    """

    def __init__(self, limits: types.PartLimits | None = None) -> None:
        self._limits = limits or types.PartLimits()
        self._evidence = _part_evidence.PartEvidence(self._limits)
        # Parts of completed requests, in the order of their completion.
        self._sound: dict[str, None] = {}
        self._refusals: dict[str, _Refusal] = {}
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
            for part in held
            if (refusal := self._refusals.get(part))
            and refusal.companions <= held
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
        suspected = sorted(frozenset(suspects) - proved_parts)
        changed = self.clear_completed(proved_parts)
        if not suspected:
            return changed
        report = types.PartReport(
            death,
            frozenset(suspected[: self._limits.max_parts]),
            frozenset(sorted(proved_parts)[: self._limits.max_parts]),
            self._limits.lifetime_s,
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

    def _judge(self) -> None:
        """Decide what is refused, if the evidence has changed."""
        if self._judged_version == self._evidence.version:
            return
        self._judged_version = self._evidence.version
        refusals = {
            part: refusal
            for part in self._evidence.often
            if (refusal := self._refusal(part))
        }
        if refusals == self._refusals:
            return
        for part, refusal in refusals.items():
            if self._refusals.get(part) != refusal:
                _events.PART_REFUSED.log(
                    _logger,
                    part=part,
                    companions=sorted(refusal.companions),
                    deaths=sorted(self._evidence.deaths(part)),
                )
        for released in self._refusals.keys() - refusals.keys():
            _events.PART_RELEASED.log(_logger, part=released)
        self._refusals = refusals
        self._refusals_version += 1

    def _refusal(self, part: str) -> _Refusal | None:
        limits = self._limits
        deaths, together_s, refusal_s = (
            (
                limits.sound_deaths,
                limits.sound_together_s,
                limits.sound_refusal_s,
            )
            if part in self._sound
            else (limits.deaths, limits.together_s, limits.refusal_s)
        )
        times = self._evidence.times(part)
        excess = _count(times, together_s) - deaths
        if excess < 0:
            return None
        refusal_s = min(refusal_s * 2**excess, limits.lifetime_s)
        return _Refusal(times[-1] + refusal_s, self._evidence.companions(part))


def _count(times: Iterable[float], together_s: float) -> int:
    """Return the number of deaths, those at about one time as one."""
    count = 0
    counted_at = -math.inf
    for at in times:
        if at - counted_at > together_s:
            count += 1
            counted_at = at
    return count
