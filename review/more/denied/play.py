"""An entry of another writer makes gateways use a server that is no runner."""

import asyncio
import time
from typing import Any

from standins import case, gateways, http, runner, store

GATEWAYS = 2
RATE_PER_S = 20.0
WATCHED_S = 10.0
ALLOWED, ALLOWED_ONE_IN = 5, 500
SERVICE = 'booking-api'
OWN_STATUSES_ALLOWED = (408, 421, 429)


def _configuration() -> dict[str, Any]:
    route = {
        'name': 'deposit-confirm',
        'hostname': 'deposit.example',
        'prefix': '/deposit/',
        'kind': 'unsafe',
        'timeout_ms': 1500,
        'target_latency_ms': 400,
        'priority': 1,
        'service': SERVICE,
        'attempts': 2,
        'public': False,
    }
    return {
        'version': 1,
        'routes': [route],
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


class OtherServer:
    """A server of another system, which knows none of these paths."""

    def __init__(self, record: case.Record) -> None:
        self._record = record
        self.received: list[str] = []
        self.server = http.Server(self._serve)

    def entry(self) -> dict[str, Any]:
        """Return what its own agent writes into the store.

        It lacks ``version``, ``cold_left_ms``, ``sequence`` and ``born``.
        """
        return {
            'service': SERVICE,
            'address': self.server.address,
            'zone': 'a',
            'slots': 6,
            'state': 'ready',
        }

    async def _serve(self, exchange: http.Exchange) -> None:
        request_id = exchange.request.get('Request-Id')
        self.received.append(request_id)
        self._record(f'the server of another system gets {request_id}')
        headers = {'Content-Type': 'text/plain'}
        await exchange.answer(404, headers, b'no such page in the archive\n')


async def _send(
    record: case.Record,
    node: gateways.Gateway,
    answers: dict[str, http.Answer],
) -> None:
    request_id = case.new_id()
    record(f'{request_id} is sent to {node.name}')
    answers[request_id] = await http.call(
        node.callers,
        'POST',
        '/deposit/1',
        {
            'Host': 'deposit.example',
            'Request-Id': request_id,
            'Deadline-Ms': '1500',
            'Key': 'key-of-brides',
        },
        b'deposit',
        timeout_s=1.5,
    )
    answer = answers[request_id]
    stamp = answer.headers.get('server-stamp', 'none')
    record(f'{request_id} gets {answer.status}, stamp {stamp}, {answer.body!r}')


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store()
    await shop.server.start()
    runners = [
        runner.Runner(SERVICE, record, zone=zone, slots=6, work_s=0.09)
        for zone in 'abc'
    ]
    for one in runners:
        await one.server.start()
        shop.put(f'servers/{one.name}', one.entry())
    shop.put('op/config', _configuration())
    nodes = [
        gateways.Gateway(f'front-{zone}-1', zone, shop.server.port)
        for zone in 'ab'
    ]
    other = OtherServer(record)
    await other.server.start()
    try:
        for node in nodes:
            node.configure([one.control for one in nodes])
            node.start()
        for node in nodes:
            if not await node.wait_until_ready():
                raise case.CouldNotRunError(f'{node.name} is not ready')
        await asyncio.sleep(4)
        if case.trouble():
            shop.put('servers/archive-1', other.entry())
            record(f'another writer writes servers/archive-1: {other.entry()}')
        answers: dict[str, http.Answer] = {}
        tasks = []
        until = time.time() + WATCHED_S
        while time.time() < until:
            node = nodes[len(tasks) % GATEWAYS]
            tasks.append(asyncio.create_task(_send(record, node, answers)))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
        return _judge(record, answers, other)
    finally:
        for node in nodes:
            node.end()
        for one in runners:
            await one.server.stop()
        await other.server.stop()
        await shop.server.stop()


def _judge(
    record: case.Record, answers: dict[str, http.Answer], other: OtherServer
) -> int:
    denied = [
        request_id
        for request_id, answer in answers.items()
        if 300 <= answer.status < 500
        and answer.status not in OWN_STATUSES_ALLOWED
        and 'server-stamp' not in answer.headers
    ]
    served = sum(one.status == 200 for one in answers.values())
    allowed = ALLOWED + len(answers) / ALLOWED_ONE_IN
    record(
        f'{len(answers)} requests, {served} served; {len(denied)} were ended '
        f'with a 3xx or 4xx that no runner gave, {allowed:.1f} are allowed; '
        f'{len(other.received)} went to the server of another system'
    )
    return case.BROKEN if len(denied) > allowed else case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
