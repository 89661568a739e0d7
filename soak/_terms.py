"""Terms in which histories describe requests, work and processes."""

import enum
from typing import Final

# A sound endpoint may fall silent or slow down for a while; that is no
# disruption.
QUIET: Final = 'quiet'
SLOW: Final = 'slow'


class Kind(enum.Enum):
    """What may be repeated of a request."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'
    resumable = 'resumable'


class End(enum.Enum):
    """How an attempt of a client ended."""

    whole = 'whole'
    """A complete answer was read."""

    closed = 'closed'
    """The connection ended without a complete answer."""

    garbled = 'garbled'
    """Bytes were read that are no answer."""

    left = 'left'
    """The client closed the connection."""


class Work(enum.Enum):
    """How the work of an endpoint on a request ended."""

    whole = 'whole'
    """The whole answer was written."""

    dropped = 'dropped'
    """The sender closed the connection."""

    broken = 'broken'
    """The endpoint broke off."""

    crashed = 'crashed'
    """The request made the endpoint end."""


class Change(enum.Enum):
    """What happens to the process of a machine."""

    started = 'started'
    killed = 'killed'
    terminated = 'terminated'
    """SIGTERM was sent."""

    reloaded = 'reloaded'
    """SIGHUP was sent."""

    paused = 'paused'
    resumed = 'resumed'
    ended = 'ended'
    """The process is gone; that is its own end if no signal caused it."""
