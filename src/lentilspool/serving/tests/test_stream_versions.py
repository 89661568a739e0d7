"""Tests of the table of streams and of the versions that were listed."""

import dataclasses
import random

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders

NEW = serving.StreamVersion('model', 'v1.2')
OLD = serving.StreamVersion('model', 'v1.1')


def endpoint(version: str, service: str = 'model') -> serving.Endpoint:
    plain = builders.endpoint('e', service)
    return dataclasses.replace(plain, version=version)


class TestStreamKey:
    @pytest.mark.parametrize(
        ('team', 'request_id'), [('b', 'x'), ('a', 'y'), ('a x', ''), ('', 'x')]
    )
    def test_teams_cannot_name_each_others_streams(
        self, team: str, request_id: str
    ) -> None:
        assert serving.stream_key('a', 'x') != serving.stream_key(
            team, request_id
        )

    def test_size_does_not_depend_on_the_request_id(self) -> None:
        assert len(serving.stream_key('a', 'x' * 60_000)) == len(
            serving.stream_key('', '')
        )


class TestStreamVersions:
    def test_latest_record_of_a_stream_counts(self) -> None:
        table = serving.StreamVersions()
        table.record('s', OLD, 5, 0)
        table.record('s', NEW, 5, 1)
        assert table.find('s', 5.9) == NEW
        assert table.find('s', 6) is None

    def test_expired_streams_are_dropped(self) -> None:
        table = serving.StreamVersions()
        for number in range(100):
            table.record(f's{number}', NEW, 1, number)
        assert len(table) == 1

    def test_number_is_bounded_and_the_oldest_dropped_first(self) -> None:
        table = serving.StreamVersions(3)
        for number in range(4):
            table.record(f's{number}', NEW, 100, 0)
        assert len(table) == 3
        assert table.find('s0', 1) is None
        assert table.find('s3', 1) == NEW

    @pytest.mark.parametrize('seed', range(20))
    def test_no_answer_differs_from_the_last_record(self, seed: int) -> None:
        rng = random.Random(seed)
        table = serving.StreamVersions(5)
        plain: dict[str, tuple[serving.StreamVersion, float]] = {}
        now = 0.0
        for _ in range(300):
            now += rng.random()
            key = f's{rng.randrange(8)}'
            if rng.randrange(2):
                begun = rng.choice((OLD, NEW))
                keep_s = rng.uniform(0, 5)
                table.record(key, begun, keep_s, now)
                plain[key] = (begun, now + keep_s)
            found = table.find(key, now)
            expected, until = plain.get(key, (None, 0))
            assert len(table) <= 5
            assert found is None or found == expected
            assert found is None or now < until


class TestVersionHistory:
    def followed(self) -> serving.VersionHistory:
        """Return a history that began at time 0 and revision 3."""
        history = serving.VersionHistory()
        history.update([endpoint('v1')], 0)
        history.begin((0, 3), 0)
        return history

    def test_version_that_left_is_kept_for_a_time(self) -> None:
        history = serving.VersionHistory()
        history.update([endpoint('v1'), endpoint('v2')], 0)
        history.update([endpoint('v1')], 10)
        assert history.versions(['model'], 5, 15) == {'v1', 'v2'}
        assert history.versions(['model'], 5, 15.1) == {'v1'}

    def test_version_that_was_listed_for_a_moment_is_kept(self) -> None:
        history = serving.VersionHistory()
        history.update([endpoint('v1')], 0)
        history.add(endpoint('v2'))
        history.update([endpoint('v1')], 10)
        assert history.versions(['model'], 5, 12) == {'v1', 'v2'}

    def test_other_services_do_not_count(self) -> None:
        history = serving.VersionHistory()
        history.update([endpoint('v1'), endpoint('v2', 'search')], 0)
        assert history.versions(['model'], 5, 1) == {'v1'}

    def test_listing_counts_once_it_was_followed_for_long(self) -> None:
        history = self.followed()
        assert history.covers(20, 30)
        assert not history.covers(30, 30)

    def test_listing_of_a_gateway_without_a_store_does_not_count(self) -> None:
        history = serving.VersionHistory()
        history.update([endpoint('v1')], 0)
        assert not history.covers(1, 1000)

    def test_history_has_no_gap_while_revisions_follow_each_other(
        self,
    ) -> None:
        history = self.followed()
        history.follow((0, 8))
        history.follow((0, 5))
        assert history.began == (0, 3)
        assert history.followed == (0, 8)
        assert history.covers(50, 114)

    def test_history_begins_anew_with_a_new_listing(self) -> None:
        history = self.followed()
        history.begin((0, 9), 120)
        assert not history.covers(5, 121)
        assert history.covers(5, 126)
        assert history.began == (0, 9)

    def test_complete_history_covers_any_time(self) -> None:
        history = self.followed()
        history.complete([endpoint('v1')], 1)
        assert history.is_complete
        assert history.covers(1000, 1)
        assert history.versions(['model'], 5, 1) == {'v1'}

    def test_version_of_a_complete_history_may_have_just_left(self) -> None:
        history = self.followed()
        history.complete([endpoint('v1'), endpoint('v2')], 10)
        assert history.versions(['model'], 5, 15) == {'v1', 'v2'}
        assert history.versions(['model'], 5, 16) == {'v1'}

    def test_new_listing_ends_a_complete_history(self) -> None:
        history = self.followed()
        history.complete([endpoint('v1')], 1)
        history.begin((0, 9), 2)
        assert not history.is_complete
