"""CPU, latency and memory of the whole path against a bare pass-through.

All parts run in one process and one event loop, over loopback sockets. The
arm ``direct`` calls the endpoint without anything between; what it costs is
taken off both other arms. The pass-through has as many hops as the path:
two servers that forward each request by hypercorn and httpcore.

Real clocks are measured: figures differ between runs, ratios little.
"""

import json
import logging
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final

import httpcore
import trio
from hdrh.histogram import HdrHistogram

from lentilspool import daemons
from standins import _fleet

_PAGE_KB: Final = 4
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000
_RATE: Final = 60
_P99: Final = 99
_ADDRESS: Final = '127.0.0.1'
_DOCUMENT: Final = (
    '{"pipelines": {"lookup": {"stages": [{"name": "encode", "pool": "p"}]}},'
    '"pools": {"p": {"kind": "stage", "max_in_flight": 64}},'
    '"teams": {"t": {}}}'
)
_BODY: Final = json.dumps({'team': 't', 'input': {'text': 'a b'}}).encode()

Call = Callable[[], Awaitable[None]]


class _PassThrough:
    """Forwards every request to one address."""

    def __init__(self, port: int) -> None:
        self._url = f'http://{_ADDRESS}:{port}/v1/encode'
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope['type'] == 'lifespan':
            while True:
                message = await receive()
                await send({'type': f'{message["type"]}.complete'})
                if message['type'] == 'lifespan.shutdown':
                    return
        message = await receive()
        response = await self._pool.request(
            'POST', self._url, content=message['body']
        )
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': [(b'content-type', b'application/json')],
            }
        )
        await send({'type': 'http.response.body', 'body': response.content})


def run(
    *, seed: int = 1, requests: int = 2000, memory_requests: int = 10_000
) -> Iterator[dict[str, object]]:
    """Yield the figures of the three arms; ``seed`` is not used."""
    logging.disable(logging.INFO)
    yield from trio.run(_measure, seed, requests, memory_requests)


async def _measure(
    seed: int, requests: int, memory_requests: int
) -> list[dict[str, object]]:
    async with trio.open_nursery() as nursery:
        plan = _fleet.Plan(json.loads(_DOCUMENT), {'p': 1})
        fleet = _fleet.Fleet(plan, nursery)
        await fleet.start()
        place = next(iter(fleet.places.values()))
        endpoint = place.server.port if place.server else 0
        inner = await _serve(_PassThrough(endpoint), nursery)
        outer = await _serve(_PassThrough(inner), nursery)
        pool = httpcore.AsyncConnectionPool(max_connections=64)
        entry = next(iter(fleet.entries.values()))[1]
        path = f'http://{_ADDRESS}:{entry}/v1/pipelines/lookup/requests'
        calls: dict[str, Call] = {
            'direct': _call(pool, f'http://{_ADDRESS}:{endpoint}/v1/encode'),
            'pass_through': _call(pool, f'http://{_ADDRESS}:{outer}/'),
            'lentilspool': _call(pool, path),
        }
        rows = [
            {'arm': arm, 'seed': seed, **(await _arm(call, requests))}
            for arm, call in calls.items()
        ]
        _compare(rows)
        rows[-1].update(await _memory(calls['lentilspool'], memory_requests))
        nursery.cancel_scope.cancel()
    return rows


async def _serve(app: Any, nursery: trio.Nursery) -> int:
    server = daemons.HttpServer(app, _ADDRESS, 0, nursery)
    await server.start()
    return server.port


def _call(pool: httpcore.AsyncConnectionPool, url: str) -> Call:
    async def call() -> None:
        response = await pool.request('POST', url, content=_BODY)
        if response.status != 200:
            raise RuntimeError(f'status {response.status} of {url}')

    return call


async def _arm(call: Call, requests: int) -> dict[str, Any]:
    for _ in range(100):
        await call()
    cpu = time.process_time()
    for _ in range(requests):
        await call()
    cpu_us = (time.process_time() - cpu) / requests * _US_PER_S
    latency = HdrHistogram(1, _US_PER_S * _RATE, 3)
    due = trio.current_time()
    for _ in range(min(requests, 10 * _RATE)):
        due += 1 / _RATE
        await trio.sleep_until(due)
        begun = trio.current_time()
        await call()
        elapsed_s = trio.current_time() - begun
        latency.record_value(int(elapsed_s * _US_PER_S))
    p99_ms = latency.get_value_at_percentile(_P99) / _US_PER_MS
    return {'cpu_us': round(cpu_us), 'p99_ms': round(p99_ms, 2)}


def _compare(rows: list[dict[str, Any]]) -> None:
    direct, bare, path = rows
    path['cpu_ratio'] = round(
        (path['cpu_us'] - direct['cpu_us'])
        / (bare['cpu_us'] - direct['cpu_us']),
        3,
    )
    path['added_p99_ms'] = round(path['p99_ms'] - direct['p99_ms'], 2)


async def _memory(call: Call, requests: int) -> dict[str, int]:
    half = requests // 2
    for _ in range(half):
        await call()
    middle_kb = _resident_kb()
    for _ in range(requests - half):
        await call()
    return {
        'rss_half_kb': middle_kb,
        'rss_end_kb': _resident_kb(),
        'requests': requests,
    }


def _resident_kb() -> int:
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * _PAGE_KB
