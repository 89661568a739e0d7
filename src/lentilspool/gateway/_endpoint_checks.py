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
_MAX_LOGGED_PARTS: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class PromptParts:
    """Prompt parts of requests that ran at an endpoint."""

    suspects: frozenset[str] = frozenset()
    """Parts of requests that had no event, or only just the first."""

    proved: frozenset[str] = frozenset()
    """Parts of requests whose answer the endpoint was writing."""


_NO_PARTS: Final = PromptParts()


@dataclasses.dataclass(frozen=True, slots=True)
class _Check:
    """A check in progress."""

    contents: set[str]
    """Contents that ran at the endpoint without an answer."""

    suspects: set[str]
    """Prompt parts of requests whose answer had not begun."""

    proved: set[str]
    """Prompt parts of requests whose answer the endpoint was writing."""

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
        self,
        endpoint: serving.Endpoint,
        contents: Iterable[str],
        parts: PromptParts = _NO_PARTS,
    ) -> None:
        """Check an endpoint in the background."""
        self._nursery.start_soon(
            self.wait, endpoint, frozenset(contents), parts
        )

    async def wait(
        self,
        endpoint: serving.Endpoint,
        contents: frozenset[str],
        parts: PromptParts = _NO_PARTS,
    ) -> None:
        """Check an endpoint, or wait for the check that others began."""
        check = self._checks.get(endpoint.incarnation)
        if check:
            check.contents.update(contents)
            check.suspects.update(parts.suspects)
            check.proved.update(parts.proved)
            await check.ended.wait()
            return
        check = _Check(
            set(contents),
            set(parts.suspects),
            set(parts.proved),
            trio.Event(),
            _clock.now(),
        )
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
            self._record_death(endpoint, connected, check)

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
        check: _Check,
    ) -> None:
        self._metrics.record_endpoint_death(endpoint.service)
        _events.ENDPOINT_DIED.log(
            _logger,
            endpoint=endpoint.name,
            incarnation=endpoint.incarnation,
            service=endpoint.service,
            cause=failure.value,
            contents=sorted(check.contents),
            suspects=sorted(check.suspects - check.proved)[:_MAX_LOGGED_PARTS],
        )
        self.quarantine.record_death(
            endpoint.service, endpoint.incarnation, check.contents
        )
        self.quarantine.record_prompt_death(
            endpoint.service,
            endpoint.incarnation,
            check.suspects,
            check.proved,
        )
