"""Calls to endpoints, their answers, and the protocol of a dialect."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

Emit = Callable[[str], Awaitable[None]]
"""Forwards one part of a streamed answer to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointCall:
    """One call to an endpoint."""

    operation: str
    """Name of the operation requested of the endpoint."""

    body: bytes
    """Input as a JSON object."""

    max_output_tokens: int
    """Maximum number of tokens to generate."""

    priority: int
    """Priority class: 0 for calls with a deadline, 1 for calls that may wait."""

    timeout_s: float
    """Seconds after which the call times out."""

    request_id: str = ''
    """Identifier of the request, sent in a header."""

    traceparent: str = ''
    """W3C trace context, sent in a header if set."""

    stream: bool = False
    """Whether parts of the answer are forwarded as they arrive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint returned a complete answer."""

    body: bytes
    """Output as a JSON object."""

    units: float
    """Amount of work, in the units by which the pool is priced."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint did not start the call."""

    reason: str
    """Status or error that the call ended with."""

    retry_after_s: float | None = None
    """Seconds after which to retry, if the endpoint reported it."""

    unreachable: bool = False
    """Whether no connection to the endpoint could be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """The call was sent and failed; it may have run partly or fully."""

    reason: str
    """Status or error that the call ended with."""

    crashed: bool = False
    """Whether the connection broke, as it does if the endpoint crashes."""

    final: bool = False
    """Whether the endpoint reported that a retry cannot succeed."""


EndpointAnswer = Answered | Refused | EndpointFailed


class Dialect(Protocol):
    """Calls one endpoint; plug-ins of kind ``endpoint_dialect``."""

    async def call(self, call: EndpointCall, emit: Emit) -> EndpointAnswer:
        """Run one call; cancellation closes its connection."""
        ...

    async def aclose(self) -> None:
        """Close every connection."""
        ...
