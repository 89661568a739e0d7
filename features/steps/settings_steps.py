"""Steps about settings files."""

import dataclasses

from behave import given, then, when

from lentilspool import settings


@dataclasses.dataclass(frozen=True)
class _Place:
    zone: str = ''


@given('a settings file with the key "{key}" instead of "{known}"')
def given_key(context, key, known):
    context.settings_text = f'{{"{key}": "a"}}'


@when('it is checked')
def when_checked(context):
    try:
        settings.parse(context.settings_text, _Place, 'settings.jsonc')
    except settings.SettingsError as error:
        context.error = error


@then('the error names "{path}" and proposes "{name}"')
def then_error(context, path, name):
    assert path in str(context.error)
    assert f'"{name}"' in str(context.error)
