"""Checks of single values in a configuration document.

Each ``check_`` function yields a problem if the value is out of range.
"""

import datetime
import math
from collections.abc import Iterator

from lentilspool.config import _problems


def parse_timestamp(text: str) -> datetime.datetime | None:
    """Return an ISO 8601 time, or None if it is invalid or has no offset."""
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    return parsed if parsed.tzinfo else None


def check_positive(
    path: str, field: str, amount: float
) -> Iterator[_problems.Problem]:
    if not (math.isfinite(amount) and amount > 0):
        yield _problems.Problem(
            f'{path}.{field}', f'{amount} is not above zero'
        )


def check_not_negative(
    path: str, field: str, amount: float
) -> Iterator[_problems.Problem]:
    if not (math.isfinite(amount) and amount >= 0):
        yield _problems.Problem(f'{path}.{field}', f'{amount} is below zero')


def check_share(
    path: str, field: str, amount: float
) -> Iterator[_problems.Problem]:
    if not 0 <= amount <= 1:
        yield _problems.Problem(
            f'{path}.{field}', f'{amount} is not between 0 and 1'
        )
