"""Errors of the platform's formats."""


class FormatError(ValueError):
    """Bytes of the platform that do not have the agreed format."""

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f'{place}: {problem}')
        self.place = place
        self.problem = problem
