"""What endpoints state of themselves in their answers to this gateway."""

import logging
from typing import Final

from lentilspool import serving
from lentilspool.gateway import _events

_logger: Final = logging.getLogger(__name__)
_MISDIRECTED: Final = 421


class EndpointStatements:
    """Records the statements of endpoints.

    Call ``record`` with the head of each answer of an endpoint, and when the
    endpoint was asked.
    """

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}

    def record(
        self,
        endpoint: serving.Endpoint,
        head: serving.AnswerHead,
        asked_at: float,
    ) -> None:
        """Record what an answer states."""
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
        self._record_limit(endpoint, head)

    def _record_limit(
        self, endpoint: serving.Endpoint, head: serving.AnswerHead
    ) -> None:
        name = endpoint.incarnation
        limit = head.statement.limit_per_s
        if self._limits.get(name) == limit:
            return
        if limit is None:
            self._limits.pop(name)
        else:
            self._limits[name] = limit
        _events.LIMIT_STATED.log(
            _logger,
            endpoint=endpoint.name,
            service=endpoint.service,
            request_id=head.request_id,
            limit_per_s=limit,
        )
