"""What was observed from outside in a run: the lines of a history.

The first line of the file is a ``Header``, the last one is ``Closed``. Times
are seconds since the start of the run. Judges of rules read nothing else.
"""

from typing import Final

import msgspec

from soak import _history_head, _terms

STORE: Final = 'store'


class Observation(
    msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True
):
    """One line after the first."""

    at: float
    """Moment, in seconds since the start of the run."""


class Sent(Observation, frozen=True, tag='sent'):
    """A client has sent the last byte of a request."""

    request: str
    """Identity of the attempt."""

    machine: str
    """Machine that takes it."""

    route: str
    """Route that it uses."""

    kind: _terms.Kind
    """Kind of the route."""

    time_s: float
    """Time until the client's deadline or the route's timeout."""

    deadline_s: float = 0
    """Time until the client's deadline, as the request states it."""

    attempts: int = 1
    """Endpoints to which the route allows one attempt to be sent."""

    timeout_s: float = 0
    """Time until the route's timeout."""

    content: str = ''
    """Digest of method, path, query and body."""

    team: str = ''
    """Team whose key it carries; empty for a key that no team has."""

    prompt: str = ''
    """Digest of its model, tokens and parts of the prompt."""

    parts: tuple[str, ...] = ()
    """Names of the parts of its prompt, in order."""

    fatal_part: str = ''
    """Part of its prompt that crashes engines; empty for a sound request."""

    pieces: tuple[int, ...] = ()
    """Pieces of each stage; a stage takes all results of the one before."""

    key: str = ''
    """Key of its pieces."""

    kept: bool = False
    """Whether the connection had carried a request before."""

    keyed: bool = False
    """Whether it carries an idempotency key."""

    after: int = 0
    """Number of the event after which a stream goes on; 0 for a new one."""

    resumes: str = ''
    """Attempt that brought the first event of the stream taken up again."""


class Got(Observation, frozen=True, tag='got'):
    """A client has read an event of a stream."""

    request: str
    """Attempt that brings it."""

    number: int
    """Number of the event."""

    run: str
    """Run of an endpoint that made it, as the event states."""


class Ended(Observation, frozen=True, tag='ended'):
    """An attempt of a client has ended."""

    request: str
    """Identity of the attempt."""

    how: _terms.End
    """How it ended."""

    status: int = 0
    """Status that was read; 0 for none."""

    stamp: str = ''
    """Endpoint whose signature the answer bears."""

    answer: str = ''
    """Digest of the whole body; empty for a stream."""


class Ran(Observation, frozen=True, tag='ran'):
    """An endpoint begins to work on a request."""

    request: str
    """Identity of the attempt."""

    run: str
    """Identity of the run."""

    endpoint: str
    """Endpoint that works."""

    after: int = 0
    """Number of the event after which it was told to go on."""

    last: int = 0
    """Number of the last event of its stream; 0 for no stream."""

    left_s: float | None = None
    """Time until the deadline that it was told; None if it was told none."""

    content: str = ''
    """Digest of method, path, query and body as they arrived."""

    team: str = ''
    """Team that it was told."""

    has_key: bool = False
    """Whether the client's key was passed on."""

    prompt: str = ''
    """Digest of its model, tokens and parts of the prompt, as told."""

    status: int = 200
    """Status that it answers."""

    answer: str = ''
    """Digest of the whole body that it answers; empty for a stream."""

    inputs: tuple[str, ...] = ()
    """Handles of the results that it is given."""

    lasts_s: float = 0
    """Time for which the work would last if it is not disturbed."""


class Worked(Observation, frozen=True, tag='worked'):
    """An endpoint has ended its work on a request."""

    run: str
    """Identity of the run."""

    how: _terms.Work
    """How it ended."""


class Piece(Observation, frozen=True, tag='piece'):
    """An endpoint is asked for a piece of a stage."""

    request: str
    """Request to which it belongs."""

    endpoint: str
    """Endpoint that is asked."""

    stage: int
    """Index of the stage."""

    piece: int
    """Index of the piece in its stage."""

    inputs: tuple[str, ...] = ()
    """Handles of the results that it is given."""

    handle: str = ''
    """Handle of its own result."""

    key: str = ''
    """Key that it is told; empty for none."""


class Answered(Observation, frozen=True, tag='answered'):
    """An endpoint that has stated something of itself begins an answer."""

    endpoint: str
    """Endpoint that answers."""

    request: str
    """Attempt that it answers; empty for a call of pieces."""

    arrived_at: float
    """When the request reached it."""

    limit_per_s: float | None = None
    """Requests a second that it states to take; None for no limit."""

    rest_s: float = 0
    """Time for which it wants nothing from the machine; 0 for no rest."""

    leaving: bool = False
    """Whether it states that it leaves."""


class Listed(Observation, frozen=True, tag='listed'):
    """The store has taken what an endpoint states of itself."""

    endpoint: str
    """Name of the endpoint."""

    service: str
    """Service to which it belongs."""

    version: str
    """Version of its software."""

    ready: bool
    """Whether it takes work."""


class Process(Observation, frozen=True, tag='process'):
    """The process of a machine was started, was sent a signal, or ended."""

    machine: str
    """Machine."""

    change: _terms.Change
    """What happened."""


class Probed(Observation, frozen=True, tag='probed'):
    """A machine was asked whether it is ready."""

    machine: str
    """Machine."""

    ready: bool
    """Whether it answered that it is."""


class Disrupted(Observation, frozen=True, tag='disrupted'):
    """A disruption of the links of a place, or of the store, begins or ends."""

    place: str
    """Machine, endpoint or ``STORE``."""

    how: str
    """What is done to it."""

    over: bool = False
    """Whether the disruption ends now."""


class Configured(Observation, frozen=True, tag='configured'):
    """The operator sends a configuration, or the store has taken it."""

    version: int
    """Version of the configuration."""

    taken: bool = False
    """Whether the store has acknowledged it."""

    services: dict[str, str] = {}
    """Service by route; empty in an acknowledgement."""

    teams: tuple[str, ...] = ()
    """Teams that have keys; empty in an acknowledgement."""


class Closed(Observation, frozen=True, tag='closed'):
    """Last line of a history."""

    observations: int
    """Lines between the first and this one."""


Line = (
    Sent
    | Got
    | Ended
    | Ran
    | Piece
    | Worked
    | Answered
    | Listed
    | Process
    | Probed
    | Disrupted
    | Configured
    | Closed
)


class History(msgspec.Struct, frozen=True):
    """A whole history."""

    bounds: _history_head.Bounds
    """Bounds that hold in the run."""

    observations: tuple[Observation, ...]
    """What was observed, by time."""
