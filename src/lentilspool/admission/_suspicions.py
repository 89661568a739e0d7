"""Suspicion that a content crashes what runs it, as entries share it."""

import dataclasses

import msgspec

from lentilspool import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineLimits:
    """Bounds and times of the quarantine."""

    max_entries: int = 1000
    """Contents under suspicion at one time."""

    deaths: int = 2
    """Endpoint deaths after which a content is refused."""

    suspicion_s: float = 60.0
    """Seconds for which a death counts against a content."""

    refusal_s: float = 600.0
    """Seconds for which a content is refused after the last death."""

    spread_s: float = 0.5
    """Seconds within which other entries have heard of a suspicion."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What is held against one content; merged by union."""

    content_digest: str
    """Digest of the request's content."""

    deaths: frozenset[str]
    """Endpoint deaths at which the content was in flight."""

    cleared: frozenset[str]
    """Deaths that the content did not cause, since it has completed."""

    remaining_s: float
    """Seconds until the suspicion is forgotten."""

    @property
    def open_deaths(self) -> int:
        """Number of deaths that still count."""
        return len(self.deaths - self.cleared)


_Packed = tuple[str, list[str], list[str], float]
_decoder = msgspec.json.Decoder(_Packed)


def encode_suspicion(suspicion: Suspicion) -> str:
    """Return the text that heartbeats carry."""
    return msgspec.json.encode(
        (
            suspicion.content_digest,
            sorted(suspicion.deaths),
            sorted(suspicion.cleared),
            suspicion.remaining_s,
        )
    ).decode()


def decode_suspicion(text: str) -> Suspicion | None:
    """Return the suspicion of a heartbeat's text; none if it is damaged."""
    try:
        packed = _decoder.decode(text)
    except msgspec.MsgspecError:
        return None
    return Suspicion(
        packed[0], frozenset(packed[1]), frozenset(packed[2]), packed[3]
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RunFreely:
    """Nothing is held against the content."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAlone:
    """Run the content with nothing else in flight at its endpoint."""

    wait_s: float
    """Seconds to wait, until other entries know of the suspicion."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The content is refused."""

    outcome: kernel.NotRun
    """Outcome for the caller."""


Judgement = RunFreely | RunAlone | Quarantined
