"""Search for an engine that takes over from one that is silent."""

import dataclasses
import functools
import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import serving
from lentilspool.gateway import (
    _events,
    _in_flight,
    _next_attempt,
    _planning,
    _silence,
)

_logger: Final = logging.getLogger(__name__)
Accept = Callable[[serving.Endpoint], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """An engine that takes over from one that is silent."""

    decision: serving.RunAt
    """Where the request goes on."""

    plan: _planning.Plan
    """Plan that the decision answers."""


class ReplacementSearch:
    """Plans a replacement while the answer of a silent engine is awaited.

    Run ``serve`` beside the reads of an answer. It cancels their scope once an
    engine is granted to the request and the retry is paid for; then ``take``
    the replacement. Otherwise the silent engine keeps the request, because it
    may go on. ``drop`` gives a replacement back that is not needed.
    """

    def __init__(
        self,
        in_flight: _in_flight.InFlightRequest,
        watch: _silence.SilenceWatch,
        plan_request: Callable[[], serving.PlanRequest],
        accepts: Accept,
    ) -> None:
        self._in_flight = in_flight
        self._watch = watch
        self._plan_request = plan_request
        self._accepts = accepts
        self._found: Replacement | None = None

    @property
    def found(self) -> bool:
        """Whether there is a replacement."""
        return self._found is not None

    def take(self) -> Replacement | None:
        """Return the replacement, once, or None."""
        found = self._found
        self._found = None
        return found

    def drop(self) -> None:
        """Give the replacement back to the planner, if there is one."""
        found = self.take()
        if found:
            found.plan.report_event('cancelled')

    async def serve(
        self, endpoint: serving.Endpoint, scope: trio.CancelScope
    ) -> None:
        """Cancel the scope once a silent endpoint has a replacement."""
        search = functools.partial(self._search, endpoint)
        while self._found is None:
            await self._watch.wait_until_silent()
            may_retry = self._may_leave(endpoint)
            _events.SILENT.log(
                _logger,
                request_id=self._in_flight.call.request_id,
                endpoint=endpoint.name,
                may_retry=may_retry,
                configuration=self._in_flight.context.published.version,
            )
            if may_retry:
                await self._watch.unless_resumed(search)
            if self._found is None:
                await trio.sleep(self._watch.limit_s)
        scope.cancel()

    async def _search(self, endpoint: serving.Endpoint) -> None:
        request = self._plan_request()
        plan = self._in_flight.context.planning.plan(
            dataclasses.replace(
                request,
                service=endpoint.service,
                avoid=(*request.avoid, endpoint.incarnation),
            )
        )
        decision = None
        try:
            decision = await plan.wait_for_decision()
            # The attempt may have ended at the same moment.
            await trio.lowlevel.checkpoint_if_cancelled()
            if isinstance(decision, serving.RunAt) and self._grant(
                endpoint, decision
            ):
                self._found = Replacement(decision, plan)
        finally:
            if self._found is None:
                plan.report_event('cancelled')

    def _may_leave(self, endpoint: serving.Endpoint) -> bool:
        """Whether the request may go on at another engine of the service."""
        services = _next_attempt.current_services(self._in_flight)
        return (
            not _next_attempt.obstacle(self._in_flight)
            and endpoint.service in services
            and _next_attempt.may_follow(self._in_flight, endpoint)
        )

    def _grant(
        self, endpoint: serving.Endpoint, decision: serving.RunAt
    ) -> bool:
        """Pay for the retry; False if the endpoint must keep the request."""
        return (
            self._may_leave(endpoint)
            and self._accepts(decision.endpoint)
            and _next_attempt.spend_retry(self._in_flight, endpoint)
        )
