"""A runner spoils a few answers; callers get successes that nobody signed."""

import asyncio
import codecs
import time
from typing import Any

import case
import gateways
import runner
import store
import wire

GATEWAYS = 2
RATE_PER_S = 100.0
LEAD_S, SPOILED_S = 2.0, 5.5
# One answer in so many is spoiled, a share of 0.02.
SPOILED_ONE_IN = 50
FAULTY, SOUND = 2, 4
FAULTY_SHARE = 0.35
SERVICE = 'booking-api'
KINDS = {'/deposit/': 'unsafe', '/slots/': 'safe'}


def _spoil(raw: bytes) -> bytes:
    """Return an answer with wrong letters in its signature and its body."""
    head, _, body = raw.partition(b'\r\n\r\n')
    lines = [
        _wrong(line) if line.startswith(b'Server-Stamp') else line
        for line in head.split(b'\r\n')
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\n' + _wrong(body)


def _wrong(text: bytes) -> bytes:
    return codecs.encode(text.decode(), 'rot13').encode()


class FaultyRunner(runner.Runner):
    """Hands out wrong bytes in a few of its answers."""

    spoiled: dict[str, bytes]
    answered = 0
    faulty_from = faulty_until = 0.0

    async def _serve(self, exchange: wire.Exchange) -> None:
        write = exchange.write
        request_id = exchange.request.get('Request-Id')

        async def spoil(raw: bytes) -> None:
            during = self.faulty_from <= time.time() < self.faulty_until
            faulty = case.trouble() and during
            self.answered += faulty
            if faulty and self.answered % SPOILED_ONE_IN == 0:
                raw = _spoil(raw)
                self.spoiled[request_id] = raw
                self._record(f'{self.name} spoils its answer to {request_id}')
            await write(raw)

        exchange.write = spoil  # type: ignore[method-assign]
        await super()._serve(exchange)


def _configuration() -> dict[str, Any]:
    routes = [
        {
            'name': f'r-{kind}',
            'hostname': 'booking.example',
            'prefix': prefix,
            'kind': kind,
            'timeout_ms': 1500,
            'target_latency_ms': 400,
            'priority': 1,
            'service': SERVICE,
            'attempts': 2,
            'public': False,
        }
        for prefix, kind in KINDS.items()
    ]
    return {
        'version': 1,
        'routes': routes,
        'services': [
            {
                'name': SERVICE,
                'health_path': '/healthz',
                'max_connections': 110,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'brides', 'api_keys': ['key-of-brides']}],
    }


async def _send(
    record: case.Record,
    node: gateways.Gateway,
    number: int,
    answers: dict[str, wire.Answer],
) -> None:
    request_id = case.new_id()
    prefix = list(KINDS)[number // GATEWAYS % len(KINDS)]
    record(f'{request_id} ({KINDS[prefix]}) is sent to {node.name}')
    answers[request_id] = await wire.call(
        node.callers,
        'POST' if KINDS[prefix] == 'unsafe' else 'GET',
        f'{prefix}{number}',
        {
            'Host': 'booking.example',
            'Request-Id': request_id,
            'Deadline-Ms': '1500',
            'Key': 'key-of-brides',
        },
        b'deposit' if KINDS[prefix] == 'unsafe' else b'',
        timeout_s=1.5,
    )
    answer = answers[request_id]
    stamp = answer.headers.get('server-stamp', 'none')
    record(f'{request_id} gets {answer.status}, stamp {stamp}, {answer.body!r}')


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store()
    await shop.server.start()
    faulty = [
        FaultyRunner(SERVICE, record, zone='a', slots=6, work_s=0.03)
        for _ in range(FAULTY)
    ]
    for one in faulty:
        one.spoiled = {}
    sound = [
        runner.Runner(SERVICE, record, zone='b', slots=6, work_s=0.03)
        for _ in range(SOUND)
    ]
    assert len(faulty) <= FAULTY_SHARE * len([*faulty, *sound])
    for one in (*faulty, *sound):
        await one.server.start()
        shop.put(f'servers/{one.name}', one.entry())
    shop.put('op/config', _configuration())
    nodes = [
        gateways.Gateway(f'front-{zone}-1', zone, shop.server.port)
        for zone in 'ab'
    ]
    try:
        for node in nodes:
            node.configure([one.control for one in nodes])
            node.start()
        for node in nodes:
            if not await node.wait_until_ready():
                raise case.CouldNotRunError(
                    f'{node.name} is not ready: {node.last_lines}'
                )
        await asyncio.sleep(3)
        answers: dict[str, wire.Answer] = {}
        tasks = []
        until = time.time() + LEAD_S + SPOILED_S
        for one in faulty:
            one.faulty_from = until - SPOILED_S
            one.faulty_until = until
        while time.time() < until:
            node = nodes[len(tasks) % GATEWAYS]
            tasks.append(
                asyncio.create_task(_send(record, node, len(tasks), answers))
            )
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
        spoiled = {name for one in faulty for name in one.spoiled}
        return _judge(record, answers, spoiled)
    finally:
        for node in nodes:
            node.end()
        for one in (*faulty, *sound):
            await one.server.stop()
        await shop.server.stop()


def _judge(
    record: case.Record, answers: dict[str, wire.Answer], spoiled: set[str]
) -> int:
    unsigned = [
        request_id
        for request_id, answer in answers.items()
        if 200 <= answer.status < 300 and 'server-stamp' not in answer.headers
    ]
    for request_id in unsigned:
        record(f'{request_id}: a success without Server-Stamp')
    record(
        f'{len(answers)} requests, {len(spoiled)} answers spoiled by a runner; '
        f'{len(unsigned)} callers got a success without a Server-Stamp'
    )
    return case.BROKEN if unsigned else case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
