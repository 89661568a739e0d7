"""Model of a sidecar with its endpoint's calls, and a test of its copies."""

import dataclasses
from collections.abc import Hashable
from typing import Final, TypeVar

from lentilspool import admission
from lentilspool.admission import _ledger_table

RULES: Final = admission.KeyRules(
    lifetime_s=20.0, max_lead_s=1, clock_bound_s=1
)
LIMITS: Final = admission.LedgerLimits(max_entries=1, lifetime_s=30.0)
POOL: Final = 'p'

_Copied = TypeVar('_Copied')


@dataclasses.dataclass(frozen=True)
class Decisions:
    """Decision classes of the model; a mutant can replace one of them."""

    ledger: type[admission.Ledger] = admission.Ledger
    """Class of the ledger."""

    new_key_check: type[admission.NewKeyCheck] = admission.NewKeyCheck
    """Class that decides which keys are new."""

    limits: admission.LedgerLimits = LIMITS
    """Limits of the ledger."""


class Sidecar:
    """One incarnation of a sidecar.

    Holds the requests queued and running at its endpoint, by request id,
    and the sends that wait for an answer.
    """

    def __init__(
        self,
        number: int,
        incarnation: int,
        now: float,
        decisions: Decisions,
        wall_s: float | None = None,
    ) -> None:
        name = f's{number}'
        self.incarnation = incarnation
        self.ledger = decisions.ledger(
            name, incarnation, lambda token: token.request_id, decisions.limits
        )
        wall_s = now if wall_s is None else wall_s
        self.home = admission.KeyHome(
            name, POOL, self.ledger, decisions.new_key_check(RULES, wall_s, now)
        )
        self.queued: dict[str, tuple[admission.AdmissionToken, int]] = {}
        self.running: dict[str, admission.AdmissionToken] = {}
        self.waiting: dict[str, tuple[int, ...]] = {}
        self._cached_key: Hashable = None

    def copy(self) -> 'Sidecar':
        """Return a copy that shares no mutable state."""
        other = _clone(self)
        other._cached_key = None
        other.ledger = _clone(self.ledger)
        table = _clone(self.ledger._table)
        table._records = {
            name: _ledger_table.LedgerRecord(
                record.token, record.state, record.held_bytes, record.outcome
            )
            for name, record in table._records.items()
        }
        other.ledger._table = table
        other.home = _clone(self.home)
        other.home._ledger = other.ledger
        other.home._new_key_check = _clone(self.home._new_key_check)
        other.home._tokens = self.home._tokens.copy()
        other.home._expiries = self.home._expiries.copy()
        other.queued = self.queued.copy()
        other.running = self.running.copy()
        other.waiting = self.waiting.copy()
        return other

    def key(self) -> Hashable:
        """Return the value by which states are compared."""
        if self._cached_key is None:
            new_key_check = self.home._new_key_check
            self._cached_key = (
                self.incarnation,
                tuple(
                    (record.state.value, record.token, record.outcome)
                    for record in self.ledger._table
                ),
                tuple(self.home._expiries),
                (new_key_check._min_created_ms, new_key_check._quiet_until),
                (*self.queued.items(), *self.running, *self.waiting.items()),
            )
        return self._cached_key


def _clone(original: _Copied) -> _Copied:
    """Return a shallow copy, faster than ``copy.copy``."""
    twin = original.__class__.__new__(original.__class__)
    twin.__dict__.update(original.__dict__)
    return twin


class TestSidecar:
    def test_copy_is_independent(self) -> None:
        first = Sidecar(0, 1, 0, Decisions())
        slots = admission.KeySlots(
            (admission.SlotTable(POOL, 0, 1e9, ('s0',)),)
        )
        key = admission.IdempotencyKey('t', 'k', 1_000_000)
        first.home.issue(key, 'd', slots, 1000)
        before = first.key()
        second = first.copy()
        assert second.key() == before
        token = first.home._tokens[key]
        second.ledger.start(token, 1000)
        second.home.on_pause(1000, 1000)
        second.home.issue(key, 'd', slots, 1030)
        assert first.copy().key() == before
        assert second.copy().key() != before
