"""Published items as gateways send them to each other: small on the wire."""

import zlib
from collections.abc import Sequence
from typing import Final, TypeVar

import msgspec

_LEVEL: Final = 1
# Far above the largest configuration that the store can hold.
_MAX_BYTES: Final = 67_108_864
_Item = TypeVar('_Item')


def pack(items: Sequence[object]) -> bytes:
    """Return items as compressed bytes."""
    return zlib.compress(msgspec.msgpack.encode(items), _LEVEL)


def unpack(content: bytes, kind: type[_Item]) -> list[_Item]:
    """Return the items; raises ``msgspec.MsgspecError`` if there are none.

    Content that grows beyond a limit is refused in the same way.
    """
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(content, _MAX_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f'not compressed: {error}') from error
    if reader.unconsumed_tail or not reader.eof:
        raise msgspec.DecodeError('compressed content is cut or too large')
    return msgspec.msgpack.decode(plain, type=list[kind])  # type: ignore[valid-type]
