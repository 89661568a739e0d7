"""Looks up the route and the team of a request."""

import dataclasses
import random

from lentilspool.serving import _calls, _configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Matched:
    """A route was found, and the request is authorized."""

    route: _configuration.Route
    """Route of the request."""

    team: _configuration.Team | None
    """Team of the caller; None on public routes."""

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest."""
        if self.team and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route matches the host and a prefix of the path."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """No team has the API key of the request."""


class RouteTable:
    """Index of the routes and API keys of one configuration."""

    def __init__(self, configuration: _configuration.Configuration) -> None:
        self._requires_key = bool(configuration.teams)
        self._routes: dict[str, dict[str, _configuration.Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._teams = {
            key: team for team in configuration.teams for key in team.keys
        }

    def find(self, call: _calls.Call) -> Matched | NoRoute | UnknownKey:
        """Return the route with the longest matching prefix, and the team.

        Routes that are not public need a known API key, if there are teams.
        """
        route = self.route_of(call.host, call.path)
        if route is None:
            return NoRoute()
        if route.public or not self._requires_key:
            return Matched(route, None)
        team = self._teams.get(call.api_key)
        return Matched(route, team) if team else UnknownKey()

    def route_of(self, host: str, path: str) -> _configuration.Route | None:
        """Return the route of a host with the longest matching prefix."""
        prefixes = self._routes.get(_normalize_host(host))
        if not prefixes:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route:
                return route
            end = path.rfind('/', 0, end)
        return None


def pick_service(route: _configuration.Route, rng: random.Random) -> str:
    """Return a random service of the route, according to the weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]


def _normalize_host(host: str) -> str:
    return host.partition(':')[0].lower()
