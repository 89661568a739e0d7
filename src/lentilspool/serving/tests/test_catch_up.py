"""Tests of when published state is asked of a neighbour."""

from lentilspool import serving

BEAT_S = 0.25
NEIGHBOURS = 6


def asks(catch_up: serving.CatchUp, held: int, seconds: float) -> int:
    """Count the asks when all neighbours hold version 5."""
    beats = int(seconds / BEAT_S)
    return sum(
        catch_up.told(held, 5, beat * BEAT_S)
        for beat in range(beats)
        for _ in range(NEIGHBOURS)
    )


class TestCatchUp:
    """A large configuration reaches all gateways at the same moment."""

    def test_no_ask_while_the_store_may_still_bring_it(self) -> None:
        assert not asks(serving.CatchUp(0.5, 1), held=4, seconds=0.5)

    def test_one_neighbour_is_asked_at_a_time(self) -> None:
        assert asks(serving.CatchUp(0.5, 1), held=4, seconds=1.5) == 1
        assert asks(serving.CatchUp(0.5, 1), held=4, seconds=2) == 2

    def test_a_new_process_asks_at_once(self) -> None:
        assert asks(serving.CatchUp(0.5, 1), held=0, seconds=BEAT_S) == 1

    def test_progress_begins_the_wait_anew(self) -> None:
        catch_up = serving.CatchUp(0.5, 1)
        assert not catch_up.told(3, 5, 0)
        assert not catch_up.told(4, 5, 0.4)
        assert not catch_up.told(4, 5, 0.8)
        assert catch_up.told(4, 5, 0.95)

    def test_neighbour_that_is_behind_is_not_asked(self) -> None:
        catch_up = serving.CatchUp(0.5, 1)
        catch_up.told(4, 5, 0)
        assert not catch_up.told(4, 4, 2)
