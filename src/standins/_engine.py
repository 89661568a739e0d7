"""Stand-in of a model engine that batches and streams completions."""

import json
import zlib
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Final

import trio

from standins import _faults

_STEP_S: Final = 0.002
_PREFILL_S_PER_TOKEN: Final = 0.00002
_BLOCK_WORDS: Final = 16
_CACHE_BLOCKS: Final = 4096
_BATCH: Final = 16
_LOAD_S: Final = 0.3
_UNAVAILABLE: Final = 503


class Engine:
    """Generates words of its prompt, a token at a time.

    ``POST /v1/completions`` streams events; ``GET /v1/load`` reports load;
    ``GET /v1/cache-events?after=N`` returns events of the prefix cache;
    ``POST /v1/orders`` takes an order, with its fencing number checked or
    ignored; it takes ``load_s`` seconds in which no completion is begun, and
    is answered ``answer_s`` seconds after that.
    ``cut_off`` counts completions that ran when an order came.
    """

    def __init__(
        self, checks_fencing: bool = True, batch: int = _BATCH
    ) -> None:
        self.checks_fencing = checks_fencing
        self.load_s = _LOAD_S
        self.answer_s = 0.0
        self.loading = False
        self.orders = 0
        self.cut_off = 0
        self._slots = trio.CapacityLimiter(batch)
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._events: list[dict[str, Any]] = []
        self._fence: list[int] = []
        self._state: dict[str, Any] = {}
        self.poison = ''
        self.on_poison: Callable[[], None] = _ignore
        self.cancelled = 0
        self.completions = 0
        self.prefilled_tokens = 0
        self.generated_tokens = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call."""
        if scope['type'] == 'lifespan':
            await _faults.lifespan(receive, send)
            return
        path = scope['path']
        if path == '/v1/completions' and self.loading:
            await _faults.reply(send, {'error': 'loading'}, _UNAVAILABLE)
        elif path == '/v1/completions':
            await self._complete(scope, receive, send)
        elif path == '/v1/orders':
            order = json.loads(await _faults.body_of(receive))
            await _faults.reply(send, await self.take_order(order))
        elif path == '/v1/cache-events':
            await _faults.reply(send, {'events': self._events[-_BLOCK_WORDS:]})
        else:
            await _faults.reply(send, self._load())

    @property
    def running(self) -> int:
        """Completions that run now."""
        return int(self._slots.borrowed_tokens)

    @property
    def state(self) -> dict[str, Any]:
        """What the engine holds, by the orders that it carried out."""
        return self._state

    async def take_order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Carry out an order and return the answer to it."""
        number = order['fence']
        if self.checks_fencing and number < self._fence:
            return {'refused': 'old fencing number', 'fence': self._fence}
        self._fence = number
        self.orders += 1
        self.cut_off += self.running
        self.loading = True
        await trio.sleep(self.load_s)
        self.loading = False
        if self.checks_fencing and number < self._fence:
            return {'refused': 'old fencing number', 'fence': self._fence}
        self._state = {**self._state, **order['state']}
        await trio.sleep(self.answer_s)
        return {'state': self._state, 'fence': self._fence}

    def _load(self) -> dict[str, Any]:
        return {
            'running': self._slots.borrowed_tokens,
            'waiting': self._slots.statistics().tasks_waiting,
            'batch': self._slots.total_tokens,
            'state': self._state,
            'fence': self._fence,
        }

    async def _complete(self, scope: Any, receive: Any, send: Any) -> None:
        call = json.loads(await _faults.body_of(receive))
        prompt = call['prompt']
        words = prompt.split()
        if self.poison and self.poison in prompt:
            self.on_poison()
            await trio.sleep_forever()
        spoken = _spoken(prompt)
        self.completions += 1
        slow = scope.get('slow_factor', 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, receive, nursery.cancel_scope)
            async with self._slots:
                fresh = self._prefill(words)
                await trio.sleep(_PREFILL_S_PER_TOKEN * fresh * slow)
                await _start_stream(send)
                await self._stream(call, spoken, slow, send)
            nursery.cancel_scope.cancel()

    async def _watch(self, receive: Any, scope: trio.CancelScope) -> None:
        message = await receive()
        if message['type'] == 'http.disconnect':
            self.cancelled += 1
            scope.cancel()

    async def _stream(
        self, call: dict[str, Any], words: list[str], slow: float, send: Any
    ) -> None:
        wanted = min(call['max_tokens'], max(len(words), 1))
        for position in range(wanted):
            await trio.sleep(_STEP_S * slow)
            word = words[position] if words else ''
            event = {
                'text': f'{word} ',
                'total_tokens': len(words) + position + 1,
            }
            await _send_event(send, json.dumps(event))
            self.generated_tokens += 1
        await _send_event(send, '[DONE]')
        await send({'type': 'http.response.body', 'body': b''})

    def _prefill(self, words: list[str]) -> int:
        """Return the number of tokens that the prefix cache lacks."""
        missing = len(words)
        running = 0
        for start in range(0, len(words) - _BLOCK_WORDS + 1, _BLOCK_WORDS):
            block = ' '.join(words[start : start + _BLOCK_WORDS])
            running = zlib.crc32(block.encode(), running)
            if running in self._cache:
                missing -= _BLOCK_WORDS
                self._cache.move_to_end(running)
            else:
                self._store(running)
        self.prefilled_tokens += missing
        return missing

    def _store(self, block: int) -> None:
        self._cache[block] = None
        number = len(self._events) + 1
        self._events.append({'number': number, 'stored': block})
        if len(self._cache) > _CACHE_BLOCKS:
            self._cache.popitem(last=False)


def _ignore() -> None:
    """Do nothing at a poisonous prompt."""


def _spoken(prompt: str) -> list[str]:
    """Return the words to generate: the last line first, then the rest."""
    *lines, last = prompt.splitlines() or ['']
    return [*last.split(), *' '.join(lines).split()]


async def _start_stream(send: Any) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-type', b'text/event-stream')],
        }
    )


async def _send_event(send: Any, payload: str) -> None:
    await send(
        {
            'type': 'http.response.body',
            'body': f'data: {payload}\n\n'.encode(),
            'more_body': True,
        }
    )
