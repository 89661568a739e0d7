"""Conversion of endpoint answers into a sidecar's answers to calls."""

import dataclasses
from typing import Final

from lentilspool import dialects, kernel, wire
from lentilspool.daemons import _endpoint

_MS_PER_S: Final = 1000


def endpoint_outcome(
    call: wire.StageCall,
    answer: dialects.EndpointAnswer | kernel.NotRun,
    price: float,
) -> kernel.Outcome:
    """Return the outcome of a call from what the endpoint answered.

    An endpoint that cannot be reached gives ``no_endpoint`` for a call with
    a token and ``not_ready`` for one without.
    """
    match answer:
        case kernel.NotRun():
            return answer
        case dialects.Refused(reason=detail, unreachable=unreachable):
            reason = kernel.NotRunReason.overloaded
            if unreachable and call.token:
                reason = kernel.NotRunReason.no_endpoint
            elif unreachable:
                reason = kernel.NotRunReason.not_ready
            return kernel.NotRun(reason, answer.retry_after_s, detail)
        case dialects.Answered(body=body, units=units):
            cost = kernel.StageCost(call.stage, '', units * price, 1)
            return kernel.Complete(body, (cost,))
        case dialects.EndpointFailed(reason=detail, final=True):
            return kernel.Failed(call.stage, detail)
        case dialects.EndpointFailed(reason=detail):
            why = kernel.UnknownReason.endpoint_error
            return kernel.Unknown(call.token or '', why, detail=detail)


def make_stage_answer(
    call: wire.StageCall,
    outcome: kernel.Outcome,
    ran: _endpoint.EndpointRun,
    queued: int,
) -> wire.StageAnswer:
    """Return the message that carries an outcome to the entry.

    ``queued`` is the number of calls in the sidecar's queue.
    """
    template = wire.StageAnswer(
        call_id=call.call_id,
        request_id=call.request_id,
        stage=call.stage,
        attempt=call.attempt,
        digest=call.digest,
        outcome='failed',
        body=b'',
        cost=0,
        reason='',
        retry_after_ms=0,
        service_ms=int(ran.service_s * _MS_PER_S),
        queued=queued,
        death=ran.death,
    )
    match outcome:
        case kernel.Complete(answer=body, cost_by_stage=costs):
            cost = sum(part.cost for part in costs)
            return dataclasses.replace(
                template, outcome='complete', body=body, cost=cost
            )
        case kernel.NotRun(reason=why, retry_after_s=retry_s, detail=detail):
            return dataclasses.replace(
                template,
                outcome='not_run',
                reason=why.value or detail,
                retry_after_ms=int((retry_s or 0) * _MS_PER_S),
            )
        case kernel.Unknown(reason=unknown):
            return dataclasses.replace(
                template, outcome='unknown', reason=unknown.value
            )
        case kernel.Failed(reason=reason):
            return dataclasses.replace(template, reason=reason)
        case _:
            return dataclasses.replace(template, reason='unexpected outcome')
