"""Pacing of spend towards the expiry of each provider's credits."""

import dataclasses
import datetime
import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel

_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})
_WINDOW_SHARE: Final = 0.02
_LAST_SHARE: Final = 0.5
_RESERVE_SHARE: Final = 0.01
_MOST_PRESSURE: Final = 4.0
_LEAST_SLACK: Final = 1e-9
_register = kernel.registry.register
_KIND: Final = kernel.PluginKind.spend_policy


@dataclasses.dataclass(frozen=True, slots=True)
class Credits:
    """Credits of one provider that end at a fixed time."""

    amount: float
    """Credits left at ``starts``."""

    starts: float
    """Time from which the credits count, in seconds since the epoch."""

    expires: float
    """Time at which unused credits are lost, in the same seconds."""

    @classmethod
    def parse(cls, amount: float, starts: str, expires: str) -> 'Credits':
        """Read both times from ISO 8601 with an offset."""
        begin = datetime.datetime.fromisoformat(starts)
        end = datetime.datetime.fromisoformat(expires)
        return cls(amount, begin.timestamp(), end.timestamp())


class _Account:
    """One provider's credits, as far as this process knows of them."""

    def __init__(
        self, credits_held: Credits, window_share: float, reserve: float
    ) -> None:
        self.held = credits_held
        self._planned = credits_held.amount * (1 - reserve)
        self.spent = 0.0
        length_s = max(credits_held.expires - credits_held.starts, 1)
        self._length_s = length_s
        self._window_s = length_s * window_share

    def due(self, now: float) -> float:
        """Return the credits that an even pace has spent by now."""
        passed_s = min(max(now - self.held.starts, 0), self._length_s)
        return self._planned * passed_s / self._length_s

    def slack(self, now: float) -> float:
        """Return the spend that may run ahead of the even pace.

        It shrinks with what is due until the expiry, so credits last.
        """
        ahead = self.held.amount * self._window_s / self._length_s
        return min(ahead, _LAST_SHARE * (self._planned - self.due(now)))

    @property
    def left(self) -> float:
        """Credits that are not spent."""
        return self.held.amount - self.spent


@_register(_KIND, 'default')
class SpendPacer:
    """Keeps the spend on each provider near an even pace to its expiry.

    ``amounts`` are this process's part of each provider's credits, times
    are seconds since the epoch. A call is allowed while spend is at most
    ``spend_window`` (a share of the credits) ahead of the even pace, so
    credits last to the date; what is not spent stays due, so a quiet time
    is made up for later. ``spend_reserve`` (a share) is never planned for:
    it covers what processes spend that are then replaced. A process that starts at ``joined`` takes it that
    its part was spent evenly until then; better, it adopts the ``progress``
    of its peers, since demand is spread over all. ``pressure`` is above one for a provider behind
    its pace: send it what may wait, and prefer it in routing.
    """

    def __init__(
        self,
        amounts: Mapping[str, Credits],
        parameters: Mapping[str, float] = _EMPTY,
        joined: float = 0,
    ) -> None:
        window = parameters.get('spend_window', _WINDOW_SHARE)
        reserve = parameters.get('spend_reserve', _RESERVE_SHARE)
        self._accounts = {
            provider: _Account(held, window, reserve)
            for provider, held in amounts.items()
        }
        for account in self._accounts.values():
            account.spent = account.due(joined)

    def allow(self, provider: str, cost: float, now: float) -> bool:
        """Tell whether the provider's credits may pay for the call."""
        account = self._accounts.get(provider)
        if account is None:
            return True
        if now >= account.held.expires or cost > account.left:
            return False
        limit = account.due(now) + account.slack(now)
        return account.spent + cost <= limit

    def pressure(self, provider: str, now: float) -> float:
        """Return how much spend on the provider is wanted.

        One is on the even pace; zero is the most that may be ahead of it.
        Zero also once the credits have expired; one for a provider
        without credits.
        """
        account = self._accounts.get(provider)
        if account is None:
            return 1
        if now >= account.held.expires or account.left <= 0:
            return 0
        behind = account.due(now) - account.spent
        pressure = 1 + behind / max(account.slack(now), _LEAST_SLACK)
        return min(max(pressure, 0), _MOST_PRESSURE)

    def record(self, provider: str, cost: float, now: float) -> None:
        """Record the spend of a call, also of one that failed."""
        account = self._accounts.get(provider)
        if account is not None:
            account.spent += cost

    def progress(self) -> dict[str, float]:
        """Return the spent share of each provider's credits."""
        return {
            provider: account.spent / max(account.held.amount, _LEAST_SLACK)
            for provider, account in self._accounts.items()
        }

    def adopt(self, progress: Mapping[str, float]) -> None:
        """Take over the progress of peers, after a start without memory."""
        for provider, share in progress.items():
            account = self._accounts.get(provider)
            if account is not None:
                account.spent = share * account.held.amount

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            provider: {
                'amount': account.held.amount,
                'spent': round(account.spent, 6),
                'due': round(account.due(now), 6),
                'pressure': round(self.pressure(provider, now), 3),
                'expires': account.held.expires,
            }
            for provider, account in sorted(self._accounts.items())
        }


@_register(_KIND, 'none')
class SpendUnpaced:
    """Baseline: spends until the credits are gone or have expired."""

    def __init__(
        self,
        amounts: Mapping[str, Credits],
        parameters: Mapping[str, float] = _EMPTY,
        joined: float = 0,
    ) -> None:
        self._amounts = amounts
        self._spent: dict[str, float] = {}

    def allow(self, provider: str, cost: float, now: float) -> bool:
        """Tell whether enough credits are left."""
        held = self._amounts.get(provider)
        if held is None:
            return True
        left = held.amount - self._spent.get(provider, 0)
        return cost <= left and now < held.expires

    def pressure(self, provider: str, now: float) -> float:
        """Return one: no provider is preferred."""
        return 1

    def record(self, provider: str, cost: float, now: float) -> None:
        """Record the spend of a call."""
        self._spent[provider] = self._spent.get(provider, 0) + cost

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'spent': dict(sorted(self._spent.items()))}
