"""Tests of result memory and calls at stage endpoints."""

import dataclasses

from lentilspool import serving
from lentilspool.serving import (
    _jobs,
    _stage_dispatch,
    _stage_service,
    _suspects,
)
from lentilspool.serving.tests import builders

SEARCH = builders.endpoint('s1', 'search')
RANK = builders.endpoint('r1', 'rank')
ENGINE = builders.endpoint('e1', 'model')
LARGE_BYTES = 3_000_000


def end_call(
    planner: serving.Planner, call: serving.StartCall, now: float
) -> None:
    planner.call_ended(call.number, builders.results_of(call), now)


class TestLostAnswer:
    """A call runs at its endpoint, but its answer is lost or late.

    Such a call must not occupy a slot of the endpoint forever.
    """

    def test_endpoint_gets_calls_again_after_block(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        for number in range(4):
            plan_request = builders.plan_request(
                f'{number}', builders.stage(4), target_s=6
            )
            planner.submit(plan_request, 0)
        assert len(builders.calls(planner.step(0))) == 1
        assert not builders.calls(planner.step(0.7))
        assert len(builders.calls(planner.step(2))) == 1

    def test_late_answer_of_overdue_call_is_used(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        planner.submit(builders.plan_request('one', builders.stage(1)), 0)
        (call,) = builders.calls(planner.step(0))
        planner.step(0.7)
        end_call(planner, call, 0.8)
        assert builders.runs(planner.step(0.8))


class TestFreedInputs:
    """Results are freed once the last call that reads them has fetched them.

    They have to be made again if that call fails.
    """

    def planner(self) -> tuple[serving.Planner, serving.StartCall]:
        planner = builders.planner(
            builders.endpoint_index(SEARCH, RANK, ENGINE)
        )
        stages = (builders.stage(1), builders.stage(2, 'rank', (0,)))
        planner.submit(builders.plan_request('one', *stages), 0)
        (first,) = builders.calls(planner.step(0))
        end_call(planner, first, 0.2)
        (second,) = builders.calls(planner.step(0.2))
        assert not builders.frees(planner.step(0.21))
        (freed,) = builders.frees(planner.step(0.32))
        assert freed.handles == (builders.results_of(first)[0].handle,)
        return planner, second

    def test_request_runs_when_call_succeeds(self) -> None:
        planner, second = self.planner()
        end_call(planner, second, 0.4)
        actions = planner.step(0.4)
        assert builders.runs(actions) and not builders.frees(actions)

    def test_inputs_are_made_again_when_call_fails(self) -> None:
        planner, second = self.planner()
        planner.call_ended(second.number, None, 0.4)
        assert not builders.calls(planner.step(0.4))
        planner.check_ended(second.number)
        (again,) = builders.calls(planner.step(0.4))
        assert again.endpoint == SEARCH
        end_call(planner, again, 0.6)
        (last,) = builders.calls(planner.step(1.5))
        handles = {one.inputs for one in last.pieces}
        assert handles == {(builders.results_of(again)[0].handle,)}

    def test_inputs_are_made_again_when_call_is_rejected(self) -> None:
        planner, second = self.planner()
        planner.call_ended(second.number, None, 0.4, ran=False)
        (again,) = builders.calls(planner.step(0.4))
        assert again.endpoint == SEARCH

    def test_inputs_of_waiting_pieces_are_kept(self) -> None:
        planner = builders.planner(
            builders.endpoint_index(SEARCH, RANK, ENGINE)
        )
        stages = (builders.stage(1), builders.stage(6, 'rank', (0,)))
        planner.submit(builders.plan_request('one', *stages), 0)
        (first,) = builders.calls(planner.step(0))
        end_call(planner, first, 0.2)
        (second,) = builders.calls(planner.step(0.2))
        assert len(second.pieces) == builders.BATCHES.batch
        assert not builders.frees(planner.step(0.4))


class TestSideBranch:
    """A stage with large results runs in parallel to a chain of stages.

    Started too early, it would occupy memory while the chain runs.
    """

    def test_large_results_are_made_near_end_of_chain(
        self,
    ) -> None:
        side = dataclasses.replace(
            builders.stage(1, 'rank'), result_bytes=LARGE_BYTES
        )
        chain = (
            builders.stage(1),
            builders.stage(1, 'search', (1,)),
            builders.stage(1, 'search', (2,)),
        )
        planner = builders.planner(
            builders.endpoint_index(SEARCH, RANK, ENGINE)
        )
        plan_request = builders.plan_request('one', side, *chain, target_s=4)
        planner.submit(plan_request, 0)
        order = []
        actions: list[serving.Action] = []
        for step in range(6):
            actions = planner.step(step / 4)
            for call in builders.calls(actions):
                order.append(call.pieces[0].stage)
                end_call(planner, call, step / 4 + 0.2)
            if builders.runs(actions):
                break
        assert order in ([1, 2, 3, 0], [1, 2, 0, 3])
        assert builders.runs(actions)


class TestLateWork:
    """A burst makes a request late after its first stage.

    Its work and memory would be lost if new requests went first.
    """

    def test_late_request_goes_before_new_ones(self) -> None:
        planner = builders.planner(
            builders.endpoint_index(SEARCH, RANK, ENGINE)
        )
        chain = (builders.stage(1), builders.stage(4, 'rank', (0,)))
        planner.submit(builders.plan_request('late', *chain, target_s=0.5), 0)
        (first,) = builders.calls(planner.step(0))
        planner.submit(
            builders.plan_request('new', builders.stage(4, 'rank')), 0.45
        )
        end_call(planner, first, 0.5)
        (second,) = builders.calls(planner.step(0.5))
        assert {one.request_id for one in second.pieces} == {'id-late'}


class TestMemoryShortage:
    """An endpoint lacks memory for several pieces of one call."""

    def test_shortage_counts_once_for_each_call(self) -> None:
        service = self.service_after_shortage(pieces=4)
        assert (
            service.size_factor
            == self.service_after_shortage(pieces=1).size_factor
        )
        assert service.size_factor > 1

    def service_after_shortage(
        self, pieces: int
    ) -> _stage_service.StageService:
        limits = dataclasses.replace(builders.BATCHES, room_bytes=400_000)
        dispatcher = _stage_dispatch.StageDispatcher(
            serving.PlanLimits(),
            _suspects.NoSuspects(),
            serving.EndpointStatements(),
        )
        dispatcher.update_endpoints('search', limits, (SEARCH,))
        job = _jobs.Job(builders.plan_request('one', builders.stage(pieces)), 0)
        dispatcher.dispatch([job], 0)
        (call,) = builders.calls(dispatcher.take_actions())
        dispatcher.services['search'].stage_endpoints[
            SEARCH.incarnation
        ].free_bytes = 0
        no_memory = (serving.PieceResult('', 'room'),) * len(call.pieces)
        dispatcher.finish_call(call.number, no_memory, 0.1, ran=True)
        return dispatcher.services['search']


class TestNewLimits:
    """A new configuration changes the batch size of a stage service."""

    def test_listed_endpoints_apply_new_limits(self) -> None:
        dispatcher = _stage_dispatch.StageDispatcher(
            serving.PlanLimits(),
            _suspects.NoSuspects(),
            serving.EndpointStatements(),
        )
        dispatcher.update_endpoints('search', builders.BATCHES, (SEARCH,))
        smaller = dataclasses.replace(builders.BATCHES, batch=2)
        dispatcher.update_endpoints('search', smaller, (SEARCH,))
        job = _jobs.Job(builders.plan_request('one', builders.stage(4)), 0)
        dispatcher.dispatch([job], 0)
        (call,) = builders.calls(dispatcher.take_actions())
        assert len(call.pieces) == 2
