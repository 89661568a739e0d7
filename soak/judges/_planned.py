"""Planned work: when it goes on, and which lost requests fall into it."""

import collections
import dataclasses
import math
from typing import Final

from soak import _history, _terms
from soak.judges import _attempts

# The platform's figures: beside a change of configuration, cuts count if they
# are so many times as frequent as at other times, and not for requests that
# have used so much of their time.
_TIMES_AS_OFTEN: Final = 3.0
_USED_SHARE: Final = 0.7
_AFTER_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A request without a complete answer."""

    sent: _history.Sent
    """The request."""

    at: float
    """Moment at which its connection ended."""


class PlannedWork:
    """Signals and changes of configuration of a history."""

    def __init__(self, history: _history.History) -> None:
        self._bounds = history.bounds
        self._signals: dict[tuple[str, _terms.Change], list[float]] = (
            collections.defaultdict(list)
        )
        self._changes: dict[int, tuple[float, float]] = {}
        for seen in history.observations:
            if isinstance(seen, _history.Process):
                self._signals[seen.machine, seen.change].append(seen.at)
            elif isinstance(seen, _history.Configured):
                self._configure(seen)

    def terminated(self, cut: Cut) -> float | None:
        """Return the SIGTERM beside which a request was cut."""
        last = self._bounds.grace_s + _AFTER_S
        signals = self._signals[cut.sent.machine, _terms.Change.terminated]
        beside = [at for at in signals if at <= cut.at <= at + last]
        return beside[-1] if beside else None

    def is_reloaded(self, cut: Cut) -> bool:
        """Whether a request was cut by a SIGHUP."""
        last = self._bounds.config_apply_s
        return any(
            at <= cut.at and cut.sent.at <= at + last
            for at in self._signals[cut.sent.machine, _terms.Change.reloaded]
        )

    def is_configuring(self, at: float) -> bool:
        """Whether a change of configuration goes on."""
        last = self._bounds.config_apply_s + _AFTER_S
        return any(
            begin <= at <= taken + last
            for begin, taken in self._changes.values()
        )

    def configured(
        self, cuts: list[Cut], attempts: _attempts.Attempts
    ) -> list[Cut]:
        """Return the cuts that changes of configuration account for."""
        ends: collections.Counter[tuple[str, bool]] = collections.Counter()
        for attempt in attempts.all:
            if attempt.ended:
                beside = self.is_configuring(attempt.ended.at)
                ends[attempt.sent.machine, beside] += 1
        cut_at: collections.Counter[tuple[str, bool]] = collections.Counter(
            (cut.sent.machine, self.is_configuring(cut.at)) for cut in cuts
        )
        return [
            cut
            for cut in cuts
            if self.is_configuring(cut.at)
            and cut.at - cut.sent.at < _USED_SHARE * cut.sent.time_s
            and _is_more_often(cut.sent.machine, cut_at, ends)
        ]

    def _configure(self, seen: _history.Configured) -> None:
        begin, taken = self._changes.get(seen.version, (seen.at, math.inf))
        if seen.taken:
            taken = min(taken, seen.at)
        self._changes[seen.version] = (begin, taken)


def _is_more_often(
    machine: str,
    cut_at: collections.Counter[tuple[str, bool]],
    ends: collections.Counter[tuple[str, bool]],
) -> bool:
    """Compare the shares of requests that are cut, beside changes and apart."""
    beside = cut_at[machine, True] / max(ends[machine, True], 1)
    apart = cut_at[machine, False] / max(ends[machine, False], 1)
    return beside > _TIMES_AS_OFTEN * apart
