"""Orders of one endpoint, from its queue, rollout and load schedule."""

from lentilspool import config
from lentilspool.orders import (
    _queue,
    _rollout,
    _schedule,
    _target,
    _types,
)


class EndpointOrders:
    """Keeps a sidecar's engine in the state that the configuration asks for.

    Pass every configuration to ``update_target`` and the progress of peers
    to ``rollout.record_progress``. Call ``step`` several times a second,
    perform the step that it returns, and pass the engine's answers to ``queue``. Send
    ``progress`` to the other sidecars of the pool. While ``busy`` is true
    the sidecar refuses new work; the order is sent once no calls are in
    flight.
    """

    def __init__(
        self,
        queue: _queue.OrderQueue,
        rollout: _rollout.Rollout,
        schedule: _schedule.LoadSchedule,
    ) -> None:
        self._queue = queue
        self._rollout = rollout
        self._schedule = schedule
        self._busy = False
        self._granted = False
        # Target for which the engine was last taken out of service.
        self._granted_target = _types.EngineState()
        self._version = 0
        self._target = _types.EngineState()

    @property
    def queue(self) -> _queue.OrderQueue:
        """Queue to which the engine's answers are passed."""
        return self._queue

    @property
    def rollout(self) -> _rollout.Rollout:
        """Rollout to which the progress of peers is passed."""
        return self._rollout

    @property
    def busy(self) -> bool:
        """Whether an order is being prepared or carried out."""
        return self._busy

    def update_target(
        self,
        version: int,
        pool: config.PoolDocument,
        policies: config.PolicyDocument,
        now: float,
    ) -> None:
        """Apply the pool and policies of a newly active configuration.

        A configuration older than the current one is ignored.
        """
        target = _target.target_state(pool)
        if not self._queue.update_target(version, target, pool.fencing):
            return
        self._version = version
        self._target = target
        self._rollout.set_min_capacity_share(pool.min_capacity_share)
        self._rollout.update_target(
            version, _rollout.target_digest(target), now
        )
        settle_s = policies.parameters.get(_target.SETTLE_S)
        if settle_s:
            self._rollout.set_settle_time(settle_s)
        loads_per_s = policies.parameters.get(_target.LOADS_PER_S)
        if loads_per_s:
            self._schedule.set_limit(loads_per_s)

    def step(self, now: float, wall: float, in_flight: int) -> _types.Step:
        """Return the next step for the engine.

        An order is only sent when the rollout and the load schedule allow
        it and no calls are in flight. ``now`` is monotonic and ``wall``
        wall-clock time, in seconds; ``in_flight`` is the number of calls
        that the engine runs.
        """
        if self._queue.settled or self._is_turn_over(now):
            self._busy = False
            self._granted = False
        if not self._granted and self._may_start_order(now, wall):
            self._busy = True
            self._granted = True
            self._granted_target = self._target
        may_send = self._granted and not in_flight
        step = self._queue.step(now, may_send)
        if isinstance(step, _types.SendOrder):
            self._granted = False
        return step

    def progress(self, name: str) -> _rollout.RolloutProgress:
        """Return the progress to send to the other members of the pool."""
        return _rollout.RolloutProgress(
            name=name,
            version=self._version,
            target=_rollout.target_digest(self._target),
            done=self._queue.settled,
            busy=self._busy,
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as JSON-compatible types."""
        decision = self._rollout.start_decision(now)
        return {
            'version': self._version,
            'model': self._target.model,
            'model_version': self._target.model_version,
            'settled': self._queue.settled,
            'busy': self._busy,
            'superseded': self._queue.superseded,
            'waits_for': list(decision.waits_for),
        }

    def _is_turn_over(self, now: float) -> bool:
        """Tell whether the engine serves again and its target has changed.

        It then needs a turn for the new target, as every engine of the pool
        may have been loading for the one before.
        """
        needed = self._queue.needed_order(now)
        return (
            needed is not None
            and not needed.empty
            and self._granted_target != self._target
        )

    def _may_start_order(self, now: float, wall: float) -> bool:
        needed = self._queue.needed_order(now)
        if needed is None:
            return False
        in_service = not self._busy and not needed.empty
        if in_service and not self._rollout.start_decision(now).allowed:
            return False
        return not needed.loads or self._schedule.claim_slot(wall)
