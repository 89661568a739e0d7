"""Reference page of all settings, generated from the data classes."""

import ast
import dataclasses
import inspect
import typing
from collections.abc import Iterator
from typing import Any

from lentilspool.settings import _daemons, _gateway


def reference() -> str:
    """Return the text of ``docs/settings.md`` in Markdown."""
    lines = [
        '# Settings',
        '',
        'Settings files are JSON with comments. An unknown key is refused with',
        'the nearest known name. Names carry their units: `_s` is seconds,',
        '`_bytes` is bytes. This page is made by `make docs`.',
        '',
    ]
    for program, kind in (
        ('lentilspool-entry', _daemons.EntrySettings),
        ('lentilspool-sidecar', _daemons.SidecarSettings),
        ('lentilspool-gateway', _gateway.GatewaySettings),
    ):
        lines.extend((f'## {program}', ''))
        lines.extend(_table(kind))
        lines.append('')
    return '\n'.join(lines)


def _table(kind: type[Any]) -> Iterator[str]:
    yield '| key | type | default | meaning |'
    yield '| --- | --- | --- | --- |'
    yield from _rows(kind, '')


def _rows(kind: type[Any], prefix: str) -> Iterator[str]:
    hints = typing.get_type_hints(kind)
    meanings = _meanings(kind)
    for field in dataclasses.fields(kind):
        name = f'{prefix}{field.name}'
        hint = hints[field.name]
        meaning = meanings[field.name]
        if dataclasses.is_dataclass(hint):
            yield f'| `{name}` | object | | {meaning} |'
            yield from _rows(typing.cast(type[Any], hint), f'{name}.')
        else:
            yield f'| `{name}` | {_type_text(hint)} | {_default_text(field)} | {meaning} |'


def _type_text(hint: Any) -> str:
    return str(hint) if typing.get_args(hint) else str(hint.__name__)


def _default_text(field: 'dataclasses.Field[Any]') -> str:
    if field.default is dataclasses.MISSING:
        return 'required'
    return f'`{field.default!r}`'


def _meanings(kind: type[Any]) -> dict[str, str]:
    """Return the docstring below each field of a data class, by field name.

    Such docstrings are not kept at run time, so the source is parsed.
    """
    definition = ast.parse(inspect.getsource(kind)).body[0]
    body = getattr(definition, 'body', [])
    meanings = {}
    for field, text in zip(body, body[1:]):
        if isinstance(field, ast.AnnAssign) and isinstance(text, ast.Expr):
            name = typing.cast(ast.Name, field.target).id
            meanings[name] = str(ast.literal_eval(text.value))
    return meanings
