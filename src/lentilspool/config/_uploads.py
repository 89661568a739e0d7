"""Which entries a process sends, and how many bytes of them."""

from typing import Final

from lentilspool.config import _holder, _messages

_CHUNK_BYTES: Final = 16_000
_BYTES_PER_S: Final = 2_000.0
_BURST_BYTES: Final = 128_000.0
_LARGEST_CHARGE_BYTES: Final = 43_000.0


class Uploads:
    """Token bucket over the bytes of entries that are sent.

    A large entry is charged as a third of the bucket at most. Each process
    that gets it can thus pass it on to more than one other at once, even if
    some of these messages are lost; with fewer copies the spread dies out.
    """

    def __init__(self, now: float) -> None:
        self._level = _BURST_BYTES
        self._at = now

    def spend(self, now: float, size: int) -> bool:
        """Take bytes from the bucket; false if it is empty."""
        refilled = self._level + (now - self._at) * _BYTES_PER_S
        self._level = min(_BURST_BYTES, refilled)
        self._at = now
        if self._level <= 0:
            return False
        self._level -= min(size, _LARGEST_CHARGE_BYTES)
        return True


def chunk(holder: _holder.Holder, number: int) -> _messages.ConfigPush | None:
    """Return the first entries after a number, at least one; else none."""
    history = holder.history
    entries = holder.entries_after(number)
    if history is None or not entries:
        return None
    taken = _fitting(entries)
    last = history.state.number - (len(entries) - taken)
    return _messages.ConfigPush(last, history.digest_at(last), entries[:taken])


def size(push: _messages.ConfigPush) -> int:
    """Return the bytes of the entries of a push."""
    return sum(map(len, push.entries))


def _fitting(entries: tuple[bytes, ...]) -> int:
    taken = 0
    total = 0
    for raw in entries:
        total += len(raw)
        if taken and total > _CHUNK_BYTES:
            break
        taken += 1
    return taken
