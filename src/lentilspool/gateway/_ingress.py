"""Entry point of callers' requests."""

import logging
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import (
    _clock,
    _events,
    _http_server,
    _in_flight,
    _plain,
    _stop_check,
    _streams,
)

_logger: Final = logging.getLogger(__name__)
_BAD_REQUEST: Final = 400
_UNAUTHORIZED: Final = 401
_NOT_FOUND: Final = 404
_NOT_CONFIGURED_RETRY_AFTER_S: Final = 0.3
_MS_PER_S: Final = 1000
_MAX_LOGGED_PARTS: Final = 8


class Ingress:
    """Finds the route of each request and serves it."""

    def __init__(self, context: _in_flight.GatewayContext) -> None:
        self._context = context

    def limits(self) -> serving.CallLimits:
        """Return the limits of the current configuration."""
        configuration = self._context.published.configuration
        return configuration.limits if configuration else serving.CallLimits()

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        """Serve one request until its final answer."""
        try:
            call = platform.decode_caller_request(
                request.method, request.target, request.headers
            )
        except platform.FormatError as error:
            _events.BAD_REQUEST.log(_logger, problem=str(error))
            await self._reject(reply, '', _BAD_REQUEST)
            return
        routes = self._context.published.routes
        if routes is None:
            await self._reject(reply, call.request_id, _in_flight.UNAVAILABLE)
            return
        matched = routes.find(call)
        if isinstance(matched, serving.NoRoute):
            await self._reject(reply, call.request_id, _NOT_FOUND)
        elif isinstance(matched, serving.UnknownKey):
            await self._reject(reply, call.request_id, _UNAUTHORIZED)
        else:
            in_flight = _in_flight.InFlightRequest(
                self._context, call, request.body, reply, matched
            )
            await self._serve(in_flight)

    async def _serve(self, in_flight: _in_flight.InFlightRequest) -> None:
        _events.ARRIVED.log(
            _logger,
            request_id=in_flight.call.request_id,
            route=in_flight.route.name,
            team=in_flight.team,
            content=in_flight.content,
            parts=in_flight.prompt_progress.parts[:_MAX_LOGGED_PARTS],
            left_ms=round(in_flight.time_left_s * _MS_PER_S),
            spent_ms=round(in_flight.prior_wait_s * _MS_PER_S),
            configuration=self._context.published.version,
        )
        if not _stop_check.admits(in_flight):
            await in_flight.refuse(_stop_check.REASON, None)
            return
        quarantine_s = in_flight.quarantine_s
        if quarantine_s is not None:
            await in_flight.refuse('quarantined', quarantine_s)
            return
        concluded = False
        scope = trio.move_on_after(max(in_flight.time_left_s, 0))
        try:
            with scope, self._context.stop.shortening(scope):
                await self._run(in_flight)
            concluded = True
        finally:
            if not concluded:
                _events.CALLER_LEFT.log(
                    _logger,
                    request_id=in_flight.call.request_id,
                    after_ms=round(
                        (_clock.now() - in_flight.arrived_at) * _MS_PER_S
                    ),
                )
        if scope.cancelled_caught:
            await self._answer_timeout(in_flight)

    async def _run(self, in_flight: _in_flight.InFlightRequest) -> None:
        if in_flight.route.kind is serving.RouteKind.streaming:
            await _streams.StreamingRequest(in_flight).serve()
        else:
            await _plain.serve(in_flight)

    async def _answer_timeout(
        self, in_flight: _in_flight.InFlightRequest
    ) -> None:
        stopped = self._context.stop.left_s <= 0
        reason = _stop_check.REASON if stopped else 'timeout'
        if in_flight.reply.begun:
            in_flight.reply.abort()
            in_flight.record_final_answer(_in_flight.GATEWAY_TIMEOUT, reason)
        elif in_flight.attempt_counts.may_have_run or in_flight.attempt_open:
            await in_flight.fail(_in_flight.GATEWAY_TIMEOUT, reason)
        else:
            await in_flight.refuse(reason, None)

    async def _reject(
        self, reply: _http_server.Reply, request_id: str, status: int
    ) -> None:
        wait_s = (
            _NOT_CONFIGURED_RETRY_AFTER_S
            if status == _in_flight.UNAVAILABLE
            else None
        )
        headers = platform.refusal_headers(request_id, wait_s)
        await reply.write_complete(status, headers, b'')
        _events.ENDED.log(
            _logger,
            request_id=request_id,
            status=status,
            reason='not_allowed',
            configuration=self._context.published.version,
        )
