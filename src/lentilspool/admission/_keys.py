"""Idempotency keys that carry their creation time (UUIDv7)."""

import dataclasses
import uuid
from typing import Final

from lentilspool import kernel

_TIMESTAMP_SHIFT: Final = 80
_UUID_VERSION: Final = 7
_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Key made by a caller for one unrepeatable request."""

    team: str
    """Team whose key it is; two teams never share one."""

    text: str
    """Key in the canonical form of a UUID."""

    created_ms: int
    """Creation time that the key claims, ms since the epoch."""

    @property
    def request_id(self) -> str:
        """Name of the request in the ledger of the key's home."""
        return f'key:{self.team}:{self.text}'


def parse_key(team: str, text: str) -> IdempotencyKey | None:
    """Return the key; none unless the text is a UUIDv7."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return IdempotencyKey(team, str(parsed), parsed.int >> _TIMESTAMP_SHIFT)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRules:
    """What is assumed of the clocks that keys depend on."""

    lifetime_s: float = 60.0
    """Seconds after its creation for which a key is served."""

    lead_s: float = 2.0
    """Seconds by which a key's creation time may lie ahead."""

    clock_bound_s: float = 5.0
    """Largest error of a host's wall clock."""

    @property
    def quiet_s(self) -> float:
        """Seconds after a start until every earlier key is too old."""
        return self.lifetime_s + self.lead_s + 2 * self.clock_bound_s

    @property
    def margin_ms(self) -> float:
        """Ms after a start's wall time that an earlier key may claim."""
        return (self.lead_s + 2 * self.clock_bound_s) * _MS_PER_S


def check_age(
    key: IdempotencyKey, rules: KeyRules, wall_s: float
) -> kernel.Unknown | None:
    """Refuse, in an entry, a key outside of its lifetime.

    The refusal is ``Unknown``: another entry may have served the key.
    """
    age_s = wall_s - key.created_ms / _MS_PER_S
    if -rules.lead_s <= age_s <= rules.lifetime_s:
        return None
    return kernel.Unknown(
        key.text,
        kernel.UnknownReason.token_expired,
        f'the key claims an age of {age_s:.1f} s; '
        f'served up to {rules.lifetime_s:.1f} s',
    )


class KeyGate:
    """Tells which keys the home's earlier incarnations cannot have served.

    A key is new if it was created after the floor: the start of the
    incarnation with a margin, or the newest key that the ledger has
    forgotten. Besides, nothing is new before the quiet period has passed
    on the monotonic clock. The wall clock is read once, at the start, and
    carried on by the monotonic clock, so that a later step changes nothing.
    """

    def __init__(self, rules: KeyRules, wall_s: float, now: float) -> None:
        self._rules = rules
        self._wall_offset_s = wall_s - now
        self._opens_at = now + rules.quiet_s
        self._floor_ms = wall_s * _MS_PER_S + rules.margin_ms

    @property
    def opens_at(self) -> float:
        """End of the quiet period, on the monotonic clock."""
        return self._opens_at

    def is_new(self, key: IdempotencyKey, now: float) -> bool:
        """Return whether no earlier incarnation can have served the key."""
        latest_s = now + self._wall_offset_s + self._rules.lead_s
        return (
            now >= self._opens_at
            and self._floor_ms < key.created_ms <= latest_s * _MS_PER_S
        )

    def forgotten(self, key: IdempotencyKey) -> None:
        """Refuse from now on every unknown key as old as this one."""
        self._floor_ms = max(self._floor_ms, key.created_ms)

    def on_pause(self, wall_s: float, now: float) -> None:
        """Begin again as after a start, but never lower the floor."""
        floor_ms = wall_s * _MS_PER_S + self._rules.margin_ms
        self._floor_ms = max(self._floor_ms, floor_ms)
        self._wall_offset_s = wall_s - now
        self._opens_at = now + self._rules.quiet_s
