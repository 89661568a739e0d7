"""The planner of this process, and the calls that it requests."""

import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import (
    _clock,
    _connection,
    _endpoint_checks,
    _events,
    _pool,
    _published,
)

_logger: Final = logging.getLogger(__name__)
_OK: Final = 200
_STAGE_CALL_TIMEOUT_S: Final = 8.0
_FREE_CALL_TIMEOUT_S: Final = 1.0
_MANY_WAITING_PLANS: Final = 20
_CHANGE_BATCH_S: Final = 0.004
# By then a new configuration has probably arrived.
CONFIGURATION_RETRY_AFTER_S: Final = 0.2
_MAX_ANSWER_BYTES: Final = 1_048_576

PlanDecision = serving.RunAt | serving.Refuse
DecisionCallback = Callable[[PlanDecision | serving.Begun], None]
_Message = tuple[bytes, list[tuple[bytes, bytes]], bytes]
_Answer = tuple[serving.AnswerHead, bytes]


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
        self._pool = pool
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
        message = platform.encode_stage_request(
            call.endpoint.name,
            [
                platform.PieceOrder(
                    piece.request_id,
                    piece.stage,
                    piece.piece,
                    piece.time_left_s,
                    piece.key,
                    piece.inputs,
                )
                for piece in call.pieces
            ],
        )
        answer: _Answer | _connection.ExchangeFailure = (
            _connection.ExchangeFailure('no answer in time', sent=True)
        )
        with trio.move_on_after(_STAGE_CALL_TIMEOUT_S):
            answer = await self._exchange(call.endpoint, message)
        sent, ran = True, True
        if isinstance(answer, _connection.ExchangeFailure):
            sent = answer.sent
        else:
            ran = not answer[0].not_run
            self._checks.record_answer()
        self._planner.call_ended(
            call.number, _results(answer), _clock.now(), ran=ran, sent=sent
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
        answer: _Answer | _connection.ExchangeFailure | None = None
        with trio.move_on_after(_FREE_CALL_TIMEOUT_S):
            answer = await self._exchange(
                producer, platform.encode_free_request(action.handles)
            )
        if isinstance(answer, tuple) and answer[0].status == _OK:
            self._planner.results_freed(action.number)
            self._changed.set()

    async def _exchange(
        self, endpoint: serving.Endpoint, message: _Message
    ) -> _Answer | _connection.ExchangeFailure:
        connection = await self._pool.acquire(endpoint, repeatable=True)
        if isinstance(connection, _connection.ExchangeFailure):
            return connection
        try:
            return await self._send_and_receive(connection, message)
        finally:
            with trio.CancelScope(shield=True):
                await self._pool.release(endpoint, connection)

    async def _send_and_receive(
        self, connection: _connection.Connection, message: _Message
    ) -> _Answer | _connection.ExchangeFailure:
        target, headers, body = message
        failure = await connection.send(
            _connection.Outgoing('POST', target, headers, body)
        )
        head = failure or await connection.receive_head()
        if isinstance(head, _connection.ExchangeFailure):
            return head
        answer = await connection.receive_body(_MAX_ANSWER_BYTES)
        if isinstance(answer, _connection.ExchangeFailure):
            return answer
        return head, answer


def _results(
    answer: _Answer | _connection.ExchangeFailure,
) -> tuple[serving.PieceResult, ...] | None:
    if not isinstance(answer, tuple) or answer[0].status != _OK:
        return None
    try:
        outcomes = platform.decode_stage_answer(answer[1])
    except platform.FormatError as error:
        _events.BAD_REQUEST.log(_logger, problem=str(error))
        return None
    return tuple(
        serving.PieceResult(one.handle, one.reason) for one in outcomes
    )
