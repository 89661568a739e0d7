"""Callers: open load, connections that are kept, whole answers read."""

import dataclasses
import random
from typing import Final

import h11
import trio

from lentilspool.platform.tests import stand_ins
from soak import _findings, _gateways, _published

_DEADLINE_S: Final = 5.0
_BYTES: Final = 65536
NOT_FOUND: Final = 404
_OK: Final = 200
_MOST_RESUMED: Final = 3
_RESUME_S: Final = 0.1
_KINDS: Final = (
    ('once', 'desk', False, ()),
    ('again', 'desk', True, ()),
    ('draft', 'model', False, (1, 3)),
    ('resume', 'model', True, (2, 8)),
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
        # What came of an answer to a request with stages.
        self._partial = b''
        self._stream: trio.SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def serve(self, pause_s: float) -> None:
        """Ask again and again until cancelled."""
        while True:
            await trio.sleep(self._rng.expovariate(1 / pause_s))
            asked = self._next()
            await self._ask(asked)
            if asked.repeatable and asked.counts:
                await self._take_up(asked)

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

    async def _take_up(self, first: _findings.Asked) -> None:
        """Take up a stream that broke, at any gateway."""
        received = b''
        for attempt in range(_MOST_RESUMED):
            received += self._partial
            have = received.count(_findings.EVENT_END)
            if not received or have == _findings.EVENTS:
                return
            await trio.sleep(_RESUME_S)
            await self._close()
            await self._ask(
                dataclasses.replace(
                    first,
                    request_id=f'{first.request_id}-{attempt}',
                    resumed_id=first.request_id,
                    received=received,
                )
            )

    def _next(self) -> _findings.Asked:
        self._count += 1
        name, service, repeatable, counts = self._rng.choice(_KINDS)
        request_id = f'{self._number}-{self._count}'
        return _findings.Asked(
            request_id,
            self._rng.choice(_published.TEAMS),
            f'/{name}/{request_id}?q=1'.encode(),
            f'body of {request_id}'.encode(),
            service,
            repeatable,
            counts,
        )

    async def _ask(self, asked: _findings.Asked) -> None:
        self._findings.asks(asked)
        self._partial = b''
        reason = 'deadline'
        with trio.move_on_after(_DEADLINE_S):
            try:
                reason = await self._exchange(asked)
            except (OSError, trio.BrokenResourceError):
                reason = 'broken'
            except h11.RemoteProtocolError:
                reason = 'not whole'
        if reason:
            self._partial = _findings.whole_events(self._partial)
            self._findings.unanswered(asked, reason, self._partial)
            await self._close()

    async def _exchange(self, asked: _findings.Asked) -> str:
        """Return why there is no answer; empty if there is one."""
        if self._stream is None:
            gateway = self._rng.choice(self._gateways)
            self._http = h11.Connection(h11.CLIENT)
            self._stream = await trio.open_tcp_stream(
                '127.0.0.1', gateway.callers
            )
        await self._stream.send_all(self._request(asked))
        head = await self._event(self._stream)
        if not isinstance(head, h11.Response):
            return 'closed'
        body = b''
        event = await self._event(self._stream)
        while isinstance(event, h11.Data):
            body += bytes(event.data)
            if asked.counts and head.status_code == _OK:
                self._partial = body
            event = await self._event(self._stream)
        if not isinstance(event, h11.EndOfMessage):
            return 'closed'
        stamp = stand_ins.decode_signature(head.headers)
        self._findings.answered(asked, head.status_code, body, stamp)
        await self._keep()
        return ''

    async def _event(self, stream: trio.SocketStream) -> object:
        """Return the next part of an answer."""
        event: object = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await stream.receive_some(_BYTES))
            event = self._http.next_event()
        return event

    def _request(self, asked: _findings.Asked) -> bytes:
        pieces = ','.join(str(count) for count in asked.counts)
        headers = stand_ins.caller_headers(
            asked.request_id,
            _published.key_of(asked.team),
            _DEADLINE_S - 0.5,
            pieces,
        )
        if asked.resumed_id:
            have = asked.received.count(_findings.EVENT_END)
            headers += stand_ins.resume_headers(asked.resumed_id, have)
        length = str(len(asked.body)).encode()
        headers += [
            (b'host', _published.HOST.encode()),
            (b'content-length', length),
        ]
        events = (
            h11.Request(method='POST', target=asked.target, headers=headers),
            h11.Data(data=asked.body),
            h11.EndOfMessage(),
        )
        return b''.join(self._http.send(event) or b'' for event in events)

    async def _keep(self) -> None:
        """Keep the connection if another request may be sent on it."""
        states = {self._http.our_state, self._http.their_state}
        if states == {h11.DONE}:
            self._http.start_next_cycle()
        else:
            await self._close()

    async def _close(self) -> None:
        stream = self._stream
        self._stream = None
        if stream:
            await trio.aclose_forcefully(stream)
