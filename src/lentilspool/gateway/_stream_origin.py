"""Software version at which a stream was begun.

What two versions write does not fit together, and endpoints do not check it.
"""

from lentilspool import serving
from lentilspool.gateway import _in_flight


class StreamOrigin:
    """Version and service of the endpoint that began a request's stream.

    ``start_attempt`` before each attempt, ``record_event`` when the caller
    gets events.
    """

    def __init__(self, in_flight: _in_flight.InFlightRequest) -> None:
        self._in_flight = in_flight
        self._version: str | None = None
        self._service = ''
        self._endpoint: serving.Endpoint | None = None

    @property
    def version(self) -> str | None:
        """Only version at which the stream may go on; None for any."""
        return self._version

    @property
    def service(self) -> str:
        """Service that began the stream; empty if it may no longer run it."""
        services = self._in_flight.current_services()
        return self._service if self._service in services else ''

    def allows(self, endpoint: serving.Endpoint) -> bool:
        """Whether the stream may go on at an endpoint."""
        return self._version in {None, self._version_of(endpoint)}

    def start_attempt(self, endpoint: serving.Endpoint) -> None:
        """Record that an endpoint is to run the request."""
        self._endpoint = endpoint

    def record_event(self) -> None:
        """Record that the caller gets events of that endpoint."""
        if self._endpoint and self._version is None:
            self._version = self._version_of(self._endpoint)
            self._service = self._endpoint.service

    def _version_of(self, endpoint: serving.Endpoint) -> str:
        # A planner of an older release does not state the version.
        listed = self._in_flight.context.published.endpoint_index.find(
            endpoint.name
        )
        if listed and listed.incarnation == endpoint.incarnation:
            return listed.version
        return endpoint.version
