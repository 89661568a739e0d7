"""Compression of published items for the connections between gateways."""

import zlib
from collections.abc import Sequence
from typing import Final, TypeVar

import msgspec

_LEVEL: Final = 1
# Bounds memory; far above the largest configuration that the store can hold.
_MAX_BYTES: Final = 67_108_864
_Item = TypeVar('_Item')


def pack(items: Sequence[object]) -> bytes:
    """Return items as compressed bytes."""
    return zlib.compress(msgspec.msgpack.encode(items), _LEVEL)


def unpack(content: bytes, kind: type[_Item]) -> list[_Item]:
    """Return the items of compressed bytes.

    Raises ``msgspec.MsgspecError`` if the content is invalid, cut off, or
    larger than the limit when decompressed.
    """
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(content, _MAX_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f'not compressed: {error}') from error
    if reader.unconsumed_tail or not reader.eof:
        raise msgspec.DecodeError('compressed content is cut off or too large')
    return msgspec.msgpack.decode(plain, type=list[kind])  # type: ignore[valid-type]
