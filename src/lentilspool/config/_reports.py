"""Log events about offers, and the faults of sources that last."""

import logging
from typing import Final

from lentilspool.config import _events, _offers, _verdicts

_LOGGER: Final = logging.getLogger(__name__)
_LARGE_LOG_BYTES: Final = 4_000_000
_MAX_FAULTS: Final = 64


class Reports:
    """Logs what becomes of offers; a lasting fault is logged once.

    Call ``settle`` with each outcome; read ``faults`` for the dump.
    """

    def __init__(self) -> None:
        self._faults: dict[str, _offers.Ignored] = {}
        self._log_is_large = False

    @property
    def faults(self) -> dict[str, dict[str, str]]:
        """Faults that last, by source, as plain JSON types."""
        return {
            source: {'fault': held.fault.value, 'detail': held.detail}
            for source, held in self._faults.items()
        }

    def settle(self, outcome: _offers.OfferOutcome, source: str) -> None:
        """Record the outcome of what a source offered.

        A gap is no fault: messages may be lost and reordered.
        """
        before = self._faults.pop(source, None)
        if isinstance(outcome, _offers.Ignored):
            if outcome.fault is _offers.Fault.gap:
                return
            self._faults[source] = outcome
            if len(self._faults) > _MAX_FAULTS:
                self._faults.pop(next(iter(self._faults)))
            if before is None or before.fault is not outcome.fault:
                _report_fault(outcome, source)
            return
        if before is not None:
            _events.SOURCE_RECOVERED.log(_LOGGER, source=source)
        if isinstance(outcome, _offers.Adopted):
            _report_adopted(outcome)

    def check_log(self, log_bytes: int) -> None:
        """Report once that the patch log has grown large."""
        is_large = log_bytes > _LARGE_LOG_BYTES
        if is_large and not self._log_is_large:
            _events.LOG_LARGE.log(_LOGGER, bytes=log_bytes)
        self._log_is_large = is_large


def verdict_row(verdict: _verdicts.Verdict) -> dict[str, object]:
    """Return a verdict as plain JSON types."""
    row: dict[str, object] = {
        'number': verdict.number,
        'version': verdict.version,
        'author': verdict.author,
        'accepted': isinstance(verdict, _verdicts.EntryAccepted),
    }
    if isinstance(verdict, _verdicts.EntryRefused):
        row['reason'] = verdict.reason.value
        row['path'] = verdict.path
        row['detail'] = verdict.detail
    return row


def _report_fault(outcome: _offers.Ignored, source: str) -> None:
    event = {
        _offers.Fault.stale: _events.SOURCE_STALE,
        _offers.Fault.forked: _events.SOURCE_FORKED,
    }.get(outcome.fault, _events.SOURCE_INVALID)
    event.log(_LOGGER, source=source, detail=outcome.detail)


def _report_adopted(outcome: _offers.Adopted) -> None:
    for verdict in outcome.verdicts:
        if isinstance(verdict, _verdicts.EntryRefused):
            _events.ENTRY_REFUSED.log(_LOGGER, **verdict_row(verdict))
    _events.VERSION_ADOPTED.log(
        _LOGGER,
        version=outcome.state.version,
        number=outcome.state.number,
        digest=outcome.state.digest,
    )
