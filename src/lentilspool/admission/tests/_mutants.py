"""Ledgers with one guard switched off, to show that the checks can fail."""

from collections.abc import Callable

from lentilspool import admission, kernel
from lentilspool.admission import _ledger_table


class ForeignTakingLedger(admission.Ledger):
    """Takes a token that it does not know as one that never started.

    That is what a ledger does which keeps no entry until the start, if it
    does not compare the incarnation.
    """

    def start(
        self, token: admission.AdmissionToken, now: float
    ) -> admission.StartAnswer:
        if self._table.find(token) is None and self._table.has_room():
            self._table.add(token)
        return super().start(token, now)

    def _is_foreign(self, token: admission.AdmissionToken) -> bool:
        return False


class ForgetfulTable(_ledger_table.LedgerTable):
    """Makes room by forgetting the oldest request."""

    def has_room(self) -> bool:
        """Make room, then."""
        if not super().has_room():
            self._entries.pop(next(iter(self._entries)))
        return True


class ForgetfulLedger(admission.Ledger):
    """Keeps its entries in a forgetful table."""

    def __init__(
        self,
        endpoint: str,
        incarnation: int,
        sign: Callable[[admission.AdmissionToken], str],
        limits: admission.LedgerLimits,
    ) -> None:
        super().__init__(endpoint, incarnation, sign, limits)
        self._table = ForgetfulTable(limits)


class ForgetfulOfRefusalsTable(_ledger_table.LedgerTable):
    """Keeps no record of what was refused as not run."""

    def close(
        self, entry: _ledger_table.Entry, outcome: kernel.Outcome
    ) -> None:
        """Drop a refused entry."""
        super().close(entry, outcome)
        if isinstance(outcome, kernel.NotRun):
            self._entries.pop(entry.token.request_id)


class UnrecordedRefusalLedger(admission.Ledger):
    """Keeps no record of what it refuses as not run."""

    def __init__(
        self,
        endpoint: str,
        incarnation: int,
        sign: Callable[[admission.AdmissionToken], str],
        limits: admission.LedgerLimits,
    ) -> None:
        super().__init__(endpoint, incarnation, sign, limits)
        self._table = ForgetfulOfRefusalsTable(limits)


class OpenGate(admission.KeyGate):
    """Takes every key for new."""

    def is_new(self, key: admission.IdempotencyKey, now: float) -> bool:
        return True
