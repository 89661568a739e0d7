"""Malformed requests and frames against a running entry and sidecar.

Each is drawn from a seeded generator: valid requests and frames with bytes
changed, cut or repeated, and plain garbage. ``unhandled_errors`` counts log
records with a traceback and parts that ended; after each batch a good
request must be answered.
"""

import json
import logging
import random
from collections.abc import Iterator
from typing import Final

import trio

from lentilspool import wire
from standins import _fleet

_BATCH: Final = 100
_WAIT_S: Final = 0.05
_MAX_CHANGES: Final = 8
_MAX_GARBAGE: Final = 200
_BYTE: Final = 256
_KNOWN_LENGTH: Final = 10
_OK: Final = 200
_KINDS: Final = ('body', 'request', 'frame', 'garbage')
_GOOD: Final = json.dumps({'team': 't', 'input': {'text': 'a b'}})
_DOCUMENT: Final = (
    '{"pipelines": {"lookup": {"stages": [{"name": "encode", "pool": "p"}]}},'
    '"pools": {"p": {"kind": "stage"}}, "teams": {"t": {}}}'
)
_MESSAGES: Final = (
    wire.Hello(wire.PROTOCOL_VERSION, 'x', 1, 'z'),
    wire.Hello(wire.PROTOCOL_VERSION + 1, 'x', 1, 'z'),
    wire.AdmitCall(1, 'r', 'd', 1, 't'),
    wire.AdmitCall(1, 'r', 'd', 1, 't', token='a'),
    wire.ConfigPush(9, 'd', (b'{}', b'')),
    wire.ConfigDigest(-1, ''),
    wire.Cancel(-5),
    wire.Refusal(0, ''),
    wire.CollectCall(1, 't'),
)


class _Tracebacks(logging.Handler):
    """Counts records that carry a traceback."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Count a record with a traceback."""
        self.count += record.exc_info is not None


def run(*, seed: int = 1, inputs: int = 2000) -> Iterator[dict[str, object]]:
    """Yield the figures of one run."""
    yield {'arm': 'lentilspool', 'seed': seed, **trio.run(_run, seed, inputs)}


async def _run(seed: int, inputs: int) -> dict[str, object]:
    rng = random.Random(seed)
    errors = _Tracebacks()
    root = logging.getLogger()
    root.setLevel(logging.ERROR)
    root.addHandler(errors)
    unanswered = 0
    async with trio.open_nursery() as nursery:
        plan = _fleet.Plan(json.loads(_DOCUMENT), {'p': 1})
        fleet = _fleet.Fleet(plan, nursery)
        await fleet.start()
        for _ in range(inputs // _BATCH):
            async with trio.open_nursery() as batch:
                drawn = [_draw(rng) for _ in range(_BATCH)]
                for each in drawn:
                    batch.start_soon(_send, fleet, each)
            reply = await fleet.request('lookup', 't', {'text': 'a'})
            unanswered += reply.status != _OK
        nursery.cancel_scope.cancel()
    root.removeHandler(errors)
    return {
        'inputs': inputs,
        'unhandled_errors': errors.count,
        'good_unanswered': unanswered,
    }


def _draw(rng: random.Random) -> tuple[str, bytes]:
    """Return whom to send to, and the bytes."""
    kind = rng.choice(_KINDS)
    if kind == 'body':
        return 'http', _request(_mutated(rng, _GOOD.encode()))
    if kind == 'request':
        return 'http', _mutated(rng, _request(_GOOD.encode()))
    target = rng.choice(('entry', 'sidecar', 'http'))
    if kind == 'garbage':
        return target, rng.randbytes(rng.randrange(1, _MAX_GARBAGE))
    payload = _mutated(rng, wire.encode(rng.choice(_MESSAGES)))
    honest = rng.randrange(_KNOWN_LENGTH)
    length = len(payload) if honest else rng.randrange(1 << 32)
    return rng.choice(('entry', 'sidecar')), length.to_bytes(4) + payload


def _request(body: bytes) -> bytes:
    head = (
        'POST /v1/pipelines/lookup/requests HTTP/1.1\r\n'
        f'host: x\r\ncontent-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _mutated(rng: random.Random, text: bytes) -> bytes:
    changed = text
    for _ in range(rng.randrange(1, _MAX_CHANGES)):
        place = rng.randrange(len(changed) or 1)
        head = changed[:place]
        tail = changed[place:]
        changed = rng.choice(
            (
                head + rng.randbytes(1) + tail[1:],
                head,
                head + head + tail,
                head + rng.randbytes(4) + tail,
            )
        )
    return changed


async def _send(fleet: _fleet.Fleet, drawn: tuple[str, bytes]) -> None:
    target, payload = drawn
    daemon, http_port = next(iter(fleet.entries.values()))
    place = next(iter(fleet.places.values()))
    ports = {
        'http': http_port,
        'entry': fleet.peer_ports[daemon.name],
        'sidecar': place.port,
    }
    stream = await trio.open_tcp_stream('127.0.0.1', ports[target])
    async with stream:
        with trio.move_on_after(_WAIT_S):
            try:
                await stream.send_all(payload)
                await stream.receive_some()
            except trio.BrokenResourceError:
                return
