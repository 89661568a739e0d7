"""Plans many requests over shared stage services and engines."""

import logging
from typing import Final

from lentilspool.serving import (
    _configuration,
    _endpoint_statements,
    _endpoints,
    _engine_waits,
    _engines,
    _estimates,
    _events,
    _fleet,
    _forecast,
    _jobs,
    _plan_types,
    _ranking,
    _suspects,
)

_logger: Final = logging.getLogger(__name__)
# Longest pauses between two steps, without and with waiting requests.
_IDLE_WAKE_S: Final = 3600.0
_WAITING_WAKE_S: Final = 0.1
_MS_PER_S: Final = 1000
_BYTES_PER_KB: Final = 1000
# Suggested to refused callers; also the wait for an engine past the target.
_RETRY_AFTER_S: Final = 0.5
_QUARANTINED: Final = 'quarantined'
_BACKOFF: Final = 'backoff'
_NO_VERSION: Final = 'no_engine_of_version'


class Planner:
    """Runs stages in shared calls and chooses engines.

    Bursts overload stage services whose endpoints run one call at a time.
    Calls therefore hold pieces of several requests, pieces are collected
    while the endpoint is busy, and requests wait in the order of their worth.

    ``submit`` adds a request; ``call_ended``, ``check_ended``, ``results_freed``,
    ``first_event_seen``, ``engine_ended`` and ``cancel`` report changes of
    calls and requests. After any of them, and at ``wake_at``, call ``step``
    and carry out its actions.
    """

    def __init__(
        self,
        endpoint_index: _endpoints.EndpointIndex,
        limits: _plan_types.PlanLimits | None = None,
        suspects: _suspects.Suspects | None = None,
        statements: _endpoint_statements.EndpointStatements | None = None,
    ) -> None:
        self._limits = limits or _plan_types.PlanLimits()
        suspects = suspects or _suspects.NoSuspects()
        self._suspicions = _suspects.JobSuspicions(suspects)
        statements = statements or _endpoint_statements.EndpointStatements()
        self._fleet = _fleet.Fleet(
            endpoint_index, self._limits, suspects, statements
        )
        self._stages = self._fleet.stages
        self._forecast = _forecast.Forecast()
        self._engine_waits = _engine_waits.EngineWaits(self._fleet, statements)
        self._jobs: dict[str, _jobs.Job] = {}
        self._outcomes: list[_plan_types.RunAt | _plan_types.Refuse] = []
        self._running: dict[str, tuple[_jobs.Job, _engines.Engine]] = {}

    @property
    def waiting(self) -> int:
        """Number of requests not yet sent to an engine or refused."""
        return len(self._jobs)

    def configure(self, services: dict[str, _configuration.Service]) -> None:
        """Apply the services of a new configuration."""
        self._fleet.configure(services)

    def can_serve(self, plan_request: _plan_types.PlanRequest) -> bool:
        """Whether all services of a request are configured here."""
        return self._fleet.can_serve(plan_request)

    def submit(self, plan_request: _plan_types.PlanRequest, now: float) -> None:
        """Add a request, or refuse it if it cannot finish in time."""
        self._fleet.update_endpoints()
        job = _jobs.Job(plan_request, now)
        refusal_s = self._suspicions.apply(job)
        if refusal_s is not None:
            self._refuse(job, _QUARANTINED, refusal_s, now)
            return
        if not self._fleet.has_version(plan_request):
            self._refuse(job, _NO_VERSION, _RETRY_AFTER_S, now)
            return
        job.arrival_estimate = _estimates.arrival_estimate(
            job, self._stages.services, self._limits
        )
        job.rank = _ranking.rank(job)
        job.zone = self._fleet.likely_engine_zone(job, now)
        backoff_s = self._engine_waits.backoff_s(job, now)
        if backoff_s is not None:
            self._refuse(job, _BACKOFF, backoff_s, now)
            return
        expected_s = self._expected_s(job, now)
        if expected_s > plan_request.deadline_s * self._limits.admit_share:
            reason, return_s = self._engine_waits.refusal(
                job, self._jobs.values(), expected_s, now
            )
            self._refuse(job, reason, return_s, now)
            return
        if not self._stages.retries.admits(job, now):
            self._refuse(job, 'retry_budget', _RETRY_AFTER_S, now)
            return
        self._jobs[plan_request.key] = job
        _events.PLANNED.log(
            _logger,
            request_id=plan_request.request_id,
            plan=plan_request.key,
            expected_ms=round(expected_s * _MS_PER_S),
            target_ms=round(plan_request.target_s * _MS_PER_S),
            waiting=len(self._jobs),
        )

    def call_ended(
        self,
        number: int,
        results: tuple[_plan_types.PieceResult, ...] | None,
        now: float,
        *,
        ran: bool = True,
        sent: bool = True,
    ) -> None:
        """Record the results of a call; None if there was no answer.

        ``ran`` is False if the endpoint said that it did not run the call,
        ``sent`` is False if the endpoint could not be reached.
        """
        self._stages.finish_call(number, results, now, ran=ran, sent=sent)
        self._refuse_failed(now)

    def check_ended(self, number: int) -> None:
        """Record that the endpoint of a lost call was checked."""
        self._stages.lost_calls.check_ended(number)

    def results_freed(self, number: int) -> None:
        """Record that an endpoint has dropped results."""
        self._stages.releaser.freed(number)

    def first_event_seen(self, key: str, now: float) -> None:
        """Record that an engine sent the first event of a request."""
        job, engine = self._running.get(key, (None, None))
        if job and engine:
            engine.started(key, now)
            start_estimate = job.start_estimate
            self._forecast.record(
                start_estimate.left_s, now - start_estimate.at
            )
            self._stages.close(job)

    def engine_ended(
        self, key: str, now: float, *, healthy: bool = True
    ) -> None:
        """Record that an engine no longer runs a request."""
        job, engine = self._running.pop(key, (None, None))
        if job and engine:
            engine.running.pop(key, None)
            if not healthy:
                engine.block_until(now + self._limits.block_s)
            self._stages.close(job)

    def cancel(self, key: str, now: float) -> None:
        """Remove a request whose caller has disconnected."""
        job = self._jobs.pop(key, None)
        if job:
            self._stages.close(job)
        self.engine_ended(key, now)

    def step(self, now: float) -> list[_plan_types.Action]:
        """Update the plan and return the actions to carry out now."""
        self._fleet.update_endpoints()
        self._stages.releaser.expire(now)
        self._refuse_late(now)
        self._stages.retry_lost(now)
        self._stages.retries.retry_deferred(now)
        self._stages.release_fetched_inputs(now)
        self._refuse_failed(now)
        jobs = _ranking.ordered(
            self._jobs.values(), self._stages.services, self._limits, now
        )
        chosen = _estimates.startable(
            jobs, self._stages.services, self._limits, now, self._forecast
        )
        self._stages.dispatch(chosen, now)
        for job in jobs:
            if job.done:
                self._choose_engine(job, now)
        outcomes = tuple(self._outcomes)
        self._outcomes.clear()
        return [*self._stages.take_actions(), *outcomes]

    def wake_at(self, now: float) -> float:
        """Return when to call ``step`` if nothing else happens before."""
        pause_s = _WAITING_WAKE_S if self._jobs else _IDLE_WAKE_S
        return min([now + pause_s, *self._stages.due_times()])

    def _expected_s(self, job: _jobs.Job, now: float) -> float:
        ahead = _estimates.pieces_ahead(job, self._jobs.values())
        services = self._stages.services
        stages_s = _estimates.expected_stages_s(job, services, ahead, now)
        engine_s = self._engine_waits.wait_s(
            job, self._jobs.values(), now + stages_s
        )
        plain_s = stages_s + engine_s + _estimates.engine_s(job, self._limits)
        return self._forecast.corrected(plain_s)

    def _refuse_late(self, now: float) -> None:
        """Refuse requests that cannot be served, or waited too long."""
        refused = self._suspicions.apply_changes(self._jobs.values())
        for suspect, refusal_s in refused:
            self._refuse(suspect, _QUARANTINED, refusal_s, now)
        refused = self._engine_waits.without_endpoint(self._jobs.values(), now)
        for backed_off, backoff_s in refused:
            self._refuse(backed_off, _BACKOFF, backoff_s, now)
        services = self._stages.services
        for job in list(self._jobs.values()):
            min_s = _estimates.min_remaining_s(job, services, self._limits)
            if not self._fleet.has_version(job.plan_request):
                self._refuse(job, _NO_VERSION, _RETRY_AFTER_S, now)
            elif min_s > job.deadline_at - now:
                self._refuse(job, 'deadline', None, now)
            elif _has_waited_late(job, min_s, self._limits, now):
                self._refuse(job, 'late', self._expected_s(job, now), now)

    def _refuse_failed(self, now: float) -> None:
        found = self._stages.retries.failed_jobs
        failed_jobs = tuple(found)
        found.clear()
        for failed_job in failed_jobs:
            if not failed_job.job.closed:
                self._refuse(
                    failed_job.job, failed_job.reason, _RETRY_AFTER_S, now
                )

    def _choose_engine(self, job: _jobs.Job, now: float) -> None:
        """Choose the engine for a request whose stages are done."""
        plan_request = job.plan_request
        pool = self._fleet.pool(plan_request.service)
        placement = pool.choose(
            plan_request, job.result_sizes, now, runs_apart=job.runs_apart
        )
        if placement is None:
            if now > job.target_at + _RETRY_AFTER_S:
                self._refuse(job, 'no_engine', _RETRY_AFTER_S, now)
            return
        self._jobs.pop(plan_request.key)
        pool.assign(placement, plan_request, now, runs_apart=job.runs_apart)
        self._running[plan_request.key] = (job, placement.engine)
        endpoint = placement.engine.endpoint
        results = job.results if job.stages else None
        self._outcomes.append(
            _plan_types.RunAt(
                plan_request.key, endpoint, results, placement.cache_source
            )
        )
        _events.PLACED.log(
            _logger,
            request_id=plan_request.request_id,
            plan=plan_request.key,
            endpoint=endpoint.name,
            read_tokens=placement.read_tokens,
            first_event_ms=round(placement.first_event_s * _MS_PER_S),
            fetch_from=placement.cache_source,
            running=len(placement.engine.running),
            waited_ms=round((now - job.arrived_at) * _MS_PER_S),
            zone=endpoint.zone,
            stage_zone=job.zone,
            result_kb={
                zone: round(size / _BYTES_PER_KB)
                for zone, size in job.result_sizes.items()
            },
        )

    def _refuse(
        self,
        job: _jobs.Job,
        reason: str,
        retry_after_s: float | None,
        now: float,
    ) -> None:
        plan_request = job.plan_request
        self._jobs.pop(plan_request.key, None)
        self._stages.close(job)
        self._outcomes.append(
            _plan_types.Refuse(plan_request.key, reason, retry_after_s)
        )
        _events.PLAN_REFUSED.log(
            _logger,
            request_id=plan_request.request_id,
            plan=plan_request.key,
            reason=reason,
            version=plan_request.version,
            waited_ms=round((now - job.arrived_at) * _MS_PER_S),
            waiting=len(self._jobs),
        )


def _has_waited_late(
    job: _jobs.Job, min_s: float, limits: _plan_types.PlanLimits, now: float
) -> bool:
    """Whether a request that will be late has waited for too long."""
    max_wait_s = job.plan_request.deadline_s * limits.late_wait_share
    late = now + min_s > job.target_at
    return late and job.has_waited(max_wait_s, now)
