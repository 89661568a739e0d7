"""Takes callers' requests: finds their route and serves them."""

import logging
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import (
    _clock,
    _events,
    _flight,
    _http_server,
    _plain,
    _streams,
)

_logger: Final = logging.getLogger(__name__)
_BAD_REQUEST: Final = 400
_UNAUTHORIZED: Final = 401
_NOT_FOUND: Final = 404
_NOT_CONFIGURED_S: Final = 0.3
_MS: Final = 1000


class Ingress:
    """Serves the requests of callers."""

    def __init__(self, tools: _flight.Tools) -> None:
        self._tools = tools

    def limits(self) -> serving.CallLimits:
        """Return the limits in force."""
        configuration = self._tools.published.configuration
        return configuration.limits if configuration else serving.CallLimits()

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        """Serve one request."""
        try:
            call = platform.caller_request(
                request.method, request.target, request.headers
            )
        except platform.FormatError as error:
            _events.BAD_REQUEST.log(_logger, problem=str(error))
            await self._turn_away(reply, '', _BAD_REQUEST)
            return
        routes = self._tools.published.routes
        if routes is None:
            await self._turn_away(reply, call.request_id, _flight.UNAVAILABLE)
            return
        matched = routes.find(call)
        if isinstance(matched, serving.NoRoute):
            await self._turn_away(reply, call.request_id, _NOT_FOUND)
        elif isinstance(matched, serving.UnknownKey):
            await self._turn_away(reply, call.request_id, _UNAUTHORIZED)
        else:
            flight = _flight.Flight(
                self._tools, call, request.body, reply, matched
            )
            await self._serve(flight)

    async def _serve(self, flight: _flight.Flight) -> None:
        _events.ARRIVED.log(
            _logger,
            request_id=flight.call.request_id,
            route=flight.route.name,
            team=flight.team,
            left_ms=round(flight.left_s * _MS),
            spent_ms=round(flight.spent_s * _MS),
            configuration=self._tools.published.version,
        )
        if not self._tools.stop.takes(flight.route):
            await flight.refuse('stopping', None)
            return
        concluded = False
        scope = trio.move_on_after(max(flight.left_s, 0))
        try:
            with scope:
                await self._run(flight)
            concluded = True
        finally:
            if not concluded:
                _events.CALLER_LEFT.log(
                    _logger,
                    request_id=flight.call.request_id,
                    after_ms=round((_clock.now() - flight.arrived_at) * _MS),
                )
        if scope.cancelled_caught:
            await self._time_out(flight)

    async def _run(self, flight: _flight.Flight) -> None:
        if flight.route.kind is serving.RouteKind.streaming:
            await _streams.StreamRun(flight).serve()
        else:
            await _plain.serve(flight)

    async def _time_out(self, flight: _flight.Flight) -> None:
        if flight.reply.begun:
            flight.reply.abort()
            flight.ended(_flight.TIMED_OUT, 'timeout')
        elif flight.tally.may_have_run or flight.sent:
            await flight.fail(_flight.TIMED_OUT, 'timeout')
        else:
            await flight.refuse('timeout', None)

    async def _turn_away(
        self, reply: _http_server.Reply, request_id: str, status: int
    ) -> None:
        wait_s = _NOT_CONFIGURED_S if status == _flight.UNAVAILABLE else None
        headers = platform.refusal_headers(request_id, wait_s)
        await reply.whole(status, headers, b'')
        _events.ENDED.log(
            _logger,
            request_id=request_id,
            status=status,
            reason='not_allowed',
            configuration=self._tools.published.version,
        )
