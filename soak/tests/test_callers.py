"""Callers that take a broken stream up again, and what is recorded of it."""

import pathlib
import random

import trio

from lentilspool import serving
from lentilspool.gateway import _http_server
from lentilspool.platform.tests import stand_ins
from soak import _callers, _findings, _gateways, _history, _terms

LIMITS = serving.CallLimits(65536, 65536, 5, 30)
BREAK_AFTER = 2
VERSION = _findings.VERSIONS[0]


class Breaking:
    """A stand-in of gateways whose first stream breaks off."""

    def __init__(self, *, inserted: bytes = b'') -> None:
        self.headers: list[dict[bytes, bytes]] = []
        self._inserted = inserted

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        sent = stand_ins.decode_endpoint_request(request.headers)
        self.headers.append(dict(request.headers))
        headers = stand_ins.answer_headers(sent.request_id, 'model-1')
        await reply.write_head(200, headers, b'')
        first = len(self.headers) == 1
        last = BREAK_AFTER if first else _findings.EVENTS
        for number in range(sent.last_event + 1, last + 1):
            run = f'model-1/{len(self.headers)}'
            event = _findings.event_of('req', number, VERSION, run)
            await reply.write_chunk(event)
        if first:
            reply.abort()
        else:
            await reply.write_chunk(self._inserted)
            await reply.write_end()


async def play(breaking: Breaking, folder: pathlib.Path) -> _findings.Findings:
    """Let a caller ask for one stream at two gateways."""
    findings = _findings.Findings()
    server = _http_server.Server('127.0.0.1:0', breaking.serve, lambda: LIMITS)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        gateways = [_gateways.Gateway(f'g{one}', folder, 1) for one in (0, 1)]
        for gateway in gateways:
            gateway.callers = server.port
        caller = _callers.Caller(1, gateways, findings, random.Random(2))
        asked = _findings.Asked(
            'req', 'brides', b'/resume/req', b'', 'model', True, (1,)
        )
        with trio.fail_after(5):
            await caller.ask_stream(asked)
        nursery.cancel_scope.cancel()
    return findings


class TestBrokenStream:
    def test_is_taken_up_at_the_other_gateway(
        self, tmp_path: pathlib.Path
    ) -> None:
        breaking = Breaking()
        findings = trio.run(play, breaking, tmp_path)
        first, again = [
            one
            for one in findings.recorder.observations
            if isinstance(one, _history.Sent)
        ]
        assert (again.after, again.resumes) == (BREAK_AFTER, 'req')
        assert again.machine != first.machine
        assert breaking.headers[1][b'last-event-id'] == b'2'
        assert breaking.headers[1][b'resumes'] == b'req'
        assert not findings.broken

    def test_events_and_ends_are_recorded(self, tmp_path: pathlib.Path) -> None:
        findings = trio.run(play, Breaking(), tmp_path)
        seen = findings.recorder.observations
        events = [one for one in seen if isinstance(one, _history.Got)]
        ends = [one.how for one in seen if isinstance(one, _history.Ended)]
        assert [one.number for one in events] == list(range(1, 9))
        runs = [one.run for one in events]
        assert runs.count('model-1/1') == BREAK_AFTER
        assert set(runs[BREAK_AFTER:]) == {'model-1/2'}
        assert ends == [_terms.End.closed, _terms.End.whole]

    def test_foreign_event_is_still_found(self, tmp_path: pathlib.Path) -> None:
        event = _findings.event_of('other', 1, VERSION, 'model-1/1')
        findings = trio.run(play, Breaking(inserted=event), tmp_path)
        assert [one[:5] for one in findings.broken] == ['mixed']
