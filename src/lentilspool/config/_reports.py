"""Log events about offers, and the current faults of sources."""

import logging
from typing import Final

from lentilspool.config import _events, _offers, _verdicts

_LOGGER: Final = logging.getLogger(__name__)
_LARGE_LOG_BYTES: Final = 4_000_000
_MAX_FAULTY_SOURCES: Final = 64


class OutcomeReporter:
    """Logs outcomes of offers; a source's fault is logged once.

    Call ``record`` with each outcome; read ``faults`` for the dump.
    """

    def __init__(self) -> None:
        self._faults: dict[str, _offers.Ignored] = {}
        self._log_is_large = False

    @property
    def faults(self) -> dict[str, dict[str, str]]:
        """Current faults by source, as plain JSON types."""
        return {
            source: {'fault': ignored.fault.value, 'detail': ignored.detail}
            for source, ignored in self._faults.items()
        }

    def record(self, outcome: _offers.OfferOutcome, source: str) -> None:
        """Record the outcome of a source's offer.

        A gap is not a fault, because messages may be lost and reordered.
        """
        previous = self._faults.pop(source, None)
        if isinstance(outcome, _offers.Ignored):
            if outcome.fault is _offers.Fault.gap:
                return
            self._faults[source] = outcome
            if len(self._faults) > _MAX_FAULTY_SOURCES:
                self._faults.pop(next(iter(self._faults)))
            if previous is None or previous.fault is not outcome.fault:
                _report_fault(outcome, source)
            return
        if previous is not None:
            _events.SOURCE_RECOVERED.log(_LOGGER, source=source)
        if isinstance(outcome, _offers.Adopted):
            _report_adopted(outcome)

    def report_log_size(self, log_bytes: int) -> None:
        """Log once that the patch log is large, until it shrinks again."""
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
