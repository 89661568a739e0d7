"""Carries out what the planner of this process orders."""

import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import _clock, _connection, _events, _pool, _published

_logger: Final = logging.getLogger(__name__)
_OK: Final = 200
_CALL_LIMIT_S: Final = 8.0
_FREE_LIMIT_S: Final = 1.0
_MANY_PLANS: Final = 20
_GATHER_S: Final = 0.004
# Time after which a new configuration has probably arrived.
CONFIGURING_S: Final = 0.2
_MAX_ANSWER_BYTES: Final = 1_048_576

Settled = serving.RunAt | serving.Refuse
Answer = Callable[[Settled], None]
_Message = tuple[bytes, list[tuple[bytes, bytes]], bytes]


class LocalPlanning:
    """The planner of this process and its calls to stage services."""

    def __init__(
        self,
        published: _published.Published,
        pool: _pool.Pool,
        limits: serving.PlanLimits,
        nursery: trio.Nursery,
    ) -> None:
        self._published = published
        self._pool = pool
        self._nursery = nursery
        self._planner = serving.Planner(published.directory, limits)
        self._answers: dict[str, Answer] = {}
        self._changed = trio.Event()
        published.listen(self._follow)

    @property
    def waiting(self) -> int:
        """Plans that are not settled."""
        return self._planner.waiting

    def can_serve(self, ask: serving.PlanRequest) -> bool:
        """Whether the services of a request are configured here."""
        return self._planner.can_serve(ask)

    def submit(self, ask: serving.PlanRequest, answer: Answer) -> None:
        """Plan a request; the answer is called once."""
        self._answers[ask.key] = answer
        self._planner.submit(ask, _clock.now())
        self._changed.set()

    def note(self, key: str, event: str) -> None:
        """Take in what became of a request."""
        now = _clock.now()
        if event == 'started':
            self._planner.first_event_seen(key, now)
        elif event == 'cancelled':
            self._answers.pop(key, None)
            self._planner.cancel(key, now)
        else:
            self._planner.engine_ended(key, now, healthy=event != 'failed')
        self._changed.set()

    async def serve(self) -> None:
        """Step the planner whenever something has changed."""
        while True:
            self._changed = trio.Event()
            now = _clock.now()
            for action in self._planner.step(now):
                self._carry_out(action)
            pause_s = max(self._planner.wake_at(now) - now, 0)
            with trio.move_on_after(pause_s):
                await self._changed.wait()
            if self._planner.waiting > _MANY_PLANS:
                # A step looks at all plans: let some changes gather.
                await trio.sleep(_GATHER_S)

    def _follow(self) -> None:
        if self._published.configuration:
            self._planner.configure(self._published.configuration.services)
        self._changed.set()

    def _carry_out(self, action: serving.Action) -> None:
        if isinstance(action, serving.StartCall):
            self._nursery.start_soon(self._call, action)
        elif isinstance(action, serving.FreeResults):
            self._nursery.start_soon(self._free, action)
        else:
            answer = self._answers.pop(action.key, None)
            if answer:
                answer(action)

    async def _call(self, call: serving.StartCall) -> None:
        message = platform.stage_request(
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
        answer: tuple[serving.AnswerHead, bytes] | None = None
        with trio.move_on_after(_CALL_LIMIT_S):
            answer = await self._exchange(call.endpoint, message)
        results = _results(answer)
        refused = answer is not None and answer[0].not_run
        self._planner.call_ended(
            call.number, results, _clock.now(), ran=not refused
        )
        self._changed.set()

    async def _free(self, action: serving.FreeResults) -> None:
        host, _, port = action.address.rpartition(':')
        maker = next(
            (
                one
                for one in self._published.directory.endpoints
                if one.host == host and one.port == int(port)
            ),
            None,
        )
        if maker is None:
            return
        answer = None
        with trio.move_on_after(_FREE_LIMIT_S):
            answer = await self._exchange(
                maker, platform.free_request(action.handles)
            )
        if answer and answer[0].status == _OK:
            self._planner.results_freed(action.number)
            self._changed.set()

    async def _exchange(
        self, endpoint: serving.Endpoint, message: _Message
    ) -> tuple[serving.AnswerHead, bytes] | None:
        connection = await self._pool.take(endpoint, repeatable=True)
        if isinstance(connection, _connection.Broken):
            return None
        try:
            return await self._ask(connection, message)
        finally:
            with trio.CancelScope(shield=True):
                await self._pool.give_back(endpoint, connection)

    async def _ask(
        self, connection: _connection.Connection, message: _Message
    ) -> tuple[serving.AnswerHead, bytes] | None:
        target, headers, body = message
        broken = await connection.send(
            _connection.Outgoing('POST', target, headers, body)
        )
        head = broken or await connection.head()
        if not isinstance(head, serving.AnswerHead):
            return None
        answer = await connection.body(_MAX_ANSWER_BYTES)
        if isinstance(answer, _connection.Broken):
            return None
        return head, answer


def _results(
    answer: tuple[serving.AnswerHead, bytes] | None,
) -> tuple[serving.PieceResult, ...] | None:
    if answer is None or answer[0].status != _OK:
        return None
    try:
        outcomes = platform.stage_answer(answer[1])
    except platform.FormatError as error:
        _events.BAD_REQUEST.log(_logger, problem=str(error))
        return None
    return tuple(
        serving.PieceResult(one.handle, one.reason) for one in outcomes
    )
