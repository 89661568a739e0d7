"""Tests of the queue of stage calls at a sidecar."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilspool import kernel, limits

MAY_WAIT = limits.Urgency.may_wait


def call(
    call_id: int,
    team: str = 'a',
    cost: float = 1,
    deadline: float = 1e9,
    urgency: limits.Urgency = limits.Urgency.deadline,
    min_remaining_s: float = 0,
) -> limits.QueuedCall:
    return limits.QueuedCall(
        call_id, team, cost, deadline, min_remaining_s, urgency
    )


def drain(queue: limits.QueuePolicy, now: float = 0) -> list[int]:
    order = []
    while len(queue):
        taken = queue.take(now)
        if taken.call:
            order.append(taken.call.call_id)
    return order


class TestStageQueue:
    def test_earliest_deadline_first_within_a_team(self) -> None:
        queue = limits.StageQueue(8)
        for call_id, deadline in enumerate([9, 3, 6]):
            queue.offer(call(call_id, deadline=deadline), 0)
        assert drain(queue) == [1, 2, 0]

    def test_earliest_deadline_first_among_teams_within_their_share(
        self,
    ) -> None:
        queue = limits.StageQueue(8)
        queue.offer(call(0, 'a', deadline=9), 0)
        queue.offer(call(1, 'b', deadline=3), 0)
        assert drain(queue) == [1, 0]

    def test_teams_share_by_cost_rather_than_by_count(self) -> None:
        queue = limits.StageQueue(100, {'a': 1, 'b': 1})
        for call_id in range(40):
            queue.offer(call(call_id, 'a', cost=4), 0)
        for call_id in range(40, 80):
            queue.offer(call(call_id, 'b', cost=1), 0)
        steady = drain(queue)[5:45]
        assert sum(call_id >= 40 for call_id in steady) == 32

    @pytest.mark.parametrize(('share', 'expected'), [(1, 20), (3, 30)])
    def test_starts_follow_the_shares_once_idle_credit_is_used(
        self, share: float, expected: int
    ) -> None:
        queue = limits.StageQueue(200, {'a': share, 'b': 1})
        for call_id in range(200):
            queue.offer(call(call_id, 'ab'[call_id % 2]), 0)
        first = drain(queue)[16:56]
        assert sum(call_id % 2 == 0 for call_id in first) == expected

    def test_calls_of_unknown_cost_are_shared_by_count(self) -> None:
        queue = limits.StageQueue(100)
        for call_id in range(40):
            queue.offer(call(call_id, 'ab'[call_id % 2], cost=0), 0)
        first = drain(queue)[:20]
        assert sum(call_id % 2 for call_id in first) == 10

    def test_calls_with_a_deadline_start_first(self) -> None:
        queue = limits.StageQueue(8)
        queue.offer(call(0, urgency=MAY_WAIT), 0)
        queue.offer(call(1), 0)
        assert drain(queue) == [1, 0]

    def test_aged_call_starts_after_the_set_number_of_starts(self) -> None:
        parameters = {'queue_ageing_s': 2, 'queue_starts_per_aged': 4}
        queue = limits.StageQueue(100, {}, parameters)
        queue.offer(call(99, urgency=MAY_WAIT), 0)
        for call_id in range(20):
            queue.offer(call(call_id), 0)
        started = [queue.take(now=float(tick)) for tick in range(6)]
        ids = [taken.call.call_id for taken in started if taken.call]
        assert ids == [0, 1, 2, 3, 99, 4]

    def test_call_that_would_miss_its_deadline_is_not_started(self) -> None:
        queue = limits.StageQueue(8)
        queue.offer(call(0, deadline=5, min_remaining_s=2), 0)
        queue.offer(call(1, deadline=9, min_remaining_s=2), 0)
        taken = queue.take(now=4)
        assert taken.call and taken.call.call_id == 1
        dropped = taken.dropped[0]
        assert dropped.call.call_id == 0
        assert dropped.outcome.reason is kernel.NotRunReason.deadline

    def test_call_that_would_miss_its_deadline_is_not_queued(self) -> None:
        queue = limits.StageQueue(8)
        dropped = queue.offer(call(0, deadline=5, min_remaining_s=2), 4)[0]
        assert dropped.call.call_id == 0
        assert not len(queue)

    def test_full_queue_drops_a_call_of_the_team_with_most_cost(self) -> None:
        queue = limits.StageQueue(4)
        for call_id in range(4):
            queue.offer(call(call_id, 'flood'), 0)
        dropped = queue.offer(call(9, 'small'), 0)[0]
        assert dropped.call.team == 'flood'
        assert dropped.outcome.reason is kernel.NotRunReason.overloaded

    def test_retry_time_is_the_time_to_serve_the_queue(self) -> None:
        queue = limits.StageQueue(60)
        for call_id in range(60):
            queue.offer(call(call_id), 0)
        for tick in range(40):
            queue.take(now=float(tick))
            queue.offer(call(100 + tick), float(tick))
        dropped = queue.offer(call(999), 40)[0]
        wait_s = dropped.outcome.retry_after_s
        assert wait_s and 50 <= wait_s <= 60

    def test_full_queue_drops_calls_that_may_wait_first(self) -> None:
        queue = limits.StageQueue(1)
        queue.offer(call(0, urgency=MAY_WAIT), 0)
        dropped = queue.offer(call(1), 0)[0]
        assert dropped.call.call_id == 0

    def test_call_that_may_wait_does_not_evict_a_deadline_call(self) -> None:
        queue = limits.StageQueue(1)
        queue.offer(call(0), 0)
        dropped = queue.offer(call(1, urgency=MAY_WAIT), 0)[0]
        assert dropped.call.call_id == 1

    def test_credit_of_an_idle_team_is_limited_to_a_few_calls(self) -> None:
        queue = limits.StageQueue(300)
        for call_id in range(100):
            queue.offer(call(call_id, 'busy'), 0)
        for _ in range(50):
            queue.take(0)
        for call_id in range(100, 200):
            queue.offer(call(call_id, 'idle'), 0)
        first = drain(queue)[:24]
        assert all(call_id >= 100 for call_id in first[:9])
        assert sum(call_id >= 100 for call_id in first) == 16

    def test_sparse_team_does_not_wait_for_every_backlogged_team(self) -> None:
        queue = limits.StageQueue(1000)
        for call_id in range(500):
            queue.offer(call(call_id, f'flood{call_id % 50}'), 0)
        for _ in range(100):
            queue.take(0)
        queue.offer(call(999, 'sparse'), 0)
        assert drain(queue)[0] == 999

    def test_removed_call_never_starts(self) -> None:
        queue = limits.StageQueue(4)
        queue.offer(call(0), 0)
        queue.offer(call(1), 0)
        assert queue.remove(0)
        assert not queue.remove(0)
        assert drain(queue) == [1]


CALLS = st.lists(
    st.tuples(
        st.sampled_from('abc'),
        st.floats(0.1, 10),
        st.floats(0, 20),
        st.sampled_from(list(limits.Urgency)),
        st.booleans(),
    ),
    max_size=60,
)


class TestQueueProperties:
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(calls=CALLS, bound=st.integers(1, 12))
    def test_every_call_leaves_exactly_once(
        self,
        calls: list[tuple[str, float, float, limits.Urgency, bool]],
        bound: int,
    ) -> None:
        queue = limits.StageQueue(bound)
        left: list[int] = []
        now = 0.0
        for call_id, (team, cost, due, urgency, take) in enumerate(calls):
            offered = call(call_id, team, cost, due, urgency)
            left += [drop.call.call_id for drop in queue.offer(offered, now)]
            assert len(queue) <= bound
            if take:
                taken = queue.take(now)
                left += [drop.call.call_id for drop in taken.dropped]
                left += [taken.call.call_id] if taken.call else []
            now += 0.3
        while len(queue):
            taken = queue.take(now)
            left += [drop.call.call_id for drop in taken.dropped]
            left += [taken.call.call_id] if taken.call else []
        assert sorted(left) == list(range(len(calls)))
        assert queue.cost == pytest.approx(0, abs=1e-6)
