"""Estimates of a request's duration, and of its worth relative to its work.

In bursts, requests need more stage work than there is capacity. Those that
cannot finish in time are refused before any work is done for them, and the
scarce stage capacity goes to those with the highest worth per second of it.
"""

import math
from collections.abc import Iterable
from typing import Final

from lentilspool.serving import _forecast, _jobs, _plan_types, _stage_service

Services = dict[str, _stage_service.StageService]
# Added to the work of each request, which could otherwise be zero.
_MIN_WORK_S: Final = 0.001


def worth(
    plan_request: _plan_types.PlanRequest, limits: _plan_types.PlanLimits
) -> float:
    """Return the worth of a request: its tokens, weighted by priority."""
    tokens = 1.0
    if plan_request.prompt:
        tokens += plan_request.prompt.input_tokens
        tokens += plan_request.prompt.output_tokens * limits.output_token_weight
    return tokens * math.pow(limits.rank_weight, plan_request.priority)


def arrival_estimate(
    job: _jobs.Job, services: Services, limits: _plan_types.PlanLimits
) -> _jobs.ArrivalEstimate:
    """Return the estimate for a request that has just arrived."""
    return _jobs.ArrivalEstimate(
        worth(job.plan_request, limits),
        worth_rate_log2(job.plan_request, services, limits),
        tuple(after_stage_s(job, services, limits)),
    )


def worth_rate_log2(
    plan_request: _plan_types.PlanRequest,
    services: Services,
    limits: _plan_types.PlanLimits,
) -> int:
    """Return the base-2 logarithm of the worth per second of work.

    It is rounded, so that similar requests rank equally.
    """
    work_s = _MIN_WORK_S
    for stage in plan_request.stages:
        service = services.get(stage.service)
        if service and stage.pieces:
            work_s += stage.pieces * service.piece_s()
    if plan_request.prompt:
        work_s += (
            plan_request.prompt.input_tokens / limits.prefill_tokens_per_s / 10
        )
    return round(math.log2(max(worth(plan_request, limits) / work_s, 1)))


def min_remaining_s(
    job: _jobs.Job, services: Services, limits: _plan_types.PlanLimits
) -> float:
    """Return the seconds until the first event if nothing has to wait."""
    estimate_cache = job.estimate_cache
    if estimate_cache.min_remaining_s is None:
        estimate_cache.min_remaining_s = _min_remaining_s(job, services, limits)
    return estimate_cache.min_remaining_s


def _min_remaining_s(
    job: _jobs.Job,
    services: Services,
    limits: _plan_types.PlanLimits,
    without: int | None = None,
) -> float:
    ends: list[float] = []
    for number, stage in enumerate(job.stages):
        begin = max(
            (ends[earlier] for earlier in stage.stage_request.after), default=0
        )
        service = services.get(stage.stage_request.service)
        work_s = 0.0
        ignored = stage.done or number == without
        if service and stage.stage_request.pieces and not ignored:
            pieces = min(stage.stage_request.pieces, service.limits.batch)
            work_s = service.limits.call_s + pieces * service.limits.piece_s
        ends.append(begin + work_s)
    return max(ends, default=0) + limits.first_event_s


def starts_too_early(
    job: _jobs.Job,
    number: int,
    services: Services,
    limits: _plan_types.PlanLimits,
    now: float,
) -> bool:
    """Whether results of a stage would only wait for a parallel chain.

    In bursts, memory for large results is scarce. Stages that make them
    start when the parallel chain of stages is about to end, not earlier.
    """
    stage = job.stages[number]
    service = services.get(stage.stage_request.service)
    if (
        number not in job.stage_graph.side_stages
        or stage.begun
        or service is None
    ):
        return False
    others_remaining_s = job.estimate_cache.others_remaining_s
    if number not in others_remaining_s:
        others_s = _min_remaining_s(job, services, limits, without=number)
        others_remaining_s[number] = others_s - limits.first_event_s
    pieces = min(stage.stage_request.pieces, service.limits.batch)
    own_s = service.limits.call_s + pieces * service.limits.piece_s
    wait_s = service.wait_s(0, now) + service.limits.call_s
    return others_remaining_s[number] > own_s + wait_s


def engine_s(job: _jobs.Job, limits: _plan_types.PlanLimits) -> float:
    """Return the seconds an engine takes to the first event, without waits."""
    read = (
        job.plan_request.prompt.input_tokens if job.plan_request.prompt else 0
    )
    read -= job.plan_request.shared_tokens
    return limits.first_event_s + read / limits.prefill_tokens_per_s


def after_stage_s(
    job: _jobs.Job, services: Services, limits: _plan_types.PlanLimits
) -> list[float]:
    """Return the seconds from the end of each stage to the first event."""
    after_s = [engine_s(job, limits) for _ in job.stages]
    for number in reversed(range(len(job.stages))):
        stage = job.stages[number].stage_request
        service = services.get(stage.service)
        if service and stage.pieces:
            pieces = min(stage.pieces, service.limits.batch)
            work_s = service.limits.call_s + pieces * service.limits.piece_s
            for earlier in stage.after:
                after_s[earlier] = max(
                    after_s[earlier], work_s + after_s[number]
                )
    return after_s


def expected_stages_s(
    job: _jobs.Job,
    services: Services,
    ahead: dict[str, float],
    now: float,
) -> float:
    """Return the seconds until all stages are done.

    ``ahead`` is the number of pieces that go first, by service.
    """
    ends: list[float] = []
    for stage in job.stages:
        begin = max(
            (ends[earlier] for earlier in stage.stage_request.after), default=0
        )
        service = services.get(stage.stage_request.service)
        if service and stage.stage_request.pieces:
            limits = service.limits
            pieces = min(stage.stage_request.pieces, limits.batch)
            # The backlog shrinks while earlier stages of the request run.
            wait_s = service.wait_s(
                ahead.get(stage.stage_request.service, 0), now
            )
            begin = max(begin, wait_s)
            begin += limits.call_s + pieces * limits.piece_s
        ends.append(begin)
    return max(ends, default=0)


def _goes_before(other: _jobs.Job, job: _jobs.Job) -> bool:
    if other.rank.late != job.rank.late:
        return job.rank.late
    if other.plan_request.priority != job.plan_request.priority:
        return other.plan_request.priority < job.plan_request.priority
    return (
        other.arrival_estimate.worth_rate_log2
        >= job.arrival_estimate.worth_rate_log2
    )


def pieces_ahead(
    job: _jobs.Job, others: Iterable[_jobs.Job]
) -> dict[str, float]:
    """Return the number of waiting pieces of each service that go first."""
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
    forecast: _forecast.Forecast,
) -> list[_jobs.Job]:
    """Return the jobs, in their order, whose pieces may be sent.

    A job that has not begun is held back if it would be late after the jobs
    that have begun, and its services are busy. Its results would occupy
    memory, and the work would be lost. It waits until it can be on time, or
    is refused before any work is done for it.
    """
    found = list(jobs)
    backlog: dict[str, float] = {}
    for begun in found:
        if begun.begun:
            _add_pieces(backlog, begun)
    chosen = []
    for job in found:
        if not job.begun:
            left_s = expected_stages_s(job, services, backlog, now)
            left_s += engine_s(job, limits)
            late = now + forecast.corrected(left_s) > job.target_at
            if late and _is_busy(job, services, backlog, limits, now):
                continue
            _add_pieces(backlog, job)
            job.start_estimate = _jobs.StartEstimate(now, left_s)
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
    names = {
        stage.stage_request.service
        for stage in job.stages
        if stage.stage_request.pieces
    }
    waits = [
        services[name].wait_s(backlog.get(name, 0), now)
        for name in names
        if name in services
    ]
    return max(waits, default=0) > limits.busy_s
