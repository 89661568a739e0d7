"""Random interleavings of faults, checked against invariants.

Whatever is lost, replayed, paused, partitioned or restarted: the number of a
process never decreases, processes agree on verdicts and digests, and all
reach the end of the log once the faults are repaired.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lentilspool import config
from lentilspool.config.tests import fleet, samples

_FLEET_SIZE = 5
_NAMES = st.sampled_from([f'p{index}' for index in range(_FLEET_SIZE)])
_DEEP_SEED = int(os.environ.get('LENTILSPOOL_DEEP_SEED', '0'))


class FleetMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fleet = fleet.Fleet(_FLEET_SIZE, fleet.Service(samples.base()))
        self.last_numbers: dict[tuple[str, int], int] = {}
        self.verdicts: dict[int, config.Verdict] = {}
        self.digests: dict[int, str] = {}

    @stateful.rule(
        lag=st.integers(0, 3),
        team=st.sampled_from('ab'),
        padding=st.sampled_from([0, 0, 9_000]),
        stale=st.booleans(),
    )
    def publish(self, lag: int, team: str, padding: int, stale: bool) -> None:
        number = len(self.fleet.service.log) + 1
        merge = {'teams': {team: {'share': number}}}
        patch = config.Patch(
            number, max(1, number - 1 - lag), 'a' * padding, merge
        )
        self.fleet.service.publish(config.encode_patch(patch), stale)

    @stateful.rule()
    def publish_base(self) -> None:
        number = len(self.fleet.service.log) + 1
        self.fleet.service.publish(samples.base(number))

    @stateful.rule(share=st.floats(0, 1), up=st.booleans())
    def degrade_service(self, share: float, up: bool) -> None:
        service = self.fleet.service
        service.up = up
        service.visible = 1 + int(share * (len(service.log) - 1))

    @stateful.rule(
        index=st.integers(0, 1000),
        fate=st.sampled_from(['deliver', 'lose', 'replay', 'replay']),
    )
    def deliver_lose_or_replay(self, index: int, fate: str) -> None:
        cluster = self.fleet
        if fate == 'replay' and cluster.delivered:
            cluster.replay(index % len(cluster.delivered))
        elif fate == 'deliver' and cluster.packets:
            cluster.deliver(index % len(cluster.packets))
        elif fate == 'lose' and cluster.packets:
            cluster.packets.pop(index % len(cluster.packets))

    @stateful.rule(seconds=st.sampled_from([0.25, 3, 40]))
    def step(self, seconds: float) -> None:
        self.fleet.step(seconds)

    @stateful.rule(seconds=st.sampled_from([0.5, 3]))
    def run_without_loss(self, seconds: float) -> None:
        self.fleet.run_without_loss(seconds)

    @stateful.rule(name=_NAMES, names=st.sets(_NAMES))
    def pause_or_partition(self, name: str, names: set[str]) -> None:
        if len(names) > 2:
            self.fleet.partitioned = names
        else:
            self.fleet.paused ^= {name}

    @stateful.rule(name=_NAMES)
    def crash(self, name: str) -> None:
        self.fleet.start(name)

    @stateful.rule(
        name=_NAMES, partitioned=st.sets(_NAMES), share=st.floats(0, 1)
    )
    def restarted_process_is_not_behind_its_peers(
        self, name: str, partitioned: set[str], share: float
    ) -> None:
        cluster = self.fleet
        self._repair()
        self.publish(0, 'a', 0, stale=False)
        cluster.run_without_loss(3)
        self.degrade_service(share, up=True)
        cluster.partitioned = partitioned
        cluster.packets.clear()
        cluster.start(name)
        peers = {
            peer for peer in cluster.names if cluster.connected(peer, name)
        }
        highest = max(cluster.replicas[peer].number for peer in peers)
        cluster.run_without_loss(5)
        assert cluster.ready_at.get(name, highest) >= highest

    @stateful.rule(silent=st.sets(_NAMES, max_size=3))
    def silent_readers_are_taken_over(self, silent: set[str]) -> None:
        self._repair()
        self.fleet.paused = silent
        self.publish_base()
        self.fleet.run_without_loss(12)
        head = len(self.fleet.service.log)
        for name in set(self.fleet.names) - silent:
            assert self.fleet.replicas[name].number == head

    @stateful.invariant()
    def numbers_never_decrease(self) -> None:
        for name, replica in self.fleet.replicas.items():
            key = (name, self.fleet.incarnations[name])
            before = self.last_numbers.setdefault(key, 0)
            assert replica.number >= before
            self.last_numbers[key] = replica.number

    @stateful.invariant()
    def verdicts_are_equal(self) -> None:
        for replica in self.fleet.replicas.values():
            history = replica.history
            for verdict in history.verdicts if history else ():
                first = self.verdicts.setdefault(verdict.number, verdict)
                assert first == verdict
            if history:
                number = history.state.number
                digest = self.digests.setdefault(number, history.state.digest)
                assert digest == history.state.digest

    @stateful.invariant()
    def serves_only_with_a_configuration(self) -> None:
        for name, synchronizer in self.fleet.synchronizers.items():
            assert not synchronizer.ready or self.fleet.replicas[name].state

    def teardown(self) -> None:
        self._repair()
        self.fleet.run_without_loss(6)
        head = len(self.fleet.service.log)
        numbers = {held.number for held in self.fleet.replicas.values()}
        assert numbers == {head}
        assert all(
            synchronizer.ready
            for synchronizer in self.fleet.synchronizers.values()
        )
        self.numbers_never_decrease()
        self.verdicts_are_equal()

    def _repair(self) -> None:
        self.fleet.paused = set()
        self.fleet.partitioned = set()
        self.fleet.service.up = True
        self.fleet.service.visible = len(self.fleet.service.log)


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=40,
)


class TestDeep:
    def test_deep_interleavings(self) -> None:
        if _DEEP_SEED:
            machine = hypothesis.seed(_DEEP_SEED)(FleetMachine)
            stateful.run_state_machine_as_test(
                machine,
                settings=hypothesis.settings(
                    deadline=None, max_examples=300, stateful_step_count=60
                ),
            )
