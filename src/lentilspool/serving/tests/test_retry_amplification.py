"""Repeated pieces under steady load, with endpoints that fail in some way.

Each failure of a piece is a reason to send it again. Together, the repeats
must stay within what the platform tolerates for the requests of the service.
"""

import collections

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders
from soak import _budget_rule

SLACK = 58
# Share that gateways use.
RESERVE = 0.4 * SLACK
RATE = 20
PIECES = 4
STEP_S = 0.05
SECONDS = 40.0
FAULT_S = (15.0, 30.0)
ALLOWANCE = _budget_rule.Allowance(ratio=0.2, window_s=10, slack=SLACK)


class World:
    """A planner under load, and stage endpoints that fail for a while."""

    def __init__(self, failure: str, share: float) -> None:
        self.rule = _budget_rule.BudgetRule(ALLOWANCE)
        self.ended: collections.Counter[str] = collections.Counter()
        self._failure = failure
        self._share = share
        self._failed = 0.0
        self._submitted = 0
        self._open_calls: list[serving.StartCall] = []
        self._planner = builders.planner(
            builders.endpoint_index(
                *(builders.endpoint(f's{index}', 'search') for index in 'abcd'),
                *(builders.endpoint(f'r{index}', 'rank') for index in 'ab'),
                *(builders.endpoint(f'e{index}', 'model') for index in 'abc'),
            ),
            serving.PlanLimits(retry_reserve=RESERVE),
        )

    def play(self) -> None:
        for number in range(int(SECONDS / STEP_S)):
            now = number * STEP_S
            while self._submitted < now * RATE:
                self._submit(now)
            if number % 4 == 0:
                self._end_calls(now)
            self._step(now)

    def _submit(self, now: float) -> None:
        self._submitted += 1
        self.rule.sent(now, ['search', 'rank', 'model'])
        stages = (builders.stage(PIECES), builders.stage(1, 'rank', (0,)))
        self._planner.submit(
            builders.plan_request(f'{self._submitted}', *stages), now
        )

    def _step(self, now: float) -> None:
        actions = self._planner.step(now)
        for call in builders.calls(actions):
            self._open_calls.append(call)
            for piece in call.pieces:
                self.rule.arrived(
                    now,
                    call.endpoint.service,
                    f'{piece.request_id}/{piece.stage}/{piece.piece}',
                )
        for run in builders.runs(actions):
            self._planner.first_event_seen(run.key, now)
            self._planner.engine_ended(run.key, now)
            self.ended['run'] += 1
        self.ended['refused'] += len(builders.refusals(actions))

    def _end_calls(self, now: float) -> None:
        ending = self._open_calls
        self._open_calls = []
        for call in ending:
            outcome: tuple[serving.PieceResult, ...] | None
            outcome = builders.results_of(call)
            ran = True
            if FAULT_S[0] <= now < FAULT_S[1]:
                if self._failure == 'rejected':
                    outcome, ran = None, False
                elif self._failure == 'unanswered':
                    outcome = None
                else:
                    outcome = tuple(map(self._fail, outcome))
            self._planner.call_ended(call.number, outcome, now, ran=ran)

    def _fail(self, outcome: serving.PieceResult) -> serving.PieceResult:
        self._failed += self._share
        if self._failed < 1:
            return outcome
        self._failed -= 1
        return serving.PieceResult('', self._failure)


class TestRetryAmplification:
    @pytest.mark.parametrize(
        ('failure', 'share'),
        [
            ('rejected', 1),
            ('unanswered', 1),
            ('error', 0.1),
            ('error', 0.5),
            ('room', 0.1),
            ('room', 1),
            ('gone', 0.02),
            ('gone', 0.2),
        ],
    )
    def test_repeats_stay_within_the_allowance(
        self, failure: str, share: float
    ) -> None:
        world = World(failure, share)
        world.play()
        assert all(one.excess <= 0 for one in world.rule.worst())

    @pytest.mark.parametrize('failure', ['error', 'room'])
    def test_most_requests_run_while_few_pieces_fail(
        self, failure: str
    ) -> None:
        world = World(failure, 0.02)
        world.play()
        assert world.ended['run'] > 0.9 * world.ended.total()


class TestRepeatedPlans:
    """Requests are planned again, with pieces that may have run before.

    Their planner is lost, or the engine did not answer their stream.
    """

    def test_planners_are_lost_one_after_another(self) -> None:
        rule = _budget_rule.BudgetRule(ALLOWANCE)
        for lost in range(4):
            planner = serving.Planner(
                builders.endpoint_index(
                    builders.endpoint('s', 'search'),
                    builders.endpoint('e', 'model'),
                ),
                serving.PlanLimits(retry_reserve=RESERVE),
            )
            planner.configure(builders.SERVICES)
            for number in range(40):
                if not lost:
                    rule.sent(0, ['search', 'model'])
                planner.submit(
                    builders.plan_request(
                        f'{number}',
                        builders.stage(PIECES),
                        repeated=lost > 0,
                        planners_lost=lost,
                        target_s=60,
                        deadline_s=60,
                    ),
                    lost,
                )
            self.run(planner, rule, lost)
        assert all(one.excess <= 0 for one in rule.worst())

    def test_each_planner_meets_endpoints_that_reject(self) -> None:
        rule = _budget_rule.BudgetRule(ALLOWANCE)
        for lost in range(5):
            planner = builders.planner(
                builders.endpoint_index(
                    *(
                        builders.endpoint(f's{index}', 'search')
                        for index in 'abc'
                    ),
                    builders.endpoint('e', 'model'),
                ),
                serving.PlanLimits(retry_reserve=RESERVE),
            )
            for number in range(20):
                rule.sent(2 * lost, ['search', 'model'])
                plan_request = builders.plan_request(
                    f'{lost}-{number}',
                    builders.stage(PIECES),
                    planners_lost=lost,
                    target_s=60,
                    deadline_s=60,
                )
                planner.submit(plan_request, 2 * lost)
            self.run(planner, rule, 2 * lost, seconds=2, rejects=True)
        assert all(one.excess <= 0 for one in rule.worst())

    def test_streams_are_sent_again(self) -> None:
        rule = _budget_rule.BudgetRule(ALLOWANCE)
        planner = builders.planner(
            builders.endpoint_index(
                builders.endpoint('s', 'search'),
                builders.endpoint('e', 'model'),
            ),
            serving.PlanLimits(retry_reserve=RESERVE),
        )
        refused = 0
        for number in range(200):
            plan_request = builders.plan_request(
                f'{number // 2}',
                builders.stage(PIECES),
                repeated=number % 2 > 0,
            )
            now = number / 8
            if not plan_request.repeated:
                rule.sent(now, ['search', 'model'])
            planner.submit(plan_request, now)
            refused += len(self.run(planner, rule, now, seconds=0.1))
        assert all(one.excess <= 0 for one in rule.worst())
        # Repeats of 5 requests with 4 pieces fit into the reserve.
        assert 5 <= 100 - refused < 40

    def test_request_without_pieces_is_planned_again(self) -> None:
        planner = builders.planner(
            builders.endpoint_index(builders.endpoint('e', 'model')),
            serving.PlanLimits(retry_reserve=0, retry_calls=0),
        )
        planner.submit(
            builders.plan_request('p', builders.stage(0), repeated=True), 0
        )
        assert builders.runs(planner.step(0))

    def test_start_of_the_pieces_is_told_once(self) -> None:
        planner = builders.planner(
            builders.endpoint_index(
                builders.endpoint('s', 'search'),
                builders.endpoint('e', 'model'),
            )
        )
        planner.submit(builders.plan_request('p', builders.stage(9)), 0)
        begun = []
        for number in range(4):
            now = float(number)
            actions = planner.step(now)
            begun += [one for one in actions if isinstance(one, serving.Begun)]
            for call in builders.calls(actions):
                planner.call_ended(call.number, builders.results_of(call), now)
        assert begun == [serving.Begun('p')]

    def run(
        self,
        planner: serving.Planner,
        rule: _budget_rule.BudgetRule,
        start: float,
        seconds: float = 1,
        *,
        rejects: bool = False,
    ) -> list[serving.Refuse]:
        """Run a planner for a while; return what it refused."""
        refused = []
        for number in range(int(seconds / STEP_S)):
            now = start + number * STEP_S
            actions = planner.step(now)
            refused += builders.refusals(actions)
            for call in builders.calls(actions):
                for piece in call.pieces:
                    rule.arrived(
                        now, 'search', f'{piece.request_id}/{piece.piece}'
                    )
                outcome = None if rejects else builders.results_of(call)
                planner.call_ended(call.number, outcome, now, ran=not rejects)
        for run in builders.runs(planner.step(start + seconds)):
            planner.first_event_seen(run.key, start + seconds)
            planner.engine_ended(run.key, start + seconds)
        return refused
