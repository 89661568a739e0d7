"""Orders to engines, their answers, and the steps of a queue, as data."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FencingNumber:
    """Number of an order; the higher one wins.

    Compared by configuration version, then by incarnation, then by
    sequence.
    """

    config_version: int
    """Number of the configuration that asks for the order."""

    incarnation: int
    """Number of the life of the sidecar that issues the order."""

    sequence: int
    """Number of the order within the incarnation."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine holds, or shall hold."""

    model: str = ''
    """Model; empty if none is loaded."""

    model_version: str = ''
    """Version of the model."""

    adapters: tuple[str, ...] = ()
    """Adapters beside the model, in order of their names."""

    role: str = ''
    """Role of the engine, as its pool names it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Brings an engine to a state."""

    fencing: FencingNumber
    """Number by which old orders are refused."""

    target: EngineState
    """State that the engine shall have."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The engine has carried out an order."""

    fencing: FencingNumber
    """Number of the order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedOld:
    """The engine refused an order with an old number."""

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
    """What the engine reported."""


EngineAnswer = Applied | RefusedOld | NotApplied


@dataclasses.dataclass(frozen=True, slots=True)
class Readback:
    """State that an engine reports when it is asked."""

    number: int
    """Number of the ``ReadState`` step that asked."""

    state: EngineState
    """What the engine holds."""

    held: FencingNumber | None = None
    """Highest number accepted, if the engine checks numbers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """The engine needs an order."""

    loads: bool
    """Whether the engine would fetch weights to carry it out."""

    empty: bool = False
    """Whether the engine holds no model, so it gives no capacity."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send this order to the engine."""

    order: Order
    """The order, with a number that was never used before."""

    loads: bool
    """Whether the engine fetches weights to carry it out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadState:
    """Ask the engine for its state."""

    number: int
    """Number to hand back in ``Readback``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do before a time."""

    until: float
    """Time in the caller's monotonic clock, seconds."""


Step = SendOrder | ReadState | Wait
