"""A stand-in of the platform's store, in which operator and runners write."""

import asyncio
import base64
import json
import random
from typing import Any
from urllib import parse

import wire


class Store:
    """Serves ``/kv-key``, ``/kv-range`` and ``/kv-watch``; writes are calls.

    While it is ``down`` it answers 503, also where a watch waits.
    While ``lost_share`` is above zero, it loses that share of its answers:
    the connection stays open and returns nothing further.
    """

    def __init__(self, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._items: dict[str, tuple[bytes | None, int]] = {}
        self._events: list[tuple[int, str, bytes | None]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.lost_share = 0.0
        self.answered = 0
        self.down = False
        self.lost = 0
        self.server = wire.Server(self._serve)

    def put(self, key: str, document: Any) -> int:
        """Write an item, or remove it (None); return the new revision."""
        payload = None if document is None else json.dumps(document).encode()
        self._revision += 1
        self._items[key] = (payload, self._revision)
        self._events.append((self._revision, key, payload))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    async def _serve(self, exchange: wire.Exchange) -> None:
        if self.down:
            await exchange.answer(503, {})
            return
        path, _, query_text = exchange.request.target.partition('?')
        query = dict(parse.parse_qsl(query_text))
        if path == '/kv-watch':
            answer = await self._watch(query)
        elif path == '/kv-range':
            answer = self._range(query)
        elif path == '/kv-key':
            answer = self._key(query)
        else:
            await exchange.answer(404, {})
            return
        if self.down:
            await exchange.answer(503, {})
            return
        if self.lost_share and self._rng.random() < self.lost_share:
            self.lost += 1
            # Nothing further comes on this connection.
            await asyncio.sleep(3600)
        self.answered += bool(self.lost_share)
        body = json.dumps(answer).encode()
        headers = {'Content-Type': 'application/json'}
        await exchange.answer(200, headers, body)

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query['prefix'], int(query['after'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while not self._since(prefix, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        events = []
        for revision, key, payload in self._since(prefix, after):
            if payload is None:
                events.append({'key': key, 'rev': revision, 'tombstone': True})
            else:
                events.append(_item(key, payload, revision))
        return {'events': events, 'current_rev': self._revision}

    def _since(
        self, prefix: str, after: int
    ) -> list[tuple[int, str, bytes | None]]:
        return [
            one
            for one in self._events
            if one[0] > after and one[1].startswith(prefix)
        ]

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query['prefix'], query.get('after', '')
        items = [
            _item(key, payload, revision)
            for key, (payload, revision) in sorted(self._items.items())
            if key.startswith(prefix) and key > after and payload is not None
        ]
        return {
            'items': items,
            'has_more': False,
            'current_rev': self._revision,
        }

    def _key(self, query: dict[str, str]) -> dict[str, Any]:
        payload, revision = self._items.get(query['key'], (None, 0))
        return {
            **_item(query['key'], payload or b'', revision),
            'current_rev': self._revision,
        }


def _item(key: str, payload: bytes, revision: int) -> dict[str, Any]:
    return {
        'key': key,
        'value': base64.b64encode(payload).decode(),
        'rev': revision,
        'created': revision,
        'lease': 0,
    }
