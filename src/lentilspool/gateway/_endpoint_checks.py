"""Checks whether an endpoint has ended while it ran requests."""

import dataclasses
import logging
from collections.abc import Iterable
from typing import Final

import trio

from lentilspool import serving, settings
from lentilspool.gateway import (
    _clock,
    _content_quarantine,
    _events,
    _metrics,
    _sockets,
)

_logger: Final = logging.getLogger(__name__)
_GATHER_S: Final = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class _Check:
    """A check in progress."""

    contents: set[str]
    """Contents that ran at the endpoint without an answer."""

    ended: trio.Event
    """Set when the outcome is recorded."""


class EndpointChecks:
    """Tells the end of an endpoint from a lost answer or a broken connection.

    Call ``check`` with the contents that ran at an endpoint without an answer,
    and ``record_answer`` for each answer. Deaths are recorded in the quarantine.
    An endpoint has ended if its port
    refuses connections. One that does not respond has ended only if other
    endpoints answer meanwhile; otherwise this host may be cut off.
    """

    def __init__(
        self,
        limits: settings.SendSettings,
        metrics: _metrics.GatewayMetrics,
        quarantine: _content_quarantine.ContentQuarantine,
        nursery: trio.Nursery,
    ) -> None:
        self._limits = limits
        self._metrics = metrics
        self.quarantine = quarantine
        self._nursery = nursery
        self._last_answer_at = 0.0
        self._checks: dict[str, _Check] = {}

    def record_answer(self) -> None:
        """Record that some endpoint has answered."""
        self._last_answer_at = _clock.now()

    def check(
        self, endpoint: serving.Endpoint, contents: Iterable[str]
    ) -> None:
        """Check an endpoint in the background."""
        self._nursery.start_soon(self.wait, endpoint, frozenset(contents))

    async def wait(
        self, endpoint: serving.Endpoint, contents: frozenset[str]
    ) -> None:
        """Check an endpoint, or wait for the check that others began."""
        check = self._checks.get(endpoint.incarnation)
        if check:
            check.contents.update(contents)
            await check.ended.wait()
            return
        check = _Check(set(contents), trio.Event())
        self._checks[endpoint.incarnation] = check
        try:
            await self._check(endpoint, check.contents)
        finally:
            self._checks.pop(endpoint.incarnation, None)
            check.ended.set()

    async def _check(
        self, endpoint: serving.Endpoint, contents: set[str]
    ) -> None:
        began_at = _clock.now()
        # All connections of an endpoint that ended break at about this time.
        await trio.sleep(_GATHER_S)
        connected = await _sockets.try_connect(
            endpoint.host, endpoint.port, self._limits.connect_s
        )
        # Contents that come later need another check.
        self._checks.pop(endpoint.incarnation)
        if isinstance(connected, trio.SocketStream):
            await trio.aclose_forcefully(connected)
            return
        refused = connected is _sockets.Unreachable.refused
        if refused or self._last_answer_at > began_at:
            self._metrics.record_endpoint_death(endpoint.service)
            _events.ENDPOINT_DIED.log(
                _logger,
                endpoint=endpoint.name,
                incarnation=endpoint.incarnation,
                service=endpoint.service,
                cause=connected.value,
                contents=sorted(contents),
            )
            self.quarantine.record_death(
                endpoint.service, endpoint.incarnation, contents
            )
