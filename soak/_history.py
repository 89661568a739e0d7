"""What was observed from outside in a run: the lines of a history.

The first line of the file is a ``Header``, the last one is ``Closed``. Times
are seconds since the start of the run. Judges of rules read nothing else.
"""

from typing import Final

import msgspec

from soak import _terms

FORMAT: Final = 'lentilspool-soak-history'
VERSION: Final = 1
STORE: Final = 'store'


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time bounds of the rules, in seconds, as the run was made with them."""

    stable_window_s: float = 3.0
    """Time without disruption after which a machine is in touch."""

    grace_s: float = 8.0
    """Time from SIGTERM to SIGKILL."""

    loss_slack_s: float = 0.2
    """Time after which a whole request counts as read."""

    config_apply_s: float = 2.0
    """Time in which an acknowledged configuration comes into force."""

    drain_s: float = 2.0
    """Time in which an endpoint that leaves is used no more."""

    downgrade_s: float = 0.25
    """Time after which a machine that showed a version keeps to it."""

    recover_s: float = 12.0
    """Time after the last fault in which service is back."""


class Header(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a history."""

    format: str
    """Name of the format."""

    version: int
    """Version of the format."""

    seed: int = 0
    """Seed of the run."""

    bounds: Bounds = Bounds()
    """Bounds that hold in the run."""


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
    """Team whose key it carries."""

    prompt: str = ''
    """Digest of its model, tokens and parts of the prompt."""

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

    lasts_s: float = 0
    """Time for which the work would last if it is not disturbed."""


class Worked(Observation, frozen=True, tag='worked'):
    """An endpoint has ended its work on a request."""

    run: str
    """Identity of the run."""

    how: _terms.Work
    """How it ended."""


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


class Closed(Observation, frozen=True, tag='closed'):
    """Last line of a history."""

    observations: int
    """Lines between the first and this one."""


Line = (
    Sent
    | Got
    | Ended
    | Ran
    | Worked
    | Listed
    | Process
    | Probed
    | Disrupted
    | Configured
    | Closed
)


class History(msgspec.Struct, frozen=True):
    """A whole history."""

    bounds: Bounds
    """Bounds that hold in the run."""

    observations: tuple[Observation, ...]
    """What was observed, by time."""
