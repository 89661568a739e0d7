"""Types of calls to endpoints."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

Emit = Callable[[str], Awaitable[None]]
"""Passes a part of a streamed answer on."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointCall:
    """One call to an endpoint."""

    operation: str
    """What the endpoint is asked to do."""

    body: bytes
    """Input as a JSON object."""

    max_output_tokens: int
    """Upper bound of generated tokens."""

    priority: int
    """Class of the call: 0 has a deadline, 1 may wait."""

    timeout_s: float
    """Seconds after which the call is given up."""

    request_id: str = ''
    """Identity of the request, passed on in a header."""

    traceparent: str = ''
    """W3C trace context, passed on in a header if set."""

    stream: bool = False
    """Whether parts of the answer are passed on as they come."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint gave its whole answer."""

    body: bytes
    """Output as a JSON object."""

    units: float
    """Amount of work in units of the pool's price."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint did not start the call."""

    reason: str
    """What the endpoint reported."""

    retry_after_s: float | None = None
    """Seconds after which a new call makes sense, if the endpoint said so."""

    unreachable: bool = False
    """Whether no connection to the endpoint could be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """The call was sent; it may have run in part or whole."""

    reason: str
    """What was seen."""

    crashed: bool = False
    """Whether the endpoint broke its connection."""

    final: bool = False
    """Whether the endpoint reported that the call cannot succeed."""


EndpointAnswer = Answered | Refused | EndpointFailed


class Dialect(Protocol):
    """Calls one endpoint; plug-ins of kind ``endpoint_dialect``."""

    async def call(self, call: EndpointCall, emit: Emit) -> EndpointAnswer:
        """Run one call; cancelling it closes its connection."""
        ...

    async def aclose(self) -> None:
        """Close every connection."""
        ...
