"""Limits and decisions of the quarantine, and suspicions to exchange.

A suspicion says that a content may crash the endpoints that run it.
"""

import dataclasses

import msgspec

from lentilspool import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineLimits:
    """Memory bound, thresholds and times of the quarantine."""

    max_entries: int = 1000
    """Maximum number of contents on record."""

    deaths: int = 2
    """Number of endpoint deaths from which a content is refused."""

    suspicion_s: float = 60.0
    """Seconds for which a death counts against a content."""

    refusal_s: float = 600.0
    """Seconds for which a content is refused after the last death."""

    spread_s: float = 0.5
    """Seconds within which a suspicion reaches the other entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Endpoint deaths of one content; entries merge them by union."""

    content_digest: str
    """Digest of the request's content."""

    deaths: frozenset[str]
    """Deaths of endpoints where the content was in flight."""

    cleared: frozenset[str]
    """Deaths that no longer count, because the content has completed."""

    remaining_s: float
    """Seconds until the suspicion expires."""

    @property
    def open_deaths(self) -> int:
        """Number of deaths that count against the content."""
        return len(self.deaths - self.cleared)


_EncodedFields = tuple[str, list[str], list[str], float]
_decoder = msgspec.json.Decoder(_EncodedFields)


def encode_suspicion(suspicion: Suspicion) -> str:
    """Encode a suspicion as text for a heartbeat."""
    return msgspec.json.encode(
        (
            suspicion.content_digest,
            sorted(suspicion.deaths),
            sorted(suspicion.cleared),
            suspicion.remaining_s,
        )
    ).decode()


def decode_suspicion(text: str) -> Suspicion | None:
    """Decode a heartbeat's text; ``None`` if it is invalid."""
    try:
        decoded = _decoder.decode(text)
    except msgspec.MsgspecError:
        return None
    return Suspicion(
        decoded[0], frozenset(decoded[1]), frozenset(decoded[2]), decoded[3]
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RunFreely:
    """The content is not under suspicion and runs without restriction."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAlone:
    """Run the content with nothing else in flight at its endpoint."""

    wait_s: float
    """Seconds to wait first, until the suspicion has reached all entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The content is refused because endpoints died while it ran."""

    outcome: kernel.NotRun
    """Outcome for the caller."""


QuarantineDecision = RunFreely | RunAlone | Quarantined
