import collections
import random

import pytest

from lentilspool import membership

_LIMITS = membership.SubsetLimits()


def _places(
    prefix: str, count: int, zones: int = 5
) -> tuple[membership.ProcessLocation, ...]:
    return tuple(
        membership.ProcessLocation(f'{prefix}{number}', f'z{number % zones}')
        for number in range(count)
    )


def _pairs(subsets: membership.Subsets) -> set[tuple[str, str]]:
    return {
        (entry, endpoint)
        for entry, endpoints in subsets.items()
        for endpoint in endpoints
    }


class TestEvenSubsets:
    @pytest.mark.parametrize(
        ('entries', 'endpoints'),
        [(100, 20), (100, 60), (40, 12), (200, 35), (300, 8)],
    )
    def test_endpoints_get_similar_numbers_of_entries(
        self, entries: int, endpoints: int
    ) -> None:
        subsets = membership.even_subsets(
            _places('e', entries), _places('s', endpoints), _LIMITS
        )
        counts = collections.Counter(name for _, name in _pairs(subsets))
        mean = sum(counts.values()) / endpoints
        assert len(counts) == endpoints
        assert max(abs(count - mean) for count in counts.values()) <= max(
            mean * 0.25, 1
        )
        sizes = {len(names) for names in subsets.values()}
        assert min(sizes) >= _LIMITS.min_size

    @pytest.mark.parametrize('removed', ['entry', 'endpoint'])
    def test_removal_of_one_host_changes_few_pairs(self, removed: str) -> None:
        entries = _places('e', 150)
        endpoints = _places('s', 30)
        before = _pairs(membership.even_subsets(entries, endpoints, _LIMITS))
        total = 0.0
        for index in range(10):
            if removed == 'entry':
                removed_name = entries[index].name
                remaining = entries[:index] + entries[index + 1 :], endpoints
            else:
                removed_name = endpoints[index].name
                remaining = entries, endpoints[:index] + endpoints[index + 1 :]
            after = _pairs(membership.even_subsets(*remaining, _LIMITS))
            ideal = 2 * sum(removed_name in pair for pair in before)
            total += len(before ^ after) / ideal
        assert total / 10 <= 2

    def test_result_does_not_depend_on_input_order(self) -> None:
        entries = list(_places('e', 60))
        endpoints = list(_places('s', 20))
        expected = membership.even_subsets(entries, endpoints, _LIMITS)
        random.Random(1).shuffle(entries)
        random.Random(2).shuffle(endpoints)
        shuffled = membership.even_subsets(entries, endpoints, _LIMITS)
        assert shuffled == expected

    def test_small_fleet_connects_all_pairs(self) -> None:
        subsets = membership.even_subsets(
            _places('e', 3), _places('s', 5), _LIMITS
        )
        assert {len(names) for names in subsets.values()} == {5}

    def test_own_zone_is_preferred(self) -> None:
        entries = _places('e', 100)
        endpoints = _places('s', 50)
        subsets = membership.even_subsets(entries, endpoints, _LIMITS)
        zones = {place.name: place.zone for place in entries + endpoints}
        local = sum(zones[one] == zones[two] for one, two in _pairs(subsets))
        assert local / len(_pairs(subsets)) > 2 / 5

    def test_no_entries_or_no_endpoints(self) -> None:
        assert not membership.even_subsets((), _places('s', 2), _LIMITS)
        assert membership.even_subsets(_places('e', 1), (), _LIMITS) == {
            'e0': ()
        }


class TestMeanCoverage:
    @pytest.mark.parametrize(
        ('entries', 'endpoints', 'coverage'),
        [
            (1, 5, 1),
            (3, 10, 3),
            (550, 2300, 24),
            (550, 10, 110),
            (5, 0, 5),
        ],
    )
    def test_limit_or_minimum_size_or_all_entries(
        self, entries: int, endpoints: int, coverage: float
    ) -> None:
        limits = membership.SubsetLimits()
        found = membership.mean_coverage(entries, endpoints, limits)
        assert found == coverage
