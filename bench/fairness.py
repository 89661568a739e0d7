"""Attainment of small teams while another team floods.

Teams have shares of the pools; two are large and hold a third each. In the
burst one of these sends many times its usual load. Every other team stays
below its share, and its attainment is compared with what it has alone on the same pools.
``utilization`` is the use of the last pool's slots during the flood.
"""

import dataclasses
import random
from collections.abc import Iterator
from typing import Final

from bench import _admitting_entry, _requests

_WORK_S: Final = (0.03, 0.5)
_MEAN_SIZE: Final = 1.133
_DEADLINE_S: Final = 4.0
_SLOTS: Final = 4
_NOISE: Final = 0.1
_RATIO_TARGET: Final = 0.99
_ARMS: Final = (
    _admitting_entry.Arm('no_admission', 'none', 'fifo'),
    _admitting_entry.Arm('queue_length', 'queue_length', 'fifo'),
    _admitting_entry.Arm('queue_only', 'none', 'default'),
    _admitting_entry.Arm('lentilspool', 'default', 'default'),
)


def run(
    *,
    seed: int = 1,
    teams: int = 0,
    burst: float = 20,
    endpoints: int = 0,
    floods: int = 1,
    load: float = 0.6,
    length: float = 60,
    entries: int = 3,
    lag: float = 0.5,
    queue_limit: float = 28,
    **parameters: float,
) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm, for 5 and for 270 teams.

    ``teams`` and ``endpoints`` replace both sizes; ``load`` is each team's
    usual load as a part of its share, ``floods`` the number of teams that
    flood, and ``burst`` their factor.
    """
    sizes = [(teams, endpoints or 10)] if teams else [(5, 10), (270, 60)]
    span = _requests.Span(length, length / 6, 5 * length / 6)
    for count, width in sizes:
        shares = {
            f'team{index}': count - 2.0 if index < 2 else 1.0
            for index in range(count)
        }
        flooding = {team: shares[team] for team in list(shares)[:floods]}
        fleet = _admitting_entry.Fleet(
            (max(2, width // 4), width), entries, _SLOTS, lag
        )
        slots = _SLOTS * width
        parameters['admission_queue_limit'] = queue_limit * width / 10
        rate = load * slots / (_WORK_S[-1] * _MEAN_SIZE)
        requests = _offered(
            rate, burst, shares, flooding, span, random.Random(seed)
        )
        for arm in _ARMS:
            yield {
                'arm': arm.name,
                'seed': seed,
                'teams': count,
                **_figures(
                    _Trial(arm, fleet, shares, parameters, span),
                    [one for one in requests if one.team not in flooding],
                    requests,
                ),
            }


def _offered(
    rate: float,
    burst: float,
    shares: dict[str, float],
    flooding: dict[str, float],
    span: _requests.Span,
    rng: random.Random,
) -> list[_requests.Request]:
    """Return the requests of all teams."""
    part = sum(flooding.values()) / sum(shares.values())
    others = {team: shares[team] for team in shares if team not in flooding}
    calm = _requests.Kind('call', rate * (1 - part), 1, _DEADLINE_S, _WORK_S)
    flood = _requests.Kind('call', rate * part, burst, _DEADLINE_S, _WORK_S)
    drawn = [
        *_requests.draw((calm,), others, span, rng, _NOISE),
        *_requests.draw((flood,), flooding, span, rng, _NOISE),
    ]
    drawn.sort(key=lambda request: request.arrival)
    return [
        dataclasses.replace(request, number=number)
        for number, request in enumerate(drawn)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    arm: _admitting_entry.Arm
    """Policies in use."""

    fleet: _admitting_entry.Fleet
    """Sizes of the fakes."""

    shares: dict[str, float]
    """Shares by team."""

    parameters: dict[str, float]
    """Policy parameters."""

    span: _requests.Span
    """Times of the flood."""

    def met(self, requests: list[_requests.Request]) -> tuple[set[int], float]:
        """Return the requests met, and the use of the last pool."""
        tally, pools = _admitting_entry.simulate(
            self.arm, requests, self.fleet, self.shares, self.parameters
        )
        span = self.span
        used_s = pools[-1].busy_s(span.burst_start, span.burst_end)
        slots = self.fleet.slots * self.fleet.pools[-1]
        return tally.met, used_s / (slots * (span.burst_end - span.burst_start))


def _figures(
    trial: _Trial,
    calm: list[_requests.Request],
    requests: list[_requests.Request],
) -> dict[str, object]:
    met, utilization = trial.met(requests)
    by_team: dict[str, list[_requests.Request]] = {}
    for request in calm:
        by_team.setdefault(request.team, []).append(request)
    ratios = [
        _share_met(own, met) / _share_met(own, trial.met(own)[0])
        for own in by_team.values()
    ]
    return {
        'requests': len(requests),
        'worst_small_team': round(min(ratios), 4),
        'teams_below_target': sum(ratio < _RATIO_TARGET for ratio in ratios),
        'small_attainment': round(_share_met(calm, met), 4),
        'utilization': round(utilization, 4),
        'attainment': round(len(met) / len(requests), 4),
    }


def _share_met(requests: list[_requests.Request], met: set[int]) -> float:
    return sum(one.number in met for one in requests) / len(requests)
