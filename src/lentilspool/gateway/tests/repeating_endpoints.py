"""Endpoints that write an earlier answer once more on a kept connection."""

import dataclasses
import enum
import itertools
from functools import partial
from typing import Final

import trio

from lentilspool.gateway import _http_server
from lentilspool.gateway.tests import stating_fleet
from lentilspool.platform.tests import stand_ins

_OK: Final = 200
_UNAVAILABLE: Final = 503
_MISDIRECTED: Final = 421
_WORK_S: Final = 0.02
_IDLE_S: Final = 0.03
_STATUS: Final = slice(len(b'HTTP/1.1 '), len(b'HTTP/1.1 200'))
_handles: Final = itertools.count(1)


class Moment(enum.Enum):
    """When an earlier answer is written once more."""

    before_answer = 'before the next answer'
    after_request = 'at the next request'
    idle = 'while the connection is idle'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What endpoints refuse, and what they write once more."""

    repeated: tuple[str, ...] = ()
    """Statuses of the answers that are written once more."""

    moment: Moment = Moment.before_answer
    """When they are."""

    copies: int = 1
    """How often they are."""

    refuses_every: int = 0
    """Requests of which one is refused; 0 for none."""

    states_ids: bool = True
    """Whether refusals state the id of their request."""


class _Relayed:
    """One connection through a relay."""

    def __init__(
        self, fault: Fault, near: trio.SocketStream, far: trio.SocketStream
    ) -> None:
        self._fault = fault
        self._near = near
        self._far = far
        self._answer = bytearray()
        self._copies = b''

    async def serve(self) -> None:
        """Pass bytes on until either end closes."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass_requests, nursery.cancel_scope)
                nursery.start_soon(self._pass_answers, nursery.cancel_scope)
        finally:
            await trio.aclose_forcefully(self._near)
            await trio.aclose_forcefully(self._far)

    async def _pass_requests(self, scope: trio.CancelScope) -> None:
        try:
            async for received in self._near:
                if self._answer:
                    await self._begin_next()
                await self._far.send_all(received)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
        scope.cancel()

    async def _begin_next(self) -> None:
        self._copies = self._copy_answer()
        self._answer.clear()
        if self._fault.moment is Moment.after_request:
            await self._write_copies()

    async def _pass_answers(self, scope: trio.CancelScope) -> None:
        try:
            async for received in self._far:
                await self._write_copies()
                await self._near.send_all(received)
                self._answer += received
                if self._fault.moment is Moment.idle:
                    await trio.sleep(_IDLE_S)
                    self._copies = self._copy_answer()
                    await self._write_copies()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
        scope.cancel()

    def _copy_answer(self) -> bytes:
        status = self._answer[_STATUS].decode()
        repeated = status in self._fault.repeated
        return bytes(self._answer) * self._fault.copies if repeated else b''

    async def _write_copies(self) -> None:
        if self._copies:
            await self._near.send_all(self._copies)
        self._copies = b''


async def relay(
    fault: Fault, server: _http_server.Server, near: trio.SocketStream
) -> None:
    """Pass a connection on to a server, and repeat answers."""
    far = await trio.open_tcp_stream('127.0.0.1', server.port)
    await _Relayed(fault, near, far).serve()


class Endpoint(stating_fleet.Endpoint):
    """An endpoint behind a relay that repeats its answers.

    The bodies of its answers state the request that they belong to.
    """

    def __init__(self, fault: Fault, service: str, number: int) -> None:
        super().__init__(service, number)
        self._fault = fault
        self._port = 0
        self._asked = itertools.count(1)
        # Identities of requests that ran, once for each run.
        self.runs: list[str] = []
        # Request that each result was made for, by handle.
        self.made: dict[str, str] = {}
        # Handles that each run has read, by request.
        self.read: dict[str, tuple[str, ...]] = {}

    @property
    def port(self) -> int:
        """Port of its relay."""
        return self._port

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._server.serve)
            repeating = partial(relay, self._fault, self._server)
            listeners = await nursery.start(
                partial(trio.serve_tcp, repeating, 0, host='127.0.0.1')
            )
            self._port = listeners[0].socket.getsockname()[1]
            task_status.started()

    async def _serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        sent = stand_ins.decode_endpoint_request(request.headers)
        if sent.endpoint not in {'', self.name}:
            headers = stand_ins.rejection_headers(sent.request_id)
            await reply.write_complete(_MISDIRECTED, headers, b'')
        elif stand_ins.is_stage_free(request.target):
            await _write(reply, [], b'')
        elif self._refuses():
            headers = self._refusal_headers(sent.request_id)
            await reply.write_complete(_UNAVAILABLE, headers, b'')
        elif stand_ins.is_stage_run(request.target):
            await trio.sleep(_WORK_S)
            await _write(reply, [], self._make_results(request.body))
        else:
            await self._run(sent, reply)

    async def _run(
        self, sent: stand_ins.EndpointRequest, reply: _http_server.Reply
    ) -> None:
        self.runs.append(sent.request_id)
        self.read[sent.request_id] = sent.results or ()
        await trio.sleep(_WORK_S)
        headers = stand_ins.answer_headers(sent.request_id, self.name)
        body = f'id: 1\ndata: {sent.request_id}.\n\n'.encode()
        await _write(reply, headers, body)

    def _refuses(self) -> bool:
        every = self._fault.refuses_every
        return bool(every) and not next(self._asked) % every

    def _refusal_headers(self, request_id: str) -> stand_ins.Headers:
        headers = stand_ins.rejection_headers(request_id)
        if self._fault.states_ids and request_id:
            return headers
        return stand_ins.unnamed_headers(headers)

    def _make_results(self, body: bytes) -> bytes:
        pieces = stand_ins.decode_pieces(body)
        handles = [f'127.0.0.1:{self.port}/{next(_handles)}' for _ in pieces]
        for handle, piece in zip(handles, pieces, strict=True):
            self.made[handle] = piece.request_id
        return stand_ins.encode_stage_answer(handles)


async def _write(
    reply: _http_server.Reply, headers: stand_ins.Headers, body: bytes
) -> None:
    length = (b'content-length', str(len(body)).encode())
    await reply.write_complete(_OK, [*headers, length], body)
