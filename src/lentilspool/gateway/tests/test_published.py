"""Tests of published state, which never returns to an older revision."""

import json

import msgspec

from lentilspool.gateway import _published


def entry(
    name: str, revision: int, *, state: str = 'ready'
) -> _published.StoredItem:
    content = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 1,
        'state': state,
        'cold_left_ms': 0,
        'sequence': 1,
        'born': 1,
    }
    return _published.StoredItem(
        f'servers/{name}', msgspec.json.encode(content), revision
    )


def deleted(name: str, revision: int) -> _published.StoredItem:
    return _published.StoredItem(f'servers/{name}', None, revision)


def document(version: int, revision: int) -> _published.StoredItem:
    content = {'version': version, 'routes': [], 'services': []}
    return _published.StoredItem(
        'op/config', json.dumps(content).encode(), revision
    )


def names(published: _published.PublishedState) -> list[str]:
    return [one.name for one in published.endpoint_index.ready('s')]


class TestConfiguration:
    def test_lower_version_is_ignored(self) -> None:
        published = _published.PublishedState()
        published.apply_configuration(document(5, 10), 'store')
        published.apply_configuration(document(4, 11), 'gateway')
        assert published.version == 5

    def test_unreadable_document_keeps_the_current_one(self) -> None:
        published = _published.PublishedState()
        published.apply_configuration(document(5, 10), 'store')
        published.apply_configuration(
            _published.StoredItem('op/config', b'{', 12), 'store'
        )
        assert published.version == 5


class TestEndpoints:
    def test_older_change_is_ignored(self) -> None:
        published = _published.PublishedState()
        published.apply_listing([entry('a', 9, state='draining')], (0, 9), 0)
        published.apply_changes([entry('a', 5)], (0, 5), 0)
        assert not names(published)

    def test_older_entry_does_not_restore_a_deleted_endpoint(self) -> None:
        published = _published.PublishedState()
        published.apply_listing([entry('a', 3)], (0, 3), 0)
        published.apply_changes([deleted('a', 7)], (0, 7), 0)
        published.apply_changes([entry('a', 3)], (0, 3), 0)
        assert not names(published)

    def test_endpoint_missing_from_a_listing_is_removed(self) -> None:
        published = _published.PublishedState()
        published.apply_listing([entry('a', 3), entry('b', 4)], (0, 4), 0)
        published.apply_listing([entry('b', 4)], (0, 8), 0)
        assert names(published) == ['b']

    def test_missing_endpoint_is_kept_until_its_time_expires(self) -> None:
        published = _published.PublishedState()
        published.apply_listing([entry('a', 3)], (0, 3), 0)
        published.apply_listing([], (0, 8), 100)
        published.drop_expired(99)
        assert names(published) == ['a']
        published.drop_expired(101)
        assert not names(published)

    def test_endpoint_that_returns_in_time_does_not_expire(self) -> None:
        published = _published.PublishedState()
        published.apply_listing([entry('a', 3)], (0, 3), 0)
        published.apply_listing([], (0, 8), 100)
        published.apply_changes([entry('a', 9)], (0, 9), 0)
        published.drop_expired(101)
        assert names(published) == ['a']

    def test_invalid_entry_is_ignored(self) -> None:
        published = _published.PublishedState()
        published.apply_listing(
            [_published.StoredItem('servers/x', b'\xff', 3), entry('a', 3)],
            (0, 3),
            0,
        )
        assert names(published) == ['a']

    def test_exported_state_can_be_merged_by_another_gateway(self) -> None:
        one = _published.PublishedState()
        one.apply_configuration(document(5, 10), 'store')
        one.apply_listing([entry('a', 3), entry('b', 4)], (0, 4), 0)
        other = _published.PublishedState()
        for kind in (_published.CONFIGURATION, _published.ENDPOINTS):
            other.merge(kind, *one.export(kind))
        assert other.version == 5
        assert names(other) == ['a', 'b']
