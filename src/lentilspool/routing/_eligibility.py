"""Conditions under which an endpoint may run a request."""

from collections.abc import Sequence
from typing import Final

from lentilspool.routing import _types

_RETRY_AFTER_S: Final = 1.0


def is_eligible(
    request: _types.RoutingRequest, candidate: _types.Candidate
) -> bool:
    """Return whether the endpoint may be chosen for the request."""
    if candidate.ejected or candidate.name in request.excluded:
        return False
    if request.model and candidate.model != request.model:
        return False
    if request.requires_idle:
        total_work = candidate.in_flight + candidate.reported_other_work
        return total_work == 0 and _has_version(request, candidate)
    return _has_version(request, candidate)


def eligible(
    request: _types.RoutingRequest, candidates: Sequence[_types.Candidate]
) -> list[_types.Candidate]:
    """Return the endpoints that may be chosen, in the order given."""
    return [
        candidate for candidate in candidates if is_eligible(request, candidate)
    ]


def no_endpoint(
    request: _types.RoutingRequest, candidates: Sequence[_types.Candidate]
) -> _types.NoEndpoint:
    """Explain why none of the candidates may be chosen."""
    total = len(candidates)
    ejected = sum(candidate.ejected for candidate in candidates)
    excluded = sum(
        candidate.name in request.excluded for candidate in candidates
    )
    return _types.NoEndpoint(
        reason=(
            f'pool "{request.pool}" has {total} endpoints; {ejected} are '
            f'ejected, {excluded} excluded, the others do not hold '
            f'model "{request.model}" version "{request.model_version}" '
            f'or are busy'
        ),
        retry_after_s=_RETRY_AFTER_S,
    )


def _has_version(
    request: _types.RoutingRequest, candidate: _types.Candidate
) -> bool:
    required = request.model_version
    return not required or candidate.model_version == required
