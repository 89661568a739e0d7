"""Tests of parsing in steps, against h11 with all bytes at once."""

import h11
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lentilspool.gateway import _parser

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ANSWERS = [
    b'HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n%b' % (b'x' * 5000),
    b'%b%b0\r\n\r\n' % (CHUNKED, b'5;e=1\r\nhello\r\n' * 500),
    b'%b3\r\nabc\r\n0\r\nTrailer: t\r\n\r\nextra' % CHUNKED,
    b'HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end',
    b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut',
]
SPACES = b' ' * 60_000


def new_client() -> h11.Connection:
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method='GET', target='/', headers=[('host', 'h')]))
    client.send(h11.EndOfMessage())
    return client


class Outcome:
    """What a client has got from the bytes of an answer."""

    def __init__(self) -> None:
        self.kinds: list[str] = []
        self.body = b''

    def add(self, event: object) -> None:
        if isinstance(event, h11.Data):
            self.body += bytes(event.data)
        else:
            self.kinds.append(repr(event))


def parse_at_once(answer: bytes) -> Outcome:
    client = new_client()
    client.receive_data(answer)
    client.receive_data(b'')
    outcome = Outcome()
    try:
        while client.their_state not in {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}:
            outcome.add(client.next_event())
    except h11.RemoteProtocolError as error:
        outcome.add(str(error))
    return outcome


async def parse_in_steps(pieces: list[bytes]) -> Outcome:
    parser = _parser.Parser(new_client())
    outcome = Outcome()
    try:
        for piece in pieces:
            parser.receive(piece)
            await _parse_received(parser, outcome)
        parser.receive(b'')
        await _parse_received(parser, outcome)
    except h11.RemoteProtocolError as error:
        outcome.add(str(error))
    return outcome


async def _parse_received(parser: _parser.Parser, outcome: Outcome) -> None:
    done = {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}
    while parser.http.their_state not in done:
        event = await parser.next_event()
        if event is h11.NEED_DATA:
            return
        outcome.add(event)


class TestEvents:
    @given(
        st.sampled_from(ANSWERS),
        st.lists(st.integers(min_value=1, max_value=3000), max_size=9),
    )
    def test_any_split_gives_the_events_of_the_whole(
        self, answer: bytes, sizes: list[int]
    ) -> None:
        pieces = []
        rest = answer
        for size in sizes:
            pieces.append(rest[:size])
            rest = rest[size:]
        pieces = [piece for piece in (*pieces, rest) if piece]
        found = trio.run(parse_in_steps, pieces)
        expected = parse_at_once(answer)
        assert found.body == expected.body
        assert found.kinds == expected.kinds

    def test_bytes_after_an_answer_are_kept(self) -> None:
        async def check() -> bytes:
            parser = _parser.Parser(new_client())
            parser.receive(ANSWERS[2])
            await _parse_received(parser, Outcome())
            return parser.rest

        assert trio.run(check) == b'extra'


class TestCost:
    @pytest.mark.parametrize(
        'chunk_header',
        [
            b'1;%b\n\r\nx\r\n' % SPACES,
            b'1;%b' % SPACES,
            b'0\r\n%b' % (b'a: b\r\n' * 9000),
        ],
    )
    def test_long_chunk_header_is_refused(self, chunk_header: bytes) -> None:
        async def check() -> int:
            parser = _parser.Parser(new_client())
            parser.receive(CHUNKED + chunk_header)
            assert isinstance(await parser.next_event(), h11.Response)
            with pytest.raises(h11.RemoteProtocolError, match='too long'):
                await parser.next_event()
            return len(parser.http.trailing_data[0])

        assert trio.run(check) <= 4096

    @pytest.mark.parametrize(
        'answer',
        [
            CHUNKED + b'1\r\nx\r\n' * 5000,
            b'HTTP/1.1 100 Continue\r\n\r\n' * 2000,
        ],
    )
    def test_other_tasks_run_between_events(self, answer: bytes) -> None:
        turns = 0

        async def take_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        async def check() -> int:
            parser = _parser.Parser(new_client())
            parser.receive(answer)
            events = 0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_turns)
                while await parser.next_event() is not h11.NEED_DATA:
                    events += 1
                nursery.cancel_scope.cancel()
            return events

        events = trio.run(check)
        assert events >= 2000
        assert turns >= events // 100
