"""A planned stop cuts streams that it admitted late."""

import asyncio
import signal
import time
from typing import Any

import case
import gateways
import runner
import store
import wire

RATE_PER_S = 40.0
GRACE_S = 8.0
EXCUSED_S = 3.0
# A stream of few events, and one in this many that is as long as it may be.
EVENTS, LONG_EVENTS, LONG_ONE_IN = 10, 80, 20
EVENT_S = 0.05
TOKENS_PER_EVENT = 5
TIMEOUT_S = 10.0
WARM_S = 8.0


def _configuration() -> dict[str, Any]:
    route = {
        'name': 'quick-reply',
        'hostname': 'chat.example',
        'prefix': '/chat/',
        'kind': 'streaming',
        'timeout_ms': int(TIMEOUT_S * 1000),
        'target_latency_ms': 1500,
        'priority': 2,
        'service': 'llm',
        'attempts': 1,
        'public': False,
        'sticky': True,
        'resumable': False,
        'max_gap_ms': 300,
    }
    engine = {
        'slots': 64,
        'kv_capacity': 631045,
        'token_kv_bytes': 163840,
        'link_mbps': 1100000.0,
        'moves': False,
        'backups': False,
        'handle_s': 5.0,
        'models': [{'name': 'm'}],
    }
    return {
        'version': 1,
        'routes': [route],
        'services': [
            {
                'name': 'llm',
                'health_path': '/healthz',
                'max_connections': 370,
                'engine': engine,
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


def _plan(request: wire.Request) -> tuple[int, float]:
    """Return how long a runner's stream is: most of them are short."""
    number = int(request.target.rpartition('/')[2])
    is_long = number % LONG_ONE_IN == 0
    return (LONG_EVENTS if is_long else EVENTS), EVENT_S


class Traffic:
    """Callers in the zone of one gateway, each on a connection of its own."""

    def __init__(self, record: case.Record, node: gateways.Gateway) -> None:
        self._record = record
        self._node = node
        self.sent: dict[str, float] = {}
        self.ended: dict[str, tuple[float, wire.Answer]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, until: float, first: int) -> int:
        """Send requests until a time; return the number of the next one."""
        number = first
        while time.time() < until:
            self._tasks.add(asyncio.create_task(self._send(number)))
            number += 1
            await asyncio.sleep(1 / RATE_PER_S)
        return number

    async def finish(self) -> None:
        """Await all answers."""
        await asyncio.gather(*self._tasks)

    async def _send(self, number: int) -> None:
        request_id = case.new_id()
        self.sent[request_id] = time.time()
        self._record(f'{request_id} (/chat/{number}) is sent')
        tokens = LONG_EVENTS * TOKENS_PER_EVENT
        answer = await wire.call(
            self._node.callers,
            'POST',
            f'/chat/{number}',
            {
                'Host': 'chat.example',
                'Request-Id': request_id,
                'Deadline-Ms': str(int(TIMEOUT_S * 1000)),
                'Model': 'm',
                'Token-Counts': f'1460,{tokens}',
                'Prompt-Prefix': f'5c1e07a2:350,{request_id}:1110',
                'Key': 'key-of-brides',
            },
            b'hello',
            timeout_s=TIMEOUT_S,
        )
        self.ended[request_id] = (time.time(), answer)
        self._record(
            f'{request_id} (/chat/{number}) gets {answer.status}, '
            f'{answer.body.count(b"id: ")} events, '
            f'{"complete" if answer.complete else "not complete"} {answer.note}'
        )


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store()
    await shop.server.start()
    engines = [
        runner.Runner('llm', record, zone=zone, plan=_plan)
        for zone in ('a', 'b')
    ]
    for engine in engines:
        await engine.server.start()
        shop.put(f'servers/{engine.name}', engine.entry())
    shop.put('op/config', _configuration())
    nodes = [
        gateways.Gateway(f'front-{zone}-1', zone, shop.server.port)
        for zone in ('a', 'b')
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
        await asyncio.sleep(2)
        traffic = Traffic(record, nodes[0])
        first = await traffic.run(time.time() + WARM_S, 1)
        stopped_at = time.time()
        if case.trouble():
            record(f'{nodes[0].name} gets SIGTERM')
            nodes[0].send_signal(signal.SIGTERM)
        # It is the only gateway of its zone, so the platform goes on using it.
        await traffic.run(stopped_at + GRACE_S, first)
        if case.trouble():
            nodes[0].send_signal(signal.SIGKILL)
        await traffic.finish()
        return _judge(record, traffic, engines, stopped_at)
    finally:
        for node in nodes:
            node.end()
        for engine in engines:
            await engine.server.stop()
        await shop.server.stop()


def _judge(
    record: case.Record,
    traffic: Traffic,
    engines: list[runner.Runner],
    stopped_at: float,
) -> int:
    ran = {one[1]: one[0] for engine in engines for one in engine.runs}
    lost = []
    for request_id, (ended_at, answer) in traffic.ended.items():
        sent_after_s = traffic.sent[request_id] - stopped_at
        cut = request_id in ran and not answer.complete
        if cut and answer.note != 'gave up':
            record(
                f'{request_id}: sent {sent_after_s:.2f} s after the signal, '
                f'run by a runner, cut off {ended_at - stopped_at:.2f} s after '
                f'it with {answer.body.count(b"id: ")} events'
            )
            if sent_after_s > EXCUSED_S:
                lost.append(request_id)
    record(
        f'{len(lost)} requests that were sent later than {EXCUSED_S} s after '
        'the signal were passed on to a runner and cut off'
    )
    return case.BROKEN if lost else case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
