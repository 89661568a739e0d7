"""Decoding of callers' requests and encoding of endpoints' requests."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from lentilspool import serving
from lentilspool.platform import _errors, _names

_MS_PER_S: Final = 1000.0
# Engines accept ranks from 0 to 9; a request without a rank has rank 5.
_HIGHEST_RANK: Final = 9
_Pairs = Iterable[tuple[bytes, bytes]]
# Planners hold a few hundred bytes for each piece.
_MAX_PIECES: Final = 10_000
# Fits the integers of messages between processes.
_MAX_NUMBER: Final = 9_007_199_254_740_992


@dataclasses.dataclass(frozen=True, slots=True)
class SendOptions:
    """Values that this system adds to a request for an endpoint."""

    endpoint: str
    """Name of the endpoint; any other one rejects the request."""

    time_left_s: float
    """Seconds until the endpoint should give up the request."""

    team: str = ''
    """Team of the caller; empty if it has none."""

    priority: int | None = None
    """Rank at an engine; 0 runs first."""

    results: tuple[str, ...] | None = None
    """Handles of the stage results that the request reads."""

    cache_source: str = ''
    """Address of an engine that has parts of the prompt cached."""

    last_event: int | None = None
    """Number of the event after which the stream resumes."""


def decode_caller_request(
    method: bytes, target: bytes, headers: _Pairs
) -> serving.Call:
    """Decode the head of a caller's request.

    Raises ``FormatError`` if a header that is used here is invalid.
    """
    pairs = [(name.lower(), content) for name, content in headers]
    by_name = dict(pairs)
    path = target.partition(b'?')[0].decode('latin-1')
    return serving.Call(
        request_id=_text(by_name, _names.REQUEST_ID),
        method=method.decode('latin-1'),
        target=target.decode('latin-1'),
        host=_text(by_name, b'host'),
        path=path,
        headers=_forwarded(pairs),
        api_key=_text(by_name, _names.API_KEY),
        deadline_s=_seconds(by_name),
        prompt=_prompt(by_name),
        pieces=_numbers(by_name, _names.PIECES, _MAX_PIECES),
        piece_key=_text(by_name, _names.PIECE_KEY),
        last_event=_last_event(by_name),
        resumed_id=_text(by_name, _names.RESUMED_ID),
    )


def endpoint_headers(
    call: serving.Call, options: SendOptions, body_bytes: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request for an endpoint."""
    headers = list(call.headers)
    added = {
        _names.DEADLINE: str(max(int(options.time_left_s * _MS_PER_S), 1)),
        _names.EXPECTED_ENDPOINT: options.endpoint,
        _names.TEAM: options.team,
        _names.CACHE_SOURCE: options.cache_source,
    }
    if options.priority is not None:
        rank = min(max(options.priority, 0), _HIGHEST_RANK)
        added[_names.PRIORITY] = str(rank)
    if options.results is not None:
        added[_names.STAGE_RESULTS] = ','.join(options.results)
    if options.last_event is not None:
        added[_names.LAST_EVENT] = str(options.last_event)
    headers.extend(
        (name, text.encode('latin-1')) for name, text in added.items() if text
    )
    if body_bytes or call.method != 'GET':
        headers.append((b'content-length', str(body_bytes).encode()))
    return headers


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer without a body, made here."""
    headers = [(b'content-length', b'0')]
    if request_id:
        headers.append((_names.REQUEST_ID, request_id.encode('latin-1')))
    if retry_after_s is not None:
        shown = f'{max(retry_after_s, 0):.3f}'
        headers.append((_names.RETRY_AFTER, shown.encode()))
    return headers


def _forwarded(
    pairs: list[tuple[bytes, bytes]],
) -> tuple[tuple[bytes, bytes], ...]:
    dropped = set(_names.CONNECTION_HEADERS | _names.OWN_HEADERS)
    for name, content in pairs:
        if name == b'connection':
            dropped.update(
                token.strip().lower() for token in content.split(b',')
            )
    # A caller cannot drop headers that the endpoint needs by naming them in
    # its Connection header.
    dropped.discard(_names.REQUEST_ID)
    dropped.discard(b'host')
    return tuple(pair for pair in pairs if pair[0] not in dropped)


def _text(by_name: dict[bytes, bytes], name: bytes) -> str:
    return by_name.get(name, b'').decode('latin-1').strip()


def _seconds(by_name: dict[bytes, bytes]) -> float | None:
    text = _text(by_name, _names.DEADLINE)
    if not text:
        return None
    try:
        return float(text) / _MS_PER_S
    except ValueError:
        raise _errors.FormatError('Deadline-Ms', f'not a number: {text!r}')


def _numbers(
    by_name: dict[bytes, bytes], name: bytes, limit: int = _MAX_NUMBER
) -> tuple[int, ...]:
    text = _text(by_name, name)
    if not text:
        return ()
    try:
        numbers = tuple(int(part) for part in text.split(','))
    except ValueError:
        raise _errors.FormatError(name.decode(), f'not numbers: {text!r}')
    if min(numbers) < 0 or max(numbers) > limit:
        raise _errors.FormatError(
            name.decode(), f'not between 0 and {limit}: {text!r}'
        )
    return numbers


def _last_event(by_name: dict[bytes, bytes]) -> int | None:
    numbers = _numbers(by_name, _names.LAST_EVENT)
    return numbers[0] if numbers else None


def _prompt(by_name: dict[bytes, bytes]) -> serving.Prompt | None:
    counts = _numbers(by_name, _names.TOKEN_COUNTS)
    if len(counts) < 2:
        return None
    return serving.Prompt(
        model=_text(by_name, _names.MODEL),
        input_tokens=counts[0],
        output_tokens=counts[1],
        parts=_parts(_text(by_name, _names.PROMPT_PARTS)),
    )


def _parts(text: str) -> tuple[serving.PromptPart, ...]:
    parts = []
    for entry in filter(None, text.split(',')):
        key, _, tokens = entry.strip().partition(':')
        if not tokens.isdigit():
            raise _errors.FormatError('Prompt-Prefix', f'bad entry {entry!r}')
        parts.append(serving.PromptPart(key, int(tokens)))
    return tuple(parts)
