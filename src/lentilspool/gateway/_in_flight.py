"""A caller's request in flight, and what all requests share."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

from lentilspool import platform, retries, serving, settings
from lentilspool.gateway import (
    _attempt_run,
    _clock,
    _content_quarantine,
    _endpoint_checks,
    _events,
    _http_server,
    _metrics,
    _plain_placement,
    _planning,
    _pool,
    _prompt_progress,
    _published,
    _stop,
    _stream_records,
)

_logger: Final = logging.getLogger(__name__)
_MS_PER_S: Final = 1000
# Time reserved for sending the answer back to the caller.
_ANSWER_TRANSIT_S: Final = 0.02
_DEFAULT_RETRY_AFTER_S: Final = 0.1
_OK: Final = 200
_FIRST_SERVER_ERROR: Final = 500
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
_DELIVERED: Final = 'delivered'
# Share of the slack that requests may use for retries. The rest is for pieces
# that planners resend, and for gateways that are not known here yet.
_RETRY_SLACK_SHARE: Final = 0.7
UNAVAILABLE: Final = 503
BAD_GATEWAY: Final = 502
GATEWAY_TIMEOUT: Final = 504


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayContext:
    """Objects that all requests of a gateway share."""

    gateway_settings: settings.GatewaySettings
    """Settings of the process."""

    published: _published.PublishedState
    """Configuration and endpoints."""

    pool: _pool.ConnectionPool
    """Connections to endpoints."""

    planning: _planning.Planning
    """Planning of requests with stages or prompts."""

    loads: serving.EndpointLoads
    """Load and health of endpoints that are used without a plan."""

    budgets: 'RetryBudgets'
    """Retry budgets of all services."""

    quarantine: _content_quarantine.ContentQuarantine
    """Contents that must not run because endpoints ended under them."""

    checks: _endpoint_checks.EndpointChecks
    """Checks of endpoints that did not answer."""

    metrics: _metrics.GatewayMetrics
    """Counters and histograms."""

    stop: _stop.PlannedStop
    """The planned stop of the process."""

    repeat_callers: serving.RepeatCallerDetector
    """Estimates how long callers waited in earlier attempts, by route."""

    streams: _stream_records.StreamRecords
    """Software versions that began streams."""

    run_times: serving.RunTimes
    """How long runs at endpoints have taken lately."""

    statements: serving.EndpointStatements
    """Limits and backoffs of endpoints."""

    placement: _plain_placement.PlainPlacement
    """Choice of endpoints for requests that are not planned."""


class RetryBudgets:
    """Retry budgets by service.

    The gateways divide among them the retries that the platform tolerates.
    """

    def __init__(
        self, limits: settings.SendSettings, gateways: Callable[[], int]
    ) -> None:
        self._limits = limits
        self._gateways = gateways
        self._budgets: dict[str, retries.RetryBudget] = {}

    def for_service(self, service: str) -> retries.RetryBudget:
        """Return the budget of a service, given the number of gateways now."""
        reserve = (
            self._limits.retry_slack * _RETRY_SLACK_SHARE / self._gateways()
        )
        reserve = max(reserve, 1)
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(
                retries_per_success=self._limits.retry_share, reserve=reserve
            )
            self._budgets[service] = budget
        budget.update_reserve(reserve)
        return budget


class InFlightRequest:
    """A request that has no final answer yet."""

    def __init__(
        self,
        context: GatewayContext,
        call: serving.Call,
        body: bytes,
        reply: _http_server.Reply,
        matched: serving.Matched,
    ) -> None:
        self.context = context
        self.call = call
        self.body = body
        self.reply = reply
        self.matched = matched
        self.content = serving.content_digest(call, self.team, body)
        self.arrived_at = _clock.now()
        # When the caller got the last event of its stream.
        self.last_event_at = self.arrived_at
        self._prompt_progress = _prompt_progress.PromptProgress(call.prompt)
        self.attempt_counts = serving.AttemptCounts()
        self.tried_incarnations: set[str] = set()
        self.attempt_open = False
        self._run = _attempt_run.AttemptRun(context.run_times)
        self.prior_wait_s = 0.0
        if call.deadline_s is not None:
            self.prior_wait_s = context.repeat_callers.earlier_wait_s(
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
    def run(self) -> _attempt_run.AttemptRun:
        """The run of the current attempt."""
        return self._run

    @property
    def prompt_progress(self) -> _prompt_progress.PromptProgress:
        """What the current attempt has shown of the prompt."""
        return self._prompt_progress

    @property
    def output_tokens(self) -> int:
        """Largest number of tokens to generate; 0 without a prompt."""
        return self.call.prompt.output_tokens if self.call.prompt else 0

    @property
    def caller_time_left_s(self) -> float:
        """Seconds until the caller stops waiting."""
        waits_s = self.call.deadline_s
        if waits_s is None:
            waits_s = self.route.timeout_s
        return self.arrived_at + waits_s - _clock.now()

    @property
    def time_left_s(self) -> float:
        """Seconds until the final answer must be written."""
        timeout_s = self.arrived_at + self.route.timeout_s - _clock.now()
        return min(self.caller_time_left_s, timeout_s) - _ANSWER_TRANSIT_S

    @property
    def next_event_time_left_s(self) -> float:
        """Seconds until the caller abandons a stream without another event."""
        return self.last_event_at + self.route.patience_s - _clock.now()

    @property
    def target_time_left_s(self) -> float:
        """Seconds left to meet the target latency of the route.

        Counted from the caller's first attempt, as far as it is known.
        """
        target_s = self.route.target_s - self.prior_wait_s
        return self.arrived_at + target_s - _clock.now()

    @property
    def quarantine_s(self) -> float | None:
        """Seconds for which the request is refused; None if it may run."""
        quarantine = self.context.quarantine
        content_s = quarantine.refusal_s(self.content)
        if content_s is not None:
            return content_s
        parts = self._prompt_progress.parts
        return quarantine.prompt_refusal_s(parts) if parts else None

    def record_sent(
        self, endpoint: serving.Endpoint, time_left_s: float
    ) -> None:
        """Log that an attempt starts at an endpoint."""
        resumes = self.reply.begun or self.call.last_event is not None
        self._run.begin(
            self.route.name,
            endpoint,
            None if resumes else self.output_tokens,
        )
        # While an attempt is open, the request may have run.
        self.attempt_open = True
        self._prompt_progress.begin_attempt()
        _events.SENT.log(
            _logger,
            request_id=self.call.request_id,
            endpoint=endpoint.name,
            service=endpoint.service,
            version=endpoint.version,
            attempt=self.attempt_counts.sent + 1,
            left_ms=round(time_left_s * _MS_PER_S),
            configuration=self.context.published.version,
            listing=self.context.published.revision,
        )

    def record_outcome(
        self,
        endpoint: serving.Endpoint,
        outcome: serving.AttemptOutcome,
        detail: object,
    ) -> None:
        """Count and log the outcome of an attempt."""
        self.attempt_counts = self.attempt_counts.add(outcome)
        self.attempt_open = False
        if outcome is not serving.AttemptOutcome.answered:
            self.tried_incarnations.add(endpoint.incarnation)
        if outcome is serving.AttemptOutcome.unknown:
            self.context.checks.check(
                endpoint, (self.content,), self._prompt_progress.at_endpoint
            )
        elif outcome is not serving.AttemptOutcome.unsent:
            self.context.checks.record_answer()
        _events.ATTEMPT_ENDED.log(
            _logger,
            request_id=self.call.request_id,
            endpoint=endpoint.name,
            end=outcome.value,
            detail=detail,
            after_ms=round((_clock.now() - self.arrived_at) * _MS_PER_S),
        )

    async def deliver(self, head: serving.AnswerHead, body: bytes) -> None:
        """Send the caller the complete answer of an endpoint."""
        headers = list(head.headers)
        if head.status not in _STATUSES_WITHOUT_BODY:
            headers.append((b'content-length', str(len(body)).encode()))
        await self.reply.write_complete(head.status, headers, body)
        self.record_final_answer(head.status, _DELIVERED)

    async def refuse(self, reason: str, retry_after_s: float | None) -> None:
        """Answer that the request has not run and when to send it again."""
        if retry_after_s is None:
            retry_after_s = _DEFAULT_RETRY_AFTER_S
        await self._answer(UNAVAILABLE, reason, retry_after_s)

    async def fail(self, status: int, reason: str) -> None:
        """Answer that the request may have run but its answer is missing."""
        await self._answer(status, reason, None)

    def record_final_answer(self, status: int, reason: str) -> None:
        """Log and count the final answer."""
        if reason == _DELIVERED and status < _FIRST_SERVER_ERROR:
            self.context.quarantine.record_completion(self.content)
            # A stream without an event may be that of an endpoint that ended.
            is_stream = self.route.kind is serving.RouteKind.streaming
            was_written = self._prompt_progress.has_event or not is_stream
            if status == _OK and was_written:
                self.context.quarantine.record_completed_prompt(
                    self._prompt_progress.parts
                )
        seconds = _clock.now() - self.arrived_at
        self.context.metrics.record_request(self.route.name, status, seconds)
        _events.ENDED.log(
            _logger,
            request_id=self.call.request_id,
            route=self.route.name,
            status=status,
            reason=reason,
            attempts=self.attempt_counts.sent,
            after_ms=round(seconds * _MS_PER_S),
        )

    async def _answer(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        headers = platform.refusal_headers(self.call.request_id, retry_after_s)
        await self.reply.write_complete(status, headers, b'')
        self.record_final_answer(status, reason)
