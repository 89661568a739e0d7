"""Stand-in of the weight store, which is rate-limited."""

from typing import Any, Final

import trio

from standins import _faults

_TOO_MANY: Final = 429


class WeightStore:
    """Hands out weights, at most ``loads_per_s`` of them a second.

    ``GET /v1/weights/NAME`` returns 429 with ``retry-after`` above the
    rate; ``refused`` counts these.
    """

    def __init__(self, loads_per_s: float = 1.0) -> None:
        self._loads_per_s = loads_per_s
        self._tokens = 1.0
        self._settled_at = trio.current_time()
        self.served = 0
        self.refused = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call."""
        if scope['type'] == 'lifespan':
            await _faults.lifespan(receive, send)
            return
        now = trio.current_time()
        gained = (now - self._settled_at) * self._loads_per_s
        self._tokens = min(1.0, self._tokens + gained)
        self._settled_at = now
        if self._tokens < 1:
            self.refused += 1
            await _faults.reply(send, {'error': 'rate'}, _TOO_MANY)
            return
        self._tokens -= 1
        self.served += 1
        await _faults.reply(send, {'weights': scope['path']})
