"""Pacing of spend, so that credits last until they expire."""

import dataclasses
import datetime
import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel

_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})
_DEFAULT_WINDOW_SHARE: Final = 0.02
_SLACK_SHARE_OF_REMAINING: Final = 0.5
_DEFAULT_RESERVE_SHARE: Final = 0.01
_MAX_PRESSURE: Final = 4.0
_MIN_DIVISOR: Final = 1e-9
_register = kernel.registry.register
_KIND: Final = kernel.PluginKind.spend_policy


@dataclasses.dataclass(frozen=True, slots=True)
class Credits:
    """Credits of one provider that expire at a fixed time."""

    amount: float
    """Credits available at ``starts``."""

    starts: float
    """Start of the pacing period, in seconds since the epoch."""

    expires: float
    """Time at which unused credits are lost, in seconds since the epoch."""

    @classmethod
    def parse(cls, amount: float, starts: str, expires: str) -> 'Credits':
        """Parse both times from ISO 8601 with an offset."""
        start = datetime.datetime.fromisoformat(starts)
        end = datetime.datetime.fromisoformat(expires)
        return cls(amount, start.timestamp(), end.timestamp())


class _Account:
    """Spend of this process from its part of a provider's credits."""

    def __init__(
        self, provider_credits: Credits, window_share: float, reserve: float
    ) -> None:
        self.grant = provider_credits
        self._planned_amount = provider_credits.amount * (1 - reserve)
        self.spent = 0.0
        length_s = max(provider_credits.expires - provider_credits.starts, 1)
        self._length_s = length_s
        self._window_s = length_s * window_share

    def planned_spend(self, now: float) -> float:
        """Return the credits that an even pace would have spent by now."""
        elapsed_s = min(max(now - self.grant.starts, 0), self._length_s)
        return self._planned_amount * elapsed_s / self._length_s

    def slack(self, now: float) -> float:
        """Return how far spend may be ahead of the even pace, in credits.

        At most half of the planned spend that remains until the expiry, so
        that the credits last until then.
        """
        window_credits = self.grant.amount * self._window_s / self._length_s
        return min(
            window_credits,
            _SLACK_SHARE_OF_REMAINING
            * (self._planned_amount - self.planned_spend(now)),
        )

    @property
    def remaining(self) -> float:
        """Credits that are not spent, including the reserve."""
        return self.grant.amount - self.spent


@_register(_KIND, 'default')
class SpendPacer:
    """Keeps the spend on each provider near an even pace to its expiry.

    ``amounts`` is this process's part of each provider's credits; times
    are in seconds since the epoch. A call is allowed while spend is at most
    ``spend_window`` (a share of the credits) ahead of the even pace, so
    that the credits last until they expire. Credits that are not spent in
    a quiet period may be spent later. ``spend_reserve`` (a share of the
    credits) is left out of the pace, because it covers the spend of
    processes that are replaced later.

    A process that starts at ``joined`` assumes that its part was spent
    evenly until then. The ``progress`` of its peers is a better estimate,
    because demand is spread over all processes; pass it to ``adopt``.
    ``pressure`` is above one for a provider that is behind its pace:
    routing should prefer it, and requests that may wait should go to it.
    """

    def __init__(
        self,
        amounts: Mapping[str, Credits],
        parameters: Mapping[str, float] = _EMPTY,
        joined: float = 0,
    ) -> None:
        window = parameters.get('spend_window', _DEFAULT_WINDOW_SHARE)
        reserve = parameters.get('spend_reserve', _DEFAULT_RESERVE_SHARE)
        self._accounts = {
            provider: _Account(provider_credits, window, reserve)
            for provider, provider_credits in amounts.items()
        }
        for account in self._accounts.values():
            account.spent = account.planned_spend(joined)

    def allow(self, provider: str, cost: float, now: float) -> bool:
        """Return whether the call may be charged to the provider."""
        account = self._accounts.get(provider)
        if account is None:
            return True
        if now >= account.grant.expires or cost > account.remaining:
            return False
        limit = account.planned_spend(now) + account.slack(now)
        return account.spent + cost <= limit

    def pressure(self, provider: str, now: float) -> float:
        """Return how urgently the provider's credits should be spent.

        From zero to four: one if spend is at the even pace, zero if it is
        as far ahead as allowed, more than one if it is behind. Zero if the
        credits are used up or expired; one for a provider without credits.
        """
        account = self._accounts.get(provider)
        if account is None:
            return 1
        if now >= account.grant.expires or account.remaining <= 0:
            return 0
        behind = account.planned_spend(now) - account.spent
        pressure = 1 + behind / max(account.slack(now), _MIN_DIVISOR)
        return min(max(pressure, 0), _MAX_PRESSURE)

    def record(self, provider: str, cost: float, now: float) -> None:
        """Record the cost of a call, including that of a failed one."""
        account = self._accounts.get(provider)
        if account is not None:
            account.spent += cost

    def progress(self) -> dict[str, float]:
        """Return the share of each provider's credits that is spent."""
        return {
            provider: account.spent / max(account.grant.amount, _MIN_DIVISOR)
            for provider, account in self._accounts.items()
        }

    def adopt(self, progress: Mapping[str, float]) -> None:
        """Set the spend from the progress of peers.

        A new process has no record of the spend before its start.
        """
        for provider, share in progress.items():
            account = self._accounts.get(provider)
            if account is not None:
                account.spent = share * account.grant.amount

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            provider: {
                'amount': account.grant.amount,
                'spent': round(account.spent, 6),
                'due': round(account.planned_spend(now), 6),
                'pressure': round(self.pressure(provider, now), 3),
                'expires': account.grant.expires,
            }
            for provider, account in sorted(self._accounts.items())
        }


@_register(_KIND, 'none')
class UnpacedSpend:
    """Baseline: spends until the credits are used up or expired."""

    def __init__(
        self,
        amounts: Mapping[str, Credits],
        parameters: Mapping[str, float] = _EMPTY,
        joined: float = 0,
    ) -> None:
        self._amounts = amounts
        self._spent: dict[str, float] = {}

    def allow(self, provider: str, cost: float, now: float) -> bool:
        """Return whether enough unexpired credits are left."""
        provider_credits = self._amounts.get(provider)
        if provider_credits is None:
            return True
        remaining = provider_credits.amount - self._spent.get(provider, 0)
        return cost <= remaining and now < provider_credits.expires

    def pressure(self, provider: str, now: float) -> float:
        """Return one, so that no provider is preferred."""
        return 1

    def record(self, provider: str, cost: float, now: float) -> None:
        """Record the cost of a call."""
        self._spent[provider] = self._spent.get(provider, 0) + cost

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'spent': dict(sorted(self._spent.items()))}
