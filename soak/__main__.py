"""``python -m soak``: runs seeds one after another.

Prints a line of JSON a seed; ends with 1 if a promise or a rule was broken.
``python -m soak judge HISTORY`` judges the history of a run instead, and
``python -m soak plants`` switches off one guard after another.
"""

import dataclasses
import sys
import types
from typing import Final

import fire
import trio

from soak import _faults, _judge_command, _planned_work, _plants, _run

_COMMANDS: Final = types.MappingProxyType(
    {'judge': _judge_command.command, 'plants': _plants.command}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Soak:
    """Runs seeds one after another."""

    first: _run.Plan
    """Plan of the first seed."""

    seeds: int
    """How many seeds."""

    def run(self) -> int:
        """Run all seeds; return the exit status."""
        unknown = set(self.first.only) - set(_faults.NAMES)
        if unknown:
            sys.stderr.write(f'unknown disruptions: {sorted(unknown)}\n')
            return 2
        broken = 0
        for seed in range(self.first.seed, self.first.seed + self.seeds):
            plan = dataclasses.replace(self.first, seed=seed)
            findings, line = trio.run(_run.run, plan)
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()
            broken += bool(findings.broken or findings.judged)
        return int(broken > 0)


def command(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20,
    gateways: int = 3,
    callers: int = 12,
    plant: str = '',
    logs: str = '',
    planned: bool = False,
    only: str | tuple[str, ...] = (),
    settle: float = 15,
) -> Soak:
    """Run gateways under faults and check what callers and endpoints see.

    Args:
        seed: First seed.
        seeds: Number of seeds, one after another.
        seconds: Time with faults in each.
        gateways: Gateway processes.
        callers: Callers at the same time.
        plant: Guard to switch off; ``soak.planted`` has their names.
        logs: Folder for the gateways' logs and the histories.
        planned: Only planned work, and endpoints that fall silent or slow
            down.
        only: Names of the disruptions that are drawn, with commas.
        settle: Seconds without disruptions until most must be served.
    """
    names = (only,) if isinstance(only, str) else only
    if planned:
        names = (*_planned_work.NAMES, *names)
    plan = _run.Plan(
        seed, seconds, gateways, callers, plant, logs, names, settle
    )
    return Soak(plan, seeds)


def main(arguments: list[str]) -> int:
    """Run the command that is named; return the exit status."""
    name = arguments[0] if arguments else ''
    named = _COMMANDS.get(name)
    chosen = fire.Fire(
        named or command,
        arguments[1:] if named else arguments,
        serialize=lambda _: '',
    )
    if isinstance(chosen, Soak | _judge_command.Judgement | _plants.Plants):
        return chosen.run()
    return 2


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
