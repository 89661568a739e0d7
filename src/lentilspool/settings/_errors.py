"""Error raised for invalid settings and configuration documents."""


class SettingsError(ValueError):
    """Settings are invalid; the text has file, key, problem and any hint."""

    def __init__(self, source: str, path: str, problem: str) -> None:
        super().__init__(f'{source}: {path}: {problem}')
        self.source = source
        self.path = path
        self.problem = problem
