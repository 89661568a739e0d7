"""Tests of published state: never back to an older one."""

import json

import msgspec

from lentilspool.gateway import _published


def entry(
    name: str, revision: int, *, state: str = 'ready'
) -> _published.Stored:
    content = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': 1,
        'state': state,
    }
    return _published.Stored(
        f'servers/{name}', msgspec.json.encode(content), revision
    )


def gone(name: str, revision: int) -> _published.Stored:
    return _published.Stored(f'servers/{name}', None, revision)


def document(version: int, revision: int) -> _published.Stored:
    content = {'version': version, 'routes': [], 'services': []}
    return _published.Stored(
        'op/config', json.dumps(content).encode(), revision
    )


def names(published: _published.Published) -> list[str]:
    return [one.name for one in published.directory.ready('s')]


class TestConfiguration:
    def test_lower_version_is_not_taken(self) -> None:
        published = _published.Published()
        published.configure(document(5, 10), 'store')
        published.configure(document(4, 11), 'gateway')
        assert published.version == 5

    def test_unreadable_document_leaves_the_old_one(self) -> None:
        published = _published.Published()
        published.configure(document(5, 10), 'store')
        published.configure(_published.Stored('op/config', b'{', 12), 'store')
        assert published.version == 5


class TestEndpoints:
    def test_older_change_is_not_taken(self) -> None:
        published = _published.Published()
        published.list_endpoints([entry('a', 9, state='draining')], 9, 0)
        published.change_endpoints([entry('a', 5)], 5, 0)
        assert not names(published)

    def test_older_entry_does_not_bring_back_what_is_gone(self) -> None:
        published = _published.Published()
        published.list_endpoints([entry('a', 3)], 3, 0)
        published.change_endpoints([gone('a', 7)], 7, 0)
        published.change_endpoints([entry('a', 3)], 3, 0)
        assert not names(published)

    def test_listing_drops_what_it_lacks(self) -> None:
        published = _published.Published()
        published.list_endpoints([entry('a', 3), entry('b', 4)], 4, 0)
        published.list_endpoints([entry('b', 4)], 8, 0)
        assert names(published) == ['b']

    def test_what_lapsed_in_an_outage_is_kept_for_a_time(self) -> None:
        published = _published.Published()
        published.list_endpoints([entry('a', 3)], 3, 0)
        published.list_endpoints([], 8, 100)
        published.drop_lapsed(99)
        assert names(published) == ['a']
        published.drop_lapsed(101)
        assert not names(published)

    def test_what_comes_back_after_an_outage_stays(self) -> None:
        published = _published.Published()
        published.list_endpoints([entry('a', 3)], 3, 0)
        published.list_endpoints([], 8, 100)
        published.change_endpoints([entry('a', 9)], 9, 0)
        published.drop_lapsed(101)
        assert names(published) == ['a']

    def test_entry_of_another_writer_names_no_endpoint(self) -> None:
        published = _published.Published()
        published.list_endpoints(
            [_published.Stored('servers/x', b'\xff', 3), entry('a', 3)], 3, 0
        )
        assert names(published) == ['a']

    def test_gateways_share_what_they_know(self) -> None:
        one = _published.Published()
        one.configure(document(5, 10), 'store')
        one.list_endpoints([entry('a', 3), entry('b', 4)], 4, 0)
        other = _published.Published()
        for kind in (_published.CONFIGURATION, _published.ENDPOINTS):
            other.learn(kind, *one.share(kind))
        assert other.version == 5
        assert names(other) == ['a', 'b']
