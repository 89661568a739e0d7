"""HTTP responses of outcomes: one table, problem details per RFC 9457."""

import dataclasses
import json
import math
from typing import Any, Final

from lentilspool import kernel

_PROBLEM: Final = 'application/problem+json'
_JSON: Final = 'application/json'
_TYPE: Final = 'urn:lentilspool:problem:'

_OK: Final = 200
_ACCEPTED: Final = 202
_BAD_REQUEST: Final = 400
_TOO_MANY: Final = 429
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_CONFLICT: Final = 409

_TOO_MANY_REASONS: Final = frozenset(
    (
        kernel.NotRunReason.team_limit,
        kernel.NotRunReason.overloaded,
        kernel.NotRunReason.spend,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status, headers and body of a response."""

    status: int
    """HTTP status."""

    content_type: str
    """Media type of the body."""

    body: bytes
    """JSON text."""

    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    """Further headers."""


def describe(outcome: kernel.Outcome) -> dict[str, Any]:
    """Return an outcome as plain JSON types, without the answer."""
    kind = type(outcome).__name__
    plain: dict[str, Any] = {'outcome': kind}
    for field in dataclasses.fields(outcome):
        held = getattr(outcome, field.name)
        if field.name == 'cost_by_stage':
            held = [dataclasses.asdict(cost) for cost in held]
        if field.name != 'answer':
            plain[field.name] = getattr(held, 'value', held)
    return plain


def response_of(outcome: kernel.Outcome, request_id: str) -> Response:
    """Return the HTTP response of an outcome."""
    fields = {'request_id': request_id, **describe(outcome)}
    if isinstance(outcome, kernel.Complete):
        fields['answer'] = json.loads(outcome.answer)
        return plain(_OK, fields)
    if isinstance(outcome, kernel.Accepted):
        return plain(_ACCEPTED, fields)
    status = _status(outcome)
    title = fields['outcome']
    problem = {
        'type': f'{_TYPE}{_kebab(title)}',
        'title': title,
        'status': status,
        **fields,
    }
    retry_after_s = fields.get('retry_after_s')
    headers = {}
    if retry_after_s is not None:
        headers['retry-after'] = str(math.ceil(retry_after_s))
    return Response(status, _PROBLEM, json.dumps(problem).encode(), headers)


def invalid(status: int, detail: str) -> Response:
    """Return the response to a request that cannot be admitted."""
    problem = {
        'type': f'{_TYPE}invalid',
        'title': 'Invalid',
        'status': status,
        'outcome': 'NotRun',
        'reason': 'invalid',
        'detail': detail,
    }
    return Response(status, _PROBLEM, json.dumps(problem).encode())


def plain(status: int, fields: dict[str, Any]) -> Response:
    """Return a response with plain JSON types."""
    return Response(status, _JSON, json.dumps(fields).encode())


def _status(outcome: kernel.Outcome) -> int:
    if isinstance(outcome, kernel.NotRun):
        if outcome.reason is kernel.NotRunReason.invalid:
            return _BAD_REQUEST
        too_many = outcome.reason in _TOO_MANY_REASONS
        return _TOO_MANY if too_many else _UNAVAILABLE
    if isinstance(outcome, kernel.Unknown):
        return _CONFLICT
    if isinstance(outcome, kernel.Late):
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def _kebab(title: str) -> str:
    return {'NotRun': 'not-run'}.get(title, title.lower())
