"""Tests of the quarantine and of its exchange between entries."""

import hypothesis
import pytest
from hypothesis import strategies as st

from lentilspool import admission, kernel

LIMITS = admission.QuarantineLimits(
    max_entries=3, suspicion_s=60, refusal_s=600, spread_s=0.5
)


def quarantine() -> admission.Quarantine:
    return admission.Quarantine(LIMITS)


class TestQuarantine:
    def test_suspects_run_alone_once_others_know(self) -> None:
        held = quarantine()
        held.endpoint_died('e1@1', ['poison', 'innocent'], 10)
        assert held.judge('poison', 10) == admission.RunAlone(0.5)
        assert held.judge('innocent', 11) == admission.RunAlone(0)
        assert held.judge('other', 11) == admission.RunFreely()

    def test_second_death_is_refused_and_neighbour_cleared(self) -> None:
        held = quarantine()
        held.endpoint_died('e1@1', ['poison', 'innocent'], 10)
        held.endpoint_died('e2@1', ['poison'], 11)
        assert held.completed('innocent', 12)
        assert held.judge('innocent', 12) == admission.RunFreely()
        judged = held.judge('poison', 12)
        assert isinstance(judged, admission.Quarantined)
        assert judged.outcome.reason is kernel.NotRunReason.quarantined
        assert judged.outcome.retry_after_s == 599

    def test_same_death_counts_once(self) -> None:
        held = quarantine()
        for _ in range(3):
            held.endpoint_died('e1@1', ['content'], 10)
        assert isinstance(held.judge('content', 10), admission.RunAlone)

    @pytest.mark.parametrize(
        ('deaths', 'last_s'), [(('e1@1',), 60), (('e1@1', 'e2@1'), 600)]
    )
    def test_suspicion_ends_with_its_lease(
        self, deaths: tuple[str, ...], last_s: float
    ) -> None:
        held = quarantine()
        for death in deaths:
            held.endpoint_died(death, ['content'], 0)
        before = held.judge('content', last_s - 0.1)
        assert before != admission.RunFreely()
        assert held.judge('content', last_s) == admission.RunFreely()
        assert held.shared(last_s) == ()

    def test_table_is_bounded_and_keeps_the_worst(self) -> None:
        held = quarantine()
        held.endpoint_died('e1@1', ['poison'], 0)
        held.endpoint_died('e2@1', ['poison'], 0)
        for number in range(10):
            held.endpoint_died('e3@1', [f'c{number}'], number)
        assert held.size == 3
        assert isinstance(held.judge('poison', 9), admission.Quarantined)

    def test_entries_agree_after_an_exchange(self) -> None:
        first, second = quarantine(), quarantine()
        first.endpoint_died('e1@1', ['poison', 'innocent'], 10)
        second.endpoint_died('e2@1', ['poison'], 10)
        second.completed('innocent', 10)
        assert second.merge(first.shared(10), 10)
        first.completed('innocent', 10)
        assert first.merge(second.shared(10), 10)
        assert second.merge(first.shared(10), 10)
        for held in (first, second):
            assert isinstance(held.judge('poison', 11), admission.Quarantined)
            assert held.judge('innocent', 11) == admission.RunFreely()
        assert not first.merge(second.shared(11), 11)

    def test_echo_never_lengthens_a_lease(self) -> None:
        first, second = quarantine(), quarantine()
        first.endpoint_died('e1@1', ['content'], 0)
        for now in range(59):
            second.merge(first.shared(now), now)
            first.merge(second.shared(now), now)
        for held in (first, second):
            assert held.judge('content', 60) == admission.RunFreely()

    def test_text_of_heartbeats(self) -> None:
        held = quarantine()
        held.endpoint_died('e1@1', ['poison'], 10)
        suspicion = held.shared(11)[0]
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
        tables = [quarantine() for _ in range(3)]
        deaths: dict[str, set[str]] = {name: set() for name in CONTENTS}
        for number, (act, place, other, names) in enumerate(steps):
            table = tables[place]
            if act == 'share':
                tables[other].merge(table.shared(1), 1)
            for name in names:
                if act == 'die':
                    deaths[name].add(f'e{number}')
                    table.endpoint_died(f'e{number}', [name], 1)
                elif act == 'complete' and table.completed(name, 1):
                    assert table.judge(name, 1) == admission.RunFreely()
        for name in CONTENTS:
            for table in tables:
                refused = isinstance(
                    table.judge(name, 1), admission.Quarantined
                )
                assert not refused or len(deaths[name]) >= 2

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(steps=STEPS)
    def test_tables_agree_after_a_full_exchange(
        self, steps: list[tuple[str, int, int, set[str]]]
    ) -> None:
        tables = [quarantine() for _ in range(3)]
        for number, (act, place, _, names) in enumerate(steps):
            if act == 'die':
                tables[place].endpoint_died(f'e{number}', names, 1)
            for name in names:
                if act == 'complete':
                    tables[place].completed(name, 1)
        for _ in range(2):
            for source in tables:
                for target in tables:
                    target.merge(source.shared(1), 1)
        for name in CONTENTS:
            judged = {str(table.judge(name, 1)) for table in tables}
            assert len(judged) == 1
