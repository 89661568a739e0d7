"""One caller's request while it is served."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

from lentilspool import platform, retries, serving, settings
from lentilspool.gateway import (
    _clock,
    _events,
    _http_server,
    _metrics,
    _planning,
    _pool,
    _published,
    _stop,
)

_logger: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Time kept for the way of the answer back to the caller.
_RETURN_S: Final = 0.02
_RETRY_AFTER_S: Final = 0.1
# Part of the slack for retries; the rest is for pieces that planners resend,
# and for gateways that have not been heard of.
_SLACK_SHARE: Final = 0.7
UNAVAILABLE: Final = 503
BAD_GATEWAY: Final = 502
TIMED_OUT: Final = 504


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What every request uses."""

    own: settings.GatewaySettings
    """Settings of the process."""

    published: _published.Published
    """Configuration and endpoints."""

    pool: _pool.Pool
    """Connections to endpoints."""

    planning: _planning.Planning
    """Plans of requests with stages or prompts."""

    loads: serving.EndpointLoads
    """Load and health of plain endpoints."""

    budgets: 'Budgets'
    """Retry budgets of all services."""

    metrics: _metrics.GatewayMetrics
    """Counters and histograms."""

    stop: _stop.PlannedStop
    """The planned stop of the process."""

    patience: serving.RepeatCallerDetector
    """How long callers wait, by route."""


class Budgets:
    """Retry budgets by service; gateways share what the platform bears."""

    def __init__(
        self, limits: settings.SendSettings, gateways: Callable[[], int]
    ) -> None:
        self._limits = limits
        self._gateways = gateways
        self._budgets: dict[str, retries.RetryBudget] = {}

    def of(self, service: str) -> retries.RetryBudget:
        """Return the budget of a service, for the gateways known now."""
        reserve = self._limits.retry_slack * _SLACK_SHARE / self._gateways()
        reserve = max(reserve, 1)
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(
                retries_per_success=self._limits.retry_share, reserve=reserve
            )
            self._budgets[service] = budget
        budget.update_reserve(reserve)
        return budget


class Flight:
    """A request, its time and its answer."""

    def __init__(
        self,
        tools: Tools,
        call: serving.Call,
        body: bytes,
        reply: _http_server.Reply,
        matched: serving.Matched,
    ) -> None:
        self.tools = tools
        self.call = call
        self.body = body
        self.reply = reply
        self.matched = matched
        self.arrived_at = _clock.now()
        self.tally = serving.AttemptCounts()
        self.tried: set[str] = set()
        self.sent = False
        self.spent_s = 0.0
        if call.deadline_s is not None:
            self.spent_s = tools.patience.earlier_wait_s(
                matched.route.name, call.deadline_s
            )

    @property
    def route(self) -> serving.Route:
        """Route of the request."""
        return self.matched.route

    @property
    def team(self) -> str:
        """Name of the caller's team; empty if it has none."""
        return self.matched.team.name if self.matched.team else ''

    @property
    def caller_left_s(self) -> float:
        """Seconds that the caller goes on waiting."""
        waits_s = self.call.deadline_s
        if waits_s is None:
            waits_s = self.route.timeout_s
        return self.arrived_at + waits_s - _clock.now()

    @property
    def left_s(self) -> float:
        """Seconds until the final answer has to be written."""
        timeout_s = self.arrived_at + self.route.timeout_s - _clock.now()
        return min(self.caller_left_s, timeout_s) - _RETURN_S

    @property
    def patience_left_s(self) -> float:
        """Seconds until the caller leaves if it gets no event."""
        return self.arrived_at + self.route.patience_s - _clock.now()

    @property
    def target_left_s(self) -> float:
        """Seconds until the answer that the caller wants.

        Counted from its first attempt, as far as that can be known.
        """
        target_s = self.route.target_s - self.spent_s
        return self.arrived_at + target_s - _clock.now()

    def current_services(self) -> set[str]:
        """Return the services to which the request may go now."""
        routes = self.tools.published.routes
        call = self.call
        route = routes.route_of(call.host, call.path) if routes else None
        return {share.service for share in route.shares} if route else set()

    def note_sent(self, endpoint: serving.Endpoint, left_s: float) -> None:
        """Log that the request goes to an endpoint."""
        # Whether an attempt whose end is not known yet may have run.
        self.sent = True
        _events.SENT.log(
            _logger,
            request_id=self.call.request_id,
            endpoint=endpoint.name,
            service=endpoint.service,
            attempt=self.tally.sent + 1,
            left_ms=round(left_s * _MS),
            configuration=self.tools.published.version,
            listing=self.tools.published.revision,
        )

    def note_end(
        self,
        endpoint: serving.Endpoint,
        end: serving.AttemptOutcome,
        detail: object,
    ) -> None:
        """Count an attempt, and log how it ended."""
        self.tally = self.tally.add(end)
        self.sent = False
        if end is not serving.AttemptOutcome.answered:
            self.tried.add(endpoint.incarnation)
        _events.ATTEMPT_ENDED.log(
            _logger,
            request_id=self.call.request_id,
            endpoint=endpoint.name,
            end=end.value,
            detail=detail,
            after_ms=round((_clock.now() - self.arrived_at) * _MS),
        )

    async def deliver(self, head: serving.AnswerHead, body: bytes) -> None:
        """Give the caller the answer of an endpoint."""
        headers = [*head.headers, (b'content-length', str(len(body)).encode())]
        await self.reply.whole(head.status, headers, body)
        self.ended(head.status, 'delivered')

    async def refuse(self, reason: str, retry_after_s: float | None) -> None:
        """Answer that the request has not run, and when to come back."""
        if retry_after_s is None:
            retry_after_s = _RETRY_AFTER_S
        await self._answer(UNAVAILABLE, reason, retry_after_s)

    async def fail(self, status: int, reason: str) -> None:
        """Answer that the request may have run and has no answer."""
        await self._answer(status, reason, None)

    def ended(self, status: int, reason: str) -> None:
        """Log and count the final answer."""
        seconds = _clock.now() - self.arrived_at
        self.tools.metrics.request_ended(self.route.name, status, seconds)
        _events.ENDED.log(
            _logger,
            request_id=self.call.request_id,
            route=self.route.name,
            status=status,
            reason=reason,
            attempts=self.tally.sent,
            after_ms=round(seconds * _MS),
        )

    async def _answer(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        headers = platform.refusal_headers(self.call.request_id, retry_after_s)
        await self.reply.whole(status, headers, b'')
        self.ended(status, reason)
