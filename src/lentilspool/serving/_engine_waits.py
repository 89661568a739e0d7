"""Waits for the engines of a service, which may have limits or ask for backoffs.

Load pattern: all engines of a service are overloaded and take a few requests
a second, or shed load, while the stages before them have room.
"""

from collections.abc import Iterable

from lentilspool.serving import _endpoint_statements, _fleet, _jobs, _pacing


class EngineWaits:
    """Estimates when a request gets an engine, and when a refused one may."""

    def __init__(
        self,
        fleet: _fleet.Fleet,
        statements: _endpoint_statements.EndpointStatements,
    ) -> None:
        self._fleet = fleet
        self._statements = statements
        self._return_times = _pacing.ReturnTimes()

    def wait_s(
        self, job: _jobs.Job, others: Iterable[_jobs.Job], ready_at: float
    ) -> float:
        """Return the seconds from ``ready_at`` until an engine is free.

        ``others`` are all requests that have no engine yet.
        """
        service = job.plan_request.service
        pool = self._fleet.pool(service)
        if pool.limit_per_s() is None:
            return pool.wait_s(job.plan_request.gateway, ready_at)
        ahead = [
            other
            for other in others
            if other.plan_request.service == service and other is not job
        ]
        return pool.wait_s(job.plan_request.gateway, ready_at, len(ahead))

    def backoff_s(self, job: _jobs.Job, now: float) -> float | None:
        """Return the backoff for which a request is refused; None if it is not.

        It is if all endpoints of a service that it needs ask for so long that
        it would be late.
        """
        plan_request = job.plan_request
        pool = self._fleet.pool(plan_request.service)
        backoff_s = pool.backoff_s(plan_request.gateway, now)
        for stage in job.stages:
            service = self._fleet.stages.services.get(
                stage.stage_request.service
            )
            if service and not stage.done:
                backoff_s = max(backoff_s, service.backoff_s(now))
        return (
            backoff_s if backoff_s and now + backoff_s > job.target_at else None
        )

    def without_endpoint(
        self, jobs: Iterable[_jobs.Job], now: float
    ) -> list[tuple[_jobs.Job, float]]:
        """Return requests that backoffs refuse before they have begun.

        Also returns the backoff of each in seconds.
        """
        if not self._statements.backoffs.known:
            return []
        backoffs = (
            (job, self.backoff_s(job, now)) for job in jobs if not job.begun
        )
        return [
            (job, backoff_s)
            for job, backoff_s in backoffs
            if backoff_s is not None
        ]

    def refusal(
        self,
        job: _jobs.Job,
        others: Iterable[_jobs.Job],
        expected_s: float,
        now: float,
    ) -> tuple[str, float]:
        """Return why a request that cannot be in time is refused.

        Also returns after how many seconds its caller should come back.
        """
        service = job.plan_request.service
        limit_per_s = self._fleet.pool(service).limit_per_s()
        if limit_per_s is None:
            return 'no_time', expected_s
        wait_s = self.wait_s(job, others, now)
        return 'limited', self._return_times.next_s(
            service, wait_s, limit_per_s, now
        )
