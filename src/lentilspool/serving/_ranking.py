"""Order in which pieces of requests are dispatched.

In bursts of light and heavy requests, the scarce stage capacity goes to
requests that can still be on time and have the highest worth for each second
of work.
"""

from collections.abc import Iterable

from lentilspool.serving import _estimates, _jobs, _plan_types


def ordered(
    jobs: Iterable[_jobs.Job],
    services: _estimates.Services,
    limits: _plan_types.PlanLimits,
    now: float,
) -> list[_jobs.Job]:
    """Return the jobs in dispatch order, with their ranks updated.

    Jobs that can still be on time go first, by priority, then by worth for
    each second of work, then by target time. A job that has begun keeps its
    place when it becomes late, because its results occupy memory that others
    need and the work done so far would be lost.
    """
    found = list(jobs)
    for job in found:
        least_s = _estimates.min_remaining_s(job, services, limits)
        late = not job.begun and now + least_s > job.target_at
        if job.rank.late != late:
            job.rank = rank(job, late=late)
    return sorted(found, key=lambda one: one.rank.key())


def rank(job: _jobs.Job, *, late: bool = False) -> _jobs.Rank:
    """Return the sort key of a job in dispatch order."""
    return _jobs.Rank(
        late,
        job.plan_request.priority,
        job.arrival_estimate.worth_rate_log2,
        job.deadline_at if late else job.target_at,
    )
