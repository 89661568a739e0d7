"""Tests of stage endpoints whose room for results is the scarce thing."""

import dataclasses

from lentilspool import serving
from lentilspool.serving import _jobs, _stage_dispatch, _stage_service
from lentilspool.serving.tests import builders

SEARCH = builders.endpoint('s1', 'search')
RANK = builders.endpoint('r1', 'rank')
ENGINE = builders.endpoint('e1', 'model')
LARGE_BYTES = 3_000_000


def end_call(
    planner: serving.Planner, call: serving.StartCall, now: float
) -> None:
    planner.call_ended(call.number, builders.made(call), now)


class TestLostAnswer:
    """Calls run at their endpoint, and their answers never come."""

    def test_endpoint_gets_calls_again_after_the_usual_block(self) -> None:
        planner = builders.planner(builders.directory(SEARCH, ENGINE))
        for number in range(4):
            ask = builders.ask(f'{number}', builders.stage(4), target_s=6)
            planner.submit(ask, 0)
        assert len(builders.calls(planner.step(0))) == 1
        assert not builders.calls(planner.step(0.7))
        assert len(builders.calls(planner.step(2))) == 1

    def test_late_answer_of_the_lost_call_counts(self) -> None:
        planner = builders.planner(builders.directory(SEARCH, ENGINE))
        planner.submit(builders.ask('one', builders.stage(1)), 0)
        (call,) = builders.calls(planner.step(0))
        planner.step(0.7)
        end_call(planner, call, 0.8)
        assert builders.runs(planner.step(0.8))


class TestReadInputs:
    """Results are freed once the last call that reads them is under way."""

    def planner(self) -> tuple[serving.Planner, serving.StartCall]:
        planner = builders.planner(builders.directory(SEARCH, RANK, ENGINE))
        stages = (builders.stage(1), builders.stage(2, 'rank', (0,)))
        planner.submit(builders.ask('one', *stages), 0)
        (first,) = builders.calls(planner.step(0))
        end_call(planner, first, 0.2)
        (second,) = builders.calls(planner.step(0.2))
        assert not builders.frees(planner.step(0.21))
        (freed,) = builders.frees(planner.step(0.32))
        assert freed.handles == (builders.made(first)[0].handle,)
        return planner, second

    def test_request_goes_on_when_the_call_ends(self) -> None:
        planner, second = self.planner()
        end_call(planner, second, 0.4)
        actions = planner.step(0.4)
        assert builders.runs(actions) and not builders.frees(actions)

    def test_inputs_are_made_again_when_the_call_fails(self) -> None:
        planner, second = self.planner()
        planner.call_ended(second.number, None, 0.4)
        (again,) = builders.calls(planner.step(0.4))
        assert again.endpoint == SEARCH
        end_call(planner, again, 0.6)
        (last,) = builders.calls(planner.step(1.5))
        handles = {one.inputs for one in last.pieces}
        assert handles == {(builders.made(again)[0].handle,)}

    def test_inputs_are_made_again_when_the_call_was_rejected(self) -> None:
        planner, second = self.planner()
        planner.call_ended(second.number, None, 0.4, ran=False)
        (again,) = builders.calls(planner.step(0.4))
        assert again.endpoint == SEARCH

    def test_inputs_of_pieces_that_wait_are_kept(self) -> None:
        planner = builders.planner(builders.directory(SEARCH, RANK, ENGINE))
        stages = (builders.stage(1), builders.stage(6, 'rank', (0,)))
        planner.submit(builders.ask('one', *stages), 0)
        (first,) = builders.calls(planner.step(0))
        end_call(planner, first, 0.2)
        (second,) = builders.calls(planner.step(0.2))
        assert len(second.pieces) == builders.BATCHES.batch
        assert not builders.frees(planner.step(0.4))


class TestSideBranch:
    """A chain of stages beside one stage with large results."""

    def test_large_results_are_made_when_the_chain_is_almost_done(
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
        planner = builders.planner(builders.directory(SEARCH, RANK, ENGINE))
        ask = builders.ask('one', side, *chain, target_s=4)
        planner.submit(ask, 0)
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
    """A burst makes some requests late after their first stage."""

    def test_late_request_ends_before_new_ones_begin(self) -> None:
        planner = builders.planner(builders.directory(SEARCH, RANK, ENGINE))
        chain = (builders.stage(1), builders.stage(4, 'rank', (0,)))
        planner.submit(builders.ask('late', *chain, target_s=0.5), 0)
        (first,) = builders.calls(planner.step(0))
        planner.submit(builders.ask('new', builders.stage(4, 'rank')), 0.45)
        end_call(planner, first, 0.5)
        (second,) = builders.calls(planner.step(0.5))
        assert {one.request_id for one in second.pieces} == {'id-late'}


class TestLackOfRoom:
    """An endpoint has less room than booked, for several pieces of a call."""

    def test_one_call_counts_as_one_lack(self) -> None:
        service = self.short_call(pieces=4)
        assert service.size_factor == self.short_call(pieces=1).size_factor
        assert service.size_factor > 1

    def short_call(self, pieces: int) -> _stage_service.StageService:
        limits = dataclasses.replace(builders.BATCHES, room_bytes=400_000)
        dispatcher = _stage_dispatch.StageDispatcher(serving.PlanLimits())
        dispatcher.update_endpoints('search', limits, (SEARCH,))
        job = _jobs.Job(builders.ask('one', builders.stage(pieces)), 0)
        dispatcher.dispatch([job], 0)
        (call,) = builders.calls(dispatcher.take_actions())
        dispatcher.services['search'].stage_endpoints[
            SEARCH.incarnation
        ].free_bytes = 0
        lacking = (serving.PieceResult('', 'room'),) * len(call.pieces)
        dispatcher.finish_call(call.number, lacking, 0.1, ran=True)
        return dispatcher.services['search']


class TestNewLimits:
    """A configuration changes what a stage service takes in a call."""

    def test_endpoints_that_stay_follow_it(self) -> None:
        dispatcher = _stage_dispatch.StageDispatcher(serving.PlanLimits())
        dispatcher.update_endpoints('search', builders.BATCHES, (SEARCH,))
        smaller = dataclasses.replace(builders.BATCHES, batch=2)
        dispatcher.update_endpoints('search', smaller, (SEARCH,))
        job = _jobs.Job(builders.ask('one', builders.stage(4)), 0)
        dispatcher.dispatch([job], 0)
        (call,) = builders.calls(dispatcher.take_actions())
        assert len(call.pieces) == 2
