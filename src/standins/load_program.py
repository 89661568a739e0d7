"""``lentilspool-load``: load on entries, with figures as JSON."""

import dataclasses
import json
import sys
from typing import Final

import trio

from lentilspool.programs import _command
from standins import _load

_TEXT: Final = 'trial in Ljubljana'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Sends the load and prints the figures."""

    plan: _load.LoadPlan
    """What is sent where."""

    def run(self) -> int:
        """Print the figures; status 1 if an answer was lost or wrong."""
        figures = trio.run(_load.LoadRun(self.plan).run)
        sys.stdout.write(f'{json.dumps(figures, indent=2)}\n')
        wrong = ('lost', 'doubled', 'misdelivered')
        return _command.FAILURE if any(map(figures.get, wrong)) else 0


def run(
    target: str = '127.0.0.1:8080',
    requests: int = 1000,
    rate: float = 50,
    seed: int = 1,
    mix: str = 'day-plan:brides:1',
    services: str = '',
) -> Run:
    """Send requests at a rate and print what became of them.

    Example: lentilspool-load run --requests 2000 --rate 100 --seed 7

    Args:
        target: Addresses of entries, separated by commas.
        requests: Number of requests.
        rate: Requests a second, on average.
        seed: Seed of arrivals and mix.
        mix: Pipeline, team and weight; several separated by commas.
        services: Addresses of plain services that count executions.
    """
    kinds = []
    for part in _split(mix):
        pipeline, team, weight = part.split(':')
        kinds.append(_load.Kind(pipeline, team, _TEXT, float(weight)))
    plan = _load.LoadPlan(
        targets=_split(target),
        kinds=tuple(kinds),
        requests=requests,
        rate=rate,
        seed=seed,
        services=_split(services),
    )
    return Run(plan)


def main() -> None:
    """Run the program."""
    sys.exit(_command.run({'run': run}, 'lentilspool-load'))


def _split(text: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the parts of a list; fire may have split it already."""
    parts = text.split(',') if isinstance(text, str) else text
    return tuple(part for part in parts if part)
