"""Tests of the quarantine and of exchanging suspicions between entries."""

import hypothesis
import pytest
from hypothesis import strategies as st

from lentilspool import admission, kernel

LIMITS = admission.QuarantineLimits(
    max_entries=3, suspicion_s=60, refusal_s=600, spread_s=0.5
)


def make_quarantine() -> admission.Quarantine:
    return admission.Quarantine(LIMITS)


class TestQuarantine:
    def test_suspicion_makes_contents_run_alone_after_a_delay(self) -> None:
        quarantine = make_quarantine()
        quarantine.record_endpoint_death('e1@1', ['poison', 'innocent'], 10)
        assert quarantine.decide('poison', 10) == admission.RunAlone(0.5)
        assert quarantine.decide('innocent', 11) == admission.RunAlone(0)
        assert quarantine.decide('other', 11) == admission.RunFreely()

    def test_second_death_quarantines_only_its_content(self) -> None:
        quarantine = make_quarantine()
        quarantine.record_endpoint_death('e1@1', ['poison', 'innocent'], 10)
        quarantine.record_endpoint_death('e2@1', ['poison'], 11)
        assert quarantine.clear_completed('innocent', 12)
        assert quarantine.decide('innocent', 12) == admission.RunFreely()
        judgement = quarantine.decide('poison', 12)
        assert isinstance(judgement, admission.Quarantined)
        assert judgement.outcome.reason is kernel.NotRunReason.quarantined
        assert judgement.outcome.retry_after_s == 599

    def test_same_death_counts_once(self) -> None:
        quarantine = make_quarantine()
        for _ in range(3):
            quarantine.record_endpoint_death('e1@1', ['content'], 10)
        assert isinstance(quarantine.decide('content', 10), admission.RunAlone)

    @pytest.mark.parametrize(
        ('deaths', 'lifetime_s'), [(('e1@1',), 60), (('e1@1', 'e2@1'), 600)]
    )
    def test_suspicion_expires(
        self, deaths: tuple[str, ...], lifetime_s: float
    ) -> None:
        quarantine = make_quarantine()
        for death in deaths:
            quarantine.record_endpoint_death(death, ['content'], 0)
        before = quarantine.decide('content', lifetime_s - 0.1)
        assert before != admission.RunFreely()
        assert quarantine.decide('content', lifetime_s) == admission.RunFreely()
        assert quarantine.suspicions_to_share(lifetime_s) == ()

    def test_full_table_evicts_contents_with_fewest_deaths(self) -> None:
        quarantine = make_quarantine()
        quarantine.record_endpoint_death('e1@1', ['poison'], 0)
        quarantine.record_endpoint_death('e2@1', ['poison'], 0)
        for number in range(10):
            quarantine.record_endpoint_death('e3@1', [f'c{number}'], number)
        assert quarantine.size == 3
        assert isinstance(quarantine.decide('poison', 9), admission.Quarantined)

    def test_completion_at_one_service_leaves_other_deaths(self) -> None:
        quarantine = make_quarantine()
        quarantine.record_endpoint_death('search e1@1', ['content'], 10)
        quarantine.record_endpoint_death('model e2@1', ['content'], 10)
        assert quarantine.clear_completed('content', 11, 'search ')
        assert quarantine.open_deaths('content', 11) == 1
        assert not quarantine.clear_completed('content', 11, 'search ')

    def test_only_changes_are_sent_again(self) -> None:
        quarantine = make_quarantine()
        quarantine.record_endpoint_death('e1@1', ['old', 'new'], 10)
        version = quarantine.version
        assert not quarantine.suspicions_since(version, 10)
        quarantine.record_endpoint_death('e2@1', ['new'], 11)
        (changed,) = quarantine.suspicions_since(version, 11)
        assert changed.content_digest == 'new'
        assert changed.deaths == {'e1@1', 'e2@1'}

    def test_entries_agree_after_an_exchange(self) -> None:
        first, second = make_quarantine(), make_quarantine()
        first.record_endpoint_death('e1@1', ['poison', 'innocent'], 10)
        second.record_endpoint_death('e2@1', ['poison'], 10)
        second.clear_completed('innocent', 10)
        assert second.merge(first.suspicions_to_share(10), 10)
        first.clear_completed('innocent', 10)
        assert first.merge(second.suspicions_to_share(10), 10)
        assert second.merge(first.suspicions_to_share(10), 10)
        for quarantine in (first, second):
            assert isinstance(
                quarantine.decide('poison', 11), admission.Quarantined
            )
            assert quarantine.decide('innocent', 11) == admission.RunFreely()
        assert not first.merge(second.suspicions_to_share(11), 11)

    def test_repeated_exchange_does_not_extend_a_suspicion(self) -> None:
        first, second = make_quarantine(), make_quarantine()
        first.record_endpoint_death('e1@1', ['content'], 0)
        for now in range(59):
            second.merge(first.suspicions_to_share(now), now)
            first.merge(second.suspicions_to_share(now), now)
        for quarantine in (first, second):
            assert quarantine.decide('content', 60) == admission.RunFreely()

    def test_encoded_suspicion_can_be_decoded(self) -> None:
        quarantine = make_quarantine()
        quarantine.record_endpoint_death('e1@1', ['poison'], 10)
        suspicion = quarantine.suspicions_to_share(11)[0]
        text = admission.encode_suspicion(suspicion)
        assert admission.decode_suspicion(text) == suspicion
        assert admission.decode_suspicion(text[1:]) is None


CONTENTS = ('a', 'b', 'c')
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('die', 'complete', 'share')),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sets(st.sampled_from(CONTENTS), min_size=1),
    ),
    max_size=30,
)


class TestExchange:
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(steps=STEPS)
    def test_refused_only_for_two_open_deaths(
        self, steps: list[tuple[str, int, int, set[str]]]
    ) -> None:
        tables = [make_quarantine() for _ in range(3)]
        deaths: dict[str, set[str]] = {name: set() for name in CONTENTS}
        for number, (action, table_index, target_index, names) in enumerate(
            steps
        ):
            table = tables[table_index]
            if action == 'share':
                tables[target_index].merge(table.suspicions_to_share(1), 1)
            for name in names:
                if action == 'die':
                    deaths[name].add(f'e{number}')
                    table.record_endpoint_death(f'e{number}', [name], 1)
                elif action == 'complete' and table.clear_completed(name, 1):
                    assert table.decide(name, 1) == admission.RunFreely()
        for name in CONTENTS:
            for table in tables:
                refused = isinstance(
                    table.decide(name, 1), admission.Quarantined
                )
                assert not refused or len(deaths[name]) >= 2

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(steps=STEPS)
    def test_tables_agree_after_a_full_exchange(
        self, steps: list[tuple[str, int, int, set[str]]]
    ) -> None:
        tables = [make_quarantine() for _ in range(3)]
        for number, (action, table_index, _, names) in enumerate(steps):
            if action == 'die':
                tables[table_index].record_endpoint_death(
                    f'e{number}', names, 1
                )
            for name in names:
                if action == 'complete':
                    tables[table_index].clear_completed(name, 1)
        for _ in range(2):
            for source in tables:
                for target in tables:
                    target.merge(source.suspicions_to_share(1), 1)
        for name in CONTENTS:
            judgements = {str(table.decide(name, 1)) for table in tables}
            assert len(judgements) == 1
