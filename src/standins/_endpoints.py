"""Stand-ins of endpoints: pool stages and plain services."""

import json
import pathlib
import re
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import trio

from standins import _faults

_STAGE_S: Final = 0.004
_SERVICE_S: Final = 0.006
_FOUND: Final = 5
_KEPT: Final = 3
_WORDS: Final = re.compile(r'\w+')


class StageEndpoint:
    """Encodes, retrieves over text files, and reranks."""

    def __init__(self, texts: dict[str, str]) -> None:
        self._texts = texts
        self.calls = 0
        self._words = {
            name: Counter(_WORDS.findall(text.lower()))
            for name, text in texts.items()
        }

    @classmethod
    def from_folder(cls, folder: str) -> 'StageEndpoint':
        """Read every text file of a folder."""
        return cls(
            {
                path.name: path.read_text(encoding='utf-8')
                for path in sorted(pathlib.Path(folder).glob('*.txt'))
            }
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve ``POST /v1/OPERATION``."""
        if scope['type'] == 'lifespan':
            await _faults.lifespan(receive, send)
            return
        fields = json.loads(await _faults.body_of(receive))
        self.calls += 1
        await trio.sleep(_STAGE_S * scope.get('slow_factor', 1))
        operation = scope['path'].rsplit('/', 1)[-1]
        await _faults.reply(send, self._run(operation, fields))

    def _run(self, operation: str, fields: dict[str, Any]) -> dict[str, Any]:
        if operation == 'encode':
            text = str(fields.get('text', ''))
            return {'terms': sorted(set(_WORDS.findall(text.lower())))}
        if operation == 'retrieve':
            return {'found': self._rank(fields.get('terms', ()), _FOUND)}
        best = fields.get('found', ())[:_KEPT]
        return {'documents': [self._texts.get(name, '') for name in best]}

    def _rank(self, terms: list[str], count: int) -> list[str]:
        def score(name: str) -> int:
            return sum(self._words[name][term] for term in terms)

        return sorted(self._texts, key=score, reverse=True)[:count]


class ServiceEndpoint:
    """Runs operations of a plain service and counts each execution.

    ``GET /v1/executions`` returns the count for each subject, so that a
    call that ran twice shows.
    """

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        # A request about this subject ends the endpoint.
        self.poison = ''
        self.on_poison: Callable[[], None] = _ignore

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve ``POST /v1/OPERATION`` and ``GET /v1/executions``."""
        if scope['type'] == 'lifespan':
            await _faults.lifespan(receive, send)
            return
        if scope['path'] == '/v1/executions':
            await _faults.reply(send, dict(self.executions))
            return
        fields = json.loads(await _faults.body_of(receive))
        request_id = _header(scope, b'x-request-id')
        subject = str(fields.get('subject', request_id))
        if self.poison and self.poison == subject:
            self.on_poison()
            await trio.sleep_forever()
        self.executions[subject] += 1
        await trio.sleep(_SERVICE_S * scope.get('slow_factor', 1))
        operation = scope['path'].rsplit('/', 1)[-1]
        await _faults.reply(
            send,
            {
                'operation': operation,
                'subject': subject,
                'receipt': f'{operation}-{request_id[:12]}',
            },
        )


def _ignore() -> None:
    """Do nothing at a poisonous request."""


def _header(scope: Any, name: bytes) -> str:
    for held, text in scope['headers']:
        if held == name:
            return str(text, 'latin-1')
    return ''
