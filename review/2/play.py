"""After all gateways were killed, broken streams cannot be taken up again."""

import asyncio
import re
import signal
import time
from typing import Any

import case
import gateways
import runner
import store
import wire

STREAMS = 24
EVENTS, EVENT_S = 40, 0.2
LEAD_S, BEFORE_S = 15.0, 3.0
RESTART_S, STABLE_WINDOW_S = 0.5, 3.0
DEADLINE_S = 12.0
# Seconds before each retry of a caller.
PAUSES_S = (0.1, 1.0, 3.0)
NEW_PER_S, NEW_S = 4.0, 4.0
SERVICE = 'llm'
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')


def _configuration() -> dict[str, Any]:
    route = {
        'name': 'style-brief',
        'hostname': 'brief.example',
        'prefix': '/brief/',
        'kind': 'streaming',
        'timeout_ms': int(DEADLINE_S * 1000),
        'target_latency_ms': 1600,
        'priority': 0,
        'service': SERVICE,
        'attempts': 2,
        'public': False,
        'sticky': True,
        'resumable': True,
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


class Stream:
    """A stream over all tries of its caller."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.events: list[tuple[int, str]] = []
        # When each try was sent, and whether it brought events.
        self.tries: list[tuple[float, bool]] = []
        self.complete = False


class Traffic:
    """Callers that take a broken stream up again at the next gateway."""

    def __init__(
        self, record: case.Record, nodes: list[gateways.Gateway]
    ) -> None:
        self._record = record
        self._nodes = nodes
        self._tasks: set[asyncio.Task[None]] = set()
        self.streams: list[Stream] = []

    def begin(self) -> Stream:
        """Begin a stream."""
        stream = Stream(len(self.streams) + 1)
        self.streams.append(stream)
        self._tasks.add(asyncio.create_task(self._run(stream)))
        return stream

    async def finish(self) -> None:
        """Await the ends of all streams."""
        await asyncio.gather(*self._tasks)

    async def _run(self, stream: Stream) -> None:
        until = time.time() + DEADLINE_S
        resumes = await self._try(stream, until, '')
        for pause_s in PAUSES_S:
            if stream.complete or until - time.time() < pause_s + 0.2:
                return
            await asyncio.sleep(pause_s)
            had_events = bool(stream.events)
            request_id = await self._try(stream, until, resumes)
            resumes = resumes if had_events else request_id

    async def _try(self, stream: Stream, until: float, resumes: str) -> str:
        request_id = case.new_id()
        left_s = until - time.time()
        place = (stream.number + len(stream.tries)) % len(self._nodes)
        node = self._nodes[place]
        headers = {
            'Host': 'brief.example',
            'Request-Id': request_id,
            'Deadline-Ms': str(int(left_s * 1000)),
            'Model': 'm',
            'Token-Counts': f'1460,{EVENTS * 5}',
            'Prompt-Prefix': f'5c1e07a2:350,{stream.number:08x}:1110',
            'Key': 'key-of-brides',
        }
        if stream.events:
            headers['Last-Event-Id'] = str(stream.events[-1][0])
            headers['Resumes'] = resumes
        sent_at = time.time()
        self._record(
            f'stream {stream.number}: {request_id} is sent to {node.name} after '
            f'event {headers.get("Last-Event-Id", "-")}'
        )
        answer = await wire.call(
            node.callers,
            'POST',
            f'/brief/{stream.number}',
            headers,
            str(stream.number).encode(),
            timeout_s=left_s,
        )
        found = [
            (int(number), writer.decode())
            for number, writer in _EVENT.findall(answer.body)
        ]
        stream.tries.append((sent_at, bool(found)))
        stream.events += found
        stream.complete = answer.status == 200 and answer.complete
        self._record(
            f'stream {stream.number}: {request_id} gets {answer.status} with '
            f'{len(found)} events, '
            f'{"complete" if answer.complete else "not complete"} {answer.note}'
        )
        return request_id


async def play(record: case.Record) -> int:
    """Play the case."""
    shop = store.Store()
    await shop.server.start()
    engines = [
        runner.Runner(
            SERVICE,
            record,
            zone=zone,
            plan=lambda request: (EVENTS, EVENT_S),
        )
        for zone in 'ab'
    ]
    for engine in engines:
        await engine.server.start()
        shop.put(f'servers/{engine.name}', engine.entry())
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
        await asyncio.sleep(LEAD_S)
        traffic = Traffic(record, nodes)
        old = []
        for _ in range(STREAMS):
            old.append(traffic.begin())
            await asyncio.sleep(0.05)
        await asyncio.sleep(BEFORE_S)
        if case.trouble():
            record('all gateways are killed')
            for node in nodes:
                node.send_signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            for node in nodes:
                node.start()
            record('all gateways are started again')
        started_at = time.time()
        for node in nodes:
            await node.wait_until_ready()
        await asyncio.sleep(max(started_at + STABLE_WINDOW_S - time.time(), 0))
        new = []
        for _ in range(int(NEW_PER_S * NEW_S)):
            new.append(traffic.begin())
            await asyncio.sleep(1 / NEW_PER_S)
        await traffic.finish()
        return _judge(record, old, new, started_at + STABLE_WINDOW_S)
    finally:
        for node in nodes:
            node.end()
        for engine in engines:
            await engine.server.stop()
        await shop.server.stop()


def _judge(
    record: case.Record, old: list[Stream], new: list[Stream], touch_at: float
) -> int:
    # Streams that were taken up again at gateways in touch, and went on.
    again = [
        any(went_on for at, went_on in one.tries[1:] if at >= touch_at)
        for one in old
        if any(at >= touch_at for at, _ in one.tries[1:])
    ]
    begun = [one.tries[0][1] for one in new if one.tries]
    share_again = sum(again) / max(len(again), 1)
    share_new = sum(begun) / max(len(begun), 1)
    complete = sum(one.complete for one in old)
    record(
        f'{len(again)} of {len(old)} streams were taken up again at gateways in '
        f'touch, {sum(again)} went on; of {len(begun)} new ones {sum(begun)} '
        f'began; {complete} of the old ones came to their end'
    )
    broken = len(again) >= 12 and share_again < share_new / 2
    return case.BROKEN if broken else case.HELD


if __name__ == '__main__':
    case.run(__file__, play)
