"""What endpoints state of themselves, as known to one process.

A limit is learnt from an answer at one gateway and needed wherever requests
are placed, so gateways tell each other. It holds for one incarnation. A
backoff holds for one gateway.
"""

import dataclasses
from collections.abc import Container, Iterable
from typing import Final

from lentilspool.serving import _backoffs, _endpoints, _leaving, _pacing

# Seconds for which reports are told at once; afterwards only from time to time.
_RECENT_S: Final = 2.0
# Seconds for which it is known that a limit has ended, or what an endpoint that
# is no longer listed has stated.
_KEEP_S: Final = 60.0
# Reports in one message between gateways.
_MAX_REPORTS: Final = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """Limit that an endpoint states, as a process learnt it from an answer."""

    incarnation: str
    """Incarnation of the endpoint."""

    limit_per_s: float | None
    """Requests a second that it takes; None if it no longer states a limit."""

    origin: str
    """Process that got the answer."""

    number: int
    """Number of the report, which is unique at its origin."""

    age_s: float
    """Seconds since the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """A report, and when it was learnt."""

    report: LimitReport
    """The report."""

    stated_at: float
    """When the answer was received; for an end, when it was asked for."""

    learnt_at: float
    """When this process learnt it."""


class EndpointStatements:
    """Limits, backoffs and ends of endpoints, and the requests within limits.

    ``record_limit`` is called with each answer to this process, and
    ``record_backoff`` if the answer asks for it. ``reports``, ``totals`` and
    ``backoffs`` are told to other processes, which merge them. Before a request is
    sent to an endpoint, ``next_at`` must have passed, and ``record_sent``
    follows. ``gateway`` is the name of this process among gateways, and
    ``leaving_serves_s`` is for how long endpoints that leave go on serving.
    """

    def __init__(
        self,
        gateway: str = '',
        started_ms: int = 0,
        *,
        leaving_serves_s: float = 0,
    ) -> None:
        self._gateway = gateway
        self.leaving = _leaving.LeavingEndpoints(leaving_serves_s)
        self._origin = f'{gateway}/{started_ms}'
        self.backoffs = _backoffs.Backoffs()
        self._pacer = _pacing.RequestPacer()
        self._known: dict[str, _Known] = {}
        self._limits: dict[str, float] = {}
        self._last_number = 0

    @property
    def limits(self) -> dict[str, float]:
        """Limits in force in requests a second, by incarnation."""
        return self._limits

    def limit(self, incarnation: str) -> float | None:
        """Return the limit of an endpoint in requests a second, if any."""
        return self._limits.get(incarnation)

    def wants_less(self, incarnation: str, now: float) -> bool:
        """Whether an endpoint has a limit, or has asked this process for a backoff."""
        backoff_until = self.backoffs.until(self._gateway, incarnation)
        return incarnation in self._limits or backoff_until > now

    def next_at(
        self, incarnation: str, now: float, gateway: str | None = None
    ) -> float:
        """Return when an endpoint may get another request, or an earlier time.

        The request is sent by this process unless a gateway is named.
        """
        sender = self._gateway if gateway is None else gateway
        backoff_until = self.backoffs.until(sender, incarnation)
        if incarnation not in self._limits:
            return backoff_until
        return max(self._pacer.next_at(incarnation, now), backoff_until)

    def backoff_s(
        self,
        endpoints: Iterable[_endpoints.Endpoint],
        now: float,
        gateway: str | None = None,
    ) -> float:
        """Return how long all endpoints ask to be left alone; 0 if one does not."""
        if not self.backoffs.known:
            return 0
        sender = self._gateway if gateway is None else gateway
        first = min(
            (self.backoffs.until(sender, one.incarnation) for one in endpoints),
            default=0,
        )
        return max(first - now, 0)

    def backed_off(self, now: float) -> set[str]:
        """Return the endpoints that this process must leave alone."""
        return self.backoffs.incarnations(self._gateway, now)

    def record_backoff(
        self, incarnation: str, backoff_s: float, now: float
    ) -> None:
        """Record a backoff that an endpoint asks of this process."""
        self.backoffs.record(self._gateway, incarnation, backoff_s, now)

    def own_backoffs(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the backoffs asked of this process, with the seconds left."""
        return self.backoffs.told(self._gateway, now)

    def record_sent(self, incarnation: str, now: float) -> None:
        """Count a request that is sent to an endpoint, or granted."""
        limit = self._limits.get(incarnation)
        if limit is not None:
            self._pacer.record_sent(incarnation, limit, now)

    def record_limit(
        self,
        incarnation: str,
        limit_per_s: float | None,
        asked_at: float,
        now: float,
    ) -> bool:
        """Record the limit in an answer, or None; return whether it is new.

        ``asked_at`` is when the answered request was sent. Answers may overtake
        each other, so a limit rises or ends only with the answer to a request
        that was sent after the last statement of it.
        """
        known = self._known.get(incarnation)
        current = self._limits.get(incarnation)
        if current is None and limit_per_s is None:
            return False
        if known and _is_more(limit_per_s, current):
            if asked_at <= known.stated_at:
                return False
        if known and limit_per_s == current:
            self._known[incarnation] = dataclasses.replace(known, stated_at=now)
            return False
        self._last_number += 1
        report = LimitReport(
            incarnation, limit_per_s, self._origin, self._last_number, 0
        )
        stated_at = asked_at if limit_per_s is None else now
        self._learn(_Known(report, stated_at, now), now)
        return True

    def reports(
        self, now: float, *, everything: bool
    ) -> tuple[LimitReport, ...]:
        """Return the latest reports, or all, the newest first."""
        told = sorted(
            (
                one
                for one in self._known.values()
                if everything or now - one.learnt_at < _RECENT_S
            ),
            key=lambda one: -one.learnt_at,
        )
        return tuple(
            dataclasses.replace(one.report, age_s=now - one.stated_at)
            for one in told[:_MAX_REPORTS]
        )

    def totals(self) -> tuple[tuple[str, int], ...]:
        """Return the requests sent or granted here to endpoints with limits."""
        totals = [
            (incarnation, total)
            for incarnation, total in self._pacer.totals.items()
            if incarnation in self._limits
        ]
        return tuple(totals[:_MAX_REPORTS])

    def merge(
        self, reports: Iterable[LimitReport], now: float
    ) -> list[LimitReport]:
        """Merge the reports of another process; return those that are new."""
        changed = []
        for report in reports:
            known = self._known.get(report.incarnation)
            stated_at = now - max(report.age_s, 0)
            if known and not _replaces(report, stated_at, known):
                continue
            if known or report.limit_per_s is not None:
                changed.append(report)
            self._learn(_Known(report, stated_at, now), now)
        return changed

    def merge_totals(
        self, process: str, totals: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Count the requests that another process has sent or granted."""
        for incarnation, total in totals:
            limit = self._limits.get(incarnation)
            if limit is not None:
                self._pacer.merge_total(process, incarnation, total, limit, now)

    def forget_unlisted(self, listed: Container[str], now: float) -> None:
        """Forget what is no longer needed of endpoints."""
        self.backoffs.forget_ended(now)
        self.leaving.forget_unlisted(listed, now)
        for incarnation, known in list(self._known.items()):
            holds = incarnation in listed and incarnation in self._limits
            if not holds and now - known.learnt_at > _KEEP_S:
                self._known.pop(incarnation)
                self._limits.pop(incarnation, None)
                self._pacer.forget(incarnation)

    def _learn(self, known: _Known, now: float) -> None:
        incarnation = known.report.incarnation
        limit = known.report.limit_per_s
        self._known[incarnation] = known
        if limit is None:
            self._limits.pop(incarnation, None)
            self._pacer.end_limit(incarnation)
        else:
            old = self._limits.get(incarnation, limit)
            self._limits[incarnation] = limit
            self._pacer.change_limit(incarnation, old, limit, now)


def _is_more(limit: float | None, current: float | None) -> bool:
    """Whether a limit allows more requests than the current one."""
    if current is None:
        return False
    return limit is None or limit > current


def _replaces(report: LimitReport, stated_at: float, known: _Known) -> bool:
    """Whether a report is another one than the known one, and later."""
    same = (report.origin, report.number) == (
        known.report.origin,
        known.report.number,
    )
    return not same and stated_at > known.stated_at
