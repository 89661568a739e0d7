"""Who is in touch, as the platform's rules define it."""

import pytest

from soak import _history, _terms
from soak.judges import _disruptions
from soak.tests import builders

CHANGE = _terms.Change


def processes(*changes: tuple[float, _terms.Change]) -> builders.Lines:
    """Return what happens to machine m."""
    return [_history.Process(at, 'm', change) for at, change in changes]


def links(place: str, first: float, last: float) -> builders.Lines:
    """Return a disruption."""
    return [
        _history.Disrupted(first, place, 'silent'),
        _history.Disrupted(last, place, 'silent', over=True),
    ]


class TestInTouch:
    """Machines are in touch 3 s after what disrupts them."""

    @pytest.mark.parametrize(
        ('lines', 'at', 'in_touch'),
        [
            ([], 20, True),
            (links('m', 10, 12), 9.9, True),
            (links('m', 10, 12), 11, False),
            (links('m', 10, 12), 15, False),
            (links('m', 10, 12), 15.1, True),
            (links(_history.STORE, 10, 12), 15, False),
            (links(_history.STORE, 10, 12), 15.1, True),
            (links('other', 10, 12), 11, True),
            (processes((10, CHANGE.reloaded)), 10, True),
            (processes((10, CHANGE.terminated)), 20, False),
            (
                processes((10, CHANGE.paused), (12, CHANGE.resumed)),
                15,
                False,
            ),
            (processes((10, CHANGE.started)), 13, False),
            (processes((10, CHANGE.started)), 13.1, True),
        ],
    )
    def test_windows(
        self, lines: builders.Lines, at: float, in_touch: bool
    ) -> None:
        disruptions = _disruptions.Disruptions(builders.history(lines))
        assert disruptions.in_touch('m', at) == in_touch

    @pytest.mark.parametrize(
        ('hurt_at', 'in_touch'), [(None, True), (8.9, True), (9.1, False)]
    )
    def test_process_that_ends_by_itself_counts_as_running(
        self, hurt_at: float | None, in_touch: bool
    ) -> None:
        lines = processes((10, CHANGE.ended), (10.5, CHANGE.started))
        hurt = [] if hurt_at is None else links('m', hurt_at, hurt_at)
        history = builders.history(lines, hurt)
        disruptions = _disruptions.Disruptions(history)
        assert disruptions.in_touch('m', 12.5) == in_touch
