"""Protocols of the plug-ins for admission, queues, limits and spend.

Plug-ins are built by the process that uses them::

    plugin = kernel.registry.find(kernel.PluginKind.admission_policy, name)
    policy = plugin(shares, parameters)

``parameters`` are the numeric policy parameters of the configuration;
every policy ignores the names that it does not know.
"""

from collections.abc import Mapping
from typing import Protocol

from lentilspool.limits import _types


class AdmissionPolicy(Protocol):
    """Decides at an entry whether a request is started.

    Call ``decide`` before anything is sent, ``recheck`` before each later
    stage, ``stage_done`` after each stage, and ``forget`` when the request
    has ended in any way.
    """

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request, let it wait, or refuse it."""
        ...

    def recheck(
        self,
        request_id: str,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admit | _types.GiveUp:
        """Tell whether the remaining stages still fit the deadline."""
        ...

    def stage_done(self, request_id: str, stage: str, now: float) -> None:
        """Record that a stage has ended."""
        ...

    def forget(self, request_id: str) -> None:
        """Release what the request still holds."""
        ...

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...


class LimitPolicy(Protocol):
    """Adapts the number of calls in flight at one endpoint."""

    @property
    def limit(self) -> int:
        """Calls that may be in flight, from one to the capacity."""
        ...

    def observe(self, sample: _types.LatencySample, now: float) -> None:
        """Learn from a finished call."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...


class QueuePolicy(Protocol):
    """Orders the calls that wait at a sidecar."""

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        ...

    @property
    def cost(self) -> float:
        """Expected cost of all waiting calls, in seconds of one slot."""
        ...

    def offer(
        self, call: _types.QueuedCall, now: float
    ) -> tuple[_types.Dropped, ...]:
        """Add a call; returns the calls that had to go, maybe this one."""
        ...

    def take(self, now: float) -> _types.Taken:
        """Remove and return the next call to start."""
        ...

    def remove(self, call_id: int) -> bool:
        """Cancel a waiting call; false if it does not wait here."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...


class SpendPolicy(Protocol):
    """Decides which providers a call may be charged to."""

    def allow(self, provider: str, cost: float, now: float) -> bool:
        """Tell whether the provider's credits may pay for the call."""
        ...

    def pressure(self, provider: str, now: float) -> float:
        """Return how much spend on the provider is wanted.

        Above one: credits would expire unused; below one: spare them.
        """
        ...

    def record(self, provider: str, cost: float, now: float) -> None:
        """Record the spend of a call, also of one that failed."""
        ...

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        ...
