"""Start-time fair queue over teams for the calls of one class."""

import bisect
from collections.abc import Mapping
from typing import Final

from lentilspool.limits import _types

_DEFAULT_SHARE: Final = 1.0
_MAX_CREDIT_CALLS: Final = 8.0
_MEAN_COST_GAIN: Final = 0.05
_MIN_COST: Final = 1e-6


class TeamQueue:
    """Fair queue that divides cost among teams in proportion to shares.

    Each call advances the virtual start time of its team by cost divided
    by share. The start time of a team that was idle is at most eight calls
    of mean cost before the current virtual time. With this credit its next
    calls need not wait for one call of every backlogged team, and a longer
    idle time adds no more credit. When the queue becomes empty the start
    times of all teams are reset, because no team is waiting any more.
    """

    def __init__(self, shares: Mapping[str, float]) -> None:
        self._shares = shares
        self._calls: dict[str, list[tuple[float, int, _types.QueuedCall]]] = {}
        self._start_times: dict[str, float] = {}
        self._virtual_time = 0.0
        self._mean_cost = 0.0
        self._arrivals: dict[int, float] = {}
        self._costs: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._arrivals)

    @property
    def cost(self) -> float:
        """Expected cost of all queued calls, in seconds of one slot."""
        return sum(self._costs.values())

    def longest_wait_s(self, now: float) -> float:
        """Return how long the oldest call has waited, in seconds."""
        oldest = next(iter(self._arrivals.values()), now)
        return now - oldest

    def add(self, call: _types.QueuedCall, now: float) -> None:
        """Add a call to its team's list, which is ordered by deadline."""
        self._mean_cost = self._mean_cost or call.cost
        self._mean_cost += (call.cost - self._mean_cost) * _MEAN_COST_GAIN
        team = call.team
        if team not in self._calls:
            self._calls[team] = []
            self._costs[team] = 0
        calls = self._calls[team]
        if not calls:
            earliest = self._earliest_start(team)
            self._start_times[team] = max(
                self._start_times.get(team, earliest), earliest
            )
        bisect.insort(calls, (call.deadline, call.call_id, call))
        self._costs[team] += call.cost
        self._arrivals[call.call_id] = now

    def pop(self) -> _types.QueuedCall:
        """Remove and return the next call; the queue must not be empty."""
        team = self._next_team()
        call = self._calls[team][0][2]
        self._virtual_time = max(self._virtual_time, self._start_times[team])
        cost = max(call.cost, _MIN_COST)
        self._start_times[team] += cost / self._share(team)
        self._remove_queued(call)
        self._forget_idle_teams()
        return call

    def evict(self) -> _types.QueuedCall:
        """Remove and return a call of the team with most cost for its share.

        It is the team's call with the latest deadline.
        """
        team = max(
            self._calls,
            key=lambda name: (self._costs[name] / self._share(name), name),
        )
        call = self._calls[team][-1][2]
        self._remove_queued(call)
        return call

    def remove(self, call_id: int) -> bool:
        """Remove a call; return false if it is not in the queue."""
        if call_id not in self._arrivals:
            return False
        for calls in self._calls.values():
            for _deadline, queued_id, call in calls:
                if queued_id == call_id:
                    self._remove_queued(call)
                    return True
        raise AssertionError('a call has an arrival but no team')

    def dump(self) -> dict[str, object]:
        """Return the number and cost of calls by team, as plain JSON types."""
        return {
            team: {
                'queued': len(calls),
                'cost_s': round(self._costs[team], 3),
            }
            for team, calls in sorted(self._calls.items())
        }

    def _next_team(self) -> str:
        """Return the team with the earliest deadline within its share.

        If all teams are ahead of their share, return the one that is the
        least ahead.
        """
        within_share = [
            (calls[0][0], self._start_times[team], team)
            for team, calls in self._calls.items()
            if self._start_times[team] <= self._virtual_time
        ]
        if within_share:
            return min(within_share)[2]
        return min((self._start_times[team], team) for team in self._calls)[1]

    def _earliest_start(self, team: str) -> float:
        return (
            self._virtual_time
            - _MAX_CREDIT_CALLS * self._mean_cost / self._share(team)
        )

    def _share(self, team: str) -> float:
        return self._shares.get(team, _DEFAULT_SHARE)

    def _remove_queued(self, call: _types.QueuedCall) -> None:
        calls = self._calls[call.team]
        calls.remove((call.deadline, call.call_id, call))
        self._costs[call.team] -= call.cost
        self._arrivals.pop(call.call_id)
        if not calls:
            self._calls.pop(call.team)
            self._costs.pop(call.team)

    def _forget_idle_teams(self) -> None:
        if not self._calls:
            self._start_times.clear()
            self._virtual_time = 0
        if len(self._start_times) <= 2 * len(self._calls) + 8:
            return
        self._start_times = {
            team: start
            for team, start in self._start_times.items()
            if team in self._calls or start > self._earliest_start(team)
        }
