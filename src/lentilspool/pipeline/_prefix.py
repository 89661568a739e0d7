"""Hashes of a prompt's blocks, by which cached prefixes are found."""

from collections.abc import Iterator
from typing import Final

import xxhash

BLOCK_CHARS: Final = 256
MAX_BLOCKS: Final = 64
CHARS_PER_TOKEN: Final = 4


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
