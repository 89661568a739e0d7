"""Errors of decoding."""


class FormatError(ValueError):
    """Received bytes do not have the agreed format.

    ``place`` names the header, document or entry.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f'{place}: {problem}')
        self.place = place
        self.problem = problem
