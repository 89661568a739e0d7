"""Which prompt parts may have caused which endpoint deaths."""

import itertools
from collections.abc import Iterable
from typing import Final

from lentilspool.admission import _part_quarantine_types as types

_NO_DEATHS: Final[frozenset[str]] = frozenset()
# Share of the entries that is evicted at once, so that sorting them is rare.
_EVICTED_SHARE: Final = 8


class PartEvidence:
    """Pairs of a death and a part, each under suspicion or cleared.

    A cleared pair is remembered, so that a later report does not open it again.
    """

    def __init__(self, limits: types.PartLimits) -> None:
        self._limits = limits
        # Version of the last change of each pair, in the order of changes.
        self._changes: dict[tuple[str, str], int] = {}
        self._times: dict[str, float] = {}
        self._deaths: dict[str, set[str]] = {}
        self._parts: dict[str, set[str]] = {}
        self._often: dict[str, None] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    @property
    def size(self) -> int:
        """Number of pairs on record."""
        return len(self._changes)

    @property
    def often(self) -> dict[frozenset[str], list[str]]:
        """Return the parts with as many deaths as a refusal needs.

        They are grouped by their deaths: parts of one group can't be told
        apart.
        """
        groups: dict[frozenset[str], list[str]] = {}
        for part in self._often:
            groups.setdefault(frozenset(self._deaths[part]), []).append(part)
        return groups

    def deaths(self, part: str) -> Iterable[str]:
        """Return the deaths that count against a part."""
        return self._deaths.get(part, _NO_DEATHS)

    def count(self, part: str) -> int:
        """Return the number of deaths that count against a part."""
        return len(self._deaths.get(part, _NO_DEATHS))

    def times(self, deaths: Iterable[str]) -> list[float]:
        """Return when deaths were, in order."""
        return sorted(self._times[death] for death in deaths)

    def suspects(self, deaths: Iterable[str]) -> frozenset[str]:
        """Return the parts against which all of some deaths count."""
        shared = [self._parts[death] for death in deaths]
        return frozenset(set.intersection(*shared))

    def date(self, death: str, at: float) -> None:
        """Note when a death was; the earliest report holds."""
        self._times[death] = min(self._times.get(death, at), at)

    def suspect(self, death: str, part: str) -> bool:
        """Count a dated death against a part; return whether this is new."""
        pair = (death, part)
        if pair in self._changes:
            return False
        found = self._deaths.setdefault(part, set())
        found.add(death)
        if len(found) >= self._limits.deaths:
            self._often[part] = None
        self._parts.setdefault(death, set()).add(part)
        self._change(pair)
        return True

    def clear(self, death: str, part: str) -> bool:
        """Count a dated death no more; return whether this is new."""
        pair = (death, part)
        known = pair in self._changes
        if known and death not in self.deaths(part):
            return False
        self._close(death, part)
        self._change(pair)
        return True

    def changed_since(self, version: int) -> list[tuple[str, str]]:
        """Return the pairs that changed after a version, latest first."""
        changed = itertools.takewhile(
            lambda change: change[1] > version, reversed(self._changes.items())
        )
        return [pair for pair, _ in changed]

    def time(self, death: str) -> float:
        """Return when a death was."""
        return self._times[death]

    def forget(self, before: float) -> None:
        """Forget the deaths before a time, and what the bound excludes."""
        expired = {death for death, at in self._times.items() if at < before}
        if expired:
            self._drop([pair for pair in self._changes if pair[0] in expired])
            for death in expired:
                self._times.pop(death, None)
        if self.size > self._limits.max_entries:
            # The sort is stable: of equal ones the oldest change goes first.
            ordered = sorted(self._changes, key=self._weight)
            excess = self.size - self._limits.max_entries
            spare = self._limits.max_entries // _EVICTED_SHARE
            self._drop(ordered[: excess + spare])

    def _weight(self, pair: tuple[str, str]) -> int:
        """Return the number of deaths of a part; 0 for a cleared pair."""
        death, part = pair
        found = self._deaths.get(part, _NO_DEATHS)
        return len(found) if death in found else 0

    def _change(self, pair: tuple[str, str]) -> None:
        self._version += 1
        self._changes.pop(pair, None)
        self._changes[pair] = self._version

    def _drop(self, pairs: Iterable[tuple[str, str]]) -> None:
        for death, part in pairs:
            self._changes.pop((death, part))
            self._close(death, part)
        self._version += 1

    def _close(self, death: str, part: str) -> None:
        for table, key, other in (
            (self._deaths, part, death),
            (self._parts, death, part),
        ):
            found = table.get(key)
            if found is not None:
                found.discard(other)
                if not found:
                    table.pop(key)
        if len(self._deaths.get(part, _NO_DEATHS)) < self._limits.deaths:
            self._often.pop(part, None)
