"""What endpoints state of themselves, recorded and shared by gateways."""

import logging
from collections.abc import Iterable
from typing import Final

from lentilspool import serving
from lentilspool.gateway import _clock, _events, _metrics, _published

_logger: Final = logging.getLogger(__name__)
_MISDIRECTED: Final = 421
_MS_PER_S: Final = 1000


class StatementRecorder:
    """Records the statements of endpoints in ``known``.

    Call ``record`` with the head of each answer of an endpoint, and ``merge``
    with what other gateways have learnt.
    """

    def __init__(
        self,
        known: serving.EndpointStatements,
        published: _published.PublishedState,
        metrics: _metrics.GatewayMetrics,
    ) -> None:
        self.known = known
        self._published = published
        self._metrics = metrics

    def record(
        self,
        endpoint: serving.Endpoint,
        head: serving.AnswerHead,
        asked_at: float,
    ) -> None:
        """Record what an answer states; the endpoint was asked at that time."""
        if head.status == _MISDIRECTED:
            # Another endpoint has answered, at a reused address.
            return
        statement = head.statement
        if statement.unreadable:
            _events.STATEMENT_UNREADABLE.log(
                _logger,
                endpoint=endpoint.name,
                request_id=head.request_id,
                values=statement.unreadable,
            )
        if statement.leaving:
            self._record_leaving([endpoint.incarnation], head.request_id)
        if statement.backoff_s is not None:
            _events.BACKOFF_STATED.log(
                _logger,
                endpoint=endpoint.incarnation,
                request_id=head.request_id,
                backoff_ms=round(statement.backoff_s * _MS_PER_S),
            )
            self._metrics.record_statement('backoff')
            self.known.record_backoff(
                endpoint.incarnation, statement.backoff_s, _clock.now()
            )
        limit = statement.limit_per_s
        if self.known.record_limit(
            endpoint.incarnation, limit, asked_at, _clock.now()
        ):
            self._log_limit(endpoint.incarnation, limit, head.request_id)

    def merge(
        self,
        process: str,
        reports: Iterable[serving.LimitReport],
        totals: Iterable[tuple[str, int]],
        leaving: Iterable[str],
    ) -> None:
        """Merge what another gateway has learnt, and what it has granted."""
        self._record_leaving(leaving, '', process)
        now = _clock.now()
        for report in self.known.merge(reports, now):
            self._log_limit(
                report.incarnation, report.limit_per_s, '', report.origin
            )
        self.known.merge_totals(process, totals, now)

    def expire(self) -> None:
        """Forget what has ended; call it from time to time."""
        now = _clock.now()
        endpoints = self._published.endpoint_index.endpoints
        listed = {one.incarnation for one in endpoints}
        self.known.forget_unlisted(listed, now)
        leaving = self.known.leaving
        self._published.apply_leaving(
            leaving.incarnations, leaving.last_resorts(now)
        )

    def _record_leaving(
        self, incarnations: Iterable[str], request_id: str, origin: str = ''
    ) -> None:
        new = self.known.leaving.merge(incarnations, _clock.now())
        for incarnation in new:
            self._metrics.record_statement('leaving')
            _events.LEAVING_STATED.log(
                _logger,
                endpoint=incarnation,
                request_id=request_id,
                origin=origin,
            )
        if new:
            self.expire()

    def _log_limit(
        self,
        incarnation: str,
        limit_per_s: float | None,
        request_id: str,
        origin: str = '',
    ) -> None:
        self._metrics.record_statement('limit')
        _events.LIMIT_STATED.log(
            _logger,
            endpoint=incarnation,
            limit_per_s=limit_per_s,
            request_id=request_id,
            origin=origin,
        )
