"""Callers: open load, connections that are kept, whole answers read."""

import dataclasses
import math
import random
import types
import zlib
from typing import Final

import h11
import trio

from lentilspool.platform.tests import stand_ins
from soak import (
    _findings,
    _gateways,
    _history,
    _published,
    _recorder,
    _terms,
)

# Deadline that requests state, and patience of callers, beyond the timeout of
# the route.
_TOLD_S: Final = 0.5
_PATIENCE_S: Final = 1.0
_BYTES: Final = 65536
NOT_FOUND: Final = 404
_DESK: Final = 'desk'
_OK: Final = 200
# Share of resumable streams, and of long requests, whose caller leaves.
_BROKEN_SHARE: Final = 0.15
# Share of requests with a key that no team has.
_UNKNOWN_SHARE: Final = 0.02
_MOST_TRIES: Final = 3
# Pause in a resumable stream after which its caller goes elsewhere.
_PAUSE_S: Final = 0.4
_PROMPT_PARTS: Final = b'prompt-prefix'
_SHARED_TOKENS: Final = 200
_LAST_TOKENS: Final = 100
# First parts of prompts, so that several endpoints hold some of them.
_FIRST_PARTS: Final = 6
_SECOND_PARTS: Final = 3
_RETRY_S: Final = 0.1
_KINDS: Final = (
    ('once', _DESK, False, ()),
    ('again', _DESK, True, ()),
    ('moving', _DESK, True, ()),
    ('new0', _DESK, True, ()),
    ('draft', 'model', False, (1, 3)),
    ('resume', 'model', True, (2, 8)),
    (_published.LONG_ROUTE, 'model', False, (1, 3)),
)
_STREAMS: Final = tuple(kind for kind in _KINDS if kind[-1])
_ENDS: Final = types.MappingProxyType(
    {
        '': _terms.End.whole,
        'closed': _terms.End.closed,
        'broken': _terms.End.closed,
        'not whole': _terms.End.garbled,
        'deadline': _terms.End.left,
        'left': _terms.End.left,
    }
)
# Route, service, whether it may repeat, pieces by stage, and what ends endpoints.
Harmful = tuple[str, str, bool, tuple[int, ...], _findings.Harm]
HARMFUL: Final[tuple[Harmful, ...]] = (
    ('once', 'desk', False, (), _findings.Harm.request),
    ('again', 'desk', True, (), _findings.Harm.request),
    ('draft', 'model', False, (1, 3), _findings.Harm.request),
    ('resume', 'model', True, (2, 8), _findings.Harm.request),
    ('resume', 'model', True, (2, 8), _findings.Harm.pieces),
)


def _kind(asked: _findings.Asked) -> _terms.Kind:
    """Return the kind of a request, as the routes of the soak declare it."""
    if asked.counts:
        kinds = (_terms.Kind.stream, _terms.Kind.resumable)
    else:
        kinds = (_terms.Kind.unsafe, _terms.Kind.safe)
    return kinds[asked.repeatable]


def _shared_parts(target: bytes) -> tuple[str, ...]:
    """Draw the parts of a prompt that requests share."""
    drawn = zlib.crc32(target)
    return f'aa{drawn % _FIRST_PARTS}', f'bb{drawn % _SECOND_PARTS}'


def _parts_of(asked: _findings.Asked) -> tuple[str, ...]:
    """Return the parts of a prompt, which attempts of a stream share."""
    if not asked.counts:
        return ()
    return *(asked.parts or _shared_parts(asked.target)), asked.stream


def _prompt_of(asked: _findings.Asked) -> bytes:
    """Return the header that lists the parts of a prompt."""
    *shared, last = _parts_of(asked)
    listed = ''.join(f'{part}:{_SHARED_TOKENS},' for part in shared)
    return f'{listed}{last}:{_LAST_TOKENS}'.encode()


def _headers_of(asked: _findings.Asked) -> stand_ins.Headers:
    """Return the headers of a request."""
    pieces = ','.join(str(count) for count in asked.counts)
    headers = stand_ins.caller_headers(
        asked.request_id,
        _published.key_of(asked.team),
        _published.timeout_s_of(asked.route) + _TOLD_S,
        pieces,
    )
    length = str(len(asked.body)).encode()
    if asked.counts:
        headers = [
            *(one for one in headers if one[0].lower() != _PROMPT_PARTS),
            (_PROMPT_PARTS, _prompt_of(asked)),
        ]
    if asked.resumed_id:
        headers += stand_ins.resume_headers(asked.resumed_id, asked.after)
    return [
        *headers,
        (b'host', _published.HOST.encode()),
        (b'content-length', length),
    ]


def _encode(
    http: h11.Connection, asked: _findings.Asked, headers: stand_ins.Headers
) -> bytes:
    """Return the bytes of a request."""
    events = (
        h11.Request(method='POST', target=asked.target, headers=headers),
        h11.Data(data=asked.body),
        h11.EndOfMessage(),
    )
    return b''.join(http.send(event) or b'' for event in events)


@dataclasses.dataclass(slots=True)
class Progress:
    """How much of an answer was read, and of the stream in all attempts."""

    status: int = 0
    """Status of the latest answer; 0 before its head was read."""

    stamp: str = ''
    """Signature of the latest answer."""

    answer: str = ''
    """Digest of the latest answer, if it is whole and no stream."""

    whole: bool = False
    """Whether the latest answer is a whole success."""

    at_end: bool = False
    """Whether the gateway has ended the connection."""

    noted: int = 0
    """Events of the latest answer that were noted."""

    events: bytes = b''
    """Whole events of the latest answer, without their marks."""

    last_event: int = 0
    """Number of the last event of all attempts."""

    patience_s: float = math.inf
    """Time after which the caller leaves if no answer has begun."""

    leave_after: int = 0
    """Events after which the caller breaks its connection; 0 for never."""

    @property
    def leaves(self) -> bool:
        """Whether the caller breaks its connection now."""
        return 0 < self.leave_after <= self.noted

    @property
    def may_go_on(self) -> bool:
        """Whether the stream can be taken up again."""
        begun = 0 < self.last_event < _findings.EVENTS
        return begun and not self.whole

    def begin(self) -> None:
        """Begin the next attempt."""
        self.status = 0
        self.stamp = ''
        self.answer = ''
        self.whole = False
        self.at_end = False
        self.noted = 0
        self.events = b''

    def add(self, number: int) -> None:
        """Add an event."""
        self.noted += 1
        self.last_event = max(self.last_event, number)


class Caller:
    """One caller; uses its connection again while it stays open."""

    def __init__(
        self,
        number: int,
        gateways: list[_gateways.Gateway],
        findings: _findings.Findings,
        rng: random.Random,
    ) -> None:
        self._number = number
        self._gateways = gateways
        self._findings = findings
        self._rng = rng
        self._count = 0
        self._stream: trio.SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._gateway = gateways[0]
        self._used = False
        self._progress = Progress()

    async def serve(self, pause_s: float) -> None:
        """Ask again and again until cancelled."""
        while True:
            await trio.sleep(self._rng.expovariate(1 / pause_s))
            asked = self._next()
            if asked.target.startswith(b'/resume/'):
                await self.ask_stream(asked)
            else:
                self._progress = Progress()
                if asked.moved_to and self._rng.random() < _BROKEN_SHARE:
                    self._progress.patience_s = self._rng.uniform(0.05, 0.5)
                await self._ask(asked)

    async def repeat(
        self, number: int, harmful: Harmful, pause_s: float
    ) -> None:
        """Send a harmful request again and again, at any gateway."""
        name, service, repeatable, counts, harm = harmful
        content = f'harm-{number}'
        while True:
            self._count += 1
            asked = _findings.Asked(
                f'{content}-{self._count}',
                _published.TEAMS[0],
                f'/{name}/{content}'.encode(),
                f'body of {content}'.encode(),
                service,
                repeatable,
                counts,
                harm,
            )
            await self._ask(asked)
            await self._close()
            await trio.sleep(self._rng.uniform(0, 2 * pause_s))

    async def repeat_part(self, part: str, pause_s: float) -> None:
        """Send new requests with a fatal part of a prompt, at any gateway.

        It stands for the first or the second part.
        """
        self._findings.fatal_parts.names.add(part)
        place = zlib.crc32(part.encode()) % 2
        while True:
            await trio.sleep(self._rng.expovariate(1 / pause_s))
            self._count += 1
            name, service, repeatable, counts = self._rng.choice(_STREAMS)
            request_id = f'{part}-{self._count}'
            target = f'/{name}/{request_id}'.encode()
            shared = list(_shared_parts(target))
            shared[place] = part
            asked = _findings.Asked(
                request_id,
                _published.TEAMS[0],
                target,
                f'body of {request_id}'.encode(),
                service,
                repeatable,
                counts,
                parts=tuple(shared),
            )
            await self._ask(asked)
            await self._close()

    async def ask_stream(self, asked: _findings.Asked) -> None:
        """Ask for a stream, and take it up again at other gateways."""
        self._progress = Progress()
        breaks = self._rng.random() < _BROKEN_SHARE
        if breaks:
            last = _findings.EVENTS - 1
            self._progress.leave_after = self._rng.randint(1, last)
        await self._ask(asked)
        first = asked.request_id
        received = b''
        for _ in range(_MOST_TRIES):
            received += self._progress.events
            if not self._progress.may_go_on:
                return
            await self._close()
            await trio.sleep(_RETRY_S)
            self._progress.leave_after = 0
            self._count += 1
            again = dataclasses.replace(
                asked,
                request_id=f'{self._number}-{self._count}',
                resumed_id=first,
                received=received,
            )
            await self._ask(again)

    async def status_of(self, route: str) -> int:
        """Ask for a route of the plain service; return the status, or 0."""
        self._count += 1
        request_id = f'{route}-{self._number}-{self._count}'
        asked = _findings.Asked(
            request_id,
            _published.TEAMS[0],
            f'/{route}/{request_id}'.encode(),
            b'',
            'desk',
            repeatable=True,
        )
        await self._ask(asked)
        await self._close()
        return self._findings.status_of.get(request_id, 0)

    def _next(self) -> _findings.Asked:
        self._count += 1
        name, service, repeatable, counts = self._rng.choice(_KINDS)
        request_id = f'{self._number}-{self._count}'
        is_known = self._rng.random() >= _UNKNOWN_SHARE
        return _findings.Asked(
            request_id,
            self._rng.choice(_published.TEAMS) if is_known else '',
            f'/{name}/{request_id}?q=1'.encode(),
            f'body of {request_id}'.encode(),
            service,
            repeatable,
            counts,
            moved_to='counter' if name == 'moving' else '',
        )

    async def _ask(self, asked: _findings.Asked) -> None:
        self._progress.begin()
        self._findings.asks(asked)
        reason = 'deadline'
        time_s = _published.timeout_s_of(asked.route)
        with trio.move_on_after(time_s + _PATIENCE_S):
            try:
                reason = await self._exchange(asked)
            except (OSError, trio.BrokenResourceError):
                reason = 'broken'
            except h11.RemoteProtocolError:
                reason = 'not whole'
        self._note_end(asked, reason)
        if reason:
            # A caller that leaves on purpose does not miss its answer.
            if reason == 'left':
                self._findings.check_events(asked, self._progress.events)
            else:
                self._findings.unanswered(asked, reason, self._progress.events)
            await self._close()

    def _note_end(self, asked: _findings.Asked, reason: str) -> None:
        how = _ENDS[reason]
        if reason == 'not whole' and self._progress.at_end:
            how = _terms.End.closed
        recorder = self._findings.recorder
        ended = _history.Ended(
            recorder.now(),
            asked.request_id,
            how,
            self._progress.status,
            self._progress.stamp,
            self._progress.answer,
        )
        recorder.note(ended)

    def _note_sent(self, asked: _findings.Asked, prompt: str) -> None:
        recorder = self._findings.recorder
        time_s = _published.timeout_s_of(asked.route)
        parts = _parts_of(asked)
        sent = _history.Sent(
            recorder.now(),
            asked.request_id,
            self._gateway.name,
            asked.route,
            _kind(asked),
            time_s,
            deadline_s=time_s + _TOLD_S,
            timeout_s=time_s,
            content=_recorder.digest(asked.target, asked.body),
            team=asked.team,
            prompt=prompt,
            parts=parts,
            fatal_part=self._findings.fatal_parts.find(parts),
            pieces=asked.counts,
            key=asked.request_id if asked.counts else '',
            attempts=_published.attempts_of(repeatable=asked.repeatable),
            kept=self._used,
            after=asked.after,
            resumes=asked.resumed_id,
        )
        recorder.note(sent)

    async def _connect(self) -> trio.SocketStream:
        """Connect to a gateway, another one than before if there is one."""
        others = [one for one in self._gateways if one is not self._gateway]
        self._gateway = self._rng.choice(others or self._gateways)
        self._http = h11.Connection(h11.CLIENT)
        self._used = False
        return await trio.open_tcp_stream('127.0.0.1', self._gateway.callers)

    async def _exchange(self, asked: _findings.Asked) -> str:
        """Return why there is no answer; empty if there is one."""
        if self._stream is None:
            self._stream = await self._connect()
        headers = _headers_of(asked)
        request = _encode(self._http, asked, headers)
        await self._stream.send_all(request)
        self._note_sent(asked, _recorder.prompt_digest(headers))
        head = await self._head(self._stream)
        if head is None:
            return 'left'
        if not isinstance(head, h11.Response):
            return 'closed'
        stamp = stand_ins.decode_signature(head.headers)
        self._progress.status = head.status_code
        self._progress.stamp = stamp
        body = b''
        event = await self._next_part(asked, self._stream)
        while isinstance(event, h11.Data):
            body += bytes(event.data)
            self._note_events(asked, body)
            if self._progress.leaves:
                return 'left'
            event = await self._next_part(asked, self._stream)
        if event is None:
            return 'left'
        if not isinstance(event, h11.EndOfMessage):
            return 'closed'
        self._progress.whole = head.status_code == _OK
        if not asked.counts:
            self._progress.answer = _recorder.digest(body)
        self._findings.answered(asked, head.status_code, body, stamp)
        await self._keep()
        return ''

    def _note_events(self, asked: _findings.Asked, body: bytes) -> None:
        """Note the events that are whole and were not noted yet."""
        if not asked.counts or self._progress.status != _OK:
            return
        events = _findings.whole_events(body)
        self._progress.events = _findings.unmarked(events)
        recorder = self._findings.recorder
        for number, run in _findings.marks_of(body)[self._progress.noted :]:
            self._progress.add(number)
            got = _history.Got(recorder.now(), asked.request_id, number, run)
            recorder.note(got)

    async def _head(self, stream: trio.SocketStream) -> object | None:
        """Return the begin of an answer; None if the caller has left."""
        with trio.move_on_after(self._progress.patience_s):
            return await self._event(stream)
        return None

    async def _next_part(
        self, asked: _findings.Asked, stream: trio.SocketStream
    ) -> object | None:
        """Return the next part; None after too long a pause in a stream."""
        has_begun = self._progress.noted > 0
        may_leave = has_begun and self._progress.may_go_on and asked.repeatable
        with trio.move_on_after(_PAUSE_S if may_leave else math.inf):
            return await self._event(stream)
        return None

    async def _event(self, stream: trio.SocketStream) -> object:
        """Return the next part of an answer."""
        event: object = self._http.next_event()
        while event is h11.NEED_DATA:
            received = await stream.receive_some(_BYTES)
            self._progress.at_end = not received
            self._http.receive_data(received)
            event = self._http.next_event()
        return event

    async def _keep(self) -> None:
        """Keep the connection if another request may be sent on it."""
        states = {self._http.our_state, self._http.their_state}
        if states == {h11.DONE}:
            self._http.start_next_cycle()
            self._used = True
        else:
            await self._close()

    async def _close(self) -> None:
        stream = self._stream
        self._stream = None
        if stream:
            await trio.aclose_forcefully(stream)
