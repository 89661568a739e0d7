"""Verdicts on published entries, which are equal in every process."""

import dataclasses
import enum


class RefusalReason(enum.Enum):
    """Why a published entry did not become a version."""

    stale = 'stale'
    """Made against a version too old to check for conflicts."""

    conflict = 'conflict'
    """Changes a path that another patch has changed since that version."""

    invalid = 'invalid'
    """Not a valid patch, or the patched document would be invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAccepted:
    """The entry created a new version."""

    number: int
    """Position of the entry in the published log."""

    version: int
    """The version that it created."""

    author: str
    """Name of whoever submitted it; empty for a base."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRefused:
    """The entry changed nothing."""

    number: int
    """Position of the entry in the published log."""

    version: int
    """The version in force, which is unchanged."""

    author: str
    """Name of whoever submitted it; empty if unknown."""

    reason: RefusalReason
    """Kind of refusal."""

    path: str
    """Path of the first problem."""

    detail: str
    """Explanation for the author."""


Verdict = EntryAccepted | EntryRefused
