"""Random interleavings of sends and faults with the production decision code.

There are three entries, three sidecars and any number of requests. Every
host's wall clock is wrong by up to the assumed bound, and one host's clock
steps by any amount.
"""

import dataclasses
import os
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lentilspool import admission, kernel
from lentilspool.admission.tests import _mutants
from lentilspool.admission.tests import test_sidecar_model as sidecar_model

START_TIME_S = 1000.0
SLOT_CHANGE_MS = (START_TIME_S + 40) * 1000
FIRST_TABLE = admission.SlotTable('p', 0, SLOT_CHANGE_MS, ('s0',))
SECOND_TABLE = admission.SlotTable('p', SLOT_CHANGE_MS, 1e12, ('s1',))
SLOTS_BY_VERSION = (
    admission.KeySlots((FIRST_TABLE,)),
    admission.KeySlots((FIRST_TABLE, SECOND_TABLE)),
)
LIMITS = admission.LedgerLimits(max_entries=10, lifetime_s=30)
HOSTS = [f'e{number}' for number in range(3)]
HOSTS += [f's{number}' for number in range(3)]
SEED = int(os.environ.get('LENTILSPOOL_DEEP_SEED', '0'))
EXAMPLE_COUNT = 1000 if SEED else 100
STEPS_PER_EXAMPLE = 100


@dataclasses.dataclass
class Request:
    """Request of a caller, its token, and the sends that ran it."""

    digest: str
    key: admission.IdempotencyKey | None = None
    token: admission.AdmissionToken | None = None
    runs: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Send:
    """One send of a request through one entry.

    The entry becomes -1 when it stops before it returned an outcome.
    """

    request: Request
    entry: int
    digest: str
    unrepeatable_send: admission.UnrepeatableSend
    reported: kernel.Outcome | None = None


@dataclasses.dataclass(frozen=True)
class Message:
    """A message in transit."""

    kind: str
    send: int
    sidecar: int = 0
    token: admission.AdmissionToken | None = None
    outcome: kernel.Outcome | None = None


def _has_messages(machine: 'DeliveryMachine') -> bool:
    return bool(machine.messages)


def _has_requests(machine: 'DeliveryMachine') -> bool:
    return bool(machine.requests)


class DeliveryMachine(stateful.RuleBasedStateMachine):
    """Callers, entries, sidecars and their faults.

    Methods named ``on_...`` process messages of that kind.
    """

    model_decisions = sidecar_model.Decisions(limits=LIMITS)
    stepping_host_count = 1

    def __init__(self) -> None:
        super().__init__()
        self.now = START_TIME_S
        self.incarnation = 3
        self.wall_error_s: dict[str, float] = {}
        self.stepping_hosts: list[str] = []
        self.slot_versions = dict.fromkeys(HOSTS, 0)
        self.cut_links: set[tuple[int, int]] = set()
        self.requests: list[Request] = []
        self.sends: list[Send] = []
        self.messages: list[Message] = []
        self.sidecars: list[sidecar_model.Sidecar] = []

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin_world(self, seed: int) -> None:
        generator = random.Random(seed)
        self.wall_error_s = {host: generator.uniform(-1, 1) for host in HOSTS}
        self.stepping_hosts = generator.sample(HOSTS, self.stepping_host_count)
        self.sidecars = [
            sidecar_model.Sidecar(0, 0, 0, self.model_decisions),
            sidecar_model.Sidecar(1, 1, 0, self.model_decisions),
            sidecar_model.Sidecar(2, 2, 0, self.model_decisions),
        ]

    @stateful.rule(seconds=st.sampled_from([0, 0.1, 0.1, 1, 1, 5, 12, 25]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(seconds=st.sampled_from([-3600, -30, -5, 5, 30, 3600]))
    def step_clock(self, seconds: float) -> None:
        for host in self.stepping_hosts:
            self.wall_error_s[host] += seconds

    @stateful.rule(entry=st.integers(0, 2))
    def send_first(self, entry: int) -> None:
        request = Request(f'd{len(self.requests)}')
        self.requests.append(request)
        self.send(request, entry, request.digest)

    @stateful.rule(
        entry=st.integers(0, 2),
        age_s=st.sampled_from([0, 0, 0, 0, 0, 0, 0.9, -0.9, -5, 3600]),
    )
    def send_key(self, entry: int, age_s: float) -> None:
        number = len(self.requests)
        created_ms = int((self.now - age_s) * 1000)
        key = admission.IdempotencyKey('t', f'k{number}', created_ms)
        request = Request(f'd{number}', key)
        self.requests.append(request)
        self.send(request, entry, request.digest)

    @stateful.precondition(_has_requests)
    @stateful.rule(
        entry=st.integers(0, 2),
        back=st.integers(0, 4),
        swap=st.sampled_from([False, False, False, True]),
    )
    def send_again(self, entry: int, back: int, swap: bool) -> None:
        """Repeat a recent request; ``swap`` changes its content."""
        request = self.requests[-1 - back % len(self.requests)]
        if request.key or request.token:
            self.send(request, entry, 'other' if swap else request.digest)

    @stateful.rule(rounds=st.integers(1, 4), finishes=st.booleans())
    def flow(self, rounds: int, finishes: bool) -> None:
        """Deliver all messages and run queued calls without faults."""
        for _ in range(rounds):
            for _ in tuple(self.messages):
                self.move_message(0, '')
            for sidecar in range(3):
                self.begin_call(sidecar, 0)
                if finishes:
                    self.finish_call(sidecar, fails=False)

    @stateful.rule(entry=st.integers(0, 2), rounds=st.integers(2, 5))
    def send_key_and_flow(self, entry: int, rounds: int) -> None:
        self.send_key(entry, 0)
        self.flow(rounds, finishes=True)

    @stateful.rule(entry=st.integers(0, 2), rounds=st.integers(2, 5))
    def send_first_and_flow(self, entry: int, rounds: int) -> None:
        self.send_first(entry)
        self.flow(rounds, finishes=True)

    @stateful.precondition(_has_requests)
    @stateful.rule(
        entry=st.integers(0, 2),
        back=st.integers(0, 4),
        rounds=st.integers(1, 4),
    )
    def send_again_and_flow(self, entry: int, back: int, rounds: int) -> None:
        self.send_again(entry, back, swap=False)
        self.flow(rounds, finishes=True)

    @stateful.precondition(_has_messages)
    @stateful.rule(
        index=st.integers(0, 9),
        fate=st.sampled_from(['', '', '', '', '', '', 'lose', 'repeat']),
    )
    def move_message(self, index: int, fate: str) -> None:
        """Deliver a message, lose it, or deliver it and keep a copy."""
        place = index % len(self.messages)
        message = self.messages[place]
        if fate != 'repeat':
            self.messages.pop(place)
        if fate == 'lose' or self.is_cut(message):
            self.give_up(message.send)
        else:
            getattr(self, f'on_{message.kind}')(message)

    @stateful.rule(sidecar=st.integers(0, 2), index=st.integers(0, 3))
    def begin_call(self, sidecar: int, index: int) -> None:
        sidecar_state = self.sidecars[sidecar]
        if not sidecar_state.queued:
            return
        name = list(sidecar_state.queued)[index % len(sidecar_state.queued)]
        token, send = sidecar_state.queued.pop(name)
        if sidecar_state.ledger.begin_call(token, self.now):
            sidecar_state.running[name] = token
            self.sends[send].request.runs.append(send)
        else:
            self.answer_waiting_sends(sidecar_state, token)

    @stateful.rule(sidecar=st.integers(0, 2), fails=st.booleans())
    def finish_call(self, sidecar: int, fails: bool) -> None:
        sidecar_state = self.sidecars[sidecar]
        if not sidecar_state.running:
            return
        _, token = sidecar_state.running.popitem()
        answer = kernel.Complete(token.content_digest.encode())
        failure = kernel.Unknown('', kernel.UnknownReason.endpoint_error)
        sidecar_state.ledger.finish(token, failure if fails else answer)
        self.answer_waiting_sends(sidecar_state, token)

    @stateful.rule(sidecar=st.integers(0, 2))
    def withdraw(self, sidecar: int) -> None:
        sidecar_state = self.sidecars[sidecar]
        if sidecar_state.queued:
            _, (token, _) = sidecar_state.queued.popitem()
            overloaded = kernel.NotRunReason.overloaded
            sidecar_state.ledger.withdraw(token, overloaded, self.now)
            self.answer_waiting_sends(sidecar_state, token)

    @stateful.rule(
        sidecar=st.integers(0, 2),
        fault=st.sampled_from(['stop', 'pause', 'drain']),
        likely=st.integers(0, 3),
    )
    def break_sidecar(self, sidecar: int, fault: str, likely: int) -> None:
        """Apply a fault if ``likely`` is zero, to make faults less frequent."""
        if likely:
            return
        sidecar_state = self.sidecars[sidecar]
        wall_s = self.wall_s(f's{sidecar}')
        if fault == 'drain':
            sidecar_state.ledger.drain()
        elif fault == 'pause':
            sidecar_state.ledger.on_pause()
            sidecar_state.home.on_pause(wall_s, self.now)
        else:
            self.incarnation += 1
            self.sidecars[sidecar] = sidecar_model.Sidecar(
                sidecar,
                self.incarnation,
                self.now,
                self.model_decisions,
                wall_s,
            )

    @stateful.precondition(_has_requests)
    @stateful.rule(
        sidecar=st.integers(0, 1),
        entry=st.integers(0, 2),
        back=st.integers(0, 1),
    )
    def stop_and_send_again(self, sidecar: int, entry: int, back: int) -> None:
        self.break_sidecar(sidecar, 'stop', 0)
        self.send_again_and_flow(entry, back, 4)

    @stateful.rule(entry=st.integers(0, 2), likely=st.integers(0, 3))
    def stop_entry(self, entry: int, likely: int) -> None:
        """Stop an entry if ``likely`` is zero; its sends get no outcome."""
        if likely:
            return
        self.messages = [
            message
            for message in self.messages
            if self.sends[message.send].entry != entry
            or message.kind in {'admit', 'start'}
        ]
        for send in self.sends:
            if send.entry == entry and send.reported is None:
                send.entry = -1

    @stateful.rule(
        entry=st.integers(0, 2),
        sidecar=st.integers(0, 2),
        mend=st.booleans(),
    )
    def cut_or_mend(self, entry: int, sidecar: int, mend: bool) -> None:
        self.cut_links = set() if mend else {*self.cut_links, (entry, sidecar)}

    @stateful.rule(host=st.sampled_from(HOSTS))
    def adopt_slots(self, host: str) -> None:
        """Let a host use the second version of the slot tables."""
        self.slot_versions[host] = 1

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        for request in self.requests:
            assert len(request.runs) <= 1, request

    @stateful.invariant()
    def not_run_never_ran(self) -> None:
        """A send reported as not run must not have run.

        With a token, no other send of the same content may have run either.
        """
        for number, send in enumerate(self.sends):
            if isinstance(send.reported, kernel.NotRun):
                assert number not in send.request.runs, send
                if send.request.token and send.digest == send.request.digest:
                    assert not send.request.runs, send

    @stateful.invariant()
    def answer_belongs_to_request(self) -> None:
        for send in self.sends:
            if isinstance(send.reported, kernel.Complete):
                assert send.reported.answer == send.digest.encode(), send
                assert send.request.runs

    @stateful.invariant()
    def memory_is_bounded(self) -> None:
        for sidecar in self.sidecars:
            usage = sidecar.ledger.usage
            assert usage.entries <= LIMITS.max_entries
            assert 0 <= usage.held_bytes <= LIMITS.max_answer_bytes
            assert sidecar.home.size <= LIMITS.max_entries

    def send(self, request: Request, entry: int, digest: str) -> None:
        number = len(self.sends)
        key = request.key.text if request.key else ''
        token = 'held' if request.token else ''
        unrepeatable_send = admission.UnrepeatableSend(token, key)
        self.sends.append(Send(request, entry, digest, unrepeatable_send))
        if request.token:
            self.start(number, request.token)
        elif request.key is None:
            self.messages.append(Message('admit', number, number % 3))
        else:
            self.send_to_home(number, entry, request.key)

    def send_to_home(
        self, number: int, entry: int, key: admission.IdempotencyKey
    ) -> None:
        host = f'e{entry}'
        refused = admission.check_key_age(
            key, sidecar_model.RULES, self.wall_s(host)
        )
        home = SLOTS_BY_VERSION[self.slot_versions[host]].home('p', key)
        if refused:
            self.sends[number].reported = refused
        elif home is None:
            self.give_up(number)
        else:
            self.messages.append(Message('admit', number, int(home[1:])))

    def on_admit(self, message: Message) -> None:
        sidecar_state = self.sidecars[message.sidecar]
        send = self.sends[message.send]
        if send.request.key is None:
            answer = sidecar_state.ledger.issue(
                f'r{message.send}', send.digest, self.now
            )
        else:
            slots = SLOTS_BY_VERSION[self.slot_versions[f's{message.sidecar}']]
            answer = sidecar_state.home.issue(
                send.request.key, send.digest, slots, self.now
            )
        if isinstance(answer, admission.Issued):
            reply = Message('issued', message.send, token=answer.token)
        else:
            reply = Message('answer', message.send, outcome=answer.outcome)
        self.messages.append(reply)

    def on_issued(self, message: Message) -> None:
        send = self.sends[message.send]
        token = message.token
        if send.reported or send.entry < 0 or token is None:
            return
        if send.unrepeatable_send.record_token(token.request_id):
            if send.request.key is None:
                send.request.token = token
            self.start(message.send, token)

    def on_start(self, message: Message) -> None:
        token = message.token
        assert token
        sidecar_state = self.sidecars[message.sidecar]
        if token.content_digest != self.sends[message.send].digest:
            refusal = kernel.NotRun(kernel.NotRunReason.invalid)
            self.messages.append(
                Message('answer', message.send, outcome=refusal)
            )
            return
        answer = sidecar_state.ledger.start(token, self.now)
        if isinstance(answer, admission.Finished | admission.Refused):
            self.messages.append(
                Message('answer', message.send, outcome=answer.outcome)
            )
            return
        name = token.request_id
        if isinstance(answer, admission.Admitted):
            sidecar_state.queued[name] = (token, message.send)
        sidecar_state.waiting[name] = (
            *sidecar_state.waiting.get(name, ()),
            message.send,
        )

    def on_answer(self, message: Message) -> None:
        send = self.sends[message.send]
        if send.reported is None and send.entry >= 0:
            send.reported = message.outcome

    def answer_waiting_sends(
        self,
        sidecar_state: sidecar_model.Sidecar,
        token: admission.AdmissionToken,
    ) -> None:
        answer = sidecar_state.ledger.start(token, self.now)
        if isinstance(answer, admission.Finished | admission.Refused):
            for send in sidecar_state.waiting.pop(token.request_id, ()):
                self.messages.append(
                    Message('answer', send, outcome=answer.outcome)
                )

    def start(self, number: int, token: admission.AdmissionToken) -> None:
        sidecar = int(token.endpoint[1:])
        self.messages.append(Message('start', number, sidecar, token))

    def give_up(self, number: int) -> None:
        send = self.sends[number]
        if send.reported is None and send.entry >= 0:
            send.reported = send.unrepeatable_send.abandon(
                kernel.NotRunReason.no_endpoint,
                kernel.UnknownReason.connection_lost,
            )

    def is_cut(self, message: Message) -> bool:
        link = (self.sends[message.send].entry, message.sidecar)
        return message.kind in {'admit', 'start'} and link in self.cut_links

    def wall_s(self, host: str) -> float:
        return self.now + self.wall_error_s[host]


def run(machine: type[DeliveryMachine]) -> None:
    settings = hypothesis.settings(
        derandomize=not SEED,
        database=None,
        deadline=None,
        max_examples=EXAMPLE_COUNT,
        stateful_step_count=STEPS_PER_EXAMPLE,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
    )
    if SEED:
        machine = hypothesis.seed(SEED)(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)


class TestDelivery:
    def test_deep_invariants_hold(self) -> None:
        run(DeliveryMachine)

    @pytest.mark.parametrize(
        'decisions',
        [
            sidecar_model.Decisions(_mutants.ForeignTokenLedger, limits=LIMITS),
            sidecar_model.Decisions(
                new_key_check=_mutants.AllKeysNewCheck, limits=LIMITS
            ),
        ],
    )
    def test_detects_a_missing_guard(
        self, decisions: sidecar_model.Decisions
    ) -> None:
        attributes = {'model_decisions': decisions}
        mutant = type('Mutant', (DeliveryMachine,), attributes)
        with pytest.raises(AssertionError):
            run(mutant)
