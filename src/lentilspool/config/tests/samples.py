"""Sample documents and entries for the tests of the configuration."""

from typing import Any

from lentilspool import config


def document() -> dict[str, Any]:
    """Return a small valid document."""
    return {
        'pipelines': {
            'draft': {
                'stages': [
                    {'name': 'encode', 'pool': 'encoders'},
                    {'name': 'generate', 'pool': 'models'},
                ]
            }
        },
        'pools': {
            'encoders': {'kind': 'stage'},
            'models': {'kind': 'engine', 'provider': 'cloud'},
            'spare': {'kind': 'stage'},
        },
        'teams': {'desk': {}},
        'providers': {
            'cloud': {
                'credits': 10,
                'starts_at': '2026-01-01T00:00:00+00:00',
                'expires_at': '2026-12-31T00:00:00+00:00',
            }
        },
    }


def base(number: int = 1, **extra: Any) -> bytes:
    """Return the bytes of a base, with some sections replaced."""
    return config.encode_base(config.Base(number, {**document(), **extra}))


def patch(number: int, against: int, merge: dict[str, Any]) -> bytes:
    """Return the bytes of a patch by the author "ana"."""
    return config.encode_patch(config.Patch(number, against, 'ana', merge))


def share(number: int, against: int, team: str, amount: float) -> bytes:
    """Return the bytes of a patch that sets the share of a team."""
    return patch(number, against, {'teams': {team: {'share': amount}}})
