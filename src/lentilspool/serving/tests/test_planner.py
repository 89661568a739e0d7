"""Tests of the planner: shared calls, engine choice and refusals."""

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders

SEARCH = builders.endpoint('s1', 'search')
ENGINE = builders.endpoint('e1', 'model')


class TestStages:
    def test_requests_share_a_call(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(builders.plan_request('one', builders.stage(2)), 0)
        planner.submit(builders.plan_request('two', builders.stage(1)), 0)
        (call,) = builders.calls(planner.step(0))
        found = {(piece.request_id, piece.piece) for piece in call.pieces}
        assert found == {('id-one', 0), ('id-one', 1), ('id-two', 0)}

    def test_pieces_are_collected_while_endpoint_is_busy(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(builders.plan_request('one', builders.stage(1)), 0)
        (first,) = builders.calls(planner.step(0))
        for name in ('two', 'three'):
            planner.submit(builders.plan_request(name, builders.stage(1)), 0.05)
        assert not builders.calls(planner.step(0.05))
        planner.call_ended(first.number, builders.results_of(first), 0.2)
        (second,) = builders.calls(planner.step(0.2))
        assert len(second.pieces) == 2

    def test_call_is_limited_to_batch_size(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(builders.plan_request('one', builders.stage(9)), 0)
        (call,) = builders.calls(planner.step(0))
        assert len(call.pieces) == builders.BATCHES.batch

    def test_stage_reads_all_results_of_previous_stage(self) -> None:
        rank = builders.endpoint('r1', 'rank')
        planner = builders.planner(
            builders.endpoint_index(SEARCH, rank, ENGINE)
        )
        stages = (builders.stage(3), builders.stage(1, 'rank', (0,)))
        planner.submit(builders.plan_request('one', *stages), 0)
        (first,) = builders.calls(planner.step(0))
        handles = builders.results_of(first)
        planner.call_ended(first.number, handles, 0.2)
        (second,) = builders.calls(planner.step(0.2))
        assert second.endpoint == rank
        assert second.pieces[0].inputs == tuple(one.handle for one in handles)

    def test_skipped_stage_has_no_results(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(
            builders.plan_request('one', builders.stage(0), builders.stage(1)),
            0,
        )
        (call,) = builders.calls(planner.step(0))
        planner.call_ended(call.number, builders.results_of(call), 0.2)
        (run,) = builders.runs(planner.step(0.2))
        assert run.results == tuple(
            one.handle for one in builders.results_of(call)
        )

    def test_results_are_freed_after_first_event(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(builders.plan_request('one', builders.stage(1)), 0)
        (call,) = builders.calls(planner.step(0))
        planner.call_ended(call.number, builders.results_of(call), 0.2)
        assert not builders.frees(planner.step(0.2))
        planner.first_event_seen('one', 0.5)
        (free,) = builders.frees(planner.step(0.5))
        assert free.handles == (builders.results_of(call)[0].handle,)

    def test_results_of_cancelled_request_are_freed(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(builders.plan_request('one', builders.stage(1)), 0)
        (call,) = builders.calls(planner.step(0))
        planner.cancel('one', 0.1)
        planner.call_ended(call.number, builders.results_of(call), 0.2)
        assert builders.frees(planner.step(0.2))
        assert not planner.waiting


class TestResultMemory:
    """Large results at an endpoint with 18 MB, room for six of 3 MB."""

    def test_calls_fit_into_free_memory(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        large = builders.stage(8, result_bytes=3_000_000)
        planner.submit(builders.plan_request('one', large, deadline_s=30), 0)
        (first,) = builders.calls(planner.step(0))
        planner.call_ended(first.number, builders.results_of(first), 0.3)
        (second,) = builders.calls(planner.step(0.3))
        assert [len(first.pieces), len(second.pieces)] == [4, 2]

    def test_partial_results_of_requests_do_not_deadlock(
        self,
    ) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        large = builders.stage(5, result_bytes=3_000_000)
        for name in ('one', 'two'):
            planner.submit(builders.plan_request(name, large, target_s=9), 0)
        now = 0.0
        started = []
        for _ in range(9):
            actions = planner.step(now)
            for call in builders.calls(actions):
                now += 0.3
                planner.call_ended(call.number, builders.results_of(call), now)
            for run in builders.runs(actions):
                started.append(run.key)
                planner.first_event_seen(run.key, now)
            for free in builders.frees(actions):
                planner.results_freed(free.number)
        assert sorted(started) == ['one', 'two']

    def test_memory_is_reclaimed_when_endpoint_has_freed_results(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        large = builders.stage(4, result_bytes=4_500_000)
        planner.submit(builders.plan_request('one', large), 0)
        (first,) = builders.calls(planner.step(0))
        planner.call_ended(first.number, builders.results_of(first), 0.3)
        planner.step(0.3)
        planner.first_event_seen('one', 0.4)
        (free,) = builders.frees(planner.step(0.4))
        planner.submit(builders.plan_request('two', large), 0.4)
        assert not builders.calls(planner.step(0.4))
        planner.results_freed(free.number)
        assert builders.calls(planner.step(0.41))

    def test_endpoint_without_memory_is_blocked_briefly(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        large = builders.stage(1, result_bytes=3_000_000)
        planner.submit(builders.plan_request('one', large), 0)
        (first,) = builders.calls(planner.step(0))
        refused = (serving.PieceResult('', 'room'),)
        planner.call_ended(first.number, refused, 0.01)
        assert not builders.calls(planner.step(0.01))
        assert builders.calls(planner.step(0.3))


class TestFailures:
    def test_pieces_of_overdue_call_go_to_another_endpoint(self) -> None:
        other = builders.endpoint('s2', 'search')
        planner = builders.planner(
            builders.endpoint_index(SEARCH, other, ENGINE)
        )
        planner.submit(builders.plan_request('one', builders.stage(1)), 0)
        (first,) = builders.calls(planner.step(0))
        (second,) = builders.calls(planner.step(0.6))
        assert second.endpoint != first.endpoint

    def test_duplicate_result_of_overdue_call_is_freed(self) -> None:
        other = builders.endpoint('s2', 'search')
        planner = builders.planner(
            builders.endpoint_index(SEARCH, other, ENGINE)
        )
        planner.submit(builders.plan_request('one', builders.stage(1)), 0)
        (first,) = builders.calls(planner.step(0))
        (second,) = builders.calls(planner.step(0.6))
        planner.call_ended(second.number, builders.results_of(second), 0.8)
        planner.call_ended(first.number, builders.results_of(first), 0.9)
        freed = builders.frees(planner.step(0.9))
        assert [one.handles[0] for one in freed] == [
            builders.results_of(first)[0].handle
        ]

    def test_lost_input_is_made_again(self) -> None:
        rank = builders.endpoint('r1', 'rank')
        planner = builders.planner(
            builders.endpoint_index(SEARCH, rank, ENGINE)
        )
        stages = (builders.stage(1), builders.stage(1, 'rank', (0,)))
        planner.submit(builders.plan_request('one', *stages), 0)
        (first,) = builders.calls(planner.step(0))
        planner.call_ended(first.number, builders.results_of(first), 0.2)
        (second,) = builders.calls(planner.step(0.2))
        lost = (serving.PieceResult('', 'gone'),)
        planner.call_ended(second.number, lost, 0.21)
        (third,) = builders.calls(planner.step(0.21))
        assert third.endpoint == SEARCH

    def test_draining_endpoint_gets_no_call(self) -> None:
        leaving = builders.endpoint('s1', 'search', ready=False)
        planner = builders.planner(builders.endpoint_index(leaving, ENGINE))
        planner.submit(builders.plan_request('one', builders.stage(1)), 0)
        assert not builders.calls(planner.step(0))

    @pytest.mark.parametrize('deadline_s', [0.1, 0.2])
    def test_hopeless_request_is_refused_without_any_call(
        self, deadline_s: float
    ) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(
            builders.plan_request(
                'one', builders.stage(1), deadline_s=deadline_s
            ),
            0,
        )
        actions = planner.step(0)
        assert builders.refusals(actions) and not builders.calls(actions)


class TestEngines:
    def test_request_goes_to_engine_with_cached_prompt(self) -> None:
        engines = [
            builders.endpoint(f'e{index}', 'model') for index in range(4)
        ]
        planner = builders.planner(builders.endpoint_index(*engines))
        engines_used = set()
        for number in range(5):
            now = float(number)
            planner.submit(
                builders.plan_request(
                    str(number), prompt=builders.prompt(13_000)
                ),
                now,
            )
            (run,) = builders.runs(planner.step(now))
            engines_used.add(run.endpoint.name)
            planner.first_event_seen(str(number), now + 0.3)
            planner.engine_ended(str(number), now + 0.5)
        assert len(engines_used) == 1

    def test_burst_on_one_prompt_uses_second_engine_by_fetch(self) -> None:
        engines = [
            builders.endpoint(f'e{index}', 'model') for index in range(2)
        ]
        planner = builders.planner(builders.endpoint_index(*engines))
        for number in range(8):
            planner.submit(
                builders.plan_request(
                    str(number), prompt=builders.prompt(13_000, own=15_000)
                ),
                0,
            )
        found = builders.runs(planner.step(0))
        assert {run.endpoint.name for run in found} == {'e0', 'e1'}
        assert any(run.cache_source for run in found)

    def test_failed_engine_is_blocked(self) -> None:
        engines = [
            builders.endpoint(f'e{index}', 'model') for index in range(2)
        ]
        planner = builders.planner(builders.endpoint_index(*engines))
        planner.submit(builders.plan_request('one'), 0)
        (first,) = builders.runs(planner.step(0))
        planner.engine_ended('one', 0.1, healthy=False)
        planner.submit(builders.plan_request('two'), 0.2)
        (second,) = builders.runs(planner.step(0.2))
        assert second.endpoint != first.endpoint


class TestLostResults:
    """Results of a chain of three stages are lost before they are read.

    Pieces must not run without inputs, and one loss must not count twice.
    """

    def planner(self) -> serving.Planner:
        rank = builders.endpoint('r1', 'rank')
        planner_with_chain = builders.planner(
            builders.endpoint_index(SEARCH, rank, ENGINE)
        )
        stages = (
            builders.stage(1),
            builders.stage(2, 'rank', (0,)),
            builders.stage(2, 'rank', (1,)),
        )
        planner_with_chain.submit(builders.plan_request('one', *stages), 0)
        return planner_with_chain

    def complete_call(self, planner: serving.Planner, now: float) -> None:
        (call,) = builders.calls(planner.step(now))
        planner.call_ended(call.number, builders.results_of(call), now + 0.2)

    def test_no_piece_is_sent_without_its_inputs(self) -> None:
        planner = self.planner()
        self.complete_call(planner, 0)
        self.complete_call(planner, 0.2)
        (last,) = builders.calls(planner.step(0.4))
        gone = (serving.PieceResult('', 'gone'),) * 2
        planner.call_ended(last.number, gone, 0.41)
        for index in range(3):
            (call,) = builders.calls(planner.step(1 + index))
            assert all(
                bool(piece.inputs) == (piece.stage > 0) for piece in call.pieces
            )
            planner.call_ended(
                call.number, builders.results_of(call), 1.2 + index
            )
        assert builders.runs(planner.step(4))

    def test_pieces_of_one_call_count_as_one_loss(self) -> None:
        planner = self.planner()
        self.complete_call(planner, 0)
        self.complete_call(planner, 0.2)
        (last,) = builders.calls(planner.step(0.4))
        gone = (serving.PieceResult('', 'gone'),) * 2
        planner.call_ended(last.number, gone, 0.41)
        assert not builders.refusals(planner.step(0.41))


class TestZones:
    """Chains with large results between their stages, in two zones."""

    def planner(self) -> serving.Planner:
        found = [
            builders.endpoint('s1', 'search'),
            builders.endpoint('r1', 'rank'),
            builders.endpoint('r2', 'rank', 'b'),
            ENGINE,
        ]
        return builders.planner(builders.endpoint_index(*found))

    def chain(self, pieces: int) -> tuple[serving.StageRequest, ...]:
        return (
            builders.stage(4, result_bytes=400_000),
            builders.stage(pieces, 'rank', (0,), 4_500_000),
        )

    def run_search(self, planner: serving.Planner, now: float) -> None:
        (call,) = builders.calls(planner.step(now))
        planner.call_ended(call.number, builders.results_of(call), now + 0.3)

    def test_stage_runs_in_zone_of_its_inputs(self) -> None:
        planner = self.planner()
        planner.submit(builders.plan_request('one', *self.chain(2)), 0)
        self.run_search(planner, 0)
        (call,) = builders.calls(planner.step(0.3))
        assert call.endpoint.zone == 'a'

    def test_stage_does_not_wait_for_endpoint_without_memory(self) -> None:
        planner = self.planner()
        planner.submit(builders.plan_request('one', *self.chain(4)), 0)
        self.run_search(planner, 0)
        (call,) = builders.calls(planner.step(0.3))
        planner.call_ended(call.number, builders.results_of(call), 0.6)
        planner.step(0.6)
        planner.submit(builders.plan_request('two', *self.chain(2)), 0.6)
        self.run_search(planner, 0.6)
        (last,) = builders.calls(planner.step(0.9))
        assert [call.endpoint.name, last.endpoint.name] == ['r1', 'r2']


class TestOverload:
    """A burst of twice the work that the second stage service can do."""

    def planner(self) -> serving.Planner:
        rank = builders.endpoint('r1', 'rank')
        return builders.planner(builders.endpoint_index(SEARCH, rank, ENGINE))

    def submit(self, planner: serving.Planner, count: int) -> None:
        chain = (builders.stage(1), builders.stage(4, 'rank', (0,)))
        for number in range(count):
            planner.submit(builders.plan_request(f'job-{number}', *chain), 0)

    def test_requests_that_would_be_late_are_not_started(self) -> None:
        planner = self.planner()
        self.submit(planner, 12)
        started_requests: set[str] = set()
        now = 0.0
        for _ in range(4):
            for call in builders.calls(planner.step(now)):
                started_requests.update(
                    piece.request_id for piece in call.pieces
                )
                planner.call_ended(
                    call.number, builders.results_of(call), now + 0.2
                )
            now += 0.2
        assert 1 <= len(started_requests) < 6

    def test_held_back_requests_are_refused_with_retry_after(
        self,
    ) -> None:
        planner = self.planner()
        self.submit(planner, 12)
        refused: list[serving.Refuse] = []
        now = 0.0
        while planner.waiting and now < 9:
            actions = planner.step(now)
            refused.extend(builders.refusals(actions))
            for call in builders.calls(actions):
                planner.call_ended(call.number, builders.results_of(call), now)
            for run in builders.runs(actions):
                planner.first_event_seen(run.key, now)
            now += 0.3
        assert refused
        assert all(one.retry_after_s is not None for one in refused)

    def test_late_requests_do_not_cause_refusal_of_new_ones(self) -> None:
        planner = self.planner()
        chain = (builders.stage(1), builders.stage(60, 'rank', (0,)))
        for number in range(3):
            late = builders.plan_request(
                f'late-{number}',
                *chain,
                target_s=0.3,
                deadline_s=60,
                prompt=builders.prompt(900_000),
            )
            planner.submit(late, 0)
        planner.step(0)
        short = (builders.stage(1), builders.stage(1, 'rank', (0,)))
        planner.submit(builders.plan_request('new', *short, deadline_s=4), 0.1)
        assert not builders.refusals(planner.step(0.1))
