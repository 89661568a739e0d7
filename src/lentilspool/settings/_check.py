"""Validated conversion of plain JSON values into frozen data classes."""

import dataclasses
import difflib
import functools
import re
import types
import typing
from typing import Any, TypeVar

import msgspec

from lentilspool.settings import _errors

_Target = TypeVar('_Target')

_PATH_SUFFIX = re.compile(r' - at `(?P<path>[^`]*)`$')


def convert(plain: object, target: type[_Target], source: str) -> _Target:
    """Convert ``plain`` into an instance of the data class ``target``.

    Raises ``SettingsError`` with the path of the first key that is unknown
    or whose value has the wrong type. ``source`` is the file name shown in
    the error.
    """
    _refuse_unknown_keys(plain, target, '$', source)
    try:
        return msgspec.convert(plain, target)
    except msgspec.ValidationError as error:
        text = str(error)
        match = _PATH_SUFFIX.search(text)
        path = match['path'] if match else '$'
        problem = _PATH_SUFFIX.sub('', text)
        raise _errors.SettingsError(source, path, problem) from None


def _refuse_unknown_keys(
    plain: object, target: Any, path: str, source: str
) -> None:
    for member in _union_members(target):
        for key, child, hint in _children(plain, member, path, source):
            _refuse_unknown_keys(child, hint, f'{path}{key}', source)


def _children(
    plain: object, target: Any, path: str, source: str
) -> list[tuple[str, object, Any]]:
    """Return path suffix, value and expected type of each child."""
    arguments = typing.get_args(target)
    if isinstance(plain, dict) and dataclasses.is_dataclass(target):
        return _dataclass_children(plain, target, path, source)
    if isinstance(plain, dict) and typing.get_origin(target) is dict:
        return [
            (f'.{key}', child, arguments[1]) for key, child in plain.items()
        ]
    if isinstance(plain, list) and arguments:
        return [
            (f'[{index}]', child, arguments[0])
            for index, child in enumerate(plain)
        ]
    return []


def _union_members(target: Any) -> tuple[Any, ...]:
    if typing.get_origin(target) in {types.UnionType, typing.Union}:
        return typing.get_args(target)
    return (target,)


def _dataclass_children(
    plain: dict[str, object], target: Any, path: str, source: str
) -> list[tuple[str, object, Any]]:
    hints = _type_hints(target)
    for name in plain:
        if name not in hints:
            raise _errors.SettingsError(
                source,
                f'{path}.{name}',
                _unknown_key_problem(name, list(hints)),
            )
    return [(f'.{key}', child, hints[key]) for key, child in plain.items()]


@functools.cache
def _type_hints(target: type[Any]) -> dict[str, Any]:
    return typing.get_type_hints(target)


def _unknown_key_problem(key: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(key, known, n=1)
    if nearest:
        return f'unknown key "{key}"; did you mean "{nearest[0]}"?'
    return f'unknown key "{key}"; allowed: {", ".join(known)}'
