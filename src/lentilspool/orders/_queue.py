"""Order queue of one endpoint, which holds only the newest target."""

import dataclasses
import logging
import math
from typing import Final

from lentilspool import config
from lentilspool.orders import _events, _types

_log: Final = logging.getLogger(__name__)
_LONG_AGO: Final = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class OrderLimits:
    """Timeouts and intervals of an order queue, in seconds."""

    answer_timeout_s: float = 30.0
    """Time after which an unanswered order or read counts as lost."""

    unchecked_read_interval_s: float = 5.0
    """Time between reads of an engine that ignores fencing numbers."""

    checked_read_interval_s: float = 30.0
    """Time between reads of an engine that checks fencing numbers."""

    retry_s: float = 1.0
    """Time from a failed read to the next read."""


class OrderQueue:
    """Brings one engine to the newest target state and keeps it there.

    The sidecar creates one queue for its endpoint. Call ``update_target`` for
    every active configuration and ``step`` from a periodic task; perform the
    step and pass in the answer. The queue has a capacity of one, because
    only the newest target matters. An engine that ignores fencing numbers
    may execute an old order late. Its state is therefore read
    periodically, and a new order corrects the effect of an old one.

    Call ``discard_state`` after a pause of the process, so that no order is sent
    before the engine's state has been read again.
    """

    def __init__(
        self,
        incarnation: int,
        fencing: config.FencingMode,
        limits: OrderLimits,
    ) -> None:
        self._incarnation = incarnation
        self._sequence = 0
        self._checks_numbers = fencing == 'checked'
        self._limits = limits
        self._target: tuple[int, _types.EngineState] | None = None
        self._observed: _types.EngineState | None = None
        self._unanswered_order: _types.Order | None = None
        self._read_number = 0
        self._blocked_until = _LONG_AGO
        self._observed_at = _LONG_AGO
        self._retry_order_at = _LONG_AGO
        self._engine_config_version = 0
        self._superseded = False

    @property
    def superseded(self) -> bool:
        """Whether a newer sidecar sends orders to the engine."""
        return self._superseded

    @property
    def settled(self) -> bool:
        """Whether the engine's last known state is the newest target."""
        return self._observed is not None and self._matches(self._observed)

    def update_target(
        self,
        version: int,
        target: _types.EngineState,
        fencing: config.FencingMode | None = None,
    ) -> bool:
        """Set the target state unless its configuration is outdated.

        ``fencing`` is the engine's fencing mode, or None to keep the
        current one. Return whether the target was accepted.
        """
        if self._target is not None and version < self._target[0]:
            _events.OLD_ORDER.log(_log, version=version)
            return False
        self._target = (version, target)
        if fencing is not None:
            self._checks_numbers = fencing == 'checked'
        return True

    def needed_order(self, now: float) -> _types.NeededOrder | None:
        """Return the order that the engine needs now, if it can be sent."""
        if self._superseded or self._blocked_until > now:
            return None
        if self._target is None or self._observed is None:
            return None
        if not self._may_send(now):
            return None
        return _types.NeededOrder(
            _needs_weights(self._observed, self._target[1]),
            empty=not self._observed.model,
        )

    def step(self, now: float, permitted: bool = True) -> _types.Step:
        """Return the next step, which the caller must then perform.

        Unless ``permitted``, no order is sent, but the engine is read.
        """
        if self._superseded:
            return _types.Wait(math.inf)
        if self._blocked_until > now:
            return _types.Wait(self._blocked_until)
        if self._observed is None:
            return self._read(now)
        if permitted and self._target is not None and self._may_send(now):
            return self._send(self._target, self._observed, now)
        due_at = self._observed_at + _read_interval_s(
            self._checks_numbers, self._limits
        )
        return self._read(now) if due_at <= now else _types.Wait(due_at)

    def record_answer(self, answer: _types.EngineAnswer, now: float) -> None:
        """Record the engine's answer to an order; drop outdated answers."""
        order = self._unanswered_order
        if order is None or answer.fencing != order.fencing:
            return
        self._unanswered_order = None
        self._blocked_until = _LONG_AGO
        self._observed = None
        match answer:
            case _types.Applied() if self._checks_numbers:
                self._observed = order.target
                self._observed_at = now
            case _types.RefusedOld(held=held):
                self._record_refusal(held, order)
            case _types.NotApplied(reason=reason):
                self._retry_order_at = (
                    now + self._limits.unchecked_read_interval_s
                )
                _events.NOT_APPLIED.log(_log, reason=reason)

    def record_state(self, reported: _types.ReportedState, now: float) -> None:
        """Record the engine's state; drop answers to outdated reads."""
        if (
            reported.number != self._read_number
            or self._blocked_until == _LONG_AGO
        ):
            return
        if self._unanswered_order is not None:
            return
        self._blocked_until = _LONG_AGO
        self._observed_at = now
        if self.settled and not self._matches(reported.state):
            _events.DRIFTED.log(_log, model=reported.state.model)
        self._observed = reported.state
        if reported.held is not None:
            self._apply_held_number(reported.held)

    def record_failed_read(self, number: int, now: float) -> None:
        """Record a failed read; the next one follows after ``retry_s``."""
        if number == self._read_number and self._unanswered_order is None:
            self._blocked_until = now + self._limits.retry_s

    def discard_state(self) -> None:
        """Discard the known state, so that the engine is read first."""
        self._observed = None
        self._unanswered_order = None
        self._blocked_until = _LONG_AGO

    def supersede(self) -> None:
        """Stop permanently, because a newer sidecar serves the endpoint."""
        self._superseded = True
        _events.SUPERSEDED.log(_log, incarnation=self._incarnation)

    def _matches(self, state: _types.EngineState) -> bool:
        return self._target is not None and state == self._target[1]

    def _may_send(self, now: float) -> bool:
        """Tell whether an order is needed, due, and not outdated."""
        return (
            self._target is not None
            and not self.settled
            and self._target[0] >= self._engine_config_version
            and self._retry_order_at <= now
        )

    def _read(self, now: float) -> _types.ReadState:
        self._read_number += 1
        self._unanswered_order = None
        self._blocked_until = now + self._limits.answer_timeout_s
        return _types.ReadState(self._read_number)

    def _send(
        self,
        versioned_target: tuple[int, _types.EngineState],
        observed: _types.EngineState,
        now: float,
    ) -> _types.SendOrder:
        version, target = versioned_target
        self._sequence += 1
        self._observed = None
        number = _types.FencingNumber(
            version, self._incarnation, self._sequence
        )
        self._unanswered_order = _types.Order(number, target)
        self._blocked_until = now + self._limits.answer_timeout_s
        return _types.SendOrder(
            self._unanswered_order, _needs_weights(observed, target)
        )

    def _record_refusal(
        self, held: _types.FencingNumber, order: _types.Order
    ) -> None:
        """Apply the number held by the engine, unless it is the order's own."""
        if held == order.fencing:
            return
        _events.REFUSED.log(_log, held=str(held))
        self._apply_held_number(held)

    def _apply_held_number(self, held: _types.FencingNumber) -> None:
        """Adapt to the highest fencing number that the engine has accepted.

        A queue that has sent no order belongs to the newest sidecar. It
        raises its incarnation above that of its predecessors, because its
        clock may be behind theirs. A queue that has sent orders is
        superseded if the engine has accepted a higher incarnation.
        """
        self._engine_config_version = held.config_version
        if held.incarnation <= self._incarnation:
            return
        if self._sequence:
            self.supersede()
        else:
            self._incarnation = held.incarnation + 1


def _read_interval_s(checked: bool, limits: OrderLimits) -> float:
    return (
        limits.checked_read_interval_s
        if checked
        else limits.unchecked_read_interval_s
    )


def _needs_weights(
    observed: _types.EngineState, target: _types.EngineState
) -> bool:
    """Tell whether the engine must load weights to reach the target."""
    same_model = (observed.model, observed.model_version) == (
        target.model,
        target.model_version,
    )
    return not same_model or bool(set(target.adapters) - set(observed.adapters))
