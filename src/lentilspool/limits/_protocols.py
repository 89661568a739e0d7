"""Protocols of the plug-ins for admission, queues, limits and spend.

The process that uses a plug-in creates it::

    plugin = kernel.registry.find(kernel.PluginKind.admission_policy, name)
    policy = plugin(shares, parameters)

``parameters`` holds the numeric policy parameters of the configuration.
Each policy ignores the names that it does not know.
"""

from collections.abc import Mapping
from typing import Protocol

from lentilspool.limits import _types


class AdmissionPolicy(Protocol):
    """Decides at an entry whether a request may start.

    Call ``decide`` before the first stage is sent, ``recheck`` before each
    later stage, ``stage_done`` after each stage, and ``forget`` when the
    request has ended, whatever its outcome.
    """

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request, move it to the may-wait class, or refuse it."""
        ...

    def recheck(
        self,
        request_id: str,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admit | _types.GiveUp:
        """Return whether the remaining stages can still meet the deadline."""
        ...

    def stage_done(self, request_id: str, stage: str, now: float) -> None:
        """Record that a stage has ended."""
        ...

    def forget(self, request_id: str) -> None:
        """Release all state of the request; harmless when repeated."""
        ...

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...


class LimitPolicy(Protocol):
    """Limits the number of calls in flight at one endpoint."""

    @property
    def limit(self) -> int:
        """Maximum number of calls in flight, from one to the capacity."""
        ...

    def observe(self, sample: _types.LatencySample, now: float) -> None:
        """Update the limit from the latency of a finished call."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...


class QueuePolicy(Protocol):
    """Orders the calls in the queue of a sidecar."""

    def __len__(self) -> int:
        """Return the number of queued calls."""
        ...

    @property
    def cost(self) -> float:
        """Expected cost of all queued calls, in seconds of one slot."""
        ...

    def offer(
        self, call: _types.QueuedCall, now: float
    ) -> tuple[_types.Dropped, ...]:
        """Add a call; return the dropped calls, which may include it."""
        ...

    def take(self, now: float) -> _types.Dequeued:
        """Remove and return the next call to start."""
        ...

    def remove(self, call_id: int) -> bool:
        """Remove a queued call; return false if it is not in the queue."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...


class SpendPolicy(Protocol):
    """Decides which providers a call may be charged to."""

    def allow(self, provider: str, cost: float, now: float) -> bool:
        """Return whether the call may be charged to the provider."""
        ...

    def pressure(self, provider: str, now: float) -> float:
        """Return how urgently the provider's credits should be spent.

        Above one, spend is behind pace and credits may expire unused.
        Below one, spend is ahead of pace and other providers are better.
        """
        ...

    def record(self, provider: str, cost: float, now: float) -> None:
        """Record the cost of a call, including that of a failed one."""
        ...

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...
