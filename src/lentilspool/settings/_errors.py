"""Errors of settings files and configuration documents."""


class SettingsError(ValueError):
    """A settings file is refused; tells file, key, finding and remedy."""

    def __init__(self, source: str, path: str, problem: str) -> None:
        super().__init__(f'{source}: {path}: {problem}')
        self.source = source
        self.path = path
        self.problem = problem
