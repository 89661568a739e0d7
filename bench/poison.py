"""A request that crashes what runs it, and its neighbours.

One content among many kills each endpoint that runs it, and its caller
sends it again through any entry. Entries share their suspicions late.
"""

import dataclasses
import functools
import logging
import random
from collections.abc import Iterator
from typing import Final

from bench import _events
from lentilspool import admission

logging.getLogger('lentilspool').addHandler(logging.NullHandler())

_RATE: Final = 100.0
_SERVICE_S: Final = 0.2
_CRASH_S: Final = 0.05
_RESTART_S: Final = 2.0
_NOTICE_S: Final = 0.001
_GOSSIP_S: Final = 0.1
_MAX_ATTEMPTS: Final = 6
_POISON: Final = 'poison'
_ARMS: Final = ('lentilspool', 'two_crashes', 'no_quarantine')


@dataclasses.dataclass(eq=False)
class _Request:
    content: str
    entry: int
    begin_s: float
    attempts: int = 0
    state: str = 'open'
    cleared: bool = False
    end_s: float = 0


@dataclasses.dataclass(eq=False)
class _Endpoint:
    name: str
    incarnation: int = 0
    up: bool = True
    running: list[_Request] = dataclasses.field(default_factory=list)
    alone: list[_Request] = dataclasses.field(default_factory=list)


class _Run:
    """One arm: entries with a quarantine each, and endpoints that die."""

    def __init__(
        self, arm: str, seed: int, entries: int, endpoints: int
    ) -> None:
        self.arm = arm
        self.queue = _events.EventQueue()
        self.generator = random.Random(seed)
        self.tables = [admission.Quarantine() for _ in range(entries)]
        self.endpoints = [
            _Endpoint(f's{number}') for number in range(endpoints)
        ]
        self.requests: list[_Request] = []
        self.killed = 0
        self.alone_runs = 0
        self.refused_cleared = 0

    def arrive(self, content: str) -> None:
        """Let a caller send a content through any entry."""
        self.send(content)

    def send(self, content: str) -> _Request:
        """Return a request that has been sent."""
        entry = self.generator.randrange(len(self.tables))
        request = _Request(content, entry, self.queue.now)
        self.requests.append(request)
        self.attempt(request)
        return request

    def resend(self, times: int) -> None:
        """Send the poisonous content, and again when it has an answer."""
        request = self.send(_POISON)

        def check() -> None:
            if request.state == 'open':
                self.queue.after(0.01, check)
            elif times > 1:
                pause_s = self.generator.uniform(0, 1)
                self.queue.after(pause_s, lambda: self.resend(times - 1))

        check()

    def attempt(self, request: _Request) -> None:
        """Run a request as its entry's quarantine judges."""
        request.attempts += 1
        if request.attempts > _MAX_ATTEMPTS:
            self.end(request, 'failed')
            return
        decision: admission.QuarantineDecision = admission.RunFreely()
        if self.arm != 'no_quarantine':
            table = self.tables[request.entry]
            decision = table.decide(request.content, self.queue.now)
        if isinstance(decision, admission.Quarantined):
            self.refused_cleared += request.cleared
            self.end(request, 'refused')
        elif self.arm == 'lentilspool' and isinstance(
            decision, admission.RunAlone
        ):
            if decision.wait_s > 0:
                request.attempts -= 1
                self.queue.after(decision.wait_s, lambda: self.attempt(request))
            else:
                self.run_alone(request)
        else:
            self.run(self.choose(), request)

    def choose(self) -> _Endpoint:
        """Return an endpoint that is up and runs nothing alone."""
        up = [held for held in self.endpoints if held.up and not held.alone]
        least = min(
            (len(held.running) for held in up or self.endpoints), default=0
        )
        return self.generator.choice(
            [
                held
                for held in up or self.endpoints
                if len(held.running) == least
            ]
        )

    def run_alone(self, request: _Request) -> None:
        """Reserve an endpoint; the suspect runs when it is empty."""
        busy = [held for held in self.endpoints if held.alone and held.up]
        endpoint = min(
            busy or [self.choose()], key=lambda held: len(held.alone)
        )
        self.alone_runs += 1
        endpoint.alone.append(request)
        self.next_alone(endpoint)

    def next_alone(self, endpoint: _Endpoint) -> None:
        """Start the next suspect of an endpoint that is empty."""
        if endpoint.alone and not endpoint.running and endpoint.up:
            request = endpoint.alone[0]
            decision = self.tables[request.entry].decide(
                request.content, self.queue.now
            )
            if isinstance(decision, admission.Quarantined):
                endpoint.alone.pop(0)
                self.end(request, 'refused')
                self.next_alone(endpoint)
            else:
                self.run(endpoint, request)

    def run(self, endpoint: _Endpoint, request: _Request) -> None:
        """Run a request, which ends or kills its endpoint."""
        endpoint.running.append(request)
        incarnation = endpoint.incarnation

        def finish() -> None:
            if endpoint.incarnation != incarnation:
                return
            if request.content == _POISON:
                self.die(endpoint)
                return
            endpoint.running.remove(request)
            if request in endpoint.alone:
                endpoint.alone.remove(request)
            table = self.tables[request.entry]
            if table.clear_completed(request.content, self.queue.now):
                request.cleared = True
                self.share(request.entry)
            self.end(request, 'completed')
            self.next_alone(endpoint)

        poisonous = request.content == _POISON
        service_s = self.generator.expovariate(1 / _SERVICE_S)
        self.queue.after(_CRASH_S if poisonous else service_s, finish)

    def die(self, endpoint: _Endpoint) -> None:
        """Kill an endpoint; the entries of its requests count the death."""
        self.killed += 1
        death = f'{endpoint.name}@{endpoint.incarnation}'
        victims = endpoint.running
        waiting = [held for held in endpoint.alone if held not in victims]
        endpoint.incarnation += 1
        endpoint.up = False
        endpoint.running = []
        endpoint.alone = []
        self.queue.after(_RESTART_S, lambda: self.restart(endpoint))
        for entry, table in enumerate(self.tables):
            own = [held.content for held in victims if held.entry == entry]
            table.record_endpoint_death(death, own, self.queue.now)
            self.share(entry)
        for request in (*victims, *waiting):
            again = functools.partial(self.attempt, request)
            self.queue.after(_NOTICE_S, again)

    def restart(self, endpoint: _Endpoint) -> None:
        """Bring an endpoint up again."""
        endpoint.up = True

    def share(self, entry: int) -> None:
        """Send an entry's suspicions to the others, which get them late."""
        sent = [
            admission.encode_suspicion(held)
            for held in self.tables[entry].suspicions_to_share(self.queue.now)
        ]

        def receive() -> None:
            taken = [admission.decode_suspicion(text) for text in sent]
            for table in self.tables:
                table.merge(filter(None, taken), self.queue.now)

        self.queue.after(_GOSSIP_S, receive)

    def end(self, request: _Request, state: str) -> None:
        """Note how a request ended."""
        request.state = state
        request.end_s = self.queue.now

    def figures(self) -> dict[str, object]:
        """Return the figures of the issue."""
        innocent = [held for held in self.requests if held.content != _POISON]
        completed = [held for held in innocent if held.state == 'completed']
        times = sorted(held.end_s - held.begin_s for held in completed)
        return {
            'endpoints_killed': self.killed,
            'innocent_completed': round(len(completed) / len(innocent), 4),
            'refused_after_clearing': self.refused_cleared,
            'innocent_refused': sum(
                held.state == 'refused' for held in innocent
            ),
            'runs_alone': self.alone_runs,
            'poison_answers': sum(
                held.state != 'open'
                for held in self.requests
                if held.content == _POISON
            ),
            'innocent_p99_seconds': round(times[len(times) * 99 // 100], 3),
            'innocent_max_seconds': round(times[-1], 3),
        }


def run(
    *,
    seed: int = 1,
    entries: int = 3,
    sidecars: int = 8,
    innocents: int = 1000,
    resends: int = 20,
) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm."""
    for arm in _ARMS:
        held = _Run(arm, seed, entries, sidecars)
        arrivals = random.Random(seed)
        time_s = 0.0
        for number in range(innocents):
            time_s += arrivals.expovariate(_RATE)
            held.queue.at(time_s, functools.partial(held.arrive, f'c{number}'))
        held.queue.at(1, functools.partial(held.resend, resends))
        held.queue.run()
        yield {'arm': arm, 'seed': seed, **held.figures()}
