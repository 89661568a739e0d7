"""Verdicts on published entries; equal in every process."""

import dataclasses
import enum


class RefusalReason(enum.Enum):
    """Why a published entry did not become a version."""

    stale = 'stale'
    """Made against a version too old to tell what has changed since."""

    conflict = 'conflict'
    """Touches a path that another patch has changed since."""

    invalid = 'invalid'
    """Not a patch, or the document with it would break a rule."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAccepted:
    """The entry made a new version."""

    number: int
    """Position of the entry in the published log."""

    version: int
    """The version that it made."""

    author: str
    """Who submitted it; empty for a base."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRefused:
    """The entry changed nothing."""

    number: int
    """Position of the entry in the published log."""

    version: int
    """The version in force, as before."""

    author: str
    """Who submitted it; empty if unknown."""

    reason: RefusalReason
    """Kind of refusal."""

    path: str
    """Path of the first problem."""

    detail: str
    """Explanation for the author."""


Verdict = EntryAccepted | EntryRefused
