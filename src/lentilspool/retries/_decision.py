"""The decision after an attempt that brought no answer."""

import dataclasses
import random
from typing import Final

from lentilspool import kernel
from lentilspool.retries import _backoff, _budget, _types

_MAX_ATTEMPTS: Final = 4

# Reasons that concern one sidecar; another one may run the request, and
# the refusal has cost next to nothing.
_FREE_ELSEWHERE: Final = frozenset(
    (
        kernel.NotRunReason.draining,
        kernel.NotRunReason.not_ready,
        kernel.NotRunReason.stale_version,
    )
)
# Reasons that may hold for the whole pool, so that a retry adds load.
_BUDGETED_ELSEWHERE: Final = frozenset(
    (
        kernel.NotRunReason.overloaded,
        kernel.NotRunReason.ledger_full,
        kernel.NotRunReason.no_endpoint,
    )
)


def after_attempt(
    attempt: _types.Attempt,
    budget: _budget.RetryBudget,
    backoff: _backoff.Backoff,
    now: float,
    rng: random.Random,
) -> _types.NextStep:
    """Decide whether the stage is tried again.

    A stage that may not be repeated is tried again only after ``NotRun``.
    A retry is paid from the pool's budget, unless one sidecar refused
    for a reason of its own. No retry starts that would end after the
    deadline; the final outcome says when to come back.
    """
    if not _is_allowed(attempt):
        return _give_up(attempt, backoff)
    delay_s = _delay_s(attempt, backoff, rng)
    if delay_s + attempt.expected_s > attempt.remaining_s:
        return _give_up(attempt, backoff)
    if _is_free(attempt) or budget.try_spend(now):
        return _types.Retry(delay_s)
    return _give_up(attempt, backoff)


def _is_allowed(attempt: _types.Attempt) -> bool:
    if attempt.number >= _MAX_ATTEMPTS:
        return False
    match attempt.outcome:
        case kernel.NotRun(reason=reason):
            return reason in _FREE_ELSEWHERE or reason in _BUDGETED_ELSEWHERE
        case kernel.Failed() | kernel.Unknown():
            return attempt.repeatable
        case _:
            return False


def _is_free(attempt: _types.Attempt) -> bool:
    match attempt.outcome:
        case kernel.NotRun(reason=reason):
            return reason in _FREE_ELSEWHERE and attempt.other_endpoints
        case _:
            return False


def _delay_s(
    attempt: _types.Attempt, backoff: _backoff.Backoff, rng: random.Random
) -> float:
    refused = isinstance(attempt.outcome, kernel.NotRun)
    if refused and attempt.other_endpoints:
        return 0
    asked_s = 0 if attempt.other_endpoints else _retry_after_s(attempt.outcome)
    return backoff.delay_s(attempt.number, rng, asked_s)


def _retry_after_s(outcome: kernel.Outcome) -> float:
    match outcome:
        case kernel.NotRun() | kernel.Failed() | kernel.Late():
            return outcome.retry_after_s or 0
        case _:
            return 0


def _give_up(
    attempt: _types.Attempt, backoff: _backoff.Backoff
) -> _types.GiveUp:
    return _types.GiveUp(_final(attempt, backoff.come_back_s()))


def _final(attempt: _types.Attempt, come_back_s: float) -> kernel.Outcome:
    match attempt.outcome:
        case kernel.NotRun(reason=reason, retry_after_s=None) as refused:
            if reason in _FREE_ELSEWHERE or reason in _BUDGETED_ELSEWHERE:
                return dataclasses.replace(refused, retry_after_s=come_back_s)
            return refused
        case kernel.Failed(retry_after_s=None) as failed:
            return dataclasses.replace(failed, retry_after_s=come_back_s)
        case kernel.Late(retry_after_s=None) as late:
            return dataclasses.replace(late, retry_after_s=come_back_s)
        case kernel.Unknown(reason=reason) if attempt.repeatable:
            return kernel.Failed(
                attempt.stage, reason.value, retry_after_s=come_back_s
            )
        case outcome:
            return outcome
