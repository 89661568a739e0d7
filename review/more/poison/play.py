"""A request that crashes runners comes again with another query each time."""

import asyncio
import os
import time
from typing import Any

from standins import case, gateways, http, runner, store

RUNNERS = 8
RATE_PER_S, FATAL_EVERY = 10.0, 10
REQUESTS = 250
BACK_S, HEARTBEAT_S, STABLE_WINDOW_S = 3.0, 1.2, 3.0
CRASHES, ALLOWED = 3, 3
SERVICE = 'booking-api'
FATAL = '/deposit/fatal'
WITH_QUERY = os.environ.get('QUERY', '1') != '0'


class Runner(runner.Runner):
    """Crashes when it begins to run the fatal request."""

    fleet: 'Fleet'

    async def _serve(self, exchange: http.Exchange) -> None:
        request = exchange.request
        is_own = request.get('Expect-Instance') in {'', self.name}
        if request.target.startswith(FATAL) and is_own:
            self.runs.append(
                (time.time(), request.get('Request-Id'), request.target, '')
            )
            self.fleet.crash(self)
            await asyncio.sleep(3600)
        await super()._serve(exchange)


class Fleet:
    """All runners; one that crashes is back some seconds later."""

    def __init__(self, record: case.Record, shop: store.Store) -> None:
        self._record = record
        self._shop = shop
        self._tasks: set[asyncio.Task[None]] = set()
        self.runners: list[Runner] = []
        self.crashes: list[float] = []

    async def start(self) -> None:
        """Start a runner under a new name."""
        zone = 'ab'[len(self.runners) % 2]
        one = Runner(SERVICE, self._record, zone=zone, slots=6, work_s=0.09)
        one.fleet = self
        await one.server.start()
        self.runners.append(one)
        self._shop.put(f'servers/{one.name}', one.entry())

    def crash(self, one: Runner) -> None:
        """End a runner with all its connections."""
        self.crashes.append(time.time())
        self._record(f'{one.name} crashes')
        self._tasks.add(asyncio.create_task(self._replace(one)))

    async def _replace(self, one: Runner) -> None:
        await one.server.stop()
        await asyncio.sleep(BACK_S)
        await self.start()
        await asyncio.sleep(max(3 * HEARTBEAT_S - BACK_S, 0))
        self._shop.put(f'servers/{one.name}', None)

    async def stop(self) -> None:
        """Stop all runners."""
        for task in self._tasks:
            task.cancel()
        for one in self.runners:
            await one.server.stop()


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


async def _send(
    record: case.Record, node: gateways.Gateway, target: str, body: bytes
) -> None:
    request_id = case.new_id()
    answer = await http.call(
        node.callers,
        'POST',
        target,
        {
            'Host': 'deposit.example',
            'Request-Id': request_id,
            'Deadline-Ms': '1500',
            'Key': 'key-of-brides',
        },
        body,
        timeout_s=1.5,
    )
    record(f'{request_id} ({target}) gets {answer.status}')


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store()
    await shop.server.start()
    fleet = Fleet(record, shop)
    for _ in range(RUNNERS):
        await fleet.start()
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
        await asyncio.sleep(2)
        tasks = []
        for number in range(REQUESTS):
            calls = [(f'/deposit/{number}', str(number).encode())]
            if case.trouble() and number % FATAL_EVERY == 0:
                query = f'?try={number}' if WITH_QUERY else ''
                calls.append((FATAL + query, b'fatal'))
            for target, body in calls:
                node = nodes[len(tasks) % len(nodes)]
                task = _send(record, node, target, body)
                tasks.append(asyncio.create_task(task))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
        return _judge(record, fleet)
    finally:
        for node in nodes:
            node.end()
        await fleet.stop()
        await shop.server.stop()


def _judge(record: case.Record, fleet: Fleet) -> int:
    late = []
    if len(fleet.crashes) >= CRASHES:
        since = sorted(fleet.crashes)[CRASHES - 1] + STABLE_WINDOW_S
        late = [
            at
            for one in fleet.runners
            for at, _, target, _ in one.runs
            if target.startswith(FATAL) and at > since
        ]
    record(
        f'{len(fleet.crashes)} crashes; the request reached runners '
        f'{len(late)} times later than {STABLE_WINDOW_S} s after the third'
    )
    return case.BROKEN if len(late) > ALLOWED else case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
