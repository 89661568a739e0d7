"""Software version at which a stream was begun.

What two versions write does not fit together, and endpoints do not check it.
"""

import logging
from typing import Final

from lentilspool import serving
from lentilspool.gateway import _events, _in_flight

_logger: Final = logging.getLogger(__name__)


class StreamOrigin:
    """Version and service of the endpoint that began a request's stream.

    ``find`` it first. Then call ``start_attempt`` before each attempt, and
    ``record_event`` when the caller gets events.
    """

    def __init__(self, in_flight: _in_flight.InFlightRequest) -> None:
        self._in_flight = in_flight
        call = in_flight.call
        # Callers that state no id cannot name a stream; nothing is recorded.
        name = call.resumed_id or call.request_id
        self._key = serving.stream_key(in_flight.team, name) if name else ''
        self._version: str | None = None
        self._service = ''
        self._recorded = False
        self._attempt: serving.StreamVersion | None = None

    @property
    def version(self) -> str | None:
        """Only version at which the stream may go on; None for any."""
        return self._version

    @property
    def service(self) -> str:
        """Service that began the stream; empty if it may no longer run it."""
        services = self._in_flight.current_services()
        return self._service if self._service in services else ''

    async def find(self) -> bool:
        """Find the version of a stream that the caller takes up again.

        Return False if it is not known, so that the stream cannot go on.
        """
        call = self._in_flight.call
        if call.last_event is None and not call.resumed_id:
            return True
        found = await self._in_flight.context.streams.find(
            self._key, self._in_flight.current_services()
        )
        begun = found.begun
        if begun:
            self._version = begun.version
            self._service = begun.service
        _events.STREAM_FOUND.log(
            _logger,
            request_id=call.request_id,
            resumes=call.resumed_id,
            last_event=call.last_event,
            source=found.source,
            version=self._version,
            service=self._service,
        )
        return begun is not None

    def allows(self, endpoint: serving.Endpoint) -> bool:
        """Whether the stream may go on at an endpoint."""
        return self._version in {None, self._version_of(endpoint)}

    def start_attempt(self, endpoint: serving.Endpoint) -> None:
        """Record that an endpoint is to run the request."""
        self._attempt = serving.StreamVersion(
            endpoint.service, self._version_of(endpoint)
        )

    def record_event(self) -> None:
        """Record that the caller gets events of that endpoint."""
        begun = self._attempt
        if self._recorded or begun is None:
            return
        self._recorded = True
        self._version = begun.version
        self._service = begun.service
        if self._key and self._in_flight.route.resumable:
            self._in_flight.context.streams.record(self._key, begun)

    def _version_of(self, endpoint: serving.Endpoint) -> str:
        # A planner of an older release does not state the version.
        listed = self._in_flight.context.published.endpoint_index.find(
            endpoint.name
        )
        if listed and listed.incarnation == endpoint.incarnation:
            return listed.version
        return endpoint.version
