"""Checks of single values in a configuration document."""

import datetime
import math
from collections.abc import Iterator

from lentilspool.config import _problems


def time(text: str) -> datetime.datetime | None:
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    return parsed if parsed.tzinfo else None


def positive(
    path: str, field: str, amount: float
) -> Iterator[_problems.Problem]:
    if not (math.isfinite(amount) and amount > 0):
        yield _problems.Problem(
            f'{path}.{field}', f'{amount} is not above zero'
        )


def not_negative(
    path: str, field: str, amount: float
) -> Iterator[_problems.Problem]:
    if not (math.isfinite(amount) and amount >= 0):
        yield _problems.Problem(f'{path}.{field}', f'{amount} is below zero')


def share(path: str, field: str, amount: float) -> Iterator[_problems.Problem]:
    if not 0 <= amount <= 1:
        yield _problems.Problem(
            f'{path}.{field}', f'{amount} is not between 0 and 1'
        )
