"""Tests of held requests: copies, takeover and transfer."""

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
NO_RENEWAL_ACTIONS: list[object] = []
NO_ACTIONS = ()
DONE = kernel.Complete(b'{}')
LIMITS = admission.HandOffLimits(max_held=2, max_bytes=10, lease_s=3)


class Entry:
    """One entry, with its owner's and its standby's side."""

    def __init__(self, peer: admission.Peer) -> None:
        self.peer = peer
        self.table = admission.HeldTable(peer, LIMITS)
        self.owner = admission.HandOff(self.table)
        self.standby = admission.Standby(self.table)


def make_entries() -> dict[str, Entry]:
    return {peer.name: Entry(peer) for peer in PEERS}


def accept(entries: dict[str, Entry], now: float = 0) -> None:
    copy = entries['a'].owner.accept(REQUEST, PEERS, now)
    assert copy == admission.SendCopy(REQUEST, 'b')
    assert entries['b'].standby.store(REQUEST, 'a', now)
    assert entries['a'].owner.on_copy_stored('r1', 'b', now)


def renew(held: dict[str, Entry], owner_name: str, now: float) -> list[object]:
    actions: list[object] = []
    for renewal in held[owner_name].owner.renewals():
        answer = held[renewal.to].standby.on_renewal(
            renewal.held, owner_name, now
        )
        actions += held[owner_name].owner.on_renewal_answer(
            renewal, answer, now
        )
    return actions


class TestAccept:
    def test_needs_an_entry_in_another_zone(self) -> None:
        owner = make_entries()['a'].owner
        refused = owner.accept(REQUEST, PEERS[2:], 0)
        assert isinstance(refused, kernel.NotRun)

    @pytest.mark.parametrize(
        ('body', 'fits'), [(b'', 2), (b'x' * 11, 0), (b'x' * 6, 1)]
    )
    def test_number_and_bytes_of_requests_are_bounded(
        self, body: bytes, fits: int
    ) -> None:
        owner = make_entries()['a'].owner
        for number in range(4):
            request = dataclasses.replace(
                REQUEST, request_id=f'r{number}', body=body
            )
            answer = owner.accept(request, PEERS, 0)
            assert isinstance(answer, admission.SendCopy) is (number < fits)


class TestTakeover:
    def test_standby_takes_over_at_the_end_of_the_lease(self) -> None:
        entries = make_entries()
        accept(entries)
        assert entries['b'].standby.take_over_expired(PEERS, 2.9) == NO_ACTIONS
        next_epoch_request = dataclasses.replace(REQUEST, epoch=1)
        actions = entries['b'].standby.take_over_expired(PEERS, 3)
        assert actions[0] == admission.RunRequest(next_epoch_request)
        assert actions[0].request.tokens == REQUEST.tokens
        assert isinstance(actions[1], admission.SendCopy)

    def test_no_takeover_while_renewals_arrive(self) -> None:
        entries = make_entries()
        accept(entries)
        for now in range(1, 10):
            assert renew(entries, 'a', now) == NO_RENEWAL_ACTIONS
            assert (
                entries['b'].standby.take_over_expired(PEERS, now) == NO_ACTIONS
            )
        assert entries['a'].owner.finish('r1', DONE, 10)

    def test_owner_does_not_finish_after_a_takeover_during_its_pause(
        self,
    ) -> None:
        entries = make_entries()
        accept(entries)
        entries['b'].standby.take_over_expired(PEERS, 3)
        assert entries['a'].owner.on_pause() == (admission.StopRequest('r1'),)
        assert not entries['a'].owner.finish('r1', DONE, 9)
        assert renew(entries, 'a', 9) == [admission.StopRequest('r1')]
        assert not entries['a'].owner.finish('r1', DONE, 9)
        assert entries['a'].table.collect('r1') == admission.CollectResult(
            None, 'b'
        )

    def test_paused_owner_resumes_without_a_takeover(self) -> None:
        entries = make_entries()
        accept(entries)
        entries['a'].owner.on_pause()
        assert renew(entries, 'a', 2) == [admission.RunRequest(REQUEST)]
        assert entries['a'].owner.finish('r1', DONE, 2)

    def test_owner_without_lease_may_not_return_an_outcome(self) -> None:
        entries = make_entries()
        accept(entries)
        assert not entries['a'].owner.finish('r1', DONE, 3)
        assert renew(entries, 'a', 3) == NO_RENEWAL_ACTIONS
        assert entries['a'].owner.finish('r1', DONE, 3)

    @pytest.mark.parametrize('shared', [False, True])
    def test_finished_request_is_not_run_again(self, shared: bool) -> None:
        entries = make_entries()
        accept(entries)
        assert entries['a'].owner.finish('r1', DONE, 1)
        for now in range(1, 10):
            renew(entries, 'a', now)
            assert (
                entries['b'].standby.take_over_expired(PEERS, now) == NO_ACTIONS
            )
        copy = entries['a'].owner.outcome_copy('r1')
        if shared and copy:
            entries['b'].standby.store(copy.request, 'a', 10, copy.outcome)
        actions = entries['b'].standby.take_over_expired(PEERS, 13)
        runs = [
            action
            for action in actions
            if isinstance(action, admission.RunRequest)
        ]
        assert len(runs) == (0 if shared else 1)

    def test_standby_drops_copy_of_a_forgotten_request(self) -> None:
        entries = make_entries()
        accept(entries)
        renew(entries, 'a', 1)
        entries['a'].table.forget('r1')
        renew(entries, 'a', 2)
        assert entries['b'].table.size == 0
        assert entries['a'].owner.renewals() == NO_ACTIONS

    def test_outcome_is_kept_for_900_seconds(self) -> None:
        entries = make_entries()
        accept(entries)
        entries['a'].owner.finish('r1', DONE, 1)
        other = dataclasses.replace(REQUEST, request_id='r2')
        entries['a'].owner.accept(other, PEERS, 900.9)
        assert entries['a'].table.collect('r1') == admission.CollectResult(DONE)
        entries['a'].owner.accept(other, PEERS, 901)
        assert entries['a'].table.collect('r1') is None

    def test_restarted_standby_gets_the_copy_again(self) -> None:
        entries = make_entries()
        accept(entries)
        entries['b'] = Entry(PEERS[1])
        assert renew(entries, 'a', 1) == [admission.SendCopy(REQUEST, 'b')]

    def test_paused_standby_restarts_leases(self) -> None:
        entries = make_entries()
        accept(entries)
        entries['b'].standby.on_pause(20)
        assert entries['b'].standby.take_over_expired(PEERS, 20) == NO_ACTIONS
        assert len(entries['b'].standby.take_over_expired(PEERS, 23)) == 2

    def test_lost_standby_is_replaced(self) -> None:
        entries = make_entries()
        accept(entries)
        other = admission.Peer('d', 'z3')
        copies = entries['a'].owner.replace_standby('b', (*PEERS, other))
        assert copies == (admission.SendCopy(REQUEST, 'd'),)


class TestTransfer:
    @pytest.mark.parametrize('finished', [False, True])
    def test_planned_stop_transfers_owned_requests(
        self, finished: bool
    ) -> None:
        entries = make_entries()
        accept(entries)
        if finished:
            entries['a'].owner.finish('r1', DONE, 1)
        transfer = entries['a'].owner.transfers(PEERS[1:])[0]
        assert transfer.to == 'b'
        actions = entries['b'].standby.accept_transfer(transfer, PEERS[1:], 1)
        assert entries['a'].owner.on_transfer_acknowledged(
            'r1', 'b'
        ) == admission.StopRequest('r1')
        assert entries['a'].table.size == 0
        runs = [
            action
            for action in actions
            if isinstance(action, admission.RunRequest)
        ]
        assert len(runs) == (0 if finished else 1)
        expected = DONE if finished else None
        assert entries['b'].table.collect('r1') == admission.CollectResult(
            expected
        )
        assert (
            entries['b'].standby.accept_transfer(transfer, PEERS, 1)
            == NO_ACTIONS
        )


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


class Simulation:
    """Runs random steps on three entries; counts the outcomes returned.

    The steps are the methods named in ``STEPS``. A lost ``renew`` or
    ``move`` is skipped; after a lost ``due``, its copies are not sent.
    """

    def __init__(self, owner_class: type[admission.HandOff]) -> None:
        self.now = 0.0
        self.outcomes_returned = 0
        self.is_lost = False
        self.entries = make_entries()
        for entry in self.entries.values():
            entry.owner = owner_class(entry.table)
        accept(self.entries)

    def run(self, steps: list[tuple[str, str, bool]]) -> int:
        for action, name, is_lost in steps:
            if action in {'renew', 'move'} and is_lost:
                continue
            self.is_lost = is_lost and action == 'due'
            getattr(self, action)(name)
        return self.outcomes_returned

    def time(self, name: str) -> None:
        self.now += 1.1

    def renew(self, name: str) -> None:
        self.copy(name, renew(self.entries, name, self.now))

    def due(self, name: str) -> None:
        self.copy(
            name, self.entries[name].standby.take_over_expired(PEERS, self.now)
        )

    def pause(self, name: str) -> None:
        self.now += 4
        self.entries[name].owner.on_pause()
        self.entries[name].standby.on_pause(self.now)

    def finish(self, name: str) -> None:
        owner = self.entries[name].owner
        self.outcomes_returned += owner.finish('r1', DONE, self.now)
        copy = owner.outcome_copy('r1')
        self.copy(name, [copy] if copy else [])

    def move(self, name: str) -> None:
        others = [peer for peer in PEERS if peer.name != name]
        for transfer in self.entries[name].owner.transfers(others):
            target = self.entries[transfer.to]
            actions = target.standby.accept_transfer(transfer, others, self.now)
            if 'r1' in target.table.roles():
                self.entries[name].owner.on_transfer_acknowledged(
                    'r1', transfer.to
                )
            self.copy(transfer.to, actions)

    def copy(self, name: str, actions: Iterable[object]) -> None:
        if self.is_lost:
            return
        copies = [
            action
            for action in actions
            if isinstance(action, admission.SendCopy)
        ]
        for copy_to_send in copies:
            standby = self.entries[copy_to_send.to].standby
            if standby.store(
                copy_to_send.request, name, self.now, copy_to_send.outcome
            ):
                self.entries[name].owner.on_copy_stored(
                    'r1', copy_to_send.to, self.now
                )


class OwnerWithoutLeaseCheck(admission.HandOff):
    """Mutant that returns outcomes without checking its lease."""

    def finish(
        self, request_id: str, outcome: kernel.Outcome, now: float
    ) -> bool:
        return super().finish(request_id, outcome, float('-inf'))


class TestInterleavings:
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=500
    )
    @hypothesis.given(steps=STEPS)
    def test_at_most_one_outcome_is_returned(
        self, steps: list[tuple[str, str, bool]]
    ) -> None:
        run = Simulation(admission.HandOff)
        assert run.run(steps) <= 1
        assert any(
            'r1' in entry.table.roles() for entry in run.entries.values()
        )

    @pytest.mark.parametrize(
        ('owner_class', 'outcomes_returned'),
        [(admission.HandOff, 1), (OwnerWithoutLeaseCheck, 2)],
    )
    def test_detects_a_missing_lease_check(
        self, owner_class: type[admission.HandOff], outcomes_returned: int
    ) -> None:
        names = ('time', 'time', 'time')
        steps = [(name, 'a', False) for name in names]
        steps += [('due', 'b', True)]
        steps += [('finish', 'a', False), ('finish', 'b', False)]
        assert Simulation(owner_class).run(steps) == outcomes_returned
