"""Errors of decoding."""

from typing import Final

import msgspec

# Errors of msgspec on invalid bytes; deep nesting raises the last.
UNREADABLE: Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class FormatError(ValueError):
    """Received bytes do not have the agreed format.

    ``place`` names the header, document or entry.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f'{place}: {problem}')
        self.place = place
        self.problem = problem
