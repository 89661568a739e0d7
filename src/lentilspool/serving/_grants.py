"""Grants plain requests to endpoints with limits, for all gateways.

Load pattern: each gateway places its plain requests alone, so that an
overloaded endpoint would get its limit from every one of them.
"""

import logging
from typing import Final

from lentilspool.serving import (
    _endpoint_statements,
    _endpoints,
    _events,
    _pacing,
    _plan_types,
)

_logger: Final = logging.getLogger(__name__)
_MS_PER_S: Final = 1000
_UNKNOWN_RETRY_AFTER_S: Final = 0.2


class Grants:
    """Decides which endpoint with a limit gets a plain request, if any."""

    def __init__(
        self,
        endpoint_index: _endpoints.EndpointIndex,
        statements: _endpoint_statements.EndpointStatements,
    ) -> None:
        self._endpoint_index = endpoint_index
        self._statements = statements
        self._return_times = _pacing.ReturnTimes()

    def decide(
        self, plan_request: _plan_types.PlanRequest, now: float
    ) -> _plan_types.RunAt | _plan_types.Refuse:
        """Grant one of the endpoints that a request names, or refuse it."""
        listed = {
            one.incarnation: one
            for one in self._endpoint_index.ready(plan_request.service)
            if one.incarnation in plan_request.among
        }
        if not listed:
            return _plan_types.Refuse(
                plan_request.key, 'unknown_endpoint', _UNKNOWN_RETRY_AFTER_S
            )
        next_at = {
            name: self._statements.next_at(name, now, plan_request.gateway)
            for name in listed
        }
        first = min(next_at, key=lambda name: next_at[name])
        wait_s = max(next_at[first] - now, 0)
        if wait_s <= plan_request.patience_s:
            self._statements.record_sent(first, now)
            return _plan_types.RunAt(
                plan_request.key, listed[first], None, '', wait_s
            )
        rates = [
            _pacing.rate_per_s(self._statements.limit(name) or 0)
            for name in listed
        ]
        return_s = wait_s
        if not plan_request.has_others:
            return_s = self._return_times.next_s(
                plan_request.service, return_s, sum(rates), now
            )
        _events.GRANT_REFUSED.log(
            _logger,
            request_id=plan_request.request_id,
            service=plan_request.service,
            endpoints=len(listed),
            rate_per_s=sum(rates),
            retry_after_ms=round(return_s * _MS_PER_S),
        )
        return _plan_types.Refuse(plan_request.key, 'limited', return_s)
