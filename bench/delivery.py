"""Each request once, whole, to its own caller, while faults come.

Repeatable requests run one streamed stage; unrepeatable ones run one stage
with an admission token. Callers resend through another entry when theirs
has died, or when they are told that the outcome is unknown.
"""

import dataclasses
import functools
import logging
import random
from collections.abc import Callable, Iterator
from typing import Final

from bench import _events, _faulty_network
from lentilspool import admission, kernel, retries

logging.getLogger('lentilspool').addHandler(logging.NullHandler())

_RATE: Final = 100.0
_UNREPEATABLE: Final = 0.3
_DEADLINE_S: Final = 2.0
_ATTEMPT_S: Final = 0.4
_SERVICE_S: Final = 0.05
_CHUNKS: Final = 4
_CHUNK_S: Final = 0.01
_AVOID_S: Final = 2.0
_MAX_RESENDS: Final = 8
_ARMS: Final = ('lentilspool', 'plain_retry', 'entry_memory')


@dataclasses.dataclass(eq=False)
class _Request:
    name: str
    repeatable: bool
    begin_s: float
    entry: str = ''
    token: admission.AdmissionToken | None = None
    resends: int = 0
    runs: int = 0
    answers: list[kernel.Outcome] = dataclasses.field(default_factory=list)
    told_at_s: float = 0

    @property
    def final(self) -> kernel.Outcome | None:
        return self.answers[-1] if self.answers else None


class _Sidecar:
    def __init__(self, name: str, incarnation: int) -> None:
        self.ledger = admission.Ledger(name, incarnation, _text)
        self.waiting: dict[str, list[Callable[[kernel.Outcome], None]]] = {}


def _text(token: admission.AdmissionToken) -> str:
    return token.request_id


class _Entry:
    def __init__(self) -> None:
        self.table = admission.AttemptTable()
        self.budget = retries.RetryBudget(reserve=8)
        self.avoided: dict[str, float] = {}
        self.remembered: dict[str, _Request] = {}


class _Run:
    """One arm: callers, entries and sidecars in virtual time."""

    def __init__(
        self, arm: str, seed: int, entries: int, sidecars: int
    ) -> None:
        self.arm = arm
        self.queue = _events.EventQueue()
        self.generator = random.Random(seed)
        self.arrivals = random.Random(seed + 2000)
        self.network = _faulty_network.FaultyNetwork(
            self.queue, random.Random(seed + 1000), entries, sidecars
        )
        self.network.on_stop = self.stop
        self.network.on_wake = self.wake
        self.entries = {f'e{number}': _Entry() for number in range(entries)}
        self.sidecars = {
            f's{number}': _Sidecar(f's{number}', number)
            for number in range(sidecars)
        }
        self.requests: list[_Request] = []
        self.backoff = retries.Backoff()
        self.misdelivered = 0
        self.incarnations_lost = 0
        self.in_flight_at_loss = 0

    def arrive(self, until_s: float) -> None:
        """Let a request arrive, and schedule the next one."""
        repeatable = self.arrivals.random() >= _UNREPEATABLE
        request = _Request(f'r{len(self.requests)}', repeatable, self.queue.now)
        self.requests.append(request)
        self.send(request)
        gap_s = self.arrivals.expovariate(_RATE)
        if self.queue.now + gap_s < until_s:
            self.queue.after(gap_s, lambda: self.arrive(until_s))

    def send(self, request: _Request) -> None:
        """Let the caller send through an entry that it has not just used."""
        others = [name for name in self.entries if name != request.entry]
        request.entry = self.generator.choice(others)
        entry = self.entries[request.entry]
        if request.repeatable or self.arm == 'plain_retry':
            self.attempt(request, request.entry, entry, 1)
        elif self.arm == 'entry_memory':
            if request.name in entry.remembered:
                timeout = kernel.UnknownReason.timeout
                self.tell(request, kernel.Unknown('', timeout))
            else:
                entry.remembered[request.name] = request
                self.attempt(request, request.entry, entry, 1)
        elif request.token is None:
            self.admit(request, entry, admission.UnrepeatableSend())
        else:
            side = admission.UnrepeatableSend(_text(request.token))
            self.start(request, entry, side, request.token)

    def attempt(
        self, request: _Request, host: str, entry: _Entry, number: int
    ) -> None:
        """Send one attempt of a stage, and watch it."""
        sidecar = self.choose(entry)
        attempt = admission.Attempt(
            request.name, f'{host}.{request.resends}', number, request.name
        )
        entry.table.open(attempt)
        assembler = admission.StreamAssembler()

        def receive(step: int, answer: admission.Attempt) -> None:
            if self.entries[host] is not entry:
                return
            part = (
                assembler.end(_CHUNKS)
                if step == _CHUNKS
                else assembler.add(step, request.name)
            )
            careless = self.arm != 'lentilspool' and step == _CHUNKS
            if not careless and not (
                isinstance(part, admission.ReleasedText) and part.is_complete
            ):
                return
            if isinstance(entry.table.match(answer), admission.Accept):
                entry.budget.record_success(self.queue.now)
                whole = assembler.text or 'truncated'
                self.tell(request, kernel.Complete(whole.encode()))

        self.network.send(
            host,
            sidecar,
            lambda: self.run_stage(request, sidecar, host, attempt, receive),
        )
        self.queue.after(
            _ATTEMPT_S, lambda: self.retry(request, host, entry, attempt)
        )
        entry.avoided.setdefault(sidecar, 0)
        self.watch(entry, sidecar, request)

    def watch(self, entry: _Entry, sidecar: str, request: _Request) -> None:
        """Avoid a sidecar for a while if it leaves an attempt unanswered."""

        def check() -> None:
            if not request.answers:
                entry.avoided[sidecar] = self.queue.now + _AVOID_S

        self.queue.after(_ATTEMPT_S, check)

    def retry(
        self,
        request: _Request,
        host: str,
        entry: _Entry,
        attempt: admission.Attempt,
    ) -> None:
        """Decide on another attempt when one has not answered in time."""
        if request.answers or self.entries[host] is not entry:
            return
        remaining_s = request.begin_s + _DEADLINE_S - self.queue.now
        if self.arm == 'entry_memory' and not request.repeatable:
            lost = kernel.UnknownReason.timeout
            self.tell(request, kernel.Unknown('', lost))
            return
        ended = retries.Attempt(
            kernel.Failed('stage', 'no answer'),
            'stage',
            repeatable=True,
            number=attempt.number,
            remaining_s=remaining_s,
            expected_s=_SERVICE_S,
        )
        step = retries.decide_retry(
            ended, entry.budget, self.backoff, self.queue.now, self.generator
        )
        if isinstance(step, retries.Retry):
            following = functools.partial(
                self.attempt, request, host, entry, attempt.number + 1
            )
            self.queue.after(step.delay_s, following)
        else:
            self.queue.after(
                max(remaining_s, 0), lambda: self.expire(request, host, entry)
            )

    def expire(self, request: _Request, host: str, entry: _Entry) -> None:
        """Answer a caller whose deadline has passed."""
        if not request.answers and self.entries[host] is entry:
            entry.table.close(request.name)
            self.tell(request, kernel.Late('stage'))

    def run_stage(
        self,
        request: _Request,
        name: str,
        host: str,
        attempt: admission.Attempt,
        receive: Callable[[int, admission.Attempt], None],
    ) -> None:
        """Run a stage at a sidecar, and stream its answer back."""
        sidecar = self.sidecars[name]
        request.runs += 1

        def answer() -> None:
            if self.sidecars[name] is sidecar:
                for step in range(_CHUNKS + 1):
                    self.queue.after(
                        step * _CHUNK_S, functools.partial(send_chunk, step)
                    )

        def send_chunk(step: int) -> None:
            if self.sidecars[name] is sidecar:
                chunk = functools.partial(receive, step, attempt)
                self.network.send(name, host, chunk)

        self.serve(name, answer)

    def serve(self, name: str, act: Callable[[], None]) -> None:
        """Call back after a drawn service time, unless paused."""
        service_s = self.generator.expovariate(1 / _SERVICE_S)
        self.queue.after(service_s, lambda: self.network.run_at(name, act))

    def choose(self, entry: _Entry) -> str:
        """Return a sidecar that has not just been silent."""
        good = [
            name
            for name in self.sidecars
            if entry.avoided.get(name, 0) <= self.queue.now
        ]
        return self.generator.choice(good or list(self.sidecars))

    def admit(
        self,
        request: _Request,
        entry: _Entry,
        side: admission.UnrepeatableSend,
    ) -> None:
        """Ask a sidecar for a token, and another one if it is silent."""
        name, host = self.choose(entry), request.entry

        def taken(answer: admission.IssueAnswer) -> None:
            if self.entries[host] is not entry:
                return
            if isinstance(answer, admission.Refused):
                self.tell(request, answer.outcome)
            elif side.record_token(_text(answer.token)):
                request.token = answer.token
                self.start(request, entry, side, answer.token)

        def issue() -> None:
            answer = self.sidecars[name].ledger.issue(
                request.name, request.name, self.queue.now
            )
            self.network.send(name, host, lambda: taken(answer))

        def give_up() -> None:
            if (
                not side.may_use_other_endpoint
                or self.entries[host] is not entry
            ):
                return
            entry.avoided[name] = self.queue.now + _AVOID_S
            if self.queue.now < request.begin_s + _DEADLINE_S:
                self.admit(request, entry, side)
            else:
                self.give_up(request, side)

        self.network.send(host, name, issue)
        self.queue.after(_ATTEMPT_S / 2, give_up)

    def start(
        self,
        request: _Request,
        entry: _Entry,
        side: admission.UnrepeatableSend,
        token: admission.AdmissionToken,
    ) -> None:
        """Start a token at its sidecar, and wait for the outcome."""
        host, name = request.entry, token.endpoint
        attempt = admission.Attempt(
            request.name, 'deposit', request.resends, request.name
        )
        entry.table.open(attempt)

        def taken(outcome: kernel.Outcome) -> None:
            verdict = entry.table.match(attempt)
            accepted = isinstance(verdict, admission.Accept)
            if accepted and self.entries[host] is entry:
                entry.table.close(request.name)
                self.tell(request, outcome)

        def reply(outcome: kernel.Outcome) -> None:
            self.network.send(name, host, lambda: taken(outcome))

        def give_up() -> None:
            is_open = attempt in entry.table.close(request.name)
            if is_open and self.entries[host] is entry:
                self.give_up(request, side)

        self.network.send(
            host, name, lambda: self.run_once(request, name, token, reply)
        )
        self.queue.after(_DEADLINE_S, give_up)

    def run_once(
        self,
        request: _Request,
        name: str,
        token: admission.AdmissionToken,
        reply: Callable[[kernel.Outcome], None],
    ) -> None:
        """Run a token at its sidecar if the ledger admits it."""
        sidecar = self.sidecars[name]
        answer = sidecar.ledger.start(token, self.queue.now)
        if isinstance(answer, admission.Finished | admission.Refused):
            reply(answer.outcome)
            return
        sidecar.waiting.setdefault(token.request_id, []).append(reply)
        admitted = isinstance(answer, admission.Admitted)
        if not admitted or not sidecar.ledger.begin_call(token, self.queue.now):
            return
        request.runs += 1

        def finish() -> None:
            if self.sidecars[name] is not sidecar:
                return
            whole = kernel.Complete((request.name * _CHUNKS).encode())
            sidecar.ledger.finish(token, whole)
            for waiting in sidecar.waiting.pop(token.request_id, []):
                waiting(whole)

        self.serve(name, finish)

    def give_up(
        self, request: _Request, side: admission.UnrepeatableSend
    ) -> None:
        """Tell the caller what is known of a send without answer."""
        self.tell(
            request,
            side.abandon(
                kernel.NotRunReason.no_endpoint, kernel.UnknownReason.timeout
            ),
        )

    def tell(self, request: _Request, outcome: kernel.Outcome) -> None:
        """Give the caller an outcome; it asks again if it is unknown."""
        if isinstance(outcome, kernel.Unknown):
            lost = outcome.reason is kernel.UnknownReason.incarnation_lost
            if not lost and request.resends < _MAX_RESENDS:
                self.resend(request)
                return
        if isinstance(outcome, kernel.Complete):
            own = outcome.answer.startswith(request.name.encode())
            self.misdelivered += not own and outcome.answer != b'truncated'
        request.told_at_s = self.queue.now
        request.answers.append(outcome)

    def resend(self, request: _Request) -> None:
        """Send again after a growing delay, through another entry."""
        request.resends += 1
        delay_s = 0.1 * 2**request.resends
        self.queue.after(delay_s, lambda: self.send_unanswered(request))

    def send_unanswered(self, request: _Request) -> None:
        """Send again unless an answer has come meanwhile."""
        if not request.answers:
            self.send(request)

    def stop(self, process: str) -> None:
        """Replace a process by one that knows nothing."""
        open_requests = [held for held in self.requests if not held.answers]
        if process.startswith('e'):
            self.entries[process] = _Entry()
            for cut_off in open_requests:
                if cut_off.entry == process:
                    self.resend(cut_off)
            return
        in_flight = sum(
            held.token is not None and held.token.endpoint == process
            for held in open_requests
        )
        self.incarnations_lost += in_flight > 0
        self.in_flight_at_loss += in_flight
        incarnation = len(self.sidecars) + int(self.queue.now * 1000)
        self.sidecars[process] = _Sidecar(process, incarnation)

    def wake(self, process: str) -> None:
        """Let a sidecar wake from a pause."""
        self.sidecars[process].ledger.on_pause()

    def figures(self) -> dict[str, object]:
        """Return the figures of the issue."""
        repeatable = [held for held in self.requests if held.repeatable]
        once = [held for held in self.requests if not held.repeatable]
        attained = [
            held
            for held in repeatable
            if isinstance(held.final, kernel.Complete)
            and held.told_at_s <= held.begin_s + _DEADLINE_S
        ]
        finals = [held.final for held in self.requests]
        return {
            'requests': len(self.requests),
            'lost': sum(final is None for final in finals),
            'doubled': sum(len(held.answers) > 1 for held in self.requests),
            'misdelivered': self.misdelivered,
            'false_not_run': sum(
                isinstance(held.final, kernel.NotRun) and held.runs > 0
                for held in self.requests
            ),
            'unrepeatable_reruns': sum(max(held.runs - 1, 0) for held in once),
            'truncated_as_complete': sum(
                isinstance(final, kernel.Complete)
                and final.answer == b'truncated'
                for final in finals
            ),
            'not_run': sum(isinstance(held, kernel.NotRun) for held in finals),
            'unknown': sum(
                isinstance(final, kernel.Unknown) for final in finals
            ),
            'incarnations_lost': self.incarnations_lost,
            'in_flight_at_loss': self.in_flight_at_loss,
            'attainment': round(len(attained) / len(repeatable), 4),
        }


def run(
    *,
    seed: int = 1,
    entries: int = 3,
    sidecars: int = 8,
    seconds: float = 60,
) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm, with one and two faults at a time."""
    for together in (1, 2):
        for arm in _ARMS:
            held = _Run(arm, seed, entries, sidecars)
            held.network.draw_faults(seconds, together)
            held.arrive(seconds)
            held.queue.run()
            yield {
                'arm': arm,
                'seed': seed,
                'faults_together': together,
                **held.figures(),
            }
