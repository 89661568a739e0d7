"""HTTP responses for outcomes, with problem details as in RFC 9457."""

import dataclasses
import json
import math
from typing import Any, Final

from lentilspool import kernel

_PROBLEM_JSON: Final = 'application/problem+json'
_JSON: Final = 'application/json'
_TYPE_PREFIX: Final = 'urn:lentilspool:problem:'

_OK: Final = 200
_ACCEPTED: Final = 202
_BAD_REQUEST: Final = 400
_TOO_MANY_REQUESTS: Final = 429
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_CONFLICT: Final = 409

_TOO_MANY_REQUESTS_REASONS: Final = frozenset(
    (
        kernel.NotRunReason.team_limit,
        kernel.NotRunReason.overloaded,
        kernel.NotRunReason.spend,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status, headers and body of an HTTP response."""

    status: int
    """HTTP status."""

    content_type: str
    """Media type of the body."""

    body: bytes
    """JSON text."""

    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    """Headers besides the content type."""


def describe(outcome: kernel.Outcome) -> dict[str, Any]:
    """Return an outcome as plain JSON types, without its answer."""
    kind = type(outcome).__name__
    plain: dict[str, Any] = {'outcome': kind}
    for field in dataclasses.fields(outcome):
        field_value = getattr(outcome, field.name)
        if field.name == 'cost_by_stage':
            field_value = [dataclasses.asdict(cost) for cost in field_value]
        if field.name != 'answer':
            plain[field.name] = getattr(field_value, 'value', field_value)
    return plain


def response_of(outcome: kernel.Outcome, request_id: str) -> Response:
    """Return the HTTP response for an outcome."""
    fields = {'request_id': request_id, **describe(outcome)}
    if isinstance(outcome, kernel.Complete):
        fields['answer'] = json.loads(outcome.answer)
        return json_response(_OK, fields)
    if isinstance(outcome, kernel.Accepted):
        return json_response(_ACCEPTED, fields)
    status = _status(outcome)
    title = fields['outcome']
    problem = {
        'type': f'{_TYPE_PREFIX}{_kebab_case(title)}',
        'title': title,
        'status': status,
        **fields,
    }
    retry_after_s = fields.get('retry_after_s')
    headers = {}
    if retry_after_s is not None:
        headers['retry-after'] = str(math.ceil(retry_after_s))
    return Response(
        status, _PROBLEM_JSON, json.dumps(problem).encode(), headers
    )


def invalid_response(status: int, detail: str) -> Response:
    """Return the response to an invalid request."""
    problem = {
        'type': f'{_TYPE_PREFIX}invalid',
        'title': 'Invalid',
        'status': status,
        'outcome': 'NotRun',
        'reason': 'invalid',
        'detail': detail,
    }
    return Response(status, _PROBLEM_JSON, json.dumps(problem).encode())


def json_response(status: int, fields: dict[str, Any]) -> Response:
    """Return a JSON response with the given fields."""
    return Response(status, _JSON, json.dumps(fields).encode())


def _status(outcome: kernel.Outcome) -> int:
    if isinstance(outcome, kernel.NotRun):
        if outcome.reason is kernel.NotRunReason.invalid:
            return _BAD_REQUEST
        too_many = outcome.reason in _TOO_MANY_REQUESTS_REASONS
        return _TOO_MANY_REQUESTS if too_many else _UNAVAILABLE
    if isinstance(outcome, kernel.Unknown):
        return _CONFLICT
    if isinstance(outcome, kernel.Late):
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def _kebab_case(title: str) -> str:
    return {'NotRun': 'not-run'}.get(title, title.lower())
