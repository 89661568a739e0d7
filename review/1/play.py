"""A prompt part that crashes runners is never recognized if it stands late."""

import asyncio
import os
import time
from typing import Any

import case
import gateways
import runner
import store
import wire

ENGINES = 8
FATAL_PER_S = 1.0
SOUND_PER_S = 6.0
BACK_S = 3.0
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 3.0
WATCHED_S = 40.0
EVENTS, EVENT_S = 10, 0.1
# Shared parts of each prompt, and the place of the fatal one among them.
PARTS, PLACE = 20, int(os.environ.get('PLACE', '18'))
FATAL = 'fa7a1fa7'
SERVICE = 'llm'
DEATHS, ALLOWED = 5, 3


class Engine(runner.Runner):
    """Crashes when it begins to write an answer on the fatal part."""

    fleet: 'Fleet'

    async def _stream(
        self,
        exchange: wire.Exchange,
        headers: dict[str, str],
        plan: tuple[int, float],
    ) -> None:
        if FATAL in exchange.request.get('Prompt-Prefix'):
            await asyncio.sleep(plan[1])
            self.fleet.crash(self)
            await asyncio.sleep(3600)
        await super()._stream(exchange, headers, plan)


class Fleet:
    """All engines; one that crashes is back some seconds later."""

    def __init__(self, record: case.Record, shop: store.Store) -> None:
        self._record = record
        self._shop = shop
        self._tasks: set[asyncio.Task[None]] = set()
        self.engines: list[Engine] = []
        self.crashes: list[float] = []

    async def start(self, zone: str) -> None:
        """Start an engine under a new name."""
        engine = Engine(
            SERVICE,
            self._record,
            zone=zone,
            plan=lambda request: (EVENTS, EVENT_S),
        )
        engine.fleet = self
        await engine.server.start()
        self.engines.append(engine)
        self._shop.put(f'servers/{engine.name}', engine.entry())

    def crash(self, engine: Engine) -> None:
        """End an engine with all its connections."""
        self.crashes.append(time.time())
        lost = len(engine.open_runs) - 1
        self._record(f'{engine.name} crashes with {lost} other streams')
        self._tasks.add(asyncio.create_task(self._replace(engine)))

    async def _replace(self, engine: Engine) -> None:
        await engine.server.stop()
        await asyncio.sleep(BACK_S)
        await self.start('ab'[len(self.engines) % 2])
        await asyncio.sleep(max(3 * HEARTBEAT_S - BACK_S, 0))
        self._shop.put(f'servers/{engine.name}', None)

    async def stop(self) -> None:
        """Stop all engines."""
        for task in self._tasks:
            task.cancel()
        for engine in self.engines:
            await engine.server.stop()


def _configuration() -> dict[str, Any]:
    route = {
        'name': 'style-brief',
        'hostname': 'brief.example',
        'prefix': '/brief/',
        'kind': 'streaming',
        'timeout_ms': 8000,
        'target_latency_ms': 1600,
        'priority': 0,
        'service': SERVICE,
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
        'handle_s': 5.0,
        'models': [{'name': 'm'}],
    }
    return {
        'version': 1,
        'routes': [route],
        'services': [
            {
                'name': SERVICE,
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


class Traffic:
    """Callers whose prompts share all parts but one and the last."""

    def __init__(
        self, record: case.Record, nodes: list[gateways.Gateway]
    ) -> None:
        self._record = record
        self._nodes = nodes
        self._tasks: set[asyncio.Task[None]] = set()
        self.fatal: dict[str, float] = {}
        self.sound: dict[str, tuple[float, wire.Answer]] = {}

    async def run(self, per_s: float, seconds: float, *, fatal: bool) -> None:
        """Send requests for a time."""
        until = time.time() + seconds
        number = 0
        while time.time() < until:
            node = self._nodes[number % len(self._nodes)]
            task = self._send(node, number, fatal=fatal)
            self._tasks.add(asyncio.create_task(task))
            number += 1
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self._tasks)

    async def _send(
        self, node: gateways.Gateway, number: int, *, fatal: bool
    ) -> None:
        request_id = case.new_id()
        sent_at = time.time()
        parts = [f'{place:08x}:100' for place in range(1, PARTS + 1)]
        own = FATAL if fatal else f'{number % 5 + 0xA0:08x}'
        parts[PLACE - 1] = f'{own}:100'
        parts.append(f'{request_id[:8]}:250')
        if fatal:
            self.fatal[request_id] = sent_at
        kind = 'fatal' if fatal else 'sound'
        self._record(f'{request_id} ({kind}) is sent to {node.name}')
        answer = await wire.call(
            node.callers,
            'POST',
            f'/brief/{request_id}',
            {
                'Host': 'brief.example',
                'Request-Id': request_id,
                'Deadline-Ms': '8000',
                'Model': 'm',
                'Token-Counts': f'{PARTS * 100 + 250},50',
                'Prompt-Prefix': ','.join(parts),
                'Key': 'key-of-brides',
            },
            request_id.encode(),
            timeout_s=8,
        )
        if not fatal:
            self.sound[request_id] = (sent_at, answer)
        self._record(
            f'{request_id} ({kind}) gets '
            f'{answer.status}, '
            f'{"complete" if answer.complete else "not complete"}'
        )


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store()
    await shop.server.start()
    fleet = Fleet(record, shop)
    for number in range(ENGINES):
        await fleet.start('ab'[number % 2])
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
        await asyncio.sleep(2)
        traffic = Traffic(record, nodes)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                traffic.run(SOUND_PER_S, WATCHED_S + 5, fatal=False)
            )
            await asyncio.sleep(5)
            if case.trouble():
                group.create_task(
                    traffic.run(FATAL_PER_S, WATCHED_S, fatal=True)
                )
        return _judge(record, traffic, fleet)
    finally:
        for node in nodes:
            node.end()
        await fleet.stop()
        await shop.server.stop()


def _judge(record: case.Record, traffic: Traffic, fleet: Fleet) -> int:
    arrived = sorted(
        at
        for engine in fleet.engines
        for at, request_id, _, _ in engine.runs
        if request_id in traffic.fatal
    )
    late = []
    if len(fleet.crashes) >= DEATHS:
        since = sorted(fleet.crashes)[DEATHS - 1] + STABLE_WINDOW_S
        late = [at for at in arrived if at > since]
    broken_off = sum(
        answer.status == 200 and not answer.complete
        for _, answer in traffic.sound.values()
    )
    refused = sum(answer.status == 503 for _, answer in traffic.sound.values())
    record(
        f'{len(traffic.fatal)} requests with the fatal part at place {PLACE} '
        f'of {PARTS}; {len(fleet.crashes)} crashes; {len(late)} such requests '
        f'reached runners later than {STABLE_WINDOW_S} s after the fifth; of '
        f'{len(traffic.sound)} sound streams {broken_off} were broken off, '
        f'{refused} refused'
    )
    return case.BROKEN if len(late) > ALLOWED else case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
