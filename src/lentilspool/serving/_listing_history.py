"""Decides whether all entries are known that were ever listed.

After all gateways were killed, none remembers which endpoints were listed
before. Each change in the store has a revision of its own, so the writes of
the items that are there now and of the history that the store still has may
account for all of them.
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import Final

from lentilspool.serving import _endpoints

# The counter of revisions begins above 0, and each change increases it.
_FIRST_REVISION: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write of an item, or its removal."""

    key: str
    """Key in the store."""

    revision: int
    """Revision of the write."""

    created: int
    """Revision at which the key was created; unused for a removal."""

    endpoint: _endpoints.Endpoint | None = None
    """Endpoint that the written entry names; None if it names none."""

    is_entry: bool = True
    """Whether endpoints write under this key."""

    removes: bool = False
    """Whether the item was removed."""


def first_unknown_revision(listed: Iterable[Write], current: int) -> int | None:
    """Return the first revision of which the write is unknown, if any.

    ``listed`` are the last writes of the items that are there at the revision
    ``current``. What an entry held before it was written again is unknown;
    under other keys it does not matter.
    """
    known = set()
    for write in listed:
        known.add(write.revision)
        if not write.is_entry:
            known.add(write.created)
    return next(
        (
            revision
            for revision in range(_FIRST_REVISION, current + 1)
            if revision not in known
        ),
        None,
    )


def ever_listed(
    listed: Sequence[Write], history: Sequence[Write]
) -> list[_endpoints.Endpoint] | None:
    """Return all endpoints that were ever listed; None if one may be missing.

    ``history`` are all writes since the first unknown revision. A removal
    shows that its key was written before, and a write that it was created.
    """
    writes = [one for one in (*listed, *history) if one.is_entry]
    written = {(one.key, one.revision) for one in writes if not one.removes}
    first = {key: revision for key, revision in sorted(written, reverse=True)}
    for write in writes:
        if write.removes and first.get(write.key, math.inf) > write.revision:
            return None
        if not write.removes and (write.key, write.created) not in written:
            return None
    return [one.endpoint for one in writes if one.endpoint]
