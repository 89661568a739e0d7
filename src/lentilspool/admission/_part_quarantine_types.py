"""Limits of the quarantine of prompt parts, and reports to exchange."""

import dataclasses
from typing import Final

from lentilspool.admission import _quarantine_types

# Reports travel as suspicions, which older releases pass on.
_PREFIX: Final = 'parts '


@dataclasses.dataclass(frozen=True, slots=True)
class PartLimits:
    """Memory bounds, thresholds and times of the quarantine of parts."""

    deaths: int = 3
    """Number of endpoint deaths from which a part is refused."""

    together_s: float = 0.25
    """Seconds within which deaths count once; they may have another cause."""

    refusal_s: float = 60.0
    """Seconds for which a part is refused at first, from the last death; each
    further death doubles them."""

    sound_deaths: int = 5
    """Number of deaths for a part with which a request has completed lately."""

    sound_together_s: float = 1.0
    """Time within which deaths count once for such a part; endpoints that
    fall silent at the same time are found to have ended over a second or two."""

    sound_refusal_s: float = 5.0
    """Seconds for which such a part is refused at first."""

    lifetime_s: float = 600.0
    """Seconds for which a death is remembered."""

    max_entries: int = 8000
    """Maximum number of pairs of a death and a part on record."""

    max_parts: int = 1000
    """Maximum number of parts of one death that this entry reports as suspects,
    and as cleared; a prompt may have hundreds."""

    max_sound: int = 8000
    """Maximum number of parts remembered as completed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartReport:
    """What is known of one endpoint death; entries merge it by union."""

    death: str
    """Name of the endpoint and its incarnation."""

    suspects: frozenset[str]
    """Parts of the requests whose answers had not begun."""

    cleared: frozenset[str]
    """Parts that cannot have caused it, because they have completed."""

    remaining_s: float
    """Seconds for which the death is still remembered."""


def encode_part_report(report: PartReport) -> str:
    """Encode a report as text."""
    return _quarantine_types.encode_suspicion(
        _quarantine_types.Suspicion(
            f'{_PREFIX}{report.death}',
            report.suspects,
            report.cleared,
            report.remaining_s,
        )
    )


def as_part_report(
    suspicion: _quarantine_types.Suspicion,
) -> PartReport | None:
    """Return the report that a suspicion carries; None if it is of a content."""
    if not suspicion.content_digest.startswith(_PREFIX):
        return None
    return PartReport(
        suspicion.content_digest.removeprefix(_PREFIX),
        suspicion.deaths,
        suspicion.cleared,
        suspicion.remaining_s,
    )
