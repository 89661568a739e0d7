"""What breaks TWICE and REFUSED, and the nearest history that does not."""

import pytest

from soak import _history, _terms
from soak.judges import _refused, _twice
from soak.tests import builders

KIND = _terms.Kind


def request(kind: _terms.Kind, runs: int, status: int = 200) -> builders.Lines:
    """Return a request that runs some times at once."""
    lines: builders.Lines = [
        _history.Sent(1, 'req', 'm', 'route', kind, 4),
        _history.Ended(2, 'req', _terms.End.whole, status),
    ]
    for number in range(runs):
        lines.append(_history.Ran(1, 'req', f'e/{number}', 'e'))
    return lines


def going_on(overlap_s: float, endpoint: str = 'f') -> builders.Lines:
    """Return a stream that goes on while its first run is still at work."""
    kind = KIND.resumable
    return [
        _history.Sent(10, 'req', 'm', 'route', kind, 4),
        _history.Ran(10, 'req', 'e/1', 'e', last=8),
        _history.Ran(11, 'req', 'f/1', endpoint, 3, 8),
        _history.Worked(11 + overlap_s, 'e/1', _terms.Work.dropped),
    ]


class TestTwice:
    @pytest.mark.parametrize(
        ('kind', 'runs', 'broken'),
        [
            (KIND.unsafe, 2, 1),
            (KIND.unsafe, 1, 0),
            (KIND.stream, 2, 1),
            (KIND.safe, 2, 0),
            (KIND.resumable, 2, 0),
        ],
    )
    def test_only_idempotent_requests_run_again(
        self, kind: _terms.Kind, runs: int, broken: int
    ) -> None:
        lines = request(kind, runs)
        assert len(builders.clauses(_twice.judge, lines)) == broken

    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (going_on(0.41), 1),
            (going_on(0.39), 0),
            (going_on(0.41, 'e'), 0),
            ([*going_on(0.41), _history.Disrupted(11, 'e', 'silent')], 0),
            ([*going_on(0.41), _history.Disrupted(11, 'm', 'silent')], 0),
        ],
        ids=['overlap', 'short', 'same endpoint', 'cut off', 'out of touch'],
    )
    def test_first_endpoint_has_stopped(
        self, lines: builders.Lines, broken: int
    ) -> None:
        assert len(builders.clauses(_twice.judge, lines)) == broken


class TestRefused:
    @pytest.mark.parametrize(
        ('kind', 'runs', 'status', 'broken'),
        [
            (KIND.unsafe, 1, 429, 1),
            (KIND.unsafe, 1, 503, 1),
            (KIND.unsafe, 1, 408, 1),
            (KIND.unsafe, 1, 421, 1),
            (KIND.stream, 1, 503, 1),
            (KIND.unsafe, 1, 502, 0),
            (KIND.unsafe, 0, 503, 0),
            (KIND.safe, 1, 503, 0),
        ],
    )
    def test_refusal_has_not_run(
        self, kind: _terms.Kind, runs: int, status: int, broken: int
    ) -> None:
        lines = request(kind, runs, status)
        assert len(builders.clauses(_refused.judge, lines)) == broken

    def test_later_run_is_found(self) -> None:
        lines = request(KIND.unsafe, 0, 503)
        lines.append(_history.Ran(5, 'req', 'e/1', 'e'))
        assert builders.clauses(_refused.judge, lines) == [('ran', ('req',))]
