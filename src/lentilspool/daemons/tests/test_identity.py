"""Tests of incarnations and requests for heartbeat intervals."""

from lentilspool import membership
from lentilspool.daemons import _identity

_LIMITS = membership.HeartbeatLimits(min_interval_s=0.5)


class _Connection:
    """Placeholder for a connection; only object identity matters."""


def _make_identity() -> _identity.Identity:
    return _identity.Identity('e1', 'z1', ('127.0.0.1', 1))


class TestIntervalRequests:
    def test_interval_is_requested_once_per_connection(self) -> None:
        requests = _identity.IntervalRequests(_make_identity(), _LIMITS)
        first, second = _Connection(), _Connection()
        assert requests.next_request(first) is not None
        assert requests.next_request(first) is None
        assert requests.next_request(second) is not None

    def test_interval_is_requested_again_after_a_large_change(self) -> None:
        requests = _identity.IntervalRequests(_make_identity(), _LIMITS)
        connection = _Connection()
        requests.next_request(connection)
        requests.set_lease_count(100)
        message = requests.next_request(connection)
        assert message is not None
        assert round(_identity.requested_interval_s(message), 3) == 6
        requests.set_lease_count(105)
        assert requests.next_request(connection) is None


class TestObserveIncarnation:
    def test_only_a_later_incarnation_supersedes(self) -> None:
        identity = _make_identity()
        identity.observe_incarnation(identity.incarnation)
        assert not identity.superseded
        identity.observe_incarnation(identity.incarnation + 1)
        identity.observe_incarnation(identity.incarnation)
        assert identity.superseded
