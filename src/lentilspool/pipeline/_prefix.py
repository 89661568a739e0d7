"""Prompts and the block hashes that identify their cached prefixes."""

from collections.abc import Iterator, Mapping
from typing import Any, Final

import xxhash

BLOCK_CHARS: Final = 256
MAX_BLOCKS: Final = 64
CHARS_PER_TOKEN: Final = 4


def build_prompt(fields: Mapping[str, Any], operation: str) -> str:
    """Return the prompt of a stage's input.

    It is the ``prompt`` field if there is one. Otherwise it has the
    operation, the documents and the caller's text, each on a line of its
    own, in this order.
    """
    prompt = fields.get('prompt')
    if prompt is not None:
        return str(prompt)
    documents = fields.get('documents', ())
    lines = [operation, *(str(document) for document in documents)]
    return '\n'.join([*lines, str(fields.get('text', ''))])


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash per complete block, each over the text up to its end.

    A block has ``BLOCK_CHARS`` characters. Only the first ``MAX_BLOCKS``
    blocks are hashed.
    """
    return tuple(_hashes(prompt))


def _hashes(prompt: str) -> Iterator[int]:
    state = xxhash.xxh3_64()
    block_count = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for block in range(block_count):
        start = block * BLOCK_CHARS
        state.update(prompt[start : start + BLOCK_CHARS].encode())
        yield state.intdigest()
