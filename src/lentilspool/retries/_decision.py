"""Decision whether to retry after an attempt without an answer."""

import dataclasses
import random
from typing import Final

from lentilspool import kernel
from lentilspool.retries import _backoff, _budget, _types

_MAX_ATTEMPTS: Final = 4

# Reasons that concern a single sidecar. Another one may run the request, and
# the refusal cost almost nothing, so such a retry is exempt from the budget.
_SIDECAR_REASONS: Final = frozenset(
    (
        kernel.NotRunReason.draining,
        kernel.NotRunReason.not_ready,
        kernel.NotRunReason.stale_version,
    )
)
# Reasons that may apply to the whole pool, so that a retry adds load.
_POOL_REASONS: Final = frozenset(
    (
        kernel.NotRunReason.overloaded,
        kernel.NotRunReason.ledger_full,
        kernel.NotRunReason.no_endpoint,
    )
)


def decide_retry(
    attempt: _types.Attempt,
    budget: _budget.RetryBudget,
    backoff: _backoff.Backoff,
    now: float,
    rng: random.Random,
) -> _types.NextStep:
    """Decide whether to retry the stage.

    A stage that is not repeatable is retried only after ``NotRun``. A retry
    spends the pool's budget, unless a sidecar refused the attempt for a
    reason that does not concern the other endpoints. A retry that is
    expected to end after the deadline is not made; the final outcome then
    tells the caller when to try again, where the outcome allows it.
    """
    if not _is_allowed(attempt):
        return _give_up(attempt, backoff)
    delay_s = _delay_s(attempt, backoff, rng)
    if delay_s + attempt.expected_s > attempt.remaining_s:
        return _give_up(attempt, backoff)
    if _is_exempt_from_budget(attempt) or budget.try_spend(now):
        return _types.Retry(delay_s)
    return _give_up(attempt, backoff)


def _is_allowed(attempt: _types.Attempt) -> bool:
    if attempt.number >= _MAX_ATTEMPTS:
        return False
    match attempt.outcome:
        case kernel.NotRun(reason=reason):
            return reason in _SIDECAR_REASONS or reason in _POOL_REASONS
        case kernel.Failed() | kernel.Unknown():
            return attempt.repeatable
        case _:
            return False


def _is_exempt_from_budget(attempt: _types.Attempt) -> bool:
    match attempt.outcome:
        case kernel.NotRun(reason=reason):
            return reason in _SIDECAR_REASONS and attempt.other_endpoints
        case _:
            return False


def _delay_s(
    attempt: _types.Attempt, backoff: _backoff.Backoff, rng: random.Random
) -> float:
    refused = isinstance(attempt.outcome, kernel.NotRun)
    if refused and attempt.other_endpoints:
        return 0
    retry_after_s = (
        0 if attempt.other_endpoints else _retry_after_s(attempt.outcome)
    )
    return backoff.delay_s(attempt.number, rng, retry_after_s)


def _retry_after_s(outcome: kernel.Outcome) -> float:
    match outcome:
        case kernel.NotRun() | kernel.Failed() | kernel.Late():
            return outcome.retry_after_s or 0
        case _:
            return 0


def _give_up(
    attempt: _types.Attempt, backoff: _backoff.Backoff
) -> _types.GiveUp:
    return _types.GiveUp(_final(attempt, backoff.default_retry_after_s()))


def _final(
    attempt: _types.Attempt, default_retry_after_s: float
) -> kernel.Outcome:
    match attempt.outcome:
        case kernel.NotRun(reason=reason, retry_after_s=None) as refused:
            if reason in _SIDECAR_REASONS or reason in _POOL_REASONS:
                return dataclasses.replace(
                    refused, retry_after_s=default_retry_after_s
                )
            return refused
        case kernel.Failed(retry_after_s=None) as failed:
            return dataclasses.replace(
                failed, retry_after_s=default_retry_after_s
            )
        case kernel.Late(retry_after_s=None) as late:
            return dataclasses.replace(
                late, retry_after_s=default_retry_after_s
            )
        case kernel.Unknown(reason=reason) if attempt.repeatable:
            return kernel.Failed(
                attempt.stage, reason.value, retry_after_s=default_retry_after_s
            )
        case outcome:
            return outcome
