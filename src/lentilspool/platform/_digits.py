"""Decoding of numbers without a sign."""

import re
from typing import Final

# Longer ones fit no integer of the messages between processes, and Python
# refuses to convert very long ones.
_NUMBER: Final = re.compile(r'[0-9]{1,18}')
_DECIMAL: Final = re.compile(r'[0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18}')


def decode_number(text: str) -> int | None:
    """Return a number without a sign; None if the text is none or too long."""
    stripped = text.strip()
    return int(stripped) if _NUMBER.fullmatch(stripped) else None


def decode_decimal(text: str) -> float | None:
    """Return a decimal number; None if the text is none or too long."""
    stripped = text.strip()
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None
