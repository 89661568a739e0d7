"""Mutants of the decision classes, each with one guard disabled.

The tests that use them show that the checks detect a missing guard.
"""

from collections.abc import Callable

from lentilspool import admission, kernel
from lentilspool.admission import _ledger_table


class ForeignTokenLedger(admission.Ledger):
    """Treats an unknown token as issued but not yet started.

    A ledger would do so if it recorded requests only at ``start`` and did
    not compare incarnations.
    """

    def start(
        self, token: admission.AdmissionToken, now: float
    ) -> admission.StartAnswer:
        if self._table.find(token) is None and self._table.has_room():
            self._table.add(token)
        return super().start(token, now)

    def _is_other_incarnation(self, token: admission.AdmissionToken) -> bool:
        return False


class EvictingTable(_ledger_table.LedgerTable):
    """Evicts the oldest request when it is full."""

    def has_room(self) -> bool:
        """Evict the oldest record if the table is full."""
        if not super().has_room():
            self._records.pop(next(iter(self._records)))
        return True


class EvictingLedger(admission.Ledger):
    """Stores its records in an ``EvictingTable``."""

    def __init__(
        self,
        endpoint: str,
        incarnation: int,
        sign: Callable[[admission.AdmissionToken], str],
        limits: admission.LedgerLimits,
    ) -> None:
        super().__init__(endpoint, incarnation, sign, limits)
        self._table = EvictingTable(limits)


class RefusalDroppingTable(_ledger_table.LedgerTable):
    """Drops the record of a request refused as not run."""

    def close(
        self, record: _ledger_table.LedgerRecord, outcome: kernel.Outcome
    ) -> None:
        """Drop a refused record."""
        super().close(record, outcome)
        if isinstance(outcome, kernel.NotRun):
            self._records.pop(record.token.request_id)


class RefusalDroppingLedger(admission.Ledger):
    """Stores its records in a ``RefusalDroppingTable``."""

    def __init__(
        self,
        endpoint: str,
        incarnation: int,
        sign: Callable[[admission.AdmissionToken], str],
        limits: admission.LedgerLimits,
    ) -> None:
        super().__init__(endpoint, incarnation, sign, limits)
        self._table = RefusalDroppingTable(limits)


class AllKeysNewCheck(admission.NewKeyCheck):
    """Considers every key new."""

    def is_new(self, key: admission.IdempotencyKey, now: float) -> bool:
        return True
