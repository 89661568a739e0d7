"""Requests with known sizes and true service times, for load experiments."""

import dataclasses
import random
from typing import Final

_SIZE_SIGMA: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request."""

    name: str
    """Name of its pipeline."""

    rate: float
    """Requests a second outside the burst."""

    factor: float
    """Factor of the rate during the burst."""

    deadline_s: float
    """Seconds from arrival until the answer is due."""

    work_s: tuple[float, ...]
    """Service time of size one at each stage, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Times of a run, in seconds."""

    end: float = 120.0
    """End of the arrivals."""

    burst_start: float = 30.0
    """Start of the burst."""

    burst_end: float = 90.0
    """End of the burst."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request with its true service times."""

    number: int
    """Position in the order of arrival."""

    kind: Kind
    """What it asks for."""

    team: str
    """Team that sends it."""

    arrival: float
    """Time of arrival, in seconds."""

    size: float
    """Size that is known on arrival, as a multiple of the usual."""

    service_s: tuple[float, ...]
    """True service time of each stage, in seconds."""

    @property
    def deadline(self) -> float:
        """Time at which the answer is due."""
        return self.arrival + self.kind.deadline_s


def draw(
    kinds: tuple[Kind, ...],
    teams: dict[str, float],
    span: Span,
    rng: random.Random,
    noise: float,
) -> list[Request]:
    """Return Poisson arrivals; ``teams`` maps a team to its part of them.

    Sizes are lognormal and known on arrival; true service times vary
    around them by a lognormal factor with the given sigma.
    """
    arrivals = [
        (arrival, kind)
        for kind in kinds
        for arrival in _arrivals(kind, span, rng)
    ]
    arrivals.sort(key=lambda pair: pair[0])
    names = list(teams)
    parts = list(teams.values())
    requests: list[Request] = []
    for number, (arrival, kind) in enumerate(arrivals):
        team = rng.choices(names, parts)[0]
        size = rng.lognormvariate(0, _SIZE_SIGMA)
        service_s = tuple(
            work_s * size * rng.lognormvariate(0, noise)
            for work_s in kind.work_s
        )
        requests.append(Request(number, kind, team, arrival, size, service_s))
    return requests


def _arrivals(kind: Kind, span: Span, rng: random.Random) -> list[float]:
    arrivals: list[float] = []
    now = 0.0
    while now < span.end:
        burst = span.burst_start <= now < span.burst_end
        now += rng.expovariate(kind.rate * (kind.factor if burst else 1))
        arrivals.append(now)
    return arrivals
