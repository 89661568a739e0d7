"""Formatting of the output of ``lentilspool-config``."""

import json
from collections.abc import Iterator
from typing import Any

from lentilspool import config


def verdict(given: config.Verdict) -> str:
    """Format the verdict on an entry as one line."""
    author = f' by {given.author}' if given.author else ''
    start = f'number {given.number}{author}'
    if isinstance(given, config.EntryAccepted):
        return f'{start}: accepted as version {given.version}'
    return (
        f'{start}: refused ({given.reason.value}), version {given.version} '
        f'stays: {given.path}: {given.detail}'
    )


def changes(before: bytes, after: bytes) -> Iterator[str]:
    """Yield one line for each value that differs between two documents."""
    return _changes(json.loads(before), json.loads(after), '$')


def _changes(before: Any, after: Any, path: str) -> Iterator[str]:
    if before == after:
        return
    if not (isinstance(before, dict) and isinstance(after, dict)):
        yield f'{path}: {json.dumps(before)} -> {json.dumps(after)}'
        return
    for key in sorted(before.keys() | after.keys()):
        yield from _changes(before.get(key), after.get(key), f'{path}.{key}')
