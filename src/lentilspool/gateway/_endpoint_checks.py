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
# A sound endpoint may be silent for a second or two and then go on.
_MAX_SILENCE_S: Final = 2.0
_RECONNECT_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Check:
    """A check in progress."""

    contents: set[str]
    """Contents that ran at the endpoint without an answer."""

    ended: trio.Event
    """Set when the check has ended."""

    began_at: float
    """When the check began."""


class EndpointChecks:
    """Tells the end of an endpoint from a lost answer or a broken connection.

    Call ``check`` or ``wait`` with the contents that ran at an endpoint without
    an answer, and ``record_answer`` for each answer. Deaths are recorded in the
    quarantine. An endpoint has ended if its port refuses connections. One that
    does not respond for some seconds has ended only if other endpoints answer
    meanwhile; otherwise this host may be cut off.
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
        check = _Check(set(contents), trio.Event(), _clock.now())
        self._checks[endpoint.incarnation] = check
        try:
            connected = await self._connect(endpoint)
        finally:
            # Contents that come later need another check.
            self._checks.pop(endpoint.incarnation)
            check.ended.set()
        if isinstance(connected, trio.SocketStream):
            await trio.aclose_forcefully(connected)
        elif self._has_ended(connected, check.began_at):
            self._record_death(endpoint, connected, check.contents)

    async def _connect(
        self, endpoint: serving.Endpoint
    ) -> trio.SocketStream | _sockets.Unreachable:
        # All connections of an endpoint that ended break at about this time.
        await trio.sleep(_GATHER_S)
        give_up_at = trio.current_time() + _MAX_SILENCE_S
        connected = await self._try_connect(endpoint)
        while (
            connected is _sockets.Unreachable.no_response
            and trio.current_time() < give_up_at
        ):
            await trio.sleep(_RECONNECT_S)
            connected = await self._try_connect(endpoint)
        return connected

    async def _try_connect(
        self, endpoint: serving.Endpoint
    ) -> trio.SocketStream | _sockets.Unreachable:
        return await _sockets.try_connect(
            endpoint.host, endpoint.port, self._limits.connect_s
        )

    def _has_ended(
        self, failure: _sockets.Unreachable, began_at: float
    ) -> bool:
        refused = failure is _sockets.Unreachable.refused
        return refused or self._last_answer_at > began_at

    def _record_death(
        self,
        endpoint: serving.Endpoint,
        failure: _sockets.Unreachable,
        contents: set[str],
    ) -> None:
        self._metrics.record_endpoint_death(endpoint.service)
        _events.ENDPOINT_DIED.log(
            _logger,
            endpoint=endpoint.name,
            incarnation=endpoint.incarnation,
            service=endpoint.service,
            cause=failure.value,
            contents=sorted(contents),
        )
        self.quarantine.record_death(
            endpoint.service, endpoint.incarnation, contents
        )
