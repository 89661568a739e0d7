import math
import random

import hypothesis
from hypothesis import strategies

from lentilspool import config, orders

_LIMITS = orders.RolloutLimits(
    min_capacity_share=0.75, settle_s=11, max_progress_age_s=5
)
_OLD_STATE = orders.EngineState('m', '0')
_NAMES = tuple(f's{number}' for number in range(12))


def _rollout(name: str = 's0') -> orders.Rollout:
    rollout = orders.Rollout(name, _LIMITS)
    rollout.set_pool(_NAMES)
    rollout.update_target(2, 7, 0)
    return rollout


def _progress(
    name: str, done: bool = False, busy: bool = False, version: int = 2
) -> orders.RolloutProgress:
    return orders.RolloutProgress(name, version, 7, done, busy)


class TestTargetDigest:
    def test_fits_a_signed_number_of_64_bits(self) -> None:
        for number in range(50):
            digest = orders.target_digest(orders.EngineState(f'm{number}'))
            assert -(2**63) <= digest < 2**63


class TestTurn:
    def test_budget_is_at_least_one(self) -> None:
        cases = ((1, 1), (3, 1), (4, 1), (12, 3), (59, 14))
        for count, expected in cases:
            rollout = orders.Rollout('s0', _LIMITS)
            rollout.set_pool(f's{number}' for number in range(count))
            assert rollout.max_out_of_service == expected

    def test_no_member_starts_before_settle_time(self) -> None:
        rollout = _rollout()
        for name in _NAMES:
            rollout.record_progress(_progress(name, done=True), 10)
        assert not rollout.start_decision(10).allowed
        assert rollout.start_decision(11).allowed

    def test_members_without_progress_block_rollout(self) -> None:
        decision = _rollout().start_decision(20)
        assert not decision.allowed
        assert len(decision.waits_for) == 11

    def test_only_budgeted_members_start(self) -> None:
        allowed = []
        for own in _NAMES:
            rollout = _rollout(own)
            for name in _NAMES:
                rollout.record_progress(_progress(name), 20)
            allowed.append(rollout.start_decision(20).allowed)
        assert sum(allowed) == 3

    def test_progress_of_older_version_does_not_count(self) -> None:
        rollout = _rollout()
        for name in _NAMES:
            rollout.record_progress(_progress(name, done=True, version=1), 20)
        before = len(rollout.start_decision(20).waits_for)
        fresh = _rollout()
        for name in _NAMES:
            fresh.record_progress(_progress(name, done=True), 20)
        assert len(fresh.start_decision(20).waits_for) == 0
        assert before > 0

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        seed=strategies.integers(0, 10**6), loss=strategies.integers(0, 90)
    )
    def test_budget_holds_with_lost_and_outdated_progress(
        self, seed: int, loss: int
    ) -> None:
        """Lost and outdated progress messages must not exceed the budget."""
        rng = random.Random(seed)
        views = {name: _rollout(name) for name in _NAMES}
        pool = _Pool()
        for now in range(400):
            pool.finish(now)
            for progress in (*pool.report(), *pool.outdated_reports(rng)):
                receivers = [
                    one for one in _NAMES if rng.randrange(100) >= loss
                ]
                for name in receivers:
                    views[name].record_progress(progress, now)
            for name, view in views.items():
                if pool.idle(name) and view.start_decision(now).allowed:
                    pool.busy[name] = now + rng.randrange(1, 20)
            assert len(pool.busy) <= views['s0'].max_out_of_service
        if loss < 20:
            assert len(pool.done) == len(_NAMES)


class _Pool:
    """Actual state of the engines, and all progress reported so far."""

    def __init__(self) -> None:
        self.done: set[str] = set()
        self.busy: dict[str, float] = {}
        self._reported: list[orders.RolloutProgress] = []

    def finish(self, now: float) -> None:
        ended = {name for name, end in self.busy.items() if end <= now}
        self.done |= ended
        for name in ended:
            self.busy.pop(name)

    def idle(self, name: str) -> bool:
        return name not in self.done and name not in self.busy

    def report(self) -> list[orders.RolloutProgress]:
        fresh = [
            _progress(name, done=name in self.done, busy=name in self.busy)
            for name in _NAMES
        ]
        self._reported += fresh
        return fresh

    def outdated_reports(
        self, rng: random.Random
    ) -> list[orders.RolloutProgress]:
        return rng.sample(self._reported, 2)


class TestLoadSchedule:
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(
        count=strategies.integers(1, 40),
        rate=strategies.floats(0.2, 5),
        start=strategies.floats(0, 1e6),
    )
    def test_all_loads_together_stay_within_limit(
        self, count: int, rate: float, start: float
    ) -> None:
        names = tuple(f's{number:02}' for number in range(count))
        schedules = []
        for name in names:
            schedule = orders.LoadSchedule(
                name, orders.StoreLimits(loads_per_s=rate, planned_share=1)
            )
            schedule.set_sidecars(names)
            schedules.append(schedule)
        slot_s = schedules[0].slot_s
        claimed = []
        for tick in range(10 * count):
            wall = start + tick * slot_s / 4
            claimed += [one for one in schedules if one.claim_slot(wall)]
        span_s = 10 * count * slot_s / 4
        assert len(claimed) <= math.ceil(span_s * rate) + 1
        assert len(claimed) >= math.floor(span_s * rate) - 1

    def test_slot_is_claimed_once_and_next_one_known(self) -> None:
        schedule = orders.LoadSchedule(
            'b', orders.StoreLimits(loads_per_s=1, planned_share=1)
        )
        schedule.set_sidecars(('a', 'b', 'c'))
        assert not schedule.claim_slot(0.5)
        assert schedule.claim_slot(1.5)
        assert not schedule.claim_slot(1.6)
        assert schedule.next_slot_at(1.6) == 4
        assert schedule.claim_slot(4)


_PARAMETERS = config.PolicyDocument(
    parameters={'weight_store_loads_per_s': 0.8}
)


class TestEndpointOrders:
    def _endpoint(self) -> orders.EndpointOrders:
        schedule = orders.LoadSchedule(
            's0', orders.StoreLimits(loads_per_s=9, planned_share=1)
        )
        schedule.set_sidecars(('s0', 's1'))
        queue = orders.OrderQueue(1, 'checked', orders.OrderLimits())
        rollout = orders.Rollout('s0', _LIMITS)
        return orders.EndpointOrders(queue, rollout, schedule)

    def _read(
        self,
        endpoint: orders.EndpointOrders,
        now: float,
        state: orders.EngineState,
    ) -> None:
        step = endpoint.step(now, now, 0)
        assert isinstance(step, orders.ReadState)
        endpoint.queue.record_state(
            orders.ReportedState(step.number, state), now
        )

    def test_order_waits_for_rollout_slot_and_calls_in_flight(self) -> None:
        endpoint = self._endpoint()
        pool = config.PoolDocument(kind='engine', model='m')
        endpoint.update_target(3, pool, _PARAMETERS, 0)
        self._read(endpoint, 0, _OLD_STATE)
        assert isinstance(endpoint.step(2.6, 2.6, 0), orders.Wait)
        assert not endpoint.busy
        assert isinstance(endpoint.step(4, 4, 0), orders.Wait)
        self._read(endpoint, 11.5, _OLD_STATE)
        assert not endpoint.busy
        assert isinstance(endpoint.step(12.5, 12.5, 2), orders.Wait)
        assert endpoint.busy
        assert endpoint.progress('s0').busy
        assert isinstance(endpoint.step(14, 14, 1), orders.Wait)
        step = endpoint.step(15, 15, 0)
        assert isinstance(step, orders.SendOrder)
        endpoint.queue.record_answer(orders.Applied(step.order.fencing), 16)
        self._read(endpoint, 16, orders.target_state(pool))
        endpoint.step(17, 17, 0)
        assert not endpoint.busy
        assert endpoint.progress('s0').done
        assert endpoint.dump(17)['settled']

    def test_engine_without_model_waits_only_for_slot(self) -> None:
        endpoint = self._endpoint()
        endpoint.rollout.set_pool(_NAMES)
        pool = config.PoolDocument(kind='engine', model='m')
        endpoint.update_target(3, pool, _PARAMETERS, 0)
        self._read(endpoint, 0, orders.EngineState())
        assert isinstance(endpoint.step(1.3, 1.3, 0), orders.Wait)
        assert isinstance(endpoint.step(2.6, 2.6, 0), orders.SendOrder)

    def test_version_published_during_a_load_waits_for_a_turn(self) -> None:
        endpoint = self._endpoint()
        endpoint.rollout.set_pool(_NAMES)
        pool = config.PoolDocument(kind='engine', model='m', model_version='1')
        endpoint.update_target(3, pool, _PARAMETERS, 0)
        self._read(endpoint, 0, orders.EngineState())
        sent = endpoint.step(2.6, 2.6, 0)
        assert isinstance(sent, orders.SendOrder)
        later = config.PoolDocument(kind='engine', model='m', model_version='2')
        endpoint.update_target(4, later, _PARAMETERS, 3)
        assert isinstance(endpoint.step(3.1, 3.1, 0), orders.Wait)
        assert endpoint.busy
        endpoint.queue.record_answer(orders.Applied(sent.order.fencing), 4)
        self._read(endpoint, 4, orders.target_state(pool))
        assert isinstance(endpoint.step(5.1, 5.1, 0), orders.Wait)
        assert not endpoint.busy
        assert not endpoint.progress('s0').done

    def test_engine_still_empty_loads_the_later_version_at_once(self) -> None:
        endpoint = self._endpoint()
        endpoint.rollout.set_pool(_NAMES)
        pool = config.PoolDocument(kind='engine', model='m', model_version='1')
        endpoint.update_target(3, pool, _PARAMETERS, 0)
        self._read(endpoint, 0, orders.EngineState())
        assert isinstance(endpoint.step(2.6, 2.6, 1), orders.Wait)
        assert endpoint.busy
        later = config.PoolDocument(kind='engine', model='m', model_version='2')
        endpoint.update_target(4, later, _PARAMETERS, 3)
        step = endpoint.step(3.1, 3.1, 0)
        assert isinstance(step, orders.SendOrder)
        assert step.order.target == orders.target_state(later)

    def test_settle_time_comes_from_configuration(self) -> None:
        endpoint = self._endpoint()
        pool = config.PoolDocument(kind='engine', model='m')
        parameters = {**_PARAMETERS.parameters, 'order_settle_s': 2}
        policies = config.PolicyDocument(parameters=parameters)
        endpoint.update_target(3, pool, policies, 0)
        self._read(endpoint, 0, _OLD_STATE)
        assert isinstance(endpoint.step(2.6, 2.6, 0), orders.SendOrder)

    def test_capacity_share_comes_from_newest_configuration(self) -> None:
        endpoint = self._endpoint()
        endpoint.rollout.set_pool(_NAMES)
        pool = config.PoolDocument(
            kind='engine', model='m', min_capacity_share=0.5
        )
        endpoint.update_target(3, pool, _PARAMETERS, 0)
        assert endpoint.rollout.max_out_of_service == 6
        endpoint.update_target(
            2, config.PoolDocument(kind='engine'), _PARAMETERS, 0
        )
        assert endpoint.rollout.max_out_of_service == 6
        assert endpoint.progress('s0').version == 3
