"""Checks across a whole configuration document."""

import dataclasses
from collections.abc import Iterator
from typing import Any, Final

from lentilspool import settings
from lentilspool.config import _document, _merge, _problems, _rules

_SECTIONS: Final[tuple[tuple[str, type[object]], ...]] = (
    ('pipelines', _document.PipelineDocument),
    ('pools', _document.PoolDocument),
    ('teams', _document.TeamDocument),
    ('providers', _document.ProviderDocument),
)


def typed(
    plain: dict[str, Any],
) -> _document.Document | _problems.Problem:
    """Return the typed document, or the first value that does not fit."""
    try:
        return settings.convert(plain, _document.Document, 'document')
    except settings.SettingsError as error:
        return _named(plain) or _problems.Problem(error.path, error.problem)


def retyped(
    before: _document.Document,
    plain: dict[str, Any],
    paths: tuple[_merge.Path, ...],
) -> _document.Document | _problems.Problem:
    """Return what ``typed`` does, converting only what paths touch.

    ``before`` is the typed document that differs from ``plain`` at most at
    the paths.
    """
    document = before
    for path in paths:
        target = dict(_SECTIONS).get(path[0])
        if target is None or len(path) < 2:
            return typed(plain)
        section, name, *_ = path
        try:
            document = _with_one(document, plain, (section, name), target)
        except settings.SettingsError:
            return typed(plain)
    return document


def _with_one(
    document: _document.Document,
    plain: dict[str, Any],
    place: tuple[str, str],
    target: type[object],
) -> _document.Document:
    """Return the document with one named object converted or left out."""
    section, name = place
    held = dict(getattr(document, section))
    inner = plain[section].get(name)
    if inner is None:
        held.pop(name, None)
    else:
        held[name] = settings.convert(inner, target, 'document')
    changed: dict[str, Any] = {section: held}
    return dataclasses.replace(document, **changed)


def _named(plain: dict[str, Any]) -> _problems.Problem | None:
    """Return the problem of the first named object that does not fit."""
    for section, target in _SECTIONS:
        held = plain.get(section)
        for name, inner in held.items() if isinstance(held, dict) else ():
            try:
                settings.convert(inner, target, 'document')
            except settings.SettingsError as error:
                path = f'$.{section}.{name}{error.path[1:]}'
                return _problems.Problem(path, error.problem)
    return None


def check(
    document: _document.Document, known: _problems.KnownNames | None = None
) -> tuple[_problems.Problem, ...]:
    """Return every problem of a document; empty if it may be in force.

    Policy names are checked only if ``known`` is given.
    """
    found = [
        *_rules.pipelines(document),
        *_rules.pools(document),
        *_rules.teams(document),
        *_rules.providers(document),
        *_rules.key_slots(document),
    ]
    if known is not None:
        found.extend(_names(document, known))
    return tuple(found)


def _names(
    document: _document.Document, known: _problems.KnownNames
) -> Iterator[_problems.Problem]:
    used = [
        ('$.policies.admission', document.policies.admission, known.admission),
        ('$.policies.queue', document.policies.queue, known.queue),
        ('$.policies.spend', document.policies.spend, known.spend),
    ]
    for name, pool in document.pools.items():
        path = f'$.pools.{name}'
        used.append((f'{path}.routing', pool.routing, known.routing))
        used.append((f'{path}.limit', pool.limit, known.limit))
    for place, policy, allowed in used:
        if policy not in allowed:
            names = ', '.join(allowed)
            yield _problems.Problem(
                place, f'no policy "{policy}"; known: {names}'
            )
