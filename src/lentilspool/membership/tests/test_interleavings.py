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
    """Any order of sends, deliveries, pauses, lists and replacements.

    Every heartbeat that was ever sent may arrive at any time, any number
    of times. ``_newest`` is the model: what the entry must believe.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._view = membership.Membership(
            membership.Place('e1', 'z1'), 0, _LIMITS
        )
        self._sidecars = {name: _Sidecar() for name in _NAMES}
        self._sent: list[membership.Heartbeat] = []
        self._newest: dict[str, membership.Heartbeat] = {}
        self._heard_at: dict[str, float] = {}
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
    @stateful.rule(pick=strategies.integers(0, 10**6))
    def deliver(self, pick: int) -> None:
        heartbeat = self._sent[pick % len(self._sent)]
        self._view.receive(heartbeat, self._now)
        held = self._newest.get(heartbeat.process)
        if held is None or _age(heartbeat) > _age(held):
            self._newest[heartbeat.process] = heartbeat
            self._heard_at[heartbeat.process] = self._now

    @stateful.precondition(lambda machine: machine.has_sent)
    @stateful.rule()
    def deliver_last(self) -> None:
        self.deliver(len(self._sent) - 1)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def replace_and_tell(self, name: str) -> None:
        """The first of the new life arrives, then the last of the former."""
        for _ in range(2):
            self.send(name)
        former = len(self._sent) - 1
        self.replace(name)
        self.send(name)
        self.deliver_last()
        self.deliver(former)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def leave(self, name: str) -> None:
        self._sidecars[name].leaving = True

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def replace(self, name: str) -> None:
        former = self._sidecars[name].incarnation
        self._sidecars[name] = _Sidecar(incarnation=former + 1)

    @stateful.rule(seconds=strategies.sampled_from((0.25, 1.0, 1.5)))
    def run_on(self, seconds: float) -> None:
        self._now += seconds
        assert self._view.beat(self._now) == 0

    @stateful.rule(seconds=strategies.sampled_from((1.75, 5.0, 60.0)))
    def pause(self, seconds: float) -> None:
        self._now += seconds
        assert self._view.beat(self._now) == seconds
        self._heard_at.clear()
        assert not self._view.usable('p', self._now)

    @stateful.rule(
        listed=strategies.sets(strategies.sampled_from(_NAMES)),
        leaving=strategies.sets(strategies.sampled_from(_NAMES)),
    )
    def list_hosts(self, listed: set[str], leaving: set[str]) -> None:
        self._listed_leaving = listed & leaving
        self._view.update_hosts(
            membership.HostHint(
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
    def usable_is_what_was_last_heard(self) -> None:
        expected = {
            name: self._newest[name].incarnation
            for name, heard_at in self._heard_at.items()
            if self._now < heard_at + _LEASE_S
            and not self._newest[name].leaving
            and name not in self._listed_leaving
        }
        usable = {
            member.name: member.incarnation
            for member in self._view.usable('p', self._now)
        }
        assert usable == expected

    @stateful.invariant()
    def contacts_are_listed_and_not_leaving(self) -> None:
        contacts = {hint.name for hint in self._view.candidates('p', self._now)}
        assert not contacts & self._listed_leaving


def _age(heartbeat: membership.Heartbeat) -> tuple[int, int]:
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
