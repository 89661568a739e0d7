"""Order queue of one endpoint: the newest order wins."""

import dataclasses
import logging
import math
from typing import Final

from lentilspool import config
from lentilspool.orders import _events, _types

_log: Final = logging.getLogger(__name__)
_NEVER: Final = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class OrderLimits:
    """Times of a queue, in seconds."""

    answer_s: float = 30.0
    """Time after which an order or a read without an answer is lost."""

    read_back_s: float = 5.0
    """Time between two reads of an engine that ignores numbers."""

    checked_read_back_s: float = 30.0
    """Time between two reads of an engine that checks numbers."""

    retry_s: float = 1.0
    """Time after a read that failed until the next one."""


class OrderQueue:
    """Brings one engine to the newest state wanted, and keeps it there.

    The sidecar makes one for its endpoint. Call ``want`` for every
    configuration in force, then ``step`` from a periodic task; carry out
    the step and hand in the answer. Only the newest wish is held, so the
    queue has one place. It never trusts an engine that ignores fencing
    numbers: its state is read again and again, and an old order that got
    through is corrected by a new one.

    ``pause`` must be called after a pause of the process: nothing is sent
    until the engine has been read.
    """

    def __init__(
        self,
        incarnation: int,
        fencing: config.FencingMode,
        limits: OrderLimits,
    ) -> None:
        self._incarnation = incarnation
        self._sequence = 0
        self._checked = fencing == 'checked'
        self._limits = limits
        self._wanted: tuple[int, _types.EngineState] | None = None
        self._observed: _types.EngineState | None = None
        self._order: _types.Order | None = None
        self._reads = 0
        self._open_until = _NEVER
        self._read_at = _NEVER
        self._send_after = _NEVER
        self._held_version = 0
        self._superseded = False

    @property
    def superseded(self) -> bool:
        """Whether a later sidecar gives orders to the engine."""
        return self._superseded

    @property
    def settled(self) -> bool:
        """Whether the engine was last seen in the newest state wanted."""
        return self._observed is not None and self._matches(self._observed)

    def want(
        self,
        version: int,
        target: _types.EngineState,
        fencing: config.FencingMode | None = None,
    ) -> bool:
        """Take the state that a configuration asks for; drop an old wish.

        ``fencing`` tells whether the engine checks numbers, if it changed.
        """
        if self._wanted is not None and version < self._wanted[0]:
            _events.OLD_ORDER.log(_log, version=version)
            return False
        self._wanted = (version, target)
        if fencing is not None:
            self._checked = fencing == 'checked'
        return True

    def need(self, now: float) -> _types.Need | None:
        """Tell whether the next step would be an order, and which kind."""
        if self._superseded or self._open_until > now:
            return None
        if self._wanted is None or self._observed is None:
            return None
        if not self._may_send(now):
            return None
        return _types.Need(
            _loads(self._observed, self._wanted[1]),
            empty=not self._observed.model,
        )

    def step(self, now: float, permitted: bool = True) -> _types.Step:
        """Return what to do now; calling it commits to the step.

        Without ``permitted`` no order is sent, but the engine is read.
        """
        if self._superseded:
            return _types.Wait(math.inf)
        if self._open_until > now:
            return _types.Wait(self._open_until)
        if self._observed is None:
            return self._read(now)
        if permitted and self._wanted is not None and self._may_send(now):
            return self._send(self._wanted, self._observed, now)
        due_at = self._read_at + _period_s(self._checked, self._limits)
        return self._read(now) if due_at <= now else _types.Wait(due_at)

    def answered(self, answer: _types.EngineAnswer, now: float) -> None:
        """Take the engine's answer to an order; old answers are dropped."""
        order = self._order
        if order is None or answer.fencing != order.fencing:
            return
        self._order = None
        self._open_until = _NEVER
        self._observed = None
        match answer:
            case _types.Applied() if self._checked:
                self._observed = order.target
                self._read_at = now
            case _types.RefusedOld(held=held):
                self._refused(held, order)
            case _types.NotApplied(reason=reason):
                self._send_after = now + self._limits.read_back_s
                _events.NOT_APPLIED.log(_log, reason=reason)

    def read_back(self, readback: _types.Readback, now: float) -> None:
        """Take the state of the engine; answers to old reads are dropped."""
        if readback.number != self._reads or self._open_until == _NEVER:
            return
        if self._order is not None:
            return
        self._open_until = _NEVER
        self._read_at = now
        if self.settled and not self._matches(readback.state):
            _events.DRIFTED.log(_log, model=readback.state.model)
        self._observed = readback.state
        if readback.held is not None:
            self._learn(readback.held)

    def unread(self, number: int, now: float) -> None:
        """Record that a read failed, so that it is tried again soon."""
        if number == self._reads and self._order is None:
            self._open_until = now + self._limits.retry_s

    def pause(self) -> None:
        """Send nothing more until the engine has been read."""
        self._observed = None
        self._order = None
        self._open_until = _NEVER

    def supersede(self) -> None:
        """Stop for good, since a later sidecar serves the endpoint."""
        self._superseded = True
        _events.SUPERSEDED.log(_log, incarnation=self._incarnation)

    def _matches(self, state: _types.EngineState) -> bool:
        return self._wanted is not None and state == self._wanted[1]

    def _may_send(self, now: float) -> bool:
        """Tell whether an order is needed, due, and new enough to win."""
        return (
            self._wanted is not None
            and not self.settled
            and self._wanted[0] >= self._held_version
            and self._send_after <= now
        )

    def _read(self, now: float) -> _types.ReadState:
        self._reads += 1
        self._order = None
        self._open_until = now + self._limits.answer_s
        return _types.ReadState(self._reads)

    def _send(
        self,
        wanted: tuple[int, _types.EngineState],
        observed: _types.EngineState,
        now: float,
    ) -> _types.SendOrder:
        version, target = wanted
        self._sequence += 1
        self._observed = None
        number = _types.FencingNumber(
            version, self._incarnation, self._sequence
        )
        self._order = _types.Order(number, target)
        self._open_until = now + self._limits.answer_s
        return _types.SendOrder(self._order, _loads(observed, target))

    def _refused(self, held: _types.FencingNumber, order: _types.Order) -> None:
        """Learn from a refusal who holds the engine."""
        if held == order.fencing:
            return
        _events.REFUSED.log(_log, held=str(held))
        self._learn(held)

    def _learn(self, held: _types.FencingNumber) -> None:
        """Take a number that the engine holds into account.

        A queue that has sent nothing yet belongs to the latest sidecar and
        numbers its orders above those of its predecessors, whatever the
        clock said. One that has sent orders is replaced when the engine
        holds a later incarnation.
        """
        self._held_version = held.config_version
        if held.incarnation <= self._incarnation:
            return
        if self._sequence:
            self.supersede()
        else:
            self._incarnation = held.incarnation + 1


def _period_s(checked: bool, limits: OrderLimits) -> float:
    return limits.checked_read_back_s if checked else limits.read_back_s


def _loads(observed: _types.EngineState, target: _types.EngineState) -> bool:
    """Tell whether the engine must fetch weights to reach the target."""
    same_model = (observed.model, observed.model_version) == (
        target.model,
        target.model_version,
    )
    return not same_model or bool(set(target.adapters) - set(observed.adapters))
