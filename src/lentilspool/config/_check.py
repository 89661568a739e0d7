"""Conversion and validation of a whole configuration document."""

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


def convert_document(
    plain: dict[str, Any],
) -> _document.Document | _problems.Problem:
    """Return the typed document, or the first conversion problem."""
    try:
        return settings.convert(plain, _document.Document, 'document')
    except settings.SettingsError as error:
        return _first_object_problem(plain) or _problems.Problem(
            error.path, error.problem
        )


def reconvert_document(
    before: _document.Document,
    plain: dict[str, Any],
    paths: tuple[_merge.Path, ...],
) -> _document.Document | _problems.Problem:
    """Return what ``convert_document`` returns, at a lower cost.

    Only the named objects that ``paths`` touch are converted. ``before`` is
    a typed document that differs from ``plain`` at most at these paths.
    """
    document = before
    for path in paths:
        object_type = dict(_SECTIONS).get(path[0])
        if object_type is None or len(path) < 2:
            return convert_document(plain)
        section, name, *_ = path
        try:
            document = _with_object_converted(
                document, plain, (section, name), object_type
            )
        except settings.SettingsError:
            return convert_document(plain)
    return document


def _with_object_converted(
    document: _document.Document,
    plain: dict[str, Any],
    place: tuple[str, str],
    object_type: type[object],
) -> _document.Document:
    """Return the document with one named object replaced or removed."""
    section, name = place
    named_objects = dict(getattr(document, section))
    plain_object = plain[section].get(name)
    if plain_object is None:
        named_objects.pop(name, None)
    else:
        named_objects[name] = settings.convert(
            plain_object, object_type, 'document'
        )
    changed: dict[str, Any] = {section: named_objects}
    return dataclasses.replace(document, **changed)


def _first_object_problem(plain: dict[str, Any]) -> _problems.Problem | None:
    """Return the first conversion problem inside a named object, if any."""
    for section, object_type in _SECTIONS:
        named_objects = plain.get(section)
        for name, plain_object in (
            named_objects.items() if isinstance(named_objects, dict) else ()
        ):
            try:
                settings.convert(plain_object, object_type, 'document')
            except settings.SettingsError as error:
                path = f'$.{section}.{name}{error.path[1:]}'
                return _problems.Problem(path, error.problem)
    return None


def check_document(
    document: _document.Document, known: _problems.KnownNames | None = None
) -> tuple[_problems.Problem, ...]:
    """Return every problem of a document; empty if it is valid.

    Policy names are checked only if ``known`` is given.
    """
    found = [
        *_rules.check_pipelines(document),
        *_rules.check_pools(document),
        *_rules.check_teams(document),
        *_rules.check_providers(document),
        *_rules.check_key_slots(document),
    ]
    if known is not None:
        found.extend(_check_policy_names(document, known))
    return tuple(found)


def _check_policy_names(
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
