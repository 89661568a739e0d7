import dataclasses
import os

import hypothesis
from hypothesis import stateful, strategies

from lentilspool import membership

_NAMES = ('a', 'b', 'c')
_LEASE_S = 6
_DEEP_SEED = int(os.environ.get('LENTILSPOOL_DEEP_SEED', '0'))
_LIMITS = membership.MembershipLimits(
    leases=membership.LeaseLimits(max_lease_s=8, retention_s=1000)
)


@dataclasses.dataclass
class _Sidecar:
    incarnation: int = 1
    sequence: int = 0
    leaving: bool = False


class Interleavings(stateful.RuleBasedStateMachine):
    """Runs sends, deliveries, pauses, host lists and restarts in any order.

    Every heartbeat that was sent may arrive at any time and any number of
    times. ``_newest`` is the model: the newest heartbeat received from
    each sidecar, which must determine the usable members.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._view = membership.Membership(
            membership.ProcessLocation('e1', 'z1'), 0, _LIMITS
        )
        self._sidecars = {name: _Sidecar() for name in _NAMES}
        self._sent: list[membership.Heartbeat] = []
        self._newest: dict[str, membership.Heartbeat] = {}
        self._received_at: dict[str, float] = {}
        self._listed_leaving: set[str] = set()

    @property
    def has_sent(self) -> bool:
        return bool(self._sent)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def send(self, name: str) -> None:
        sidecar = self._sidecars[name]
        sidecar.sequence += 1
        self._sent.append(
            membership.Heartbeat(
                name,
                sidecar.incarnation,
                sidecar.sequence,
                leaving=sidecar.leaving,
                lease_ms=_LEASE_S * 1000,
                zone='z1',
                pool='p',
                address='127.0.0.1',
                port=1,
            )
        )

    @stateful.precondition(lambda machine: machine.has_sent)
    @stateful.rule(index=strategies.integers(0, 10**6))
    def deliver(self, index: int) -> None:
        heartbeat = self._sent[index % len(self._sent)]
        self._view.receive(heartbeat, self._now)
        held = self._newest.get(heartbeat.process)
        if held is None or _version(heartbeat) > _version(held):
            self._newest[heartbeat.process] = heartbeat
            self._received_at[heartbeat.process] = self._now

    @stateful.precondition(lambda machine: machine.has_sent)
    @stateful.rule()
    def deliver_last(self) -> None:
        self.deliver(len(self._sent) - 1)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def restart_with_late_heartbeat(self, name: str) -> None:
        """Deliver a new incarnation's heartbeat, then the previous one's last.

        The late heartbeat must not bring the old incarnation back.
        """
        for _ in range(2):
            self.send(name)
        previous = len(self._sent) - 1
        self.restart(name)
        self.send(name)
        self.deliver_last()
        self.deliver(previous)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def leave(self, name: str) -> None:
        self._sidecars[name].leaving = True

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def restart(self, name: str) -> None:
        previous = self._sidecars[name].incarnation
        self._sidecars[name] = _Sidecar(incarnation=previous + 1)

    @stateful.rule(seconds=strategies.sampled_from((0.25, 1.0, 1.5)))
    def advance(self, seconds: float) -> None:
        self._now += seconds
        assert self._view.run_checks(self._now) == 0

    @stateful.rule(seconds=strategies.sampled_from((1.75, 5.0, 60.0)))
    def pause(self, seconds: float) -> None:
        self._now += seconds
        assert self._view.run_checks(self._now) == seconds
        self._received_at.clear()
        assert not self._view.usable_members('p', self._now)

    @stateful.rule(
        listed=strategies.sets(strategies.sampled_from(_NAMES)),
        leaving=strategies.sets(strategies.sampled_from(_NAMES)),
    )
    def list_hosts(self, listed: set[str], leaving: set[str]) -> None:
        self._listed_leaving = listed & leaving
        self._view.update_hosts(
            membership.ListedHost(
                name,
                '127.0.0.1',
                1,
                'z1',
                'p',
                state=membership.HostState.leaving
                if name in leaving
                else membership.HostState.live,
            )
            for name in sorted(listed)
        )

    @stateful.invariant()
    def usable_members_match_newest_heartbeats(self) -> None:
        expected = {
            name: self._newest[name].incarnation
            for name, received_at in self._received_at.items()
            if self._now < received_at + _LEASE_S
            and not self._newest[name].leaving
            and name not in self._listed_leaving
        }
        usable = {
            member.name: member.incarnation
            for member in self._view.usable_members('p', self._now)
        }
        assert usable == expected

    @stateful.invariant()
    def candidates_are_not_listed_as_leaving(self) -> None:
        candidate_names = {
            hint.name for hint in self._view.connection_targets('p', self._now)
        }
        assert not candidate_names & self._listed_leaving


def _version(heartbeat: membership.Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.sequence


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)


class TestDeep:
    def test_deep_interleavings(self) -> None:
        if _DEEP_SEED:
            machine = hypothesis.seed(_DEEP_SEED)(Interleavings)
            stateful.run_state_machine_as_test(
                machine,
                settings=hypothesis.settings(
                    deadline=None, max_examples=500, stateful_step_count=60
                ),
            )
