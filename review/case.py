"""Start and end of a case: its record, its verdict and its processes."""

import asyncio
import os
import pathlib
import sys
import time
import traceback
import uuid
from collections.abc import Awaitable, Callable

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_LIMIT_S = 110.0


class CouldNotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Lines of ``record.txt``, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_at = time.time()

    def __call__(self, text: str) -> None:
        """Write a line."""
        seconds = time.time() - self._began_at
        self._file.write(f'{seconds:9.3f}  {text}\n')
        self._file.flush()

    def at(self, moment: float) -> str:
        """Return a moment as it stands in the record."""
        return f'{moment - self._began_at:.3f}'


def trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def new_id() -> str:
    """Return a request id that was not used before."""
    return uuid.uuid4().hex[:16]


def run(file: str, play: Callable[[Record], Awaitable[int]]) -> None:
    """Play a case and exit with its verdict."""
    record = Record(pathlib.Path(file).resolve().parent)

    async def limited() -> int:
        async with asyncio.timeout(_LIMIT_S):
            return await play(record)

    try:
        verdict = asyncio.run(limited())
    except Exception as error:
        # Python would end with 1, which means that the rule was broken.
        record(f'could not run: {error!r}\n{traceback.format_exc()}')
        verdict = COULD_NOT_RUN
    record(f'exit {verdict} (0 held, 1 broken, 2 could not run)')
    sys.exit(verdict)
