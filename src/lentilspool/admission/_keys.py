"""Idempotency keys, which are UUIDv7 and carry their creation time."""

import dataclasses
import uuid
from typing import Final

from lentilspool import kernel

_TIMESTAMP_SHIFT_BITS: Final = 80
_UUID_VERSION: Final = 7
_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Key that a caller creates for one unrepeatable request."""

    team: str
    """Team of the caller; equal texts of two teams are different keys."""

    text: str
    """The UUID in canonical form."""

    created_ms: int
    """Creation time stated in the key, in ms since the Unix epoch."""

    @property
    def request_id(self) -> str:
        """Request id in the ledger of the key's home."""
        return f'key:{self.team}:{self.text}'


def parse_key(team: str, text: str) -> IdempotencyKey | None:
    """Parse a key; ``None`` if the text is not a UUIDv7."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return IdempotencyKey(
        team, str(parsed), parsed.int >> _TIMESTAMP_SHIFT_BITS
    )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRules:
    """Lifetime of keys, and assumed limits of clock errors."""

    lifetime_s: float = 60.0
    """Seconds after its creation for which a key is accepted."""

    max_lead_s: float = 2.0
    """Seconds by which a key's creation time may lead the wall clock."""

    clock_bound_s: float = 5.0
    """Largest assumed error of a host's wall clock, in seconds."""

    @property
    def quiet_s(self) -> float:
        """Seconds after a start until all keys created before have expired.

        Includes the clock errors of two hosts.
        """
        return self.lifetime_s + self.max_lead_s + 2 * self.clock_bound_s

    @property
    def margin_ms(self) -> float:
        """Margin for creation times of keys served before a start, in ms.

        Such a key may state a time up to this much after the start.
        """
        return (self.max_lead_s + 2 * self.clock_bound_s) * _MS_PER_S


def check_key_age(
    key: IdempotencyKey, rules: KeyRules, wall_s: float
) -> kernel.Unknown | None:
    """Return the refusal of a key outside its lifetime, else ``None``.

    Entries call it. The refusal is ``Unknown``, because another entry may
    have served the key.
    """
    age_s = wall_s - key.created_ms / _MS_PER_S
    if -rules.max_lead_s <= age_s <= rules.lifetime_s:
        return None
    return kernel.Unknown(
        key.text,
        kernel.UnknownReason.token_expired,
        f'by its creation time the key is {age_s:.1f} s old; '
        f'keys are accepted for {rules.lifetime_s:.1f} s',
    )


class NewKeyCheck:
    """Decides which keys no earlier incarnation of the home can have served.

    A key is new if it was created after the minimum creation time, and at
    most ``max_lead_s`` in the future. The minimum is the start of the
    incarnation plus a margin, or the creation time of the newest key that the
    ledger has forgotten, whichever is later. During the quiet period after a
    start, on the monotonic clock, no key is new. The wall clock is read only
    at a start or pause and extrapolated with the monotonic clock, so later
    steps of the wall clock have no effect.
    """

    def __init__(self, rules: KeyRules, wall_s: float, now: float) -> None:
        self._rules = rules
        self._wall_offset_s = wall_s - now
        self._quiet_until = now + rules.quiet_s
        self._min_created_ms = wall_s * _MS_PER_S + rules.margin_ms

    @property
    def quiet_until(self) -> float:
        """End of the quiet period, in seconds on the monotonic clock."""
        return self._quiet_until

    def is_new(self, key: IdempotencyKey, now: float) -> bool:
        """Return whether no earlier incarnation can have served the key."""
        latest_s = now + self._wall_offset_s + self._rules.max_lead_s
        return (
            now >= self._quiet_until
            and self._min_created_ms < key.created_ms <= latest_s * _MS_PER_S
        )

    def on_key_forgotten(self, key: IdempotencyKey) -> None:
        """Raise the minimum creation time to that of a forgotten key."""
        self._min_created_ms = max(self._min_created_ms, key.created_ms)

    def on_pause(self, wall_s: float, now: float) -> None:
        """Restart the quiet period; never lower the minimum creation time."""
        min_created_ms = wall_s * _MS_PER_S + self._rules.margin_ms
        self._min_created_ms = max(self._min_created_ms, min_created_ms)
        self._wall_offset_s = wall_s - now
        self._quiet_until = now + self._rules.quiet_s
