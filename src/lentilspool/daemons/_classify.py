"""Conversion of answers and lost connections into outcomes."""

from lentilspool import kernel, wire
from lentilspool.daemons import _link

_MS = 1000
_NOT_RUN_REASONS = frozenset(reason.value for reason in kernel.NotRunReason)
_UNKNOWN_REASONS = frozenset(reason.value for reason in kernel.UnknownReason)


def outcome_of(
    answer: _link.Answer | _link.LinkLost, stage: str
) -> kernel.Outcome:
    """Return the outcome for an answer or for a lost connection.

    ``NotRun`` is returned only if the sidecar refused the call or if nothing
    was sent.
    """
    if isinstance(answer, _link.LinkLost):
        return _lost(answer)
    if isinstance(answer, wire.Refusal):
        return kernel.NotRun(
            kernel.NotRunReason.not_ready, detail=answer.reason
        )
    if isinstance(answer, wire.StageAnswer):
        return _answered(answer, stage)
    return kernel.Failed(stage, f'unexpected {type(answer).__name__}')


def not_run(reason: str, retry_after_ms: int) -> kernel.NotRun:
    """Return the refusal that a sidecar sent.

    A reason that this version does not know becomes ``overloaded``.
    """
    retry_after_s = retry_after_ms / _MS if retry_after_ms else None
    if reason in _NOT_RUN_REASONS:
        return kernel.NotRun(kernel.NotRunReason(reason), retry_after_s)
    return kernel.NotRun(
        kernel.NotRunReason.overloaded, retry_after_s, detail=reason
    )


def unknown(reason: str, token: str) -> kernel.Unknown:
    """Return the outcome of a call that may have run.

    A reason that this version does not know becomes ``endpoint_error``.
    """
    if reason in _UNKNOWN_REASONS:
        return kernel.Unknown(token, kernel.UnknownReason(reason))
    return kernel.Unknown(
        token, kernel.UnknownReason.endpoint_error, detail=reason
    )


def _lost(lost: _link.LinkLost) -> kernel.Outcome:
    if lost.sent:
        return kernel.Unknown('', kernel.UnknownReason.connection_lost)
    return kernel.NotRun(kernel.NotRunReason.not_ready)


def _answered(answer: wire.StageAnswer, stage: str) -> kernel.Outcome:
    match answer.outcome:
        case 'complete':
            return kernel.Complete(answer.body)
        case 'not_run':
            return not_run(answer.reason, answer.retry_after_ms)
        case 'unknown':
            return unknown(answer.reason, '')
        case _:
            return kernel.Failed(stage, answer.reason)
