import hypothesis
from hypothesis import strategies as st

from lentilspool import routing


def _event(
    sequence: int,
    stored: tuple[int, ...] = (),
    evicted: tuple[int, ...] = (),
    incarnation: str = 'i1',
) -> routing.CacheEvent:
    return routing.CacheEvent('e', incarnation, sequence, stored, evicted)


class TestPrefixIndex:
    def test_routed_prompt_counts_as_cached_until_its_lease_ends(self) -> None:
        index = routing.PrefixIndex(routed_lease_s=30)
        index.expect_cached('e', (1, 2, 3), 0)
        assert index.cached_block_counts((1, 2, 9), 1) == {'e': 2}
        assert not index.cached_block_counts((1, 2, 9), 30)
        index.expire(30)
        assert index.size == 0

    def test_cached_block_implies_all_blocks_before_it(self) -> None:
        index = routing.PrefixIndex()
        index.apply_event(_event(1, stored=(3,)), 0)
        assert index.cached_block_counts((1, 2, 3, 4), 1) == {'e': 3}

    def test_evicted_blocks_are_not_counted(self) -> None:
        index = routing.PrefixIndex()
        index.apply_event(_event(1, stored=(1, 2, 3)), 0)
        index.apply_event(_event(2, evicted=(2, 3)), 0)
        assert index.cached_block_counts((1, 2, 3), 1) == {'e': 1}

    def test_outdated_event_is_ignored(self) -> None:
        index = routing.PrefixIndex()
        index.apply_event(_event(2, stored=(1,)), 0)
        index.apply_event(_event(1, evicted=(1,)), 0)
        assert index.cached_block_counts((1,), 1) == {'e': 1}

    def test_gap_requires_a_snapshot_and_shortens_leases(self) -> None:
        index = routing.PrefixIndex()
        index.apply_event(_event(1, stored=(1,)), 0)
        verdict = index.apply_event(_event(4, stored=(5,)), 0)
        assert verdict == routing.ResyncNeeded('e', 2)
        assert index.cached_block_counts((1,), 9) == {'e': 1}
        assert not index.cached_block_counts((1,), 11)
        snapshot = routing.CacheSnapshot('e', 'i1', 4, (7, 8))
        index.apply_snapshot(snapshot, 12)
        assert index.cached_block_counts((7, 8), 13) == {'e': 2}
        assert not index.cached_block_counts((5,), 15)

    def test_snapshot_older_than_the_last_event_is_ignored(self) -> None:
        index = routing.PrefixIndex()
        index.apply_event(_event(9, stored=(1,)), 0)
        index.apply_snapshot(routing.CacheSnapshot('e', 'i1', 4, ()), 0)
        assert index.cached_block_counts((1,), 1) == {'e': 1}

    def test_new_incarnation_starts_with_an_empty_cache(self) -> None:
        index = routing.PrefixIndex()
        index.expect_cached('other', (1,), 0)
        index.apply_event(_event(5, stored=(1,)), 0)
        index.apply_event(_event(1, stored=(2,), incarnation='i2'), 0)
        assert index.cached_block_counts((1, 2), 1) == {'e': 2, 'other': 1}
        assert index.cached_block_counts((1,), 1) == {'other': 1}

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        steps=st.lists(
            st.tuples(
                st.sampled_from('abc'),
                st.integers(0, 8),
                st.lists(st.integers(0, 12), max_size=6),
                st.booleans(),
            ),
            max_size=80,
        )
    )
    def test_size_is_bounded_and_zero_after_all_leases_ended(
        self, steps: list[tuple[str, int, list[int], bool]]
    ) -> None:
        index = routing.PrefixIndex(max_entries=10)
        for now, (endpoint, sequence, blocks, is_routed) in enumerate(steps):
            if is_routed:
                index.expect_cached(endpoint, blocks, now)
            else:
                stored, evicted = tuple(blocks[::2]), tuple(blocks[1::2])
                index.apply_event(
                    routing.CacheEvent(
                        endpoint, 'i', sequence, stored, evicted
                    ),
                    now,
                )
            assert 0 <= index.size <= 10
        index.expire(1000)
        assert index.size == 0
        for endpoint in 'abc':
            index.remove_endpoint(endpoint)
        assert not index.cached_block_counts(range(13), 0)
