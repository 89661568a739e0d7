"""Prompts, and the hashes of their blocks by which caches are found."""

from collections.abc import Iterator, Mapping
from typing import Any, Final

import xxhash

BLOCK_CHARS: Final = 256
MAX_BLOCKS: Final = 64
CHARS_PER_TOKEN: Final = 4


def prompt_of(fields: Mapping[str, Any], operation: str) -> str:
    """Return the prompt: the operation, documents, then the caller's text."""
    prompt = fields.get('prompt')
    if prompt is not None:
        return str(prompt)
    documents = fields.get('documents', ())
    lines = [operation, *(str(document) for document in documents)]
    return '\n'.join([*lines, str(fields.get('text', ''))])


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash for each whole block, over all text up to its end."""
    return tuple(_hashes(prompt))


def _hashes(prompt: str) -> Iterator[int]:
    state = xxhash.xxh3_64()
    whole = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for block in range(whole):
        begin = block * BLOCK_CHARS
        state.update(prompt[begin : begin + BLOCK_CHARS].encode())
        yield state.intdigest()
