"""Endpoints that keep a record of everything they were asked."""

import itertools
import random
import zlib
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import serving
from lentilspool.gateway import _http_server
from lentilspool.platform.tests import stand_ins
from soak import (
    _fatal_parts,
    _findings,
    _history,
    _proxy,
    _recorder,
    _statements,
    _terms,
)

_LIMITS: Final = serving.CallLimits(65536, 1_000_000, 5, 30)
_WORK_S: Final = 0.03
_EVENT_S: Final = 0.06
_LONG_WORK_S: Final = 1.2
# Time between events of long streams: the least, and what is drawn more.
_LONG_EVENT_S: Final = 0.15
_MORE_EVENT_S: Final = 0.45
_PERCENT: Final = 100
_names = itertools.count(1)


def _left_s(request: _http_server.Request) -> float | None:
    """Return the time until the deadline that a request states."""
    for name, stated in request.headers:
        if name.lower() == b'deadline-ms' and stated.isdigit():
            return int(stated) / 1000
    return None


def _event_s(request: _http_server.Request) -> float:
    """Return the time between events, drawn from the request's identity."""
    if not request.target.startswith(b'/story/'):
        return _EVENT_S
    drawn = zlib.crc32(request.target) % _PERCENT / _PERCENT
    return _LONG_EVENT_S + drawn * _MORE_EVENT_S


def pick(endpoints: list['Endpoint'], rng: random.Random) -> 'Endpoint':
    """Draw an endpoint; half of the time it is an engine."""
    service = rng.choice(('model', ''))
    engines = [one for one in endpoints if one.service == service]
    return rng.choice(engines or endpoints)


class Endpoint:
    """One start of an endpoint: plain, stage or engine, as it is asked."""

    def __init__(
        self,
        service: str,
        findings: _findings.Findings,
        ended: Callable[['Endpoint'], None],
        version: str = '',
    ) -> None:
        number = next(_names)
        self.name = f'{service}-{number}'
        self.service = service
        self.version = version
        self.born_ms = number
        self.ready = True
        # Whether it rejects everything, as if it were full.
        self.rejects = False
        self.statements = _statements.Statements(self.name, findings.recorder)
        self.work_s = _WORK_S
        self._sequence = 0
        self._silent_until = 0.0
        self._slow_factor = 1.0
        self._crashed_by = ''
        self._runs = itertools.count(1)
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

    def crash(self) -> None:
        """End with all results."""
        recorder = self._findings.recorder
        ended = _history.Disrupted(recorder.now(), self.name, 'crashed')
        recorder.note(ended)
        self.scope.cancel()

    def fall_silent(self, seconds: float) -> None:
        """Write nothing for a time, and go on."""
        self._silent_until = trio.current_time() + seconds
        now = self._findings.recorder.now()
        quiet = _history.Disrupted(now, self.name, _terms.QUIET)
        self._findings.recorder.note(quiet)

    async def slow_down(self, factor: float, seconds: float) -> None:
        """Work slower for a time, also on what has begun."""
        recorder = self._findings.recorder
        if self._slow_factor > 1:
            return
        self._slow_factor = factor
        recorder.note(
            _history.Disrupted(recorder.now(), self.name, _terms.SLOW)
        )
        await trio.sleep(seconds)
        self._slow_factor = 1
        over = _history.Disrupted(
            recorder.now(), self.name, _terms.SLOW, over=True
        )
        recorder.note(over)

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
        if misdirected:
            headers = stand_ins.rejection_headers(sent.request_id)
            await reply.write_complete(421, headers, b'')
            return
        if self.rejects or self.statements.rejects():
            now = self._findings.recorder.now()
            headers = self.statements.rejection_headers(sent.request_id, now)
            await reply.write_complete(503, headers, b'')
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
        """Work on a request, and record the run."""
        run = f'{self.name}/{next(self._runs)}'
        recorder = self._findings.recorder
        is_stream = sent.results is not None
        ran = _history.Ran(
            recorder.now(),
            sent.request_id,
            run,
            self.name,
            sent.last_event,
            _findings.EVENTS if is_stream else 0,
            _left_s(request),
            content=_recorder.digest(request.target, request.body),
            team=sent.team,
            has_key=bool(sent.api_key),
            prompt=_recorder.prompt_digest(request.headers),
            answer=(
                ''
                if is_stream
                else _recorder.digest(_findings.body_of(sent.request_id))
            ),
            inputs=sent.results or (),
            lasts_s=self._lasts_s(request, sent),
        )
        recorder.note(ran)
        how = _terms.Work.dropped
        try:
            await self._work(request, sent, reply, run)
            how = _terms.Work.whole
        finally:
            if self.scope.cancel_called:
                is_cause = self._crashed_by == sent.request_id
                how = _terms.Work.crashed if is_cause else _terms.Work.broken
            recorder.note(_history.Worked(recorder.now(), run, how))

    async def _work(
        self,
        request: _http_server.Request,
        sent: stand_ins.EndpointRequest,
        reply: _http_server.Reply,
        run: str,
    ) -> None:
        self._findings.ran(self, sent, request)
        await self._end_if_harmful(request, sent.request_id)
        arrived_at = self._findings.recorder.now()
        headers = stand_ins.answer_headers(sent.request_id, self.name)
        if sent.results is None:
            await self._pause(self._lasts_s(request, sent))
            body = _findings.body_of(sent.request_id)
            headers += self.statements.headers(sent.request_id, arrived_at)
            await self._whole(reply, headers, body)
            return
        headers += self.statements.headers(sent.request_id, arrived_at)
        self._findings.read(sent.request_id, sent.results)
        stream = sent.resumed_id or sent.request_id
        await reply.write_head(200, headers, b'')
        event_s = _event_s(request)
        for number in range(sent.last_event + 1, _findings.EVENTS + 1):
            await self._pause(event_s)
            event = _findings.event_of(stream, number, self.version, run)
            await reply.write_chunk(event)
        await reply.write_end()

    async def _end_if_harmful(
        self, request: _http_server.Request, request_id: str
    ) -> None:
        """End, a little later if it is because of a part of the prompt."""
        if self._findings.harms(request_id, _findings.Harm.request):
            self._crashed_by = request_id
            await self._crash()
        fatal_parts = self._findings.fatal_parts
        if fatal_parts.runs(request.headers):
            await trio.sleep(_fatal_parts.END_S)
            self._crashed_by = request_id
            fatal_parts.ends(self.name)
            await self._crash()

    def _lasts_s(
        self, request: _http_server.Request, sent: stand_ins.EndpointRequest
    ) -> float:
        """Return how long the work on a request lasts."""
        if sent.results is not None:
            return _event_s(request) * (_findings.EVENTS - sent.last_event)
        long = request.target.startswith(b'/moving/')
        return _LONG_WORK_S if long else self.work_s

    async def _pause(self, seconds: float) -> None:
        await trio.sleep(seconds * self._slow_factor)
        await trio.sleep_until(self._silent_until)

    async def _run_pieces(self, body: bytes, reply: _http_server.Reply) -> None:
        arrived_at = self._findings.recorder.now()
        pieces = stand_ins.decode_pieces(body)
        handles = [f'{self.address}/{next(self._handles)}' for _ in pieces]
        for piece, handle in zip(pieces, handles, strict=True):
            self._findings.piece(piece)
            self._note_piece(piece, handle)
        requests = {one.request_id for one in pieces}
        harmful = [
            request_id
            for request_id in requests
            if self._findings.harms(request_id, _findings.Harm.pieces)
        ]
        if harmful:
            await self._crash()
        await trio.sleep(self.work_s)
        for piece, handle in zip(pieces, handles, strict=True):
            self._findings.made(handle, piece)
        answer = stand_ins.encode_stage_answer(handles)
        headers = self.statements.headers('', arrived_at)
        await self._whole(reply, headers, answer)

    def _note_piece(self, piece: stand_ins.Piece, handle: str) -> None:
        recorder = self._findings.recorder
        asked = _history.Piece(
            recorder.now(),
            piece.request_id,
            self.name,
            piece.stage,
            piece.piece,
            piece.inputs,
            handle,
            piece.key,
        )
        recorder.note(asked)

    async def _crash(self) -> None:
        """End as a crashed process does: its connections are reset."""
        self.proxy.set_mode(_proxy.Mode.reset)
        self.crash()
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
