"""Choice of an endpoint for an attempt of a plain request."""

import dataclasses
import itertools
from typing import Final

import trio

from lentilspool import serving
from lentilspool.gateway import _clock, _planning, _published

_counter: Final = itertools.count(1)
_NO_ENDPOINT_RETRY_AFTER_S: Final = 0.5
# Time for the planner to answer while other endpoints are free, and otherwise.
_QUICK_GRANT_S: Final = 0.1
_GRANT_S: Final = 0.5
_MIN_WAIT_S: Final = 0.01
_LIMITED: Final = 'limited'
_BACKOFF: Final = 'backoff'


@dataclasses.dataclass(frozen=True, slots=True)
class NoEndpoint:
    """Reason why no endpoint may get a request now."""

    reason: str
    """Reason, for logs."""

    retry_after_s: float | None
    """Seconds after which the caller should come back; None for the usual."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A plain request that needs an endpoint."""

    request_id: str
    """Identity of the request."""

    service: str
    """Service that runs it."""

    tried: frozenset[str]
    """Incarnations of endpoints that must not get it again."""

    time_left_s: float
    """Seconds until its answer is due."""

    patience_s: float
    """Seconds for which it may wait for an endpoint."""


class PlainPlacement:
    """Chooses endpoints for requests that are not planned.

    The least loaded endpoint that has not asked for a backoff is chosen here. If it states a
    limit, the planner is asked for it, because the limit holds for all gateways
    together.
    """

    def __init__(
        self,
        published: _published.PublishedState,
        loads: serving.EndpointLoads,
        statements: serving.EndpointStatements,
        planning: _planning.Planning,
    ) -> None:
        self._published = published
        self._loads = loads
        self._statements = statements
        self._planning = planning
        # When the planner may grant another request, by service.
        self._next_grant_at: dict[str, float] = {}

    async def choose(self, ask: Ask) -> serving.Endpoint | NoEndpoint:
        """Return the endpoint for the next attempt, or why there is none."""
        left = self._left(ask)
        if not left:
            return await self._wait_for_backoff(
                ask, self._none_left(ask.service)
            )
        limited = {one.incarnation for one in left if self._is_limited(one)}
        now = _clock.now()
        if limited and self._prefers_limited(left, limited, now):
            decision = await self._ask_planner(ask, limited, len(left))
            if isinstance(decision, serving.RunAt):
                return await self._take_turn(ask, decision)
            if len(limited) == len(left):
                wait_s = decision.retry_after_s or _NO_ENDPOINT_RETRY_AFTER_S
                return NoEndpoint(decision.reason, wait_s)
        # The listing and the limits may have changed meanwhile.
        return self._choose_free(ask)

    def has_other(self, ask: Ask) -> bool:
        """Whether an endpoint without a limit is left for another attempt."""
        return not isinstance(self._choose_free(ask), NoEndpoint)

    async def _take_turn(
        self, ask: Ask, decision: serving.RunAt
    ) -> serving.Endpoint | NoEndpoint:
        """Wait for the turn at an endpoint with a limit."""
        if decision.wait_s:
            await trio.sleep(decision.wait_s)
        if decision.endpoint in self._left(ask):
            return decision.endpoint
        # It has asked for a backoff, leaves, or has gone meanwhile.
        patience_s = ask.patience_s - decision.wait_s
        return await self.choose(
            dataclasses.replace(ask, patience_s=patience_s)
        )

    async def _wait_for_backoff(
        self, ask: Ask, missing: NoEndpoint
    ) -> serving.Endpoint | NoEndpoint:
        """Choose again when the first backoff ends, if that is soon enough."""
        wait_s = max(missing.retry_after_s or 0, _MIN_WAIT_S)
        patience_s = ask.patience_s - wait_s
        if missing.reason != _BACKOFF or patience_s < 0:
            return missing
        await trio.sleep(wait_s)
        return await self.choose(
            dataclasses.replace(ask, patience_s=patience_s)
        )

    def _none_left(self, service: str) -> NoEndpoint:
        ready = self._published.endpoint_index.ready(service)
        backoff_s = self._statements.backoff_s(ready, _clock.now())
        if backoff_s:
            return NoEndpoint(_BACKOFF, backoff_s)
        return NoEndpoint('no_endpoint', _NO_ENDPOINT_RETRY_AFTER_S)

    def _choose_free(self, ask: Ask) -> serving.Endpoint | NoEndpoint:
        free = tuple(
            one for one in self._left(ask) if not self._is_limited(one)
        )
        chosen = self._loads.choose(free, (), _clock.now())
        return chosen or NoEndpoint(_LIMITED, _NO_ENDPOINT_RETRY_AFTER_S)

    def _left(self, ask: Ask) -> tuple[serving.Endpoint, ...]:
        ready = self._published.endpoint_index.ready(ask.service)
        excluded = ask.tried | self._statements.backed_off(_clock.now())
        return tuple(one for one in ready if one.incarnation not in excluded)

    def _is_limited(self, endpoint: serving.Endpoint) -> bool:
        return self._statements.limit(endpoint.incarnation) is not None

    def _prefers_limited(
        self, left: tuple[serving.Endpoint, ...], limited: set[str], now: float
    ) -> bool:
        """Whether to ask for an endpoint with a limit before the others."""
        if len(limited) == len(left):
            return True
        if self._next_grant_at.get(left[0].service, 0) > now:
            return False
        chosen = self._loads.choose(left, (), now)
        return chosen is not None and chosen.incarnation in limited

    async def _ask_planner(
        self, ask: Ask, limited: set[str], endpoints: int
    ) -> serving.RunAt | serving.Refuse:
        all_limited = len(limited) == endpoints
        patience_s = max(ask.patience_s, 0) if all_limited else 0
        key = f'{ask.request_id}/{next(_counter)}'
        plan = self._planning.plan(
            serving.PlanRequest(
                key=self._planning.unique_key(key),
                request_id=ask.request_id,
                route='',
                service=ask.service,
                stages=(),
                piece_key='',
                prompt=None,
                target_s=ask.time_left_s,
                deadline_s=ask.time_left_s,
                priority=0,
                zone='',
                gateway=self._planning.own_name,
                among=tuple(sorted(limited)),
                has_others=not all_limited,
                patience_s=patience_s,
            )
        )
        decision: serving.RunAt | serving.Refuse = serving.Refuse(
            key, _LIMITED, _NO_ENDPOINT_RETRY_AFTER_S
        )
        with trio.move_on_after(_GRANT_S if all_limited else _QUICK_GRANT_S):
            decision = await plan.wait_for_decision()
        plan.report_event('cancelled')
        if isinstance(decision, serving.Refuse):
            wait_s = decision.retry_after_s or 0
            self._next_grant_at[ask.service] = _clock.now() + wait_s
        return decision
