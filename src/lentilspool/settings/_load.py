"""Loading of settings files written in JSON with comments."""

import json
import pathlib
from typing import TypeVar

import jsonc

from lentilspool.settings import _check, _errors

_Target = TypeVar('_Target')


def load_file(path: str, target: type[_Target]) -> _Target:
    """Read a settings file into the frozen data class ``target``.

    Raises ``SettingsError`` if it cannot be read, parsed or converted.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise _errors.SettingsError(path, '$', f'cannot be read: {error}')
    return parse(text, target, path)


def parse(text: str, target: type[_Target], source: str) -> _Target:
    """Convert JSON with comments into the frozen data class ``target``.

    Raises ``SettingsError``, with line and column if the JSON is invalid.
    """
    try:
        plain = jsonc.loads(text)
    except json.JSONDecodeError as error:
        position = f'line {error.lineno} column {error.colno}'
        raise _errors.SettingsError(source, position, error.msg) from None
    return _check.convert(plain, target, source)
