"""Tests of requests that may wait: copies, takeover and transfer."""

import dataclasses
from collections.abc import Iterable

import hypothesis
import pytest
from hypothesis import strategies as st

from lentilspool import admission, kernel

PEERS = (
    admission.Peer('a', 'z1'),
    admission.Peer('b', 'z2'),
    admission.Peer('c', 'z1'),
)
REQUEST = admission.HeldRequest(
    'r1', 'day_plan', 't', b'{}', (('deposit', 'token'),)
)
NOTHING: list[object] = []
NO_ACTIONS = ()
DONE = kernel.Complete(b'{}')
LIMITS = admission.HandOffLimits(max_held=2, max_bytes=10, lease_s=3)


class Entry:
    """Both sides of one entry, with the shell's duties."""

    def __init__(self, peer: admission.Peer) -> None:
        self.peer = peer
        self.table = admission.HeldTable(peer, LIMITS)
        self.owner = admission.HandOff(self.table)
        self.standby = admission.Standby(self.table)


def entries() -> dict[str, Entry]:
    return {peer.name: Entry(peer) for peer in PEERS}


def accept(held: dict[str, Entry], now: float = 0) -> None:
    copy = held['a'].owner.accept(REQUEST, PEERS, now)
    assert copy == admission.Copy(REQUEST, 'b')
    assert held['b'].standby.store(REQUEST, 'a', now)
    assert held['a'].owner.confirm('r1', 'b', now)


def renew(held: dict[str, Entry], source: str, now: float) -> list[object]:
    actions: list[object] = []
    for renewal in held[source].owner.renewals():
        answer = held[renewal.to].standby.renewed(renewal.held, source, now)
        actions += held[source].owner.acknowledged(renewal, answer, now)
    return actions


class TestAccept:
    def test_needs_an_entry_in_another_zone(self) -> None:
        owner = entries()['a'].owner
        refused = owner.accept(REQUEST, PEERS[2:], 0)
        assert isinstance(refused, kernel.NotRun)

    @pytest.mark.parametrize(
        ('body', 'fits'), [(b'', 2), (b'x' * 11, 0), (b'x' * 6, 1)]
    )
    def test_memory_is_bounded(self, body: bytes, fits: int) -> None:
        owner = entries()['a'].owner
        for number in range(4):
            request = dataclasses.replace(
                REQUEST, request_id=f'r{number}', body=body
            )
            answer = owner.accept(request, PEERS, 0)
            assert isinstance(answer, admission.Copy) is (number < fits)


class TestTakeover:
    def test_standby_takes_over_at_the_end_of_the_lease(self) -> None:
        held = entries()
        accept(held)
        assert held['b'].standby.due(PEERS, 2.9) == NO_ACTIONS
        taken = dataclasses.replace(REQUEST, epoch=1)
        actions = held['b'].standby.due(PEERS, 3)
        assert actions[0] == admission.Run(taken)
        assert actions[0].request.tokens == REQUEST.tokens
        assert isinstance(actions[1], admission.Copy)

    def test_renewals_keep_the_owner(self) -> None:
        held = entries()
        accept(held)
        for now in range(1, 10):
            assert renew(held, 'a', now) == NOTHING
            assert held['b'].standby.due(PEERS, now) == NO_ACTIONS
        assert held['a'].owner.finish('r1', DONE, 10)

    def test_woken_owner_never_finishes_twice(self) -> None:
        held = entries()
        accept(held)
        held['b'].standby.due(PEERS, 3)
        assert held['a'].owner.on_pause() == (admission.Stop('r1'),)
        assert not held['a'].owner.finish('r1', DONE, 9)
        assert renew(held, 'a', 9) == [admission.Stop('r1')]
        assert not held['a'].owner.finish('r1', DONE, 9)
        assert held['a'].table.collect('r1') == admission.Collected(None, 'b')

    def test_woken_owner_goes_on_if_nobody_took_over(self) -> None:
        held = entries()
        accept(held)
        held['a'].owner.on_pause()
        assert renew(held, 'a', 2) == [admission.Run(REQUEST)]
        assert held['a'].owner.finish('r1', DONE, 2)

    def test_owner_without_lease_may_not_show_an_outcome(self) -> None:
        held = entries()
        accept(held)
        assert not held['a'].owner.finish('r1', DONE, 3)
        assert renew(held, 'a', 3) == NOTHING
        assert held['a'].owner.finish('r1', DONE, 3)

    @pytest.mark.parametrize('shared', [False, True])
    def test_finished_request_is_not_run_again(self, shared: bool) -> None:
        held = entries()
        accept(held)
        assert held['a'].owner.finish('r1', DONE, 1)
        for now in range(1, 10):
            renew(held, 'a', now)
            assert held['b'].standby.due(PEERS, now) == NO_ACTIONS
        copy = held['a'].owner.share('r1')
        if shared and copy:
            held['b'].standby.store(copy.request, 'a', 10, copy.outcome)
        actions = held['b'].standby.due(PEERS, 13)
        runs = [act for act in actions if isinstance(act, admission.Run)]
        assert len(runs) == (0 if shared else 1)

    def test_forgotten_request_leaves_the_standby(self) -> None:
        held = entries()
        accept(held)
        renew(held, 'a', 1)
        held['a'].table.forget('r1')
        renew(held, 'a', 2)
        assert held['b'].table.size == 0
        assert held['a'].owner.renewals() == NO_ACTIONS

    def test_outcome_is_kept_for_a_time(self) -> None:
        held = entries()
        accept(held)
        held['a'].owner.finish('r1', DONE, 1)
        other = dataclasses.replace(REQUEST, request_id='r2')
        held['a'].owner.accept(other, PEERS, 900.9)
        assert held['a'].table.collect('r1') == admission.Collected(DONE)
        held['a'].owner.accept(other, PEERS, 901)
        assert held['a'].table.collect('r1') is None

    def test_restarted_standby_gets_the_copy_again(self) -> None:
        held = entries()
        accept(held)
        held['b'] = Entry(PEERS[1])
        assert renew(held, 'a', 1) == [admission.Copy(REQUEST, 'b')]

    def test_woken_standby_waits_for_renewals(self) -> None:
        held = entries()
        accept(held)
        held['b'].standby.on_pause(20)
        assert held['b'].standby.due(PEERS, 20) == NO_ACTIONS
        assert len(held['b'].standby.due(PEERS, 23)) == 2

    def test_gone_standby_is_replaced(self) -> None:
        held = entries()
        accept(held)
        other = admission.Peer('d', 'z3')
        copies = held['a'].owner.replace_standby('b', (*PEERS, other))
        assert copies == (admission.Copy(REQUEST, 'd'),)


class TestTransfer:
    @pytest.mark.parametrize('finished', [False, True])
    def test_planned_stop_moves_everything(self, finished: bool) -> None:
        held = entries()
        accept(held)
        if finished:
            held['a'].owner.finish('r1', DONE, 1)
        transfer = held['a'].owner.transfers(PEERS[1:])[0]
        assert transfer.to == 'b'
        actions = held['b'].standby.receive(transfer, PEERS[1:], 1)
        assert held['a'].owner.transferred('r1', 'b') == admission.Stop('r1')
        assert held['a'].table.size == 0
        runs = [act for act in actions if isinstance(act, admission.Run)]
        assert len(runs) == (0 if finished else 1)
        expected = DONE if finished else None
        assert held['b'].table.collect('r1') == admission.Collected(expected)
        assert held['b'].standby.receive(transfer, PEERS, 1) == NO_ACTIONS


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('renew', 'due', 'due', 'pause', 'time', 'time', 'finish', 'move')
        ),
        st.sampled_from(('a', 'b', 'c')),
        st.booleans(),
    ),
    max_size=60,
)


class Interleaving:
    """Runs steps on three entries; counts the outcomes shown."""

    def __init__(self, owner_class: type[admission.HandOff]) -> None:
        self.now = 0.0
        self.shown = 0
        self.lost = False
        self.held = entries()
        for entry in self.held.values():
            entry.owner = owner_class(entry.table)
        accept(self.held)

    def run(self, steps: list[tuple[str, str, bool]]) -> int:
        for act, name, lost in steps:
            if act in {'renew', 'move'} and lost:
                continue
            self.lost = lost and act == 'due'
            getattr(self, act)(name)
        return self.shown

    def time(self, name: str) -> None:
        self.now += 1.1

    def renew(self, name: str) -> None:
        self.copy(name, renew(self.held, name, self.now))

    def due(self, name: str) -> None:
        self.copy(name, self.held[name].standby.due(PEERS, self.now))

    def pause(self, name: str) -> None:
        self.now += 4
        self.held[name].owner.on_pause()
        self.held[name].standby.on_pause(self.now)

    def finish(self, name: str) -> None:
        owner = self.held[name].owner
        self.shown += owner.finish('r1', DONE, self.now)
        copy = owner.share('r1')
        self.copy(name, [copy] if copy else [])

    def move(self, name: str) -> None:
        others = [peer for peer in PEERS if peer.name != name]
        for transfer in self.held[name].owner.transfers(others):
            target = self.held[transfer.to]
            actions = target.standby.receive(transfer, others, self.now)
            if 'r1' in target.table.roles():
                self.held[name].owner.transferred('r1', transfer.to)
            self.copy(transfer.to, actions)

    def copy(self, name: str, actions: Iterable[object]) -> None:
        if self.lost:
            return
        copies = [act for act in actions if isinstance(act, admission.Copy)]
        for made in copies:
            standby = self.held[made.to].standby
            if standby.store(made.request, name, self.now, made.outcome):
                self.held[name].owner.confirm('r1', made.to, self.now)


class UnfencedOwner(admission.HandOff):
    """Shows its outcome without asking for the lease."""

    def finish(
        self, request_id: str, outcome: kernel.Outcome, now: float
    ) -> bool:
        return super().finish(request_id, outcome, float('-inf'))


class TestInterleavings:
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=500
    )
    @hypothesis.given(steps=STEPS)
    def test_at_most_one_entry_shows_an_outcome(
        self, steps: list[tuple[str, str, bool]]
    ) -> None:
        run = Interleaving(admission.HandOff)
        assert run.run(steps) <= 1
        assert any('r1' in entry.table.roles() for entry in run.held.values())

    @pytest.mark.parametrize(
        ('owner_class', 'shown'),
        [(admission.HandOff, 1), (UnfencedOwner, 2)],
    )
    def test_finds_the_fault_without_the_fence(
        self, owner_class: type[admission.HandOff], shown: int
    ) -> None:
        names = ('time', 'time', 'time')
        steps = [(name, 'a', False) for name in names]
        steps += [('due', 'b', True)]
        steps += [('finish', 'a', False), ('finish', 'b', False)]
        assert Interleaving(owner_class).run(steps) == shown
