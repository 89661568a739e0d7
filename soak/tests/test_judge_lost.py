"""What breaks a clause of LOST, and the nearest history that does not."""

import pytest

from soak import _history, _terms
from soak.judges import _lost
from soak.tests import builders

CHANGE = _terms.Change
CUT = builders.Cut
AT = 10.0
CLOSED = CUT().lines
CUT_OFF = [('configuration', ('req',))]


def configured() -> builders.Lines:
    """Return a change of configuration."""
    return [
        _history.Configured(AT, 1),
        _history.Configured(AT + 1, 1, taken=True),
    ]


class TestKeptConnection:
    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (CUT(kept=True).times(4), 1),
            (CUT(kept=True).times(3), 0),
            (CUT(kept=False).times(4), 0),
            (CUT(kept=True, passed_on=False).times(4), 0),
            (CUT(kept=True, work=_terms.Work.broken).times(4), 0),
            (CUT(kept=True, how=_terms.End.left).times(4), 0),
        ],
        ids=['four', 'three', 'new', 'not passed on', 'broke off', 'left'],
    )
    def test_four_closed_without_answer(
        self, lines: builders.Lines, broken: int
    ) -> None:
        assert len(builders.clauses(_lost.judge, lines)) == broken

    @pytest.mark.parametrize(
        ('over_at', 'broken'), [(AT - 2.01, 1), (AT - 1.9, 0)]
    )
    def test_machines_out_of_touch_are_left_out(
        self, over_at: float, broken: int
    ) -> None:
        lines = CUT(kept=True).times(4)
        store = [
            _history.Disrupted(1, 'm', 'silent'),
            _history.Disrupted(over_at, 'm', 'silent', over=True),
        ]
        assert len(builders.clauses(_lost.judge, lines, store)) == broken

    def test_silence_of_a_sound_endpoint_is_no_excuse(self) -> None:
        lines = CUT(kept=True).times(4)
        quiet = [_history.Disrupted(AT, 'e', 'quiet')]
        assert len(builders.clauses(_lost.judge, lines, quiet)) == 1


class TestSigterm:
    @pytest.mark.parametrize(
        ('lines', 'signal_at', 'broken'),
        [
            (CLOSED, AT + 0.5, True),
            (CLOSED, AT + 1.01, False),
            (CUT(held_s=10, passed_on=False).lines, AT + 1, True),
            (CUT(held_s=10, passed_on=False).lines, AT + 0.99, False),
            (CUT(passed_on=False, held_s=0.21).lines, AT, True),
            (CUT(passed_on=False, held_s=0.19).lines, AT, False),
            (CUT(passed_on=True, held_s=0.01).lines, AT, True),
            (CUT(time_s=1).lines, AT, False),
            (CUT(time_s=1.01).lines, AT, True),
            (CUT(work=_terms.Work.broken).lines, AT, False),
            (CUT(how=_terms.End.left).lines, AT, False),
            (CUT(at=AT + 3.1, held_s=5).lines, AT, True),
            (CUT(at=AT + 3, held_s=5).lines, AT, False),
            (CUT(held_s=6.6).lines, AT, True),
            (CUT(held_s=6.7).lines, AT, False),
        ],
        ids=[
            'cut',
            'cut before the signal',
            'within grace',
            'after grace',
            'read and not passed on',
            'not read',
            'passed on',
            'deadline reached',
            'deadline not reached',
            'endpoint broke off',
            'client left',
            'sent late, at work in the last sixth',
            'sent early, at work in the last sixth',
            'at work before the last sixth',
            'at work as the last sixth begins',
        ],
    )
    def test_planned_stop_loses_nothing(
        self, lines: builders.Lines, signal_at: float, broken: bool
    ) -> None:
        signal = builders.signal(signal_at, CHANGE.terminated)
        found = builders.clauses(_lost.judge, lines, signal)
        assert found == ([('SIGTERM', ('req',))] if broken else [])

    @pytest.mark.parametrize(
        ('change', 'at', 'broken'),
        [
            (CHANGE.killed, AT + 0.9, False),
            (CHANGE.killed, AT - 3.1, True),
            (CHANGE.paused, AT + 0.9, False),
        ],
    )
    def test_unplanned_disruption_excuses(
        self, change: _terms.Change, at: float, broken: bool
    ) -> None:
        lines = [
            *builders.signal(at, change),
            *builders.signal(at, CHANGE.started),
            *builders.signal(AT, CHANGE.terminated),
        ]
        found = builders.clauses(_lost.judge, CLOSED, lines)
        assert bool(found) == broken

    def test_kill_at_the_end_of_the_grace_time_is_planned(self) -> None:
        lines = [
            *builders.signal(AT, CHANGE.terminated),
            *builders.signal(AT + 8.1, CHANGE.killed),
            *builders.signal(AT + 8.3, CHANGE.started),
        ]
        cut = CUT(at=AT + 4, held_s=4.1).lines
        assert builders.clauses(_lost.judge, cut, lines)

    @pytest.mark.parametrize(
        ('kind', 'broken'),
        [
            (_terms.Kind.safe, True),
            (_terms.Kind.unsafe, True),
            (_terms.Kind.stream, False),
        ],
    )
    def test_store_alone_excuses_nothing_plain(
        self, kind: _terms.Kind, broken: bool
    ) -> None:
        lines = CUT(kind=kind).lines
        store = [_history.Disrupted(AT, _history.STORE, 'away')]
        signal = builders.signal(AT, CHANGE.terminated)
        found = builders.clauses(_lost.judge, lines, store, signal)
        assert bool(found) == broken


class TestSighup:
    @pytest.mark.parametrize(
        ('signal_at', 'broken'),
        [
            (AT - 1.99, True),
            (AT - 2.01, False),
            (AT + 1, True),
            (AT + 1.1, False),
        ],
    )
    def test_reload_loses_nothing(self, signal_at: float, broken: bool) -> None:
        signal = builders.signal(signal_at, CHANGE.reloaded)
        found = builders.clauses(_lost.judge, CLOSED, signal)
        assert found == ([('SIGHUP', ('req',))] if broken else [])


class TestConfiguration:
    @pytest.mark.parametrize(
        ('after_s', 'broken'),
        [(-0.01, []), (0, CUT_OFF), (4, CUT_OFF), (4.01, [])],
    )
    def test_change_loses_nothing(
        self, after_s: float, broken: builders.Clauses
    ) -> None:
        lines = CUT(at=AT + after_s - 1).lines
        found = builders.clauses(_lost.judge, lines, configured())
        assert found == broken

    @pytest.mark.parametrize(('cuts', 'broken'), [(4, 4), (3, 0)])
    def test_only_if_over_three_times_as_often(
        self, cuts: int, broken: int
    ) -> None:
        lines = [
            *CUT('apart', 30).lines,
            *builders.answered(9, 30),
            *CUT().times(cuts),
            *builders.answered(10 - cuts, AT),
        ]
        found = builders.clauses(_lost.judge, lines, configured())
        assert len(found) == broken

    @pytest.mark.parametrize(
        ('held_s', 'broken'), [(0.69, True), (0.71, False)]
    )
    def test_not_after_seven_tenths_of_the_time(
        self, held_s: float, broken: bool
    ) -> None:
        lines = CUT(held_s=held_s, time_s=1).lines
        found = builders.clauses(_lost.judge, lines, configured())
        assert bool(found) == broken


class TestResumedStreams:
    """Streams taken up again go on at least half as often as new ones begin."""

    def play(
        self, *, resumed: int, going_on: int, servers: tuple[str, ...]
    ) -> builders.Clauses:
        lines: builders.Lines = []
        for index in range(resumed):
            name = f'first{index}'
            closed = _terms.End.closed
            first = builders.Stream(name, AT, ((1, 'e0'),), how=closed)
            again = builders.Stream(
                f'again{index:02}',
                AT + 1,
                ((2, 'e1'), (3, 'e1'), (4, 'e1')) if index < going_on else (),
                how=_terms.End.whole if index < going_on else closed,
                after=1,
                resumes=name,
            )
            lines += [*first.lines, *again.lines]
        for number, version in enumerate(servers):
            lines.append(builders.listed(f'e{number}', version))
        return builders.clauses(_lost.judge, lines)

    @pytest.mark.parametrize(
        ('resumed', 'going_on', 'servers', 'broken'),
        [
            (12, 5, ('1', '1', '2'), ['resumed streams']),
            (12, 6, ('1', '1', '2'), []),
            (11, 0, ('1', '1', '2'), []),
            (12, 5, ('1', '2', '2'), []),
        ],
        ids=['under half', 'half', 'too few', 'one of its version'],
    )
    def test_share_that_goes_on(
        self,
        resumed: int,
        going_on: int,
        servers: tuple[str, ...],
        broken: list[str],
    ) -> None:
        found = self.play(resumed=resumed, going_on=going_on, servers=servers)
        assert [clause for clause, _ in found] == broken

    def test_requests_that_did_not_go_on_are_named(self) -> None:
        found = self.play(resumed=12, going_on=5, servers=('1', '1'))
        assert found[0][1][0] == 'again05'
