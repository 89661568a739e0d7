"""Stand-ins of runners: plain services and model runners, all sound."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

import wire

_numbers = itertools.count(1)
Plan = Callable[[wire.Request], tuple[int, float]]
"""Returns the number of events of a stream, and the seconds before each."""


class Runner:
    """One start of a runner. It answers plain requests, or streams events.

    ``runs`` lists what it ran: time, request id, path and tenant.
    """

    def __init__(
        self,
        service: str,
        record: Callable[[str], None],
        *,
        zone: str = 'a',
        version: str = 'v1',
        slots: int = 64,
        work_s: float = 0.03,
        plan: Plan | None = None,
    ) -> None:
        self.name = f'i-{next(_numbers):08x}'
        self.service = service
        self.version = version
        self.born = int(time.time() * 1000)
        self._record = record
        self._zone = zone
        self._slots = slots
        self._work_s = work_s
        self._plan = plan
        self._sequence = 0
        self.runs: list[tuple[float, str, str, str]] = []
        self.extra_headers: dict[str, str] = {}
        self.open_runs: dict[str, float] = {}
        self.server = wire.Server(self._serve)

    @property
    def writer(self) -> str:
        """What its events say of who wrote them."""
        return f'{self.name}@{self.version}'

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the entry that it writes into the store."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': self.server.address,
            'zone': self._zone,
            'version': self.version,
            'slots': self._slots,
            'state': state,
            'cold_left_ms': 0,
            'sequence': self._sequence,
            'born': self.born,
        }

    async def _serve(self, exchange: wire.Exchange) -> None:
        request = exchange.request
        request_id = request.get('Request-Id')
        expected = request.get('Expect-Instance')
        base = {'Request-Id': request_id, **self.extra_headers}
        if expected and expected != self.name:
            await exchange.answer(421, {**base, 'Not-Executed': '1'})
            return
        if request.target == '/healthz':
            await exchange.answer(200, {'Instance-Id': self.name})
            return
        self.runs.append(
            (time.time(), request_id, request.target, request.get('Tenant'))
        )
        self._record(f'{self.name} ({self.service}) runs {request_id}')
        base['Server-Stamp'] = f'{self.name}.{request_id}'
        base['Server-Load'] = f'{len(self.open_runs)},0,{self._slots}'
        self.open_runs[request_id] = time.time()
        try:
            if self._plan:
                await self._stream(exchange, base, self._plan(request))
            else:
                await asyncio.sleep(self._work_s)
                body = json.dumps({'runner': self.name, 'for': request_id})
                await exchange.answer(200, base, body.encode())
            self._record(f'{self.name} has answered {request_id}')
        except (ConnectionError, asyncio.CancelledError):
            self._record(f'{self.name}: {request_id} was broken off')
            raise
        finally:
            self.open_runs.pop(request_id, None)

    async def _stream(
        self,
        exchange: wire.Exchange,
        headers: dict[str, str],
        plan: tuple[int, float],
    ) -> None:
        events, pause_s = plan
        first = int(exchange.request.get('Last-Event-Id') or 0) + 1
        headers = {
            **headers,
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        for number in range(first, events + 1):
            await asyncio.sleep(pause_s)
            if number == first:
                await exchange.write(wire.head(200, headers))
            event = f'id: {number}\ndata: {self.writer}\n\n'.encode()
            await exchange.write(b'%x\r\n%b\r\n' % (len(event), event))
        await exchange.write(b'0\r\n\r\n')
