"""The planner of this process, and the calls that it requests."""

from collections.abc import Callable
from typing import Final

import trio

from lentilspool import serving
from lentilspool.gateway import (
    _clock,
    _connection,
    _endpoint_checks,
    _pool,
    _published,
    _stage_calls,
)

_STAGE_CALL_TIMEOUT_S: Final = 8.0
_FREE_CALL_TIMEOUT_S: Final = 1.0
_MANY_WAITING_PLANS: Final = 20
_CHANGE_BATCH_S: Final = 0.004
# By then a new configuration has probably arrived.
CONFIGURATION_RETRY_AFTER_S: Final = 0.2

PlanDecision = serving.RunAt | serving.Refuse
DecisionCallback = Callable[[PlanDecision | serving.Begun], None]


class LocalPlanning:
    """Runs the planner and executes its actions.

    The actions call stage services, and free stage results.
    """

    def __init__(
        self,
        published: _published.PublishedState,
        pool: _pool.ConnectionPool,
        checks: _endpoint_checks.EndpointChecks,
        limits: serving.PlanLimits,
        nursery: trio.Nursery,
        statements: serving.EndpointStatements,
    ) -> None:
        self._published = published
        self._stage_calls = _stage_calls.StageCalls(pool)
        self._checks = checks
        self._nursery = nursery
        self._statements = statements
        self._grants = serving.Grants(published.endpoint_index, statements)
        self._planner = serving.Planner(
            published.endpoint_index, limits, checks.quarantine, statements
        )
        self._callbacks: dict[str, DecisionCallback] = {}
        self._changed = trio.Event()
        published.subscribe(self._apply_published_state)
        checks.quarantine.subscribe(self._wake)

    @property
    def waiting(self) -> int:
        """Number of plans without a decision."""
        return self._planner.waiting

    def can_serve(self, plan_request: serving.PlanRequest) -> bool:
        """Whether the services of a request are configured here."""
        if plan_request.among:
            return True
        return self._planner.can_serve(plan_request)

    def submit(
        self, plan_request: serving.PlanRequest, callback: DecisionCallback
    ) -> None:
        """Plan a request.

        The callback receives its decision, once, and before that whether its
        first pieces are sent.
        """
        if plan_request.among:
            callback(self._grants.decide(plan_request, _clock.now()))
            return
        self._callbacks[plan_request.key] = callback
        self._planner.submit(plan_request, _clock.now())
        self._changed.set()

    def record_event(self, key: str, event: str) -> None:
        """Record ``started``, ``cancelled``, ``ended`` or ``failed``.

        ``key`` is the key of the plan request.
        """
        now = _clock.now()
        if event == 'started':
            self._planner.first_event_seen(key, now)
        elif event == 'cancelled':
            self._callbacks.pop(key, None)
            self._planner.cancel(key, now)
        else:
            self._planner.engine_ended(key, now, healthy=event != 'failed')
        self._changed.set()

    async def serve(self) -> None:
        """Step the planner after each change and when it is due."""
        while True:
            self._changed = trio.Event()
            now = _clock.now()
            for action in self._planner.step(now):
                self._execute(action)
            pause_s = max(self._planner.wake_at(now) - now, 0)
            with trio.move_on_after(pause_s):
                await self._changed.wait()
            if self._planner.waiting > _MANY_WAITING_PLANS:
                # A step visits all plans, so batch the changes of a few ms.
                await trio.sleep(_CHANGE_BATCH_S)

    def _apply_published_state(self) -> None:
        if self._published.configuration:
            self._planner.configure(self._published.configuration.services)
        self._changed.set()

    def _wake(self) -> None:
        self._changed.set()

    def _execute(self, action: serving.Action) -> None:
        if isinstance(action, serving.StartCall):
            self._nursery.start_soon(self._call, action)
        elif isinstance(action, serving.FreeResults):
            self._nursery.start_soon(self._free, action)
        elif isinstance(action, serving.CheckEndpoint):
            self._nursery.start_soon(self._check, action)
        else:
            self._report(action)

    def _report(self, action: PlanDecision | serving.Begun) -> None:
        callback = self._callbacks.get(action.key)
        if not isinstance(action, serving.Begun):
            self._callbacks.pop(action.key, None)
        if callback:
            callback(action)

    async def _call(self, call: serving.StartCall) -> None:
        answer: _stage_calls.CallAnswer | _connection.ExchangeFailure = (
            _connection.ExchangeFailure('no answer in time', sent=True)
        )
        with trio.move_on_after(_STAGE_CALL_TIMEOUT_S):
            answer = await self._stage_calls.run_pieces(call)
        sent, ran = True, True
        results: tuple[serving.PieceResult, ...] | None = None
        if isinstance(answer, _connection.ExchangeFailure):
            sent = answer.sent
        else:
            ran = not answer.head.not_run
            results = answer.results
            self._checks.record_answer()
        self._planner.call_ended(
            call.number, results, _clock.now(), ran=ran, sent=sent
        )
        self._changed.set()

    async def _check(self, action: serving.CheckEndpoint) -> None:
        await self._checks.wait(action.endpoint, action.contents)
        self._planner.check_ended(action.number)
        self._changed.set()

    async def _free(self, action: serving.FreeResults) -> None:
        host, _, port = action.address.rpartition(':')
        producer = next(
            (
                one
                for one in self._published.endpoint_index.endpoints
                if one.host == host and one.port == int(port)
            ),
            None,
        )
        if producer is None:
            return
        if self._statements.wants_less(producer.incarnation, _clock.now()):
            # It drops the results after a time.
            return
        freed = False
        with trio.move_on_after(_FREE_CALL_TIMEOUT_S):
            freed = await self._stage_calls.free_results(
                producer, action.handles
            )
        if freed:
            self._planner.results_freed(action.number)
            self._changed.set()
