"""Tests of loading settings files."""

import dataclasses

import pytest

from lentilspool import settings


@dataclasses.dataclass(frozen=True)
class _Inner:
    limit_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class _Outer:
    name: str
    inner: _Inner = _Inner()
    table: dict[str, _Inner] = dataclasses.field(default_factory=dict)


class TestParse:
    def test_comments_are_ignored(self) -> None:
        text = '{"name": "a", /* why */ "inner": {"limit_s": 2}} // end'
        assert settings.parse(text, _Outer, 'f').inner.limit_s == 2

    @pytest.mark.parametrize(
        ('text', 'message'),
        [
            ('{"name": 1}', r'f: \$\.name: Expected `str`, got `int`'),
            ('{"nam": "a"}', r'f: \$\.nam: unknown key .* mean "name"'),
            (
                '{"name": "a", "inner": {"limit": 2}}',
                r'f: \$\.inner\.limit: unknown key .* mean "limit_s"',
            ),
            (
                '{"name": "a", "table": {"x": {"limt_s": 2}}}',
                r'f: \$\.table\.x\.limt_s: unknown key',
            ),
            ('{"name": ', r'f: line \d+ column \d+'),
            ('{}', 'f: .*missing required field `name`'),
        ],
    )
    def test_error_names_position_and_problem(
        self, text: str, message: str
    ) -> None:
        with pytest.raises(settings.SettingsError, match=message):
            settings.parse(text, _Outer, 'f')

    def test_missing_file_is_a_settings_error(self) -> None:
        with pytest.raises(settings.SettingsError, match='cannot be read'):
            settings.load_file('/nonexistent/file', _Outer)
