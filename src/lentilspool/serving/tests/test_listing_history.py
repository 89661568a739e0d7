"""Tests of what the writes in a store show of entries that are gone."""

import dataclasses
import itertools

import hypothesis
import pytest
from hypothesis import strategies as st

from lentilspool import serving
from lentilspool.serving.tests import builders

OLD = dataclasses.replace(builders.endpoint('a', 'model'), version='v1')
NEW = dataclasses.replace(builders.endpoint('a', 'model'), version='v2')


def put(
    key: str,
    revision: int,
    endpoint: serving.Endpoint | None = OLD,
    created: int = 0,
) -> serving.Write:
    """Return a write of an entry, by default of one that is new."""
    return serving.Write(key, revision, created or revision, endpoint)


def removal(key: str, revision: int) -> serving.Write:
    """Return the removal of an entry."""
    return serving.Write(key, revision, 0, removes=True)


def other(key: str, revision: int, created: int) -> serving.Write:
    """Return a write of the configuration."""
    return serving.Write(key, revision, created, is_entry=False)


class TestFirstUnknownRevision:
    @pytest.mark.parametrize(
        ('listed', 'current', 'unknown'),
        [
            ((), 1, None),
            ((), 2, 2),
            ((put('a', 2), put('b', 3)), 3, None),
            ((put('a', 2), put('b', 4)), 4, 3),
            ((put('a', 2), put('b', 3)), 4, 4),
            # The configuration was written twice; what it held is no matter.
            ((other('c', 4, 2), put('a', 3)), 4, None),
            ((other('c', 5, 2), put('a', 3)), 5, 4),
            # An entry may have named another version before.
            ((put('a', 3, created=2),), 3, 2),
        ],
    )
    def test_each_revision_needs_a_known_write(
        self,
        listed: tuple[serving.Write, ...],
        current: int,
        unknown: int | None,
    ) -> None:
        assert serving.first_unknown_revision(listed, current) == unknown


class TestEverListed:
    @pytest.mark.parametrize(
        ('listed', 'history', 'versions'),
        [
            ((put('a', 2),), (), {'v1'}),
            ((put('a', 2, None),), (), set()),
            ((), (put('a', 2), removal('a', 3)), {'v1'}),
            (
                (put('a', 4, NEW),),
                (put('a', 2), removal('a', 3), put('a', 4, NEW)),
                {'v1', 'v2'},
            ),
            ((put('a', 3, NEW, 2),), (put('a', 2),), {'v1', 'v2'}),
            # What an entry held before is missing.
            ((put('a', 3, NEW, 2),), (), None),
            ((), (removal('a', 3),), None),
            ((put('a', 4),), (removal('a', 3), put('a', 4)), None),
            ((serving.Write('a', 2, 0, OLD),), (), None),
        ],
    )
    def test_versions_are_known_only_if_no_write_is_missing(
        self,
        listed: tuple[serving.Write, ...],
        history: tuple[serving.Write, ...],
        versions: set[str] | None,
    ) -> None:
        found = serving.ever_listed(listed, history)
        if versions is None:
            assert found is None
        else:
            assert found is not None
            assert {one.version for one in found} == versions


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(['a', 'b', 'c', 'config']),
        st.sampled_from(['v1', 'v2', '']),
    ),
    max_size=8,
)


class TestProperties:
    @hypothesis.given(CHANGES, st.integers(0, 8))
    def test_no_version_that_was_listed_is_left_out(
        self, changes: list[tuple[str, str]], forgotten: int
    ) -> None:
        """The store may have dropped the history up to a revision."""
        held: dict[str, serving.Write] = {}
        writes: list[serving.Write] = []
        revisions = itertools.count(2)
        for key, version in changes:
            before = held.pop(key, None)
            if not version and before is None:
                continue
            revision = next(revisions)
            endpoint = dataclasses.replace(OLD, version=version)
            write = serving.Write(
                key,
                revision,
                before.created if before else revision,
                endpoint if key != 'config' else None,
                is_entry=key != 'config',
                removes=not version,
            )
            writes.append(write)
            if version:
                held[key] = write
        current = next(revisions) - 1
        listed = list(held.values())
        unknown = serving.first_unknown_revision(listed, current)
        history: list[serving.Write] = []
        if unknown is not None:
            if unknown - 1 < forgotten:
                return
            history = [one for one in writes if one.revision >= unknown]
        found = serving.ever_listed(listed, history)
        ever = {
            one.endpoint.version
            for one in writes
            if one.endpoint and not one.removes
        }
        assert found is not None
        assert {one.version for one in found if one.version} == ever
