"""Calls of one class, by team, served by start-time fair queueing."""

import bisect
from collections.abc import Mapping
from typing import Final

from lentilspool.limits import _types

_DEFAULT_SHARE: Final = 1.0
_CREDIT_CALLS: Final = 8.0
_MEAN_GAIN: Final = 0.05
_LEAST_COST: Final = 1e-6


class TeamQueue:
    """Fair queue over teams, in units of cost.

    A team's virtual start time grows by cost over share with each of its
    calls. A team that was idle starts ahead of the current virtual time by
    at most a few calls of mean cost: its next calls need not wait for one
    call of every team that is backlogged, but it saves up no more. When the
    queue runs empty all teams are equal again: nobody was kept waiting.
    """

    def __init__(self, shares: Mapping[str, float]) -> None:
        self._shares = shares
        self._calls: dict[str, list[tuple[float, int, _types.QueuedCall]]] = {}
        self._starts: dict[str, float] = {}
        self._virtual = 0.0
        self._mean = 0.0
        self._arrivals: dict[int, float] = {}
        self._costs: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._arrivals)

    @property
    def cost(self) -> float:
        """Expected cost of all calls, in seconds of one slot."""
        return sum(self._costs.values())

    def longest_wait_s(self, now: float) -> float:
        """Return how long the oldest call has waited."""
        oldest = next(iter(self._arrivals.values()), now)
        return now - oldest

    def add(self, call: _types.QueuedCall, now: float) -> None:
        """Add a call to its team's list, ordered by deadline."""
        self._mean = self._mean or call.cost
        self._mean += (call.cost - self._mean) * _MEAN_GAIN
        team = call.team
        if team not in self._calls:
            self._calls[team] = []
            self._costs[team] = 0
        calls = self._calls[team]
        if not calls:
            earliest = self._earliest(team)
            self._starts[team] = max(self._starts.get(team, earliest), earliest)
        bisect.insort(calls, (call.deadline, call.call_id, call))
        self._costs[team] += call.cost
        self._arrivals[call.call_id] = now

    def pop(self) -> _types.QueuedCall:
        """Remove the next call; there must be one."""
        team = self._next_team()
        call = self._calls[team][0][2]
        self._virtual = max(self._virtual, self._starts[team])
        cost = max(call.cost, _LEAST_COST)
        self._starts[team] += cost / self._share(team)
        self._detach(call)
        self._forget_idle()
        return call

    def push_out(self) -> _types.QueuedCall:
        """Remove the latest call of the team that holds most for its share."""
        team = max(
            self._calls,
            key=lambda name: (self._costs[name] / self._share(name), name),
        )
        call = self._calls[team][-1][2]
        self._detach(call)
        return call

    def remove(self, call_id: int) -> bool:
        """Cancel a call; false if it is not here."""
        if call_id not in self._arrivals:
            return False
        for calls in self._calls.values():
            for _due, held_id, call in calls:
                if held_id == call_id:
                    self._detach(call)
                    return True
        raise AssertionError('a call has an arrival but no team')

    def dump(self) -> dict[str, object]:
        """Return calls and cost by team, as plain JSON types."""
        return {
            team: {
                'queued': len(calls),
                'cost_s': round(self._costs[team], 3),
            }
            for team, calls in sorted(self._calls.items())
        }

    def _next_team(self) -> str:
        """Return the team with the earliest deadline inside its share.

        If all are ahead of it, the one that is ahead least.
        """
        inside = [
            (calls[0][0], self._starts[team], team)
            for team, calls in self._calls.items()
            if self._starts[team] <= self._virtual
        ]
        if inside:
            return min(inside)[2]
        return min((self._starts[team], team) for team in self._calls)[1]

    def _earliest(self, team: str) -> float:
        return self._virtual - _CREDIT_CALLS * self._mean / self._share(team)

    def _share(self, team: str) -> float:
        return self._shares.get(team, _DEFAULT_SHARE)

    def _detach(self, call: _types.QueuedCall) -> None:
        calls = self._calls[call.team]
        calls.remove((call.deadline, call.call_id, call))
        self._costs[call.team] -= call.cost
        self._arrivals.pop(call.call_id)
        if not calls:
            self._calls.pop(call.team)
            self._costs.pop(call.team)

    def _forget_idle(self) -> None:
        if not self._calls:
            self._starts.clear()
            self._virtual = 0
        if len(self._starts) <= 2 * len(self._calls) + 8:
            return
        self._starts = {
            team: start
            for team, start in self._starts.items()
            if team in self._calls or start > self._earliest(team)
        }
