"""How long a request will take, and what it is worth for its work.

Answers bursts that ask for more stage work than there is: what cannot end
in time is refused before any work is spent on it, and the scarce stages go
to the requests that are worth most for each second of them.
"""

import math
from collections.abc import Iterable
from typing import Final

from lentilspool.serving import _jobs, _lanes, _plan_types

Services = dict[str, _lanes.StageService]
_LEAST_S: Final = 0.001


def value(ask: _plan_types.PlanAsk, limits: _plan_types.PlanLimits) -> float:
    """Return the worth of a request: its tokens, weighted by its rank."""
    tokens = 1.0
    if ask.prompt:
        tokens += ask.prompt.input_tokens
        tokens += ask.prompt.output_tokens * limits.output_token_weight
    return tokens * math.pow(limits.rank_weight, ask.priority)


def outlook(
    job: _jobs.Job, services: Services, limits: _plan_types.PlanLimits
) -> _jobs.Outlook:
    """Return what is expected of a request that has just arrived."""
    return _jobs.Outlook(
        value(job.ask, limits),
        bucket(job.ask, services, limits),
        tuple(tails_s(job, services, limits)),
    )


def bucket(
    ask: _plan_types.PlanAsk,
    services: Services,
    limits: _plan_types.PlanLimits,
) -> int:
    """Return the worth for each second of work, as a power of two."""
    work_s = _LEAST_S
    for stage in ask.stages:
        service = services.get(stage.service)
        if service and stage.pieces:
            work_s += stage.pieces * service.piece_s()
    if ask.prompt:
        work_s += ask.prompt.input_tokens / limits.prefill_tokens_per_s / 10
    return round(math.log2(max(value(ask, limits) / work_s, 1)))


def least_left_s(
    job: _jobs.Job, services: Services, limits: _plan_types.PlanLimits
) -> float:
    """Return the time to the first event if nothing has to wait."""
    if job.least_left_s is None:
        job.least_left_s = _least_left_s(job, services, limits)
    return job.least_left_s


def _least_left_s(
    job: _jobs.Job, services: Services, limits: _plan_types.PlanLimits
) -> float:
    ends: list[float] = []
    for stage in job.stages:
        begin = max((ends[earlier] for earlier in stage.ask.after), default=0)
        service = services.get(stage.ask.service)
        work_s = 0.0
        if service and not stage.done and stage.ask.pieces:
            pieces = min(stage.ask.pieces, service.limits.batch)
            work_s = service.limits.call_s + pieces * service.limits.piece_s
        ends.append(begin + work_s)
    return max(ends, default=0) + limits.first_event_s


def tails_s(
    job: _jobs.Job, services: Services, limits: _plan_types.PlanLimits
) -> list[float]:
    """Return the time from the end of each stage to the first event."""
    read = job.ask.prompt.input_tokens if job.ask.prompt else 0
    read -= job.ask.shared_tokens
    engine_s = limits.first_event_s + read / limits.prefill_tokens_per_s
    tails = [engine_s for _ in job.stages]
    for number in reversed(range(len(job.stages))):
        stage = job.stages[number].ask
        service = services.get(stage.service)
        if service and stage.pieces:
            pieces = min(stage.pieces, service.limits.batch)
            work_s = service.limits.call_s + pieces * service.limits.piece_s
            for earlier in stage.after:
                tails[earlier] = max(tails[earlier], work_s + tails[number])
    return tails


def expected_s(
    job: _jobs.Job,
    services: Services,
    ahead: dict[str, float],
    now: float,
) -> float:
    """Return the time until all stages are done, with others ahead."""
    ends: list[float] = []
    for stage in job.stages:
        begin = max((ends[earlier] for earlier in stage.ask.after), default=0)
        service = services.get(stage.ask.service)
        if service and stage.ask.pieces:
            limits = service.limits
            pieces = min(stage.ask.pieces, limits.batch)
            # What waits now is worked on while the stages before run.
            wait_s = service.wait_s(ahead.get(stage.ask.service, 0), now)
            begin = max(begin, wait_s)
            begin += limits.call_s + pieces * limits.piece_s
        ends.append(begin)
    return max(ends, default=0)


def _goes_before(other: _jobs.Job, job: _jobs.Job) -> bool:
    if other.rank.late != job.rank.late:
        return job.rank.late
    if other.ask.priority != job.ask.priority:
        return other.ask.priority < job.ask.priority
    return other.outlook.bucket >= job.outlook.bucket


def pieces_ahead(
    job: _jobs.Job, others: Iterable[_jobs.Job]
) -> dict[str, float]:
    """Return the waiting pieces of each service that go before the job's."""
    ahead: dict[str, float] = {}
    for other in others:
        if _goes_before(other, job):
            _add_pieces(ahead, other)
    return ahead


def startable(
    jobs: Iterable[_jobs.Job],
    services: Services,
    limits: _plan_types.PlanLimits,
    now: float,
) -> list[_jobs.Job]:
    """Return the jobs, in their order, whose pieces may be sent.

    A request that has had no work yet is held back if it would be late
    behind those that have, and their services are busy: its results would
    take up room, and its work be lost. It waits until there is time for it,
    or is refused unspent.
    """
    found = list(jobs)
    backlog: dict[str, float] = {}
    for begun in found:
        if begun.begun:
            _add_pieces(backlog, begun)
    chosen = []
    for job in found:
        if not job.begun:
            left_s = expected_s(job, services, backlog, now)
            left_s += limits.first_event_s
            late = now + left_s > job.target_at
            if late and _is_busy(job, services, backlog, limits, now):
                continue
            _add_pieces(backlog, job)
        chosen.append(job)
    return chosen


def _add_pieces(backlog: dict[str, float], job: _jobs.Job) -> None:
    for name, pieces in job.progress.waiting.items():
        backlog[name] = backlog.get(name, 0) + pieces


def _is_busy(
    job: _jobs.Job,
    services: Services,
    backlog: dict[str, float],
    limits: _plan_types.PlanLimits,
    now: float,
) -> bool:
    names = {stage.ask.service for stage in job.stages if stage.ask.pieces}
    waits = [
        services[name].wait_s(backlog.get(name, 0), now)
        for name in names
        if name in services
    ]
    return max(waits, default=0) > limits.busy_s


def ordered(
    jobs: Iterable[_jobs.Job],
    services: Services,
    limits: _plan_types.PlanLimits,
    now: float,
) -> list[_jobs.Job]:
    """Return jobs in the order in which they get work.

    Those that can still be on time go first, by their worth for each second
    of work and then by their targets.
    """

    found = list(jobs)
    for job in found:
        late = now + least_left_s(job, services, limits) > job.target_at
        late_begun = late and job.begun
        if (job.rank.late, job.rank.late_begun) != (late, late_begun):
            job.rank = rank(job, late=late, late_begun=late_begun)
    return sorted(found, key=lambda one: one.rank.key())


def rank(
    job: _jobs.Job, *, late: bool = False, late_begun: bool = False
) -> _jobs.Rank:
    """Return the place of a request among those that wait."""
    return _jobs.Rank(
        late,
        late_begun,
        job.ask.priority,
        job.outlook.bucket,
        job.deadline_at if late else job.target_at,
    )
