"""Checks across a whole configuration document."""

from collections.abc import Iterator
from typing import Any, Final

from lentilspool import settings
from lentilspool.config import _document, _problems, _rules

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
