"""Outcomes as JSON, for messages between entries."""

from typing import Any, Final

import msgspec

from lentilspool import kernel

_KINDS: Final = (
    kernel.Complete,
    kernel.NotRun,
    kernel.Unknown,
    kernel.Failed,
    kernel.Late,
    kernel.Accepted,
)


def encode(outcome: kernel.Outcome) -> bytes:
    """Return an outcome with the name of its kind."""
    return msgspec.json.encode((type(outcome).__name__, outcome))


def decode(raw: bytes) -> kernel.Outcome | None:
    """Return the outcome; none if the bytes are damaged."""
    try:
        name, fields = msgspec.json.decode(raw, type=tuple[str, msgspec.Raw])
        return _decoded(name, fields)
    except msgspec.DecodeError:
        return None


def _decoded(name: str, fields: msgspec.Raw) -> kernel.Outcome | None:
    for kind in _KINDS:
        if kind.__name__ == name:
            known: Any = kind
            outcome: kernel.Outcome = msgspec.json.decode(fields, type=known)
            return outcome
    return None
