"""Answers of the lease table to a heartbeat."""

import dataclasses
import enum

from lentilspool.membership import _member


class RefusalReason(enum.Enum):
    """Why the lease table rejected a heartbeat."""

    old_incarnation = 'old_incarnation'
    old_sequence = 'old_sequence'
    incomplete = 'incomplete'
    no_lease = 'no_lease'


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The heartbeat renewed or granted a lease."""

    member: _member.Member
    """Member as the table now records it."""

    joined: bool = False
    """Whether the member had no live lease, or changed incarnation or pool."""

    began_leaving: bool = False
    """Whether this is the first heartbeat that announces leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The heartbeat is outdated or lacks fields that the table needs."""

    name: str
    """Name of the sender."""

    reason: RefusalReason
    """Why the heartbeat was refused."""


Answer = Renewed | Refused
