"""Tests of incarnations and requests for heartbeat intervals."""

from lentilspool import membership
from lentilspool.daemons import _identity

_LIMITS = membership.HeartbeatLimits(min_interval_s=0.5)


class _Connection:
    """Placeholder for a connection; only object identity matters."""


def _make_identity() -> _identity.Identity:
    return _identity.Identity('e1', 'z1', ('127.0.0.1', 1))


class TestWishes:
    def test_interval_is_requested_once_per_connection(self) -> None:
        wishes = _identity.Wishes(_make_identity(), _LIMITS)
        first, second = _Connection(), _Connection()
        assert wishes.ask(first) is not None
        assert wishes.ask(first) is None
        assert wishes.ask(second) is not None

    def test_interval_is_requested_again_after_a_large_change(self) -> None:
        wishes = _identity.Wishes(_make_identity(), _LIMITS)
        connection = _Connection()
        wishes.ask(connection)
        wishes.count(100)
        message = wishes.ask(connection)
        assert message is not None
        assert round(_identity.requested_interval_s(message), 3) == 6
        wishes.count(105)
        assert wishes.ask(connection) is None


class TestObserveIncarnation:
    def test_only_a_later_incarnation_supersedes(self) -> None:
        identity = _make_identity()
        identity.observe_incarnation(identity.incarnation)
        assert not identity.superseded
        identity.observe_incarnation(identity.incarnation + 1)
        identity.observe_incarnation(identity.incarnation)
        assert identity.superseded
