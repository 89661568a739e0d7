"""Test of the rolling replacement."""

from bench import stops


class TestStops:
    def test_planned_stops_cut_off_nothing(self) -> None:
        figures = next(stops.run(seed=1, rate=10, arms='lentilspool'))
        assert figures['cut_off'] == 0
        assert figures['refused'] == 0
        assert figures['doubled'] == 0
