"""What callers and endpoints saw, and the promises that this breaks."""

import collections
import dataclasses
import enum
import json
import re
from typing import Final, Protocol

import trio

from lentilspool.platform.tests import stand_ins
from soak import _budget_rule, _fatal_parts, _recorder
from soak.judges import _finding

# Statuses that promise: it has not run, and never will.
_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_MOST_SHOWN: Final = 20
# Deaths of endpoints by which a request must be known, and runs after them.
_KNOWN_DEATHS: Final = 3
_MOST_LATE_RUNS: Final = 3
# Events of each stream.
EVENTS: Final = 8
EVENT_END: Final = b'\n\n'
_MARK: Final = re.compile(rb'^(data: \S+ \S+) \S+$', re.MULTILINE)
_MARKED: Final = re.compile(rb'id: (\d+)\ndata: \S+ \S+ (\S+)\n\n')
# Software versions of endpoints that serve side by side.
VERSIONS: Final = ('v1.1', 'v1.2')
# Service of all stages.
PIECES: Final = 'prepare'
Content = tuple[str, bytes, bytes]


class Harm(enum.Enum):
    """What ends each endpoint that runs it."""

    none = 'none'
    request = 'request'
    pieces = 'pieces'


class Runner(Protocol):
    """An endpoint, as findings name it."""

    name: str
    """Its own name."""

    service: str
    """Service to which it belongs."""


class Body(Protocol):
    """What an endpoint received of a request."""

    @property
    def target(self) -> bytes:
        """Path and query."""

    @property
    def body(self) -> bytes:
        """Whole body."""


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request as its caller sent it."""

    request_id: str
    """Identity."""

    team: str
    """Team whose key it carries."""

    target: bytes
    """Path and query."""

    body: bytes
    """Whole body."""

    service: str
    """Service that may run it."""

    repeatable: bool
    """Whether it may run more than once."""

    counts: tuple[int, ...] = ()
    """Pieces of each of its stages."""

    harm: Harm = Harm.none
    """Which part of it ends endpoints."""

    moved_to: str = ''
    """Service to which its route may be moved."""

    parts: tuple[str, ...] = ()
    """Parts of its prompt but the last; drawn by its target if empty."""

    resumed_id: str = ''
    """Request whose answer began the stream that it takes up."""

    received: bytes = b''
    """Events of that stream that the caller has, without their marks."""

    @property
    def route(self) -> str:
        """Name of its route."""
        return self.target.decode().split('/')[1]

    @property
    def stream(self) -> str:
        """Identity of its stream."""
        return self.resumed_id or self.request_id

    @property
    def after(self) -> int:
        """Number of the event after which its stream goes on."""
        return self.received.count(EVENT_END)

    @property
    def content(self) -> Content:
        """What repeats of the request have in common."""
        return self.team, self.target, self.body


def body_of(request_id: str) -> bytes:
    """Return the only right answer to a plain request."""
    return f'answer to {request_id}'.encode() * 3


def event_of(stream: str, number: int, version: str, run: str = '') -> bytes:
    """Return an event of the right stream of a version, marked by its run."""
    mark = f' {run}' if run else ''
    return f'id: {number}\ndata: {stream} {version}{mark}\n\n'.encode()


def marks_of(body: bytes) -> list[tuple[int, str]]:
    """Return the number and the run of each whole event of a stream."""
    return [
        (int(number), run.decode()) for number, run in _MARKED.findall(body)
    ]


def unmarked(body: bytes) -> bytes:
    """Return a stream without the runs that mark its events."""
    return _MARK.sub(rb'\1', body)


def streams_of(stream: str) -> list[bytes]:
    """Return the right streams, one for each version."""
    return [
        b''.join(
            event_of(stream, number, version) for number in range(1, EVENTS + 1)
        )
        for version in VERSIONS
    ]


def whole_events(received: bytes) -> bytes:
    """Return the whole events of a stream that may have broken."""
    events, end, _ = received.rpartition(EVENT_END)
    return events + end


class Findings:
    """Record of a soak; ``broken`` lists every promise that was broken."""

    def __init__(self) -> None:
        self._asked: dict[str, Asked] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._handles: dict[str, stand_ins.Piece] = {}
        self._deaths: collections.Counter[Content] = collections.Counter()
        self._late_runs: collections.Counter[Content] = collections.Counter()
        self.statuses: collections.Counter[str] = collections.Counter()
        self.status_of: dict[str, int] = {}
        self.resumed: collections.Counter[str] = collections.Counter()
        self.budget_rule = _budget_rule.BudgetRule(_budget_rule.Allowance())
        self.restores = 0
        self.drawn: collections.Counter[str] = collections.Counter()
        self.recorder = _recorder.Recorder()
        self.judged: list[_finding.Finding] = []
        self.fatal_parts = _fatal_parts.FatalParts()
        self.last_run_at: dict[str, float] = {}
        self.broken: list[str] = []

    @property
    def deaths(self) -> int:
        """Endpoints that ended under harmful requests."""
        return self._deaths.total()

    def harms(self, request_id: str, harm: Harm) -> bool:
        """Whether that part of a request ends its endpoint now."""
        asked = self._asked.get(request_id)
        if asked is None or asked.harm is not harm:
            return False
        if self._deaths[asked.content] >= _KNOWN_DEATHS:
            self._late_runs[asked.content] += 1
            if self._late_runs[asked.content] > _MOST_LATE_RUNS:
                self._break('fatal', f'{request_id} ran after its deaths')
        self._deaths[asked.content] += 1
        return True

    def asks(self, asked: Asked) -> None:
        """Note a request before it is sent."""
        self._asked[asked.request_id] = asked
        services = {asked.service, *([PIECES] if asked.counts else [])}
        self.budget_rule.sent(trio.current_time(), services)

    def received(self, service: str, unit: str) -> None:
        """Note that a request or piece arrived, also if it is rejected."""
        self.budget_rule.arrived(trio.current_time(), service, unit)

    def ran(
        self,
        endpoint: Runner,
        sent: stand_ins.EndpointRequest,
        request: Body,
    ) -> None:
        """Note that an endpoint begins to run a request."""
        asked = self._asked.get(sent.request_id)
        name = sent.request_id
        self.last_run_at[endpoint.name] = trio.current_time()
        if asked is None:
            self._break('unasked', f'{name!r} at {endpoint.name}')
            return
        self._runs[name] += 1
        if self._runs[name] > 1 and not asked.repeatable:
            self._break('twice', f'{name} at {endpoint.name}')
        if name in self._refused:
            self._break('refused', f'{name} ran after it was refused')
        if (request.target, request.body) != (asked.target, asked.body):
            self._break('unasked', f'{name} with another target or body')
        if sent.team != asked.team or sent.api_key:
            self._break('unasked', f'{name} for team {sent.team!r}')
        if endpoint.service not in {asked.service, asked.moved_to}:
            self._break('route', f'{name} at {endpoint.name}')

    def piece(self, piece: stand_ins.Piece) -> None:
        """Note a piece that an endpoint is asked for."""
        asked = self._asked.get(piece.request_id)
        known = asked is not None and piece.stage < len(asked.counts)
        if asked is None or not known:
            self._break('unasked', f'piece {piece}')
            return
        if piece.piece >= asked.counts[piece.stage]:
            self._break('unasked', f'piece {piece}')
        if piece.stage:
            self._whole_inputs(
                piece.request_id, piece.inputs, piece.stage - 1, asked
            )

    def made(self, handle: str, piece: stand_ins.Piece) -> None:
        """Note the result of a piece."""
        self._handles[handle] = piece

    def read(self, request_id: str, handles: tuple[str, ...]) -> None:
        """Note the results that an engine is told to read."""
        asked = self._asked.get(request_id)
        if asked:
            last = len(asked.counts) - 1
            self._whole_inputs(request_id, handles, last, asked)

    def answered(
        self, asked: Asked, status: int, body: bytes, stamp: str
    ) -> None:
        """Note a whole answer that a caller got."""
        name = asked.request_id
        self.statuses[str(status)] += 1
        self.status_of[name] = status
        if status in _NOT_RUN and not stamp:
            self._refused.add(name)
            if self._runs[name] and not asked.repeatable:
                self._break('refused', f'{name} got {status} and has run')
        if asked.resumed_id:
            self.resumed[str(status)] += 1
        if status == 200 and not (stamp and self._is_right(asked, body)):
            self._break('mixed', f'{name}: {len(body)} bytes, {stamp!r}')

    def unanswered(self, asked: Asked, reason: str, body: bytes = b'') -> None:
        """Note that a caller got no whole answer, but perhaps events."""
        self.statuses[reason] += 1
        if asked.resumed_id:
            self.resumed[reason] += 1
        self.check_events(asked, body)

    def check_events(self, asked: Asked, body: bytes) -> None:
        """Check the events of a stream that broke, without their marks."""
        events = asked.received + body
        streams = streams_of(asked.stream)
        if not any(one.startswith(events) for one in streams):
            self._break('order', f'{asked.request_id}: {events!r}')

    def check_budget(self) -> None:
        """Find services that got more repeats than they may in a window."""
        self.broken += [
            f'budget: {window}'
            for window in self.budget_rule.worst()
            if window.excess > 0
        ]

    def report(self, seed: int, seconds: float) -> str:
        """Return the figures as one line of JSON."""
        kinds = collections.Counter(
            one.partition(':')[0] for one in self.broken
        )
        rules = collections.Counter(
            f'{one.rule} {one.clause}' for one in self.judged
        )
        figures = {
            'seed': seed,
            'seconds': seconds,
            'requests': len(self._asked),
            'statuses': dict(sorted(self.statuses.items())),
            'resumed': dict(sorted(self.resumed.items())),
            'restores': self.restores,
            'drawn': dict(sorted(self.drawn.items())),
            'fatal': len(self._deaths),
            'deaths': self.deaths,
            'broken': dict(kinds),
            'first': self.broken[:_MOST_SHOWN],
            'rules': dict(rules),
            'judged': [
                dataclasses.asdict(one) for one in self.judged[:_MOST_SHOWN]
            ],
        }
        return json.dumps(figures)

    def _is_right(self, asked: Asked, body: bytes) -> bool:
        if not asked.counts:
            return body == body_of(asked.request_id)
        return asked.received + unmarked(body) in streams_of(asked.stream)

    def _whole_inputs(
        self, name: str, handles: tuple[str, ...], stage: int, asked: Asked
    ) -> None:
        """Check that inputs are all results of one stage, each once."""
        made = [self._handles.get(handle) for handle in handles]
        wanted = [(name, stage, piece) for piece in range(asked.counts[stage])]
        found = sorted(
            (one.request_id, one.stage, one.piece) for one in made if one
        )
        if found != wanted or None in made:
            self._break('mixed', f'{name} stage {stage}: inputs {made}')

    def _break(self, kind: str, detail: str) -> None:
        self.broken.append(f'{kind}: {detail} at {trio.current_time():.2f}')
