"""Answers of the store are lost; later configurations are not applied."""

import asyncio
import time
from typing import Any

from standins import case, gateways, http, runner, store

GATEWAYS = 3
LOST_SHARE = 0.35
LOST_S = 4.5
STORM_GAP_S = 0.33
STORM_S = 4.0
STORM_LEAD_S = 0.8
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
RATE_PER_S = 20.0
WATCHED_S = 12.0
OLD, NEW = 'deposits', 'deposits-next'


def _configuration(version: int, service: str) -> dict[str, Any]:
    route = {
        'name': 'deposit-confirm',
        'hostname': 'deposit.example',
        'prefix': '/deposit/',
        'kind': 'unsafe',
        'timeout_ms': 1500,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'public': False,
    }
    # Each change of the storm moves another route.
    other = {
        **route,
        'name': 'other',
        'prefix': '/other/',
        'service': (OLD, NEW)[version % 2],
    }
    services = [
        {'name': name, 'health_path': '/healthz', 'max_connections': 100}
        for name in (OLD, NEW)
    ]
    return {
        'version': version,
        'routes': [route, other],
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'brides', 'api_keys': ['key-of-brides']}],
    }


class Traffic:
    """Sends requests to the gateways in turn; the runners tell who ran them."""

    def __init__(
        self, record: case.Record, nodes: list[gateways.Gateway]
    ) -> None:
        self._record = record
        self._nodes = nodes
        self.sent: dict[str, tuple[float, str]] = {}
        self.statuses: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send requests for a time, and await their answers."""
        until = time.time() + seconds
        number = 0
        while time.time() < until:
            node = self._nodes[number % len(self._nodes)]
            number += 1
            self._tasks.add(asyncio.create_task(self._send(node)))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*self._tasks)

    async def _send(self, node: gateways.Gateway) -> None:
        request_id = case.new_id()
        self.sent[request_id] = (time.time(), node.name)
        self._record(f'{request_id} is sent to {node.name}')
        answer = await http.call(
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
        self.statuses[request_id] = answer.status
        self._record(f'{request_id} gets {answer.status} {answer.note}')


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store(seed=0)
    await shop.server.start()
    runners = [
        runner.Runner(service, record, slots=6, work_s=0.03)
        for service in (OLD, OLD, NEW, NEW)
    ]
    for one in runners:
        await one.server.start()
        shop.put(f'servers/{one.name}', one.entry())
    version = 1
    shop.put('op/config', _configuration(version, OLD))
    nodes = [
        gateways.Gateway(f'front-{number}', 'abc'[number], shop.server.port)
        for number in range(GATEWAYS)
    ]
    try:
        for node in nodes:
            node.configure([one.control for one in nodes])
            node.start()
        for node in nodes:
            if not await node.wait_until_ready():
                raise case.CouldNotRunError(f'{node.name} is not ready')
        await asyncio.sleep(3)
        record('the operator changes the configuration in quick succession')
        storm_until = time.time() + STORM_S
        lost_from = time.time() + STORM_LEAD_S
        lost_until = lost_from + LOST_S
        while time.time() < storm_until:
            if time.time() >= lost_from and case.trouble():
                shop.lost_share = LOST_SHARE
            version += 1
            shop.put('op/config', _configuration(version, OLD))
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.sleep(max(lost_until - time.time(), 0))
        shop.lost_share = 0.0
        record(
            f'the store loses no more: {shop.lost} answers were lost, '
            f'{shop.answered} were not'
        )
        await asyncio.sleep(STABLE_WINDOW_S + 0.2)
        version += 1
        shop.put('op/config', _configuration(version, NEW))
        acknowledged_at = time.time()
        record(f'the store acknowledges version {version}: {OLD} -> {NEW}')
        traffic = Traffic(record, nodes)
        await traffic.run(WATCHED_S)
        for node in nodes:
            for line in node.events(220):
                record(
                    f'{node.name} has version {line["version"]} at '
                    f'{record.at(line["time"])} from {line["source"]}'
                )
        return _judge(record, traffic, runners, acknowledged_at)
    finally:
        for node in nodes:
            node.end()
        for one in runners:
            await one.server.stop()
        await shop.server.stop()


def _judge(
    record: case.Record,
    traffic: Traffic,
    runners: list[runner.Runner],
    acknowledged_at: float,
) -> int:
    late = acknowledged_at + CONFIG_APPLY_S
    ran_at_old = [
        (traffic.sent[request_id], at)
        for one in runners
        if one.service == OLD
        for at, request_id, _, _ in one.runs
        if request_id in traffic.sent and traffic.sent[request_id][0] > late
    ]
    served = sum(
        status == 200
        for request_id, status in traffic.statuses.items()
        if traffic.sent[request_id][0] > late
    )
    total = sum(sent[0] > late for sent in traffic.sent.values())
    record(
        f'{total} requests were sent later than {CONFIG_APPLY_S} s after the '
        f'acknowledgement; {served} were served, {len(ran_at_old)} of all '
        f'were run by {OLD}, which only an older version allows'
    )
    if ran_at_old:
        last = max(sent[0] for sent, _ in ran_at_old) - acknowledged_at
        record(f'the last of them was sent {last:.2f} s after it')
        return case.BROKEN
    return case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
