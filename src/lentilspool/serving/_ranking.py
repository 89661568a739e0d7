"""Order in which requests get work.

Answers bursts of light and heavy kinds at once: the scarce stages go to what
can still be on time, and is worth most for each second of work.
"""

from collections.abc import Iterable

from lentilspool.serving import _estimates, _jobs, _plan_types


def ordered(
    jobs: Iterable[_jobs.Job],
    services: _estimates.Services,
    limits: _plan_types.PlanLimits,
    now: float,
) -> list[_jobs.Job]:
    """Return jobs in the order in which they get work.

    Those that can still be on time go first, by their worth for each second
    of work and then by their targets. Work that has begun keeps its place
    when it becomes late: its results hold room that others need, and what
    was spent on it would be lost.
    """
    found = list(jobs)
    for job in found:
        least_s = _estimates.min_remaining_s(job, services, limits)
        late = not job.begun and now + least_s > job.target_at
        if job.rank.late != late:
            job.rank = rank(job, late=late)
    return sorted(found, key=lambda one: one.rank.key())


def rank(job: _jobs.Job, *, late: bool = False) -> _jobs.Rank:
    """Return the place of a request among those that wait."""
    return _jobs.Rank(
        late,
        job.ask.priority,
        job.arrival_estimate.worth_rate_log2,
        job.deadline_at if late else job.target_at,
    )
