"""Tests of when published state is requested from a peer."""

from lentilspool import serving

HEARTBEAT_S = 0.25
PEERS = 6


def count_requests(
    catch_up: serving.CatchUp, own_version: int, seconds: float
) -> int:
    """Return the number of requests when all peers hold version 5."""
    heartbeats = int(seconds / HEARTBEAT_S)
    return sum(
        catch_up.should_request(own_version, 5, heartbeat * HEARTBEAT_S)
        for heartbeat in range(heartbeats)
        for _ in range(PEERS)
    )


class TestCatchUp:
    """All gateways learn of a large configuration at the same time.

    Too many requests for it would overload their links.
    """

    def test_no_request_while_store_reader_has_time(self) -> None:
        assert not count_requests(
            serving.CatchUp(0.5, 1), own_version=4, seconds=0.5
        )

    def test_one_request_at_a_time(self) -> None:
        assert (
            count_requests(serving.CatchUp(0.5, 1), own_version=4, seconds=1.5)
            == 1
        )
        assert (
            count_requests(serving.CatchUp(0.5, 1), own_version=4, seconds=2)
            == 2
        )

    def test_process_without_state_requests_at_once(self) -> None:
        assert (
            count_requests(
                serving.CatchUp(0.5, 1), own_version=0, seconds=HEARTBEAT_S
            )
            == 1
        )

    def test_progress_restarts_grace_period(self) -> None:
        catch_up = serving.CatchUp(0.5, 1)
        assert not catch_up.should_request(3, 5, 0)
        assert not catch_up.should_request(4, 5, 0.4)
        assert not catch_up.should_request(4, 5, 0.8)
        assert catch_up.should_request(4, 5, 0.95)

    def test_peer_that_is_behind_gets_no_request(self) -> None:
        catch_up = serving.CatchUp(0.5, 1)
        catch_up.should_request(4, 5, 0)
        assert not catch_up.should_request(4, 4, 2)
