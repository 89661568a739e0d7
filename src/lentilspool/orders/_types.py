"""Data classes for orders, the engines' answers and queue steps."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FencingNumber:
    """Fencing number of an order; the highest one wins.

    Compared by configuration version, then by incarnation, then by
    sequence.
    """

    config_version: int
    """Version of the configuration that requires the order."""

    incarnation: int
    """Incarnation of the sidecar that issues the order."""

    sequence: int
    """Number of the order within the incarnation."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """Actual or target state of an engine."""

    model: str = ''
    """Name of the model; empty if none is loaded."""

    model_version: str = ''
    """Version of the model."""

    adapters: tuple[str, ...] = ()
    """Names of the adapters of the model, sorted."""

    role: str = ''
    """Role of the engine, which is the kind of its pool."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order to bring an engine to a target state."""

    fencing: FencingNumber
    """Number by which the engine recognizes outdated orders."""

    target: EngineState
    """State that the engine must reach."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The engine has carried out an order."""

    fencing: FencingNumber
    """Number of the order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedOld:
    """The engine refused an order with an outdated fencing number."""

    fencing: FencingNumber
    """Number of the order."""

    held: FencingNumber
    """Highest number that the engine has accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotApplied:
    """The engine could not carry out an order."""

    fencing: FencingNumber
    """Number of the order."""

    reason: str
    """Reason that the engine reported."""


EngineAnswer = Applied | RefusedOld | NotApplied


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedState:
    """Answer of the engine to a ``ReadState`` step."""

    number: int
    """Number of the ``ReadState`` step."""

    state: EngineState
    """State of the engine."""

    held: FencingNumber | None = None
    """Highest number accepted, if the engine checks fencing numbers."""


@dataclasses.dataclass(frozen=True, slots=True)
class NeededOrder:
    """Order that the engine needs."""

    loads: bool
    """Whether the engine must load weights to carry it out."""

    empty: bool = False
    """Whether the engine has no model loaded and so adds no capacity."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Step that sends an order to the engine."""

    order: Order
    """Order with a fencing number that was never used before."""

    loads: bool
    """Whether the engine loads weights to carry it out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadState:
    """Step that requests the engine's state."""

    number: int
    """Number to return in ``ReportedState``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Step that does nothing until a point in time."""

    until: float
    """Time on the caller's monotonic clock, in seconds."""


Step = SendOrder | ReadState | Wait
