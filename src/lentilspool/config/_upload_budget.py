"""Selection of the entries to push, and a budget for their bytes."""

from typing import Final

from lentilspool.config import _log_replica, _messages

_MAX_PUSH_BYTES: Final = 16_000
_REFILL_BYTES_PER_S: Final = 2_000.0
_CAPACITY_BYTES: Final = 128_000.0
_MAX_CHARGE_BYTES: Final = 43_000.0


class UploadBudget:
    """Token bucket for the bytes of entries that are sent.

    A push is charged at most a third of the capacity, so a full bucket pays
    for three copies of an entry of any size. Each receiver can thus forward
    it to more than one other process even if some messages are lost; with
    fewer copies, a large entry might not reach every process.
    """

    def __init__(self, now: float) -> None:
        self._available_bytes = _CAPACITY_BYTES
        self._refilled_at = now

    def try_spend(self, now: float, size: int) -> bool:
        """Charge bytes to the bucket; return False if it is empty."""
        refilled = (
            self._available_bytes
            + (now - self._refilled_at) * _REFILL_BYTES_PER_S
        )
        self._available_bytes = min(_CAPACITY_BYTES, refilled)
        self._refilled_at = now
        if self._available_bytes <= 0:
            return False
        self._available_bytes -= min(size, _MAX_CHARGE_BYTES)
        return True


def push_after(
    replica: _log_replica.LogReplica, number: int
) -> _messages.ConfigPush | None:
    """Return a push of entries after ``number``, or None if there are none.

    It has at least one entry, and more up to ``_MAX_PUSH_BYTES``.
    """
    history = replica.history
    entries = replica.entries_after(number)
    if history is None or not entries:
        return None
    count = _count_fitting(entries)
    last = history.state.number - (len(entries) - count)
    return _messages.ConfigPush(last, history.digest_at(last), entries[:count])


def push_bytes(push: _messages.ConfigPush) -> int:
    """Return the total size of the entries of a push."""
    return sum(map(len, push.entries))


def _count_fitting(entries: tuple[bytes, ...]) -> int:
    count = 0
    total_bytes = 0
    for raw in entries:
        total_bytes += len(raw)
        if count and total_bytes > _MAX_PUSH_BYTES:
            break
        count += 1
    return count
