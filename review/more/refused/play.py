"""A runner fails after it has run a request; callers are told it has not run."""

import asyncio
import random
import time
from typing import Any

from standins import case, gateways, http, runner, store

GATEWAYS = 2
RATE_PER_S = 40.0
WATCHED_S = 15.0
FAILED_SHARE = 0.45
RUNNERS, GREY_RUNNERS = 7, 1
SERVICE = 'booking-api'
KINDS = {'/deposit/': 'unsafe'}
PROMISES = (408, 421, 429, 503)


class GreyRunner(runner.Runner):
    """Runs each request, and then fails a part of them with 503.

    It does not state ``Not-Executed``, as it has worked on them.
    """

    rng: random.Random

    async def _serve(self, exchange: http.Exchange) -> None:
        write = exchange.write
        request_id = exchange.request.get('Request-Id')

        async def fail(raw: bytes) -> None:
            if case.trouble() and self.rng.random() < FAILED_SHARE:
                headers = {
                    'Request-Id': request_id,
                    'Server-Stamp': f'{self.name}.{request_id}',
                    'Content-Length': '0',
                }
                self._record(f'{self.name} fails {request_id} after its run')
                await write(http.head(503, headers))
            else:
                await write(raw)

        exchange.write = fail  # type: ignore[method-assign]
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
    answers: dict[str, http.Answer],
) -> None:
    request_id = case.new_id()
    prefix = list(KINDS)[number // GATEWAYS % len(KINDS)]
    record(f'{request_id} ({KINDS[prefix]}) is sent to {node.name}')
    answers[request_id] = await http.call(
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
    record(f'{request_id} gets {answer.status}, stamp {stamp}')


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store()
    await shop.server.start()
    grey = GreyRunner(SERVICE, record, zone='a', slots=6, work_s=0.09)
    grey.rng = random.Random(1)
    runners = [grey] + [
        runner.Runner(SERVICE, record, zone='ab'[number % 2], slots=6)
        for number in range(RUNNERS - GREY_RUNNERS)
    ]
    for one in runners:
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
                raise case.CouldNotRunError(f'{node.name} is not ready')
        await asyncio.sleep(3)
        answers: dict[str, http.Answer] = {}
        tasks = []
        until = time.time() + WATCHED_S
        while time.time() < until:
            node = nodes[len(tasks) % GATEWAYS]
            tasks.append(
                asyncio.create_task(_send(record, node, len(tasks), answers))
            )
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
        ran = {run[1] for one in runners for run in one.runs}
        return _judge(record, answers, ran)
    finally:
        for node in nodes:
            node.end()
        for one in runners:
            await one.server.stop()
        await shop.server.stop()


def _judge(
    record: case.Record, answers: dict[str, http.Answer], ran: set[str]
) -> int:
    refused = [
        request_id
        for request_id, answer in answers.items()
        if answer.status in PROMISES and request_id in ran
    ]
    for request_id in refused:
        status = answers[request_id].status
        record(f'{request_id}: answered {status}, and has run')
    record(
        f'{len(answers)} requests that may run once; {len(refused)} were '
        'answered with a promise that they have not run, and have run'
    )
    return case.BROKEN if refused else case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
