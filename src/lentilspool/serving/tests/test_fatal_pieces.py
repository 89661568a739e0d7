"""Pieces that end each stage endpoint that runs them.

The planner sends the pieces of a call without an answer again, so one request
can end one endpoint after another, with the pieces of other requests.
"""

import collections

from lentilspool import serving
from lentilspool.serving.tests import builders

FATAL = 'fatal'
NEIGHBOURS = 12
STEP_S = 0.4


class RecordedDeaths:
    """Suspects that are refused after three deaths."""

    def __init__(self) -> None:
        self.deaths: collections.Counter[str] = collections.Counter()
        self.version = 0

    def refusal_s(self, content: str) -> float | None:
        return 60 if self.deaths[content] >= 3 else None

    def prompt_refusal_s(self, parts: tuple[str, ...]) -> float | None:
        """Return None: every prompt runs."""

    def open_deaths(self, content: str) -> int:
        return self.deaths[content]

    def runs_apart(self, content: str) -> bool:
        return self.deaths[content] >= 2

    def record_completion(self, content: str, service: str) -> None:
        self.deaths.pop(content)
        self.version += 1

    def record_death(self, contents: frozenset[str]) -> None:
        self.deaths.update(contents)
        self.version += 1


class World:
    """A planner whose endpoints end when they run a fatal piece."""

    def __init__(self) -> None:
        self.suspects = RecordedDeaths()
        self.listed = builders.endpoint_index(
            builders.endpoint('e1', 'model'),
            builders.endpoint('s0', 'search'),
            builders.endpoint('s1', 'search'),
        )
        self.planner = serving.Planner(self.listed, None, self.suspects)
        self.planner.configure(builders.SERVICES)
        self.ended = 0
        self.actions: list[serving.Action] = []
        self._open_calls: list[serving.StartCall] = []

    def submit(self, content: str, now: float, pieces: int = 1) -> None:
        plan_request = builders.plan_request(
            f'{content}-{now}',
            builders.stage(pieces),
            content=content,
            target_s=60,
            deadline_s=60,
        )
        self.planner.submit(plan_request, now)

    def step(self, now: float) -> None:
        """End the calls of the step before, and start calls."""
        for call in self._open_calls:
            fatal = any(FATAL in one.request_id for one in call.pieces)
            if fatal:
                self._replace(call.endpoint)
            outcome = None if fatal else builders.results_of(call)
            self.planner.call_ended(call.number, outcome, now)
        actions = self.planner.step(now)
        self.actions += actions
        self._open_calls = builders.calls(actions)
        for action in actions:
            if isinstance(action, serving.CheckEndpoint):
                self.suspects.record_death(action.contents)
                self.planner.check_ended(action.number)

    def _replace(self, endpoint: serving.Endpoint) -> None:
        self.ended += 1
        self.listed.remove(endpoint.name)
        self.listed.put(builders.endpoint(f's{self.ended + 1}', 'search'))


class TestFatalPieces:
    def run(self, fatal_pieces: int) -> World:
        world = World()
        world.submit(FATAL, 0, fatal_pieces)
        for number in range(NEIGHBOURS):
            world.submit(f'neighbour-{number}', 0)
        for step in range(40):
            world.step(step * STEP_S)
        return world

    def test_request_ends_three_endpoints_at_most(self) -> None:
        assert self.run(1).ended == 3

    def test_request_with_many_pieces_ends_no_more(self) -> None:
        """Its first pieces may run at all endpoints before the first ends."""
        assert self.run(20).ended <= 4

    def test_request_is_refused_and_its_neighbours_are_served(self) -> None:
        world = self.run(1)
        (refusal,) = builders.refusals(world.actions)
        assert refusal.key.startswith(FATAL)
        assert (refusal.reason, refusal.retry_after_s) == ('quarantined', 60)
        assert len(builders.runs(world.actions)) == NEIGHBOURS

    def test_repeat_is_refused_at_once(self) -> None:
        world = self.run(1)
        world.actions.clear()
        world.submit(FATAL, 50)
        world.step(50)
        assert builders.refusals(world.actions)
        assert not builders.calls(world.actions)

    def test_finished_stages_clear_their_service(self) -> None:
        world = World()
        world.suspects.record_death(frozenset(('neighbour',)))
        world.submit('neighbour', 0)
        world.step(0)
        assert world.suspects.deaths['neighbour']
        world.step(STEP_S)
        assert not world.suspects.deaths['neighbour']


class TestSuspectsApart:
    """Two suspects in one call would both be blamed for its end."""

    def test_suspects_share_no_call(self) -> None:
        world = World()
        for name in ('a', 'b', 'c'):
            for _ in range(2):
                world.suspects.record_death(frozenset((name,)))
            world.submit(name, 0, 2)
        actions = world.planner.step(0)
        for call in builders.calls(actions):
            assert len({piece.request_id for piece in call.pieces}) == 1

    def test_suspects_share_no_engine_if_another_is_free(self) -> None:
        world = World()
        world.listed.put(builders.endpoint('e2', 'model'))
        for name in ('a', 'b'):
            for _ in range(2):
                world.suspects.record_death(frozenset((name,)))
            plan_request = builders.plan_request(
                name, content=name, prompt=builders.prompt(shared=13_000)
            )
            world.planner.submit(plan_request, 0)
        used = {
            run.endpoint.name for run in builders.runs(world.planner.step(0))
        }
        assert used == {'e1', 'e2'}
