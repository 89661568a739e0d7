"""What the lease table answers to a heartbeat."""

import dataclasses
import enum

from lentilspool.membership import _member


class RefusalReason(enum.Enum):
    """Why a heartbeat changed nothing."""

    old_incarnation = 'old_incarnation'
    old_sequence = 'old_sequence'
    incomplete = 'incomplete'
    no_lease = 'no_lease'


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The lease is renewed or granted."""

    member: _member.Member
    """The member as it is held now."""

    joined: bool = False
    """Whether the process or this incarnation of it is new."""

    left: bool = False
    """Whether the process said for the first time that it leaves."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The heartbeat is older than what is held, or cannot be used."""

    name: str
    """Name of the sender."""

    reason: RefusalReason
    """Why it was refused."""


Answer = Renewed | Refused
