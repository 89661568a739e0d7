"""Endpoints that keep a record of everything they were asked."""

import itertools
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import serving
from lentilspool.gateway import _http_server
from lentilspool.platform.tests import stand_ins
from soak import _findings, _proxy

_LIMITS: Final = serving.CallLimits(65536, 1_000_000, 5, 30)
_WORK_S: Final = 0.03
_EVENT_S: Final = 0.02
_names = itertools.count(1)


class Endpoint:
    """One start of an endpoint: plain, stage or engine, as it is asked."""

    def __init__(
        self,
        service: str,
        findings: _findings.Findings,
        ended: Callable[['Endpoint'], None],
    ) -> None:
        number = next(_names)
        self.name = f'{service}-{number}'
        self.service = service
        self.born_ms = number
        self.version = _findings.VERSIONS[number % len(_findings.VERSIONS)]
        self.ready = True
        # Whether it rejects everything, as if it were full.
        self.rejects = False
        self.work_s = _WORK_S
        self._sequence = 0
        self._findings = findings
        self._ended = ended
        self._server = _http_server.Server(
            '127.0.0.1:0', self._serve, lambda: _LIMITS
        )
        self._results: dict[str, tuple[str, int, int]] = {}
        self._handles = itertools.count(1)
        self._proxy: _proxy.Proxy | None = None
        self.scope = trio.CancelScope()

    @property
    def proxy(self) -> _proxy.Proxy:
        """Way to the endpoint."""
        assert self._proxy is not None
        return self._proxy

    @property
    def address(self) -> str:
        """Address that it publishes."""
        return f'127.0.0.1:{self.proxy.port}'

    def next_sequence(self) -> int:
        """Return the number of the next write of its entry."""
        self._sequence += 1
        return self._sequence

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled, which is a crash."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._server.serve)
                self._proxy = _proxy.Proxy(self._server.port)
                nursery.start_soon(self._proxy.serve)
                task_status.started()

    async def _serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        sent = stand_ins.decode_endpoint_request(request.headers)
        for unit in _units(request, sent.request_id):
            self._findings.received(self.service, unit)
        misdirected = sent.endpoint and sent.endpoint != self.name
        if misdirected or self.rejects:
            headers = stand_ins.rejection_headers(sent.request_id)
            status = 421 if misdirected else 503
            await reply.write_complete(status, headers, b'')
        elif stand_ins.is_stage_run(request.target):
            await self._run_pieces(request.body, reply)
        elif stand_ins.is_stage_free(request.target):
            for handle in stand_ins.decode_freed_handles(request.body):
                self._results.pop(handle, None)
            await self._whole(reply, [], b'')
        else:
            await self._run(request, sent, reply)

    async def _run(
        self,
        request: _http_server.Request,
        sent: stand_ins.EndpointRequest,
        reply: _http_server.Reply,
    ) -> None:
        self._findings.ran(self, sent, request)
        if self._findings.harms(sent.request_id, _findings.Harm.request):
            await self._crash()
        headers = stand_ins.answer_headers(sent.request_id, self.name)
        if sent.results is None:
            await trio.sleep(self.work_s)
            body = _findings.body_of(sent.request_id)
            await self._whole(reply, headers, body)
            return
        self._findings.read(sent.request_id, sent.results)
        stream = sent.resumed_id or sent.request_id
        await reply.write_head(200, headers, b'')
        for number in range(sent.last_event + 1, _findings.EVENTS + 1):
            await trio.sleep(_EVENT_S)
            event = _findings.event_of(stream, number, self.version)
            await reply.write_chunk(event)
        await reply.write_end()

    async def _run_pieces(self, body: bytes, reply: _http_server.Reply) -> None:
        pieces = stand_ins.decode_pieces(body)
        for piece in pieces:
            self._findings.piece(piece)
        requests = {one.request_id for one in pieces}
        harmful = [
            request_id
            for request_id in requests
            if self._findings.harms(request_id, _findings.Harm.pieces)
        ]
        if harmful:
            await self._crash()
        await trio.sleep(self.work_s)
        handles = []
        for piece in pieces:
            handle = f'{self.address}/{next(self._handles)}'
            self._findings.made(handle, piece)
            handles.append(handle)
        await self._whole(reply, [], stand_ins.encode_stage_answer(handles))

    async def _crash(self) -> None:
        """End as a crashed process does: its connections are reset."""
        self.proxy.set_mode(_proxy.Mode.reset)
        self.scope.cancel()
        self._ended(self)
        await trio.sleep_forever()

    async def _whole(
        self,
        reply: _http_server.Reply,
        headers: stand_ins.Headers,
        body: bytes,
    ) -> None:
        length = (b'content-length', str(len(body)).encode())
        await reply.write_complete(200, [*headers, length], body)


def _units(request: _http_server.Request, request_id: str) -> list[str]:
    """Return names of the request, or of the pieces that it asks for."""
    if stand_ins.is_stage_free(request.target):
        return []
    if not stand_ins.is_stage_run(request.target):
        return [request_id]
    return [
        f'{piece.request_id}/{piece.stage}/{piece.piece}'
        for piece in stand_ins.decode_pieces(request.body)
    ]
