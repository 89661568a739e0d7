"""Tests of folding published entries into versions."""

import json
from typing import Any

import hypothesis
import json_merge_patch
import pytest
from hypothesis import strategies as st

from lentilspool import config, kernel
from lentilspool.config.tests import samples

_EMPTY_STAGES: dict[str, Any] = {'pipelines': {'draft': {'stages': []}}}
_INVALID_TIME = {'providers': {'cloud': {'expires_at': 'soon'}}}
_TIME_WITHOUT_OFFSET = {
    'providers': {'cloud': {'expires_at': '2027-01-01T00:00:00'}}
}
_REGISTERED_NAMES = config.registered_names(kernel.Registry())


def _refusal(
    *entries: bytes, known: config.KnownNames | None = None
) -> config.EntryRefused:
    history = config.begin((samples.base(), *entries), known)
    verdict = history.verdicts[-1]
    assert isinstance(verdict, config.EntryRefused)
    return verdict


class TestAccepted:
    def test_a_patch_increments_the_version(self) -> None:
        entries = (samples.base(7), samples.share(8, 7, 'desk', 2))
        history = config.begin(entries)
        assert (history.state.number, history.state.version) == (8, 8)
        assert history.state.document.teams['desk'].share == 2

    def test_patches_of_different_paths_do_not_conflict(self) -> None:
        first = samples.share(2, 1, 'desk', 2)
        other = samples.share(3, 1, 'roster', 3)
        history = config.begin((samples.base(), first, other))
        assert history.state.version == 3
        assert set(history.state.document.teams) == {'desk', 'roster'}

    def test_digest_after_a_base_ignores_earlier_entries(self) -> None:
        log = (samples.base(), samples.share(2, 1, 'desk', 2), samples.base(3))
        later = samples.share(4, 3, 'desk', 5)
        from_first_base = config.begin((*log, later))
        from_second_base = config.begin((log[-1], later))
        assert from_first_base.state.digest == from_second_base.state.digest


class TestRefused:
    @pytest.mark.parametrize(
        ('merge', 'path'),
        [
            ({'pools': {'models': None}}, '$.pipelines.draft.stages[1].pool'),
            (_EMPTY_STAGES, '$.pipelines.draft.stages'),
            (_INVALID_TIME, '$.providers.cloud.expires_at'),
            (_TIME_WITHOUT_OFFSET, '$.providers.cloud.expires_at'),
            ({'teams': {'desk': {'shore': 1}}}, '$.teams.desk.shore'),
            ({'teams': {'desk': {'share': 'x'}}}, '$.teams.desk.share'),
            ({'teams': {'desk': {'share': -1}}}, '$.teams.desk.share'),
            ({'key_slots': {'none': ['a']}}, '$.key_slots.none'),
            ({'pools': {'spare': {'routing': 'no'}}}, '$.pools.spare.routing'),
            ({'teams': {'desk': {'share': 'x' * 1_000_000}}}, '$'),
        ],
    )
    def test_invalid_document_is_refused_with_the_path(
        self, merge: dict[str, Any], path: str
    ) -> None:
        refused = _refusal(samples.patch(2, 1, merge), known=_REGISTERED_NAMES)
        assert refused.reason is config.RefusalReason.invalid
        assert refused.path == path
        assert refused.version == 1

    @pytest.mark.parametrize(
        'merge',
        [
            {'teams': {'desk': {'share': 3}}},
            {'teams': {'desk': None}},
            {'teams': {'desk': {'share': None}}},
        ],
    )
    def test_conflict_with_a_later_change(self, merge: dict[str, Any]) -> None:
        first = samples.share(2, 1, 'desk', 2)
        refused = _refusal(first, samples.patch(3, 1, merge))
        assert refused.reason is config.RefusalReason.conflict
        assert refused.path.startswith('$.teams.desk')

    def test_patch_against_a_version_before_the_base_is_stale(self) -> None:
        entries = (samples.base(9), samples.share(10, 8, 'desk', 2))
        verdict = config.begin(entries).verdicts[-1]
        assert isinstance(verdict, config.EntryRefused)
        assert verdict.reason is config.RefusalReason.stale

    def test_patch_against_a_future_version_is_invalid(self) -> None:
        refused = _refusal(samples.share(2, 5, 'desk', 2))
        assert refused.reason is config.RefusalReason.invalid

    @pytest.mark.parametrize(
        'plain',
        [
            {'number': 2},
            {'number': 2, 'against': 1, 'author': 'a', 'merge': [1]},
            {'number': 2, 'against': 'x', 'author': 'a', 'merge': {}},
        ],
    )
    def test_malformed_entry_is_invalid(self, plain: dict[str, Any]) -> None:
        refused = _refusal(config.encode_entry(plain))
        assert refused.reason is config.RefusalReason.invalid

    def test_deeply_nested_entry_is_refused(self) -> None:
        merge: dict[str, object] = {}
        for _ in range(200):
            merge = {'a': merge}
        refused = _refusal(samples.patch(2, 1, merge))
        assert 'nested' in refused.detail

    def test_digest_covers_refused_entries(self) -> None:
        one = config.begin((samples.base(), samples.share(2, 9, 'a', 1)))
        other = config.begin((samples.base(), samples.share(2, 8, 'a', 1)))
        assert one.state.version == other.state.version
        assert one.state.digest != other.state.digest


_AMOUNTS: st.SearchStrategy[Any] = st.sampled_from([1, 2, -1, None, 'x', {}])
_TEAMS = st.dictionaries(
    st.sampled_from(['desk', 'b']),
    st.one_of(st.none(), st.dictionaries(st.just('share'), _AMOUNTS), _AMOUNTS),
)
_POOLS = st.dictionaries(
    st.sampled_from(['spare', 'models', 'new']),
    st.one_of(
        st.none(),
        st.dictionaries(st.sampled_from(['price', 'kind', 'no']), _AMOUNTS),
    ),
)
_MERGES = st.fixed_dictionaries(
    {}, optional={'teams': _TEAMS, 'pools': _POOLS, 'policies': st.just({})}
)


class TestIncrementalConversion:
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(merges=st.lists(_MERGES, max_size=4))
    @hypothesis.example(
        merges=[{'pools': {'spare': None, 'new': {'price': 'x', 'kind': 1}}}]
    )
    def test_equals_conversion_of_the_whole_document(
        self, merges: list[dict[str, Any]]
    ) -> None:
        history = config.begin((samples.base(),))
        for number, merge in enumerate(merges, start=2):
            before = history.state
            raw = samples.patch(number, before.version, merge)
            history = history.extended((raw,))
            expected_document = config.convert_document(
                json.loads(history.state.text)
            )
            assert history.state.document == expected_document
            published = json.loads(raw)['merge']
            expected = _fold_without_shortcut(before.text, published)
            verdict = history.verdicts[-1]
            if isinstance(verdict, config.EntryAccepted):
                assert expected == history.state.document
            else:
                problem = config.Problem(verdict.path, verdict.detail)
                assert expected == problem


def _fold_without_shortcut(
    text: bytes, merge: dict[str, Any]
) -> config.Document | config.Problem:
    """Return the outcome of a patch when the whole document is converted."""
    plain = json_merge_patch.merge(json.loads(text), merge)
    document = config.convert_document(plain)
    if isinstance(document, config.Problem):
        return document
    return next(iter(config.check_document(document)), document)
