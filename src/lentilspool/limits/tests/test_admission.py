"""Tests of the admission policies."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilspool import kernel, limits

LOADS = {
    'encode': limits.PoolLoad(slots=4),
    'generate': limits.PoolLoad(slots=2),
}


def request(
    name: str,
    work_s: float = 1,
    deadline: float = 4,
    team: str = 'a',
    may_wait: bool = False,
) -> limits.AdmissionRequest:
    estimates = (
        limits.StageEstimate('encoding', 'encode', 0.1, 0.1),
        limits.StageEstimate('generation', 'generate', work_s, work_s),
    )
    return limits.AdmissionRequest(name, team, deadline, estimates, may_wait)


def admitted_names(
    policy: limits.AdmissionPolicy, requests: list[limits.AdmissionRequest]
) -> list[str]:
    return [
        offered.request_id
        for offered in requests
        if isinstance(policy.decide(offered, LOADS, 0), limits.Admit)
    ]


class TestAdmissionControl:
    def test_admission_books_the_work_of_all_stages(self) -> None:
        policy = limits.AdmissionControl()
        names = admitted_names(
            policy, [request(str(number)) for number in range(20)]
        )
        assert 4 <= len(names) <= 8

    def test_refusal_returns_a_retry_time(self) -> None:
        policy = limits.AdmissionControl()
        admitted_names(policy, [request(str(number)) for number in range(20)])
        refused = policy.decide(request('late'), LOADS, 0)
        assert isinstance(refused, kernel.NotRun)
        assert refused.retry_after_s and refused.retry_after_s > 1

    def test_request_that_may_wait_is_not_refused(self) -> None:
        policy = limits.AdmissionControl()
        admitted_names(policy, [request(str(number)) for number in range(20)])
        decision = policy.decide(request('w', may_wait=True), LOADS, 0)
        assert isinstance(decision, limits.AdmitWaiting)

    def test_short_deadline_does_not_make_admitted_work_late(self) -> None:
        policy = limits.AdmissionControl()
        long = [
            request(f'l{number}', work_s=4, deadline=4.2) for number in range(2)
        ]
        assert len(admitted_names(policy, long)) == 2
        assert not admitted_names(policy, [request('s', 0.5, deadline=2)])

    def test_ended_stages_release_their_capacity(self) -> None:
        policy = limits.AdmissionControl()
        names = admitted_names(
            policy, [request(str(number)) for number in range(20)]
        )
        for name in names:
            policy.stage_done(name, 'encoding', 0)
            policy.stage_done(name, 'generation', 0)
        names_after = admitted_names(
            policy, [request(f'b{number}') for number in range(20)]
        )
        assert len(names_after) == len(names)

    def test_long_reported_wait_causes_refusal(self) -> None:
        loads = {**LOADS, 'generate': limits.PoolLoad(2, wait_s=5)}
        refused = limits.AdmissionControl().decide(request('x'), loads, 0)
        assert isinstance(refused, kernel.NotRun)

    def test_reported_wait_is_reduced_by_its_age(self) -> None:
        load = limits.PoolLoad(2, wait_s=5, age_s=4.5)
        loads = {**LOADS, 'generate': load}
        decision = limits.AdmissionControl().decide(request('x'), loads, 0)
        assert isinstance(decision, limits.Admit)

    def test_gives_up_once_the_next_stage_would_end_late(self) -> None:
        policy = limits.AdmissionControl()
        policy.decide(request('x'), LOADS, 0)
        policy.stage_done('x', 'encoding', 3.5)
        given_up = policy.recheck('x', LOADS, 3.5)
        assert isinstance(given_up, limits.GiveUp)
        assert given_up.stage == 'generation'
        assert given_up.retry_after_s > 0

    def test_continues_while_the_next_stage_can_end_on_time(self) -> None:
        policy = limits.AdmissionControl()
        policy.decide(request('x'), LOADS, 0)
        policy.stage_done('x', 'encoding', 0.1)
        rechecked = policy.recheck('x', LOADS, 0.1)
        assert isinstance(rechecked, limits.Admit)
        assert [due_time.stage for due_time in rechecked.due_times] == [
            'generation'
        ]

    def test_flooding_team_does_not_block_another_team(self) -> None:
        policy = limits.AdmissionControl({'a': 1, 'b': 1})
        now = 0.0
        other_admitted = 0
        for tick in range(400):
            now += 0.02
            flood = request(f'f{tick}', 0.5, now + 4, 'a')
            policy.decide(flood, LOADS, now)
            if tick % 50 == 49:
                other = request(f's{tick}', 0.5, now + 4, 'b')
                decision = policy.decide(other, LOADS, now)
                other_admitted += isinstance(decision, limits.Admit)
            policy.forget(f'f{tick - 25}')
            policy.forget(f's{tick - 25}')
        assert other_admitted == 8


ARRIVALS = st.lists(
    st.tuples(
        st.floats(0, 0.5),
        st.floats(0.01, 3),
        st.floats(0.05, 10),
        st.sampled_from('ab'),
        st.booleans(),
    ),
    max_size=60,
)


class TestAdmissionProperties:
    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(arrivals=ARRIVALS)
    def test_admitted_work_ends_on_time_and_is_released(
        self, arrivals: list[tuple[float, float, float, str, bool]]
    ) -> None:
        policy = limits.AdmissionControl()
        now = 0.0
        for index, (gap, work_s, due_s, team, ends) in enumerate(arrivals):
            now += gap
            offered = request(str(index), work_s, now + due_s, team)
            decision = policy.decide(offered, LOADS, now)
            if isinstance(decision, limits.Admit):
                assert now <= decision.finish <= offered.deadline
            if ends:
                policy.forget(str(index))
        for name, _arrival in enumerate(arrivals):
            policy.forget(str(name))
        pools = policy.dump(now)['pools']
        assert isinstance(pools, dict)
        for pool in pools.values():
            assert pool['booked_s'] == pytest.approx(0, abs=1e-6)

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        waits=st.tuples(st.floats(0, 8), st.floats(0, 8)),
        work_s=st.floats(0.01, 3),
    )
    def test_longer_wait_never_admits_a_refused_request(
        self, waits: tuple[float, float], work_s: float
    ) -> None:
        decisions = []
        for wait_s in sorted(waits):
            load = limits.PoolLoad(2, wait_s=wait_s)
            loads = {**LOADS, 'generate': load}
            decision = limits.AdmissionControl().decide(
                request('x', work_s), loads, 0
            )
            decisions.append(isinstance(decision, limits.Admit))
        assert decisions[0] >= decisions[1]

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(highs=st.lists(st.floats(0.01, 3), min_size=1, max_size=6))
    def test_due_times_ascend_and_end_at_the_deadline(
        self, highs: list[float]
    ) -> None:
        estimates = tuple(
            limits.StageEstimate(str(index), 'p', high, high)
            for index, high in enumerate(highs)
        )
        due_times = [
            due_time.due for due_time in limits.split_deadline(estimates, 9, 1)
        ]
        assert due_times == sorted(due_times)
        assert due_times[-1] == 9
        assert due_times[0] >= 1


class TestBaselines:
    def test_none_admits_everything(self) -> None:
        policy = limits.AdmitAll()
        requests = [request(str(number)) for number in range(200)]
        assert len(admitted_names(policy, requests)) == 200

    def test_queue_length_limits_requests_in_progress(self) -> None:
        policy = limits.QueueLengthLimit({}, {'admission_queue_limit': 5})
        requests = [request(str(number)) for number in range(20)]
        assert len(admitted_names(policy, requests)) == 5
        policy.forget('0')
        assert len(admitted_names(policy, [request('x')])) == 1
