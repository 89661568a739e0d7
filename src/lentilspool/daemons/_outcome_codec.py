"""JSON encoding of outcomes for messages between entries."""

from typing import Any, Final

import msgspec

from lentilspool import kernel

_OUTCOME_CLASSES: Final = (
    kernel.Complete,
    kernel.NotRun,
    kernel.Unknown,
    kernel.Failed,
    kernel.Late,
    kernel.Accepted,
)


def encode(outcome: kernel.Outcome) -> bytes:
    """Return an outcome as a JSON array of class name and fields."""
    return msgspec.json.encode((type(outcome).__name__, outcome))


def decode(raw: bytes) -> kernel.Outcome | None:
    """Return the outcome; None if the bytes are not a valid encoding."""
    try:
        name, fields = msgspec.json.decode(raw, type=tuple[str, msgspec.Raw])
        return _decoded(name, fields)
    except msgspec.DecodeError:
        return None


def _decoded(name: str, fields: msgspec.Raw) -> kernel.Outcome | None:
    for outcome_class in _OUTCOME_CLASSES:
        if outcome_class.__name__ == name:
            decoded_type: Any = outcome_class
            outcome: kernel.Outcome = msgspec.json.decode(
                fields, type=decoded_type
            )
            return outcome
    return None
