"""Command line: ``python -m bench NAME --seed N [--flag number]``.

Prints one JSON object for each arm of the experiment. An experiment is the
module ``bench/NAME.py`` (dashes become underscores); it has a function
``run(**flags)`` whose keyword arguments are the flags, and which yields
one ``dict`` for each arm.
"""

import importlib
import json
import pathlib
import sys
from typing import Final

import fire

_USAGE_ERROR: Final = 2
_PRIVATE: Final = ('__init__', '__main__')


def _names() -> list[str]:
    folder = pathlib.Path(__file__).parent
    return sorted(
        path.stem.replace('_', '-')
        for path in folder.glob('*.py')
        if path.stem not in _PRIVATE and not path.stem.startswith('_')
    )


def main(arguments: list[str]) -> int:
    """Run the experiment that the first argument names."""
    if not arguments or arguments[0] not in _names():
        sys.stderr.write(
            f'usage: python -m bench NAME --seed N; NAME: {_names()}\n'
        )
        return _USAGE_ERROR
    stem = arguments[0].replace('-', '_')
    experiment = importlib.import_module(f'bench.{stem}')
    collected: list[dict[str, object]] = []

    def keep(**flags: object) -> None:
        collected.append(flags)

    fire.Fire(keep, command=arguments[1:], name=arguments[0])
    for flags in collected:
        for figures in experiment.run(**flags):
            line = {'experiment': arguments[0], **figures}
            sys.stdout.write(f'{json.dumps(line)}\n')
            sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
