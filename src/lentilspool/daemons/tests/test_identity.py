"""Tests of what a process tells others about itself."""

from lentilspool import membership
from lentilspool.daemons import _identity

_LIMITS = membership.BeatLimits(min_interval_s=0.5)


class _Connection:
    """Stands for a connection; only its identity counts."""


def _make() -> _identity.Identity:
    return _identity.Identity('e1', 'z1', ('127.0.0.1', 1))


class TestWishes:
    def test_asked_once_for_each_connection(self) -> None:
        wishes = _identity.Wishes(_make(), _LIMITS)
        first, second = _Connection(), _Connection()
        assert wishes.ask(first) is not None
        assert wishes.ask(first) is None
        assert wishes.ask(second) is not None

    def test_asked_again_when_the_number_of_leases_changes(self) -> None:
        wishes = _identity.Wishes(_make(), _LIMITS)
        connection = _Connection()
        wishes.ask(connection)
        wishes.count(100)
        message = wishes.ask(connection)
        assert message is not None
        assert round(_identity.wish_s(message), 3) == 6
        wishes.count(105)
        assert wishes.ask(connection) is None


class TestSupersede:
    def test_only_a_later_incarnation_counts(self) -> None:
        identity = _make()
        identity.supersede(identity.incarnation)
        assert not identity.superseded
        identity.supersede(identity.incarnation + 1)
        identity.supersede(identity.incarnation)
        assert identity.superseded
