"""Orders of one endpoint: queue, rollout and load slots together."""

from lentilspool import config
from lentilspool.orders import (
    _queue,
    _rollout,
    _schedule,
    _target,
    _types,
)


class EndpointOrders:
    """What a sidecar uses to keep its engine as the configuration says.

    Hand in every configuration by ``want`` and the progress of peers by
    ``rollout.heard``; call ``step`` several times a second, carry out what
    it returns, and hand answers to ``queue``. Send ``progress`` to the
    other sidecars of the pool. While ``busy`` is true the sidecar refuses
    work, because the engine is out of service.
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
        self._version = 0
        self._target = _types.EngineState()

    @property
    def queue(self) -> _queue.OrderQueue:
        """Queue that takes the engine's answers."""
        return self._queue

    @property
    def rollout(self) -> _rollout.Rollout:
        """Rollout that takes the progress of peers."""
        return self._rollout

    @property
    def busy(self) -> bool:
        """Whether an order is under way."""
        return self._busy

    def want(self, version: int, pool: config.PoolDocument, now: float) -> None:
        """Take the pool of a configuration that came into force."""
        target = _target.target_of(pool)
        if self._queue.want(version, target):
            self._version = version
            self._target = target
            self._rollout.want(version, _rollout.target_digest(target), now)

    def step(self, now: float, wall: float) -> _types.Step:
        """Return what to do now, orders only in turn and in a load slot."""
        if self._queue.settled:
            self._busy = False
        step = self._queue.step(now, self._permitted(now, wall))
        if isinstance(step, _types.SendOrder):
            self._busy = True
        return step

    def progress(self, name: str) -> _rollout.Progress:
        """Return what to tell the other members of the pool."""
        return _rollout.Progress(
            name=name,
            version=self._version,
            target=_rollout.target_digest(self._target),
            done=self._queue.settled,
            busy=self._busy,
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        turn = self._rollout.turn(now)
        return {
            'version': self._version,
            'model': self._target.model,
            'model_version': self._target.model_version,
            'settled': self._queue.settled,
            'busy': self._busy,
            'superseded': self._queue.superseded,
            'waits_for': list(turn.waits_for),
        }

    def _permitted(self, now: float, wall: float) -> bool:
        need = self._queue.need(now)
        if need is None:
            return False
        if not self._busy and not self._rollout.turn(now).allowed:
            return False
        return not need.loads or self._schedule.take(wall)
