"""Requests of callers, validated against the current configuration."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import msgspec

from lentilspool import config
from lentilspool.pipeline import _digest


@dataclasses.dataclass(frozen=True, slots=True)
class _Body:
    team: str
    input: dict[str, Any]
    deadline_s: float | None = None
    may_wait: bool | None = None
    repeatable: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineRequest:
    """One admitted request with the configuration at its admission."""

    request_id: str
    """Unique identifier of the request, which appears in all logs."""

    pipeline: str
    """Name of the pipeline."""

    stages: tuple[config.StageDocument, ...]
    """Stages to run, in order."""

    team: str
    """Team that is billed."""

    fields: Mapping[str, Any]
    """Input fields from the caller."""

    deadline: float
    """Monotonic time in seconds at which the answer is due."""

    may_wait: bool
    """Whether the caller may collect the answer later."""

    config_version: int
    """Configuration version at admission."""

    digest: str = ''
    """Content digest of the caller's body."""

    traceparent: str = ''
    """W3C trace context of the caller; empty if it sent none."""

    @property
    def repeatable(self) -> bool:
        """Whether every stage is idempotent."""
        return all(stage.repeatable for stage in self.stages)

    def service_time_key(self, stage: config.StageDocument) -> str:
        """Return the key under which the stage's service times are stored."""
        return f'{self.pipeline}/{stage.name}'


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """A request that was rejected before any of its stages ran."""

    status: int
    """HTTP status of the rejection."""

    detail: str
    """Explanation for the caller."""


_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404


def check_request(
    body: bytes,
    template: PipelineRequest,
    document: config.Document,
    now: float,
) -> PipelineRequest | Invalid:
    """Return the request in a caller's body, or why it is rejected.

    ``template`` carries the identity, the pipeline's name, the trace
    context and the configuration version; the other fields are replaced.
    A request may shorten the deadline of its pipeline or mark its stages as
    not repeatable, but it cannot extend what the pipeline allows. ``now`` is
    the monotonic time in seconds.
    """
    pipeline = document.pipelines.get(template.pipeline)
    if pipeline is None:
        return Invalid(_NOT_FOUND, f'no pipeline is named {template.pipeline}')
    try:
        parsed = msgspec.json.decode(body, type=_Body)
    except (msgspec.DecodeError, RecursionError) as error:
        return Invalid(_BAD_REQUEST, f'body: {error}')
    invalid = _validation_error(parsed, pipeline, document)
    if invalid:
        return invalid
    return dataclasses.replace(
        template,
        stages=_stages_to_run(parsed, pipeline),
        team=parsed.team,
        fields=parsed.input,
        digest=_digest.body_digest(body),
        deadline=now + (parsed.deadline_s or pipeline.deadline_s),
        may_wait=pipeline.may_wait and parsed.may_wait is True,
    )


def _validation_error(
    parsed: _Body, pipeline: config.PipelineDocument, document: config.Document
) -> Invalid | None:
    if parsed.team not in document.teams:
        return Invalid(_FORBIDDEN, f'no team is named {parsed.team!r}')
    if pipeline.teams and parsed.team not in pipeline.teams:
        return Invalid(_FORBIDDEN, 'the team may not use this pipeline')
    deadline_s = parsed.deadline_s
    if deadline_s is not None and not 0 < deadline_s <= pipeline.deadline_s:
        limit = f'above 0 and at most {pipeline.deadline_s}'
        return Invalid(_BAD_REQUEST, f'deadline_s must be {limit}')
    return None


def _stages_to_run(
    parsed: _Body, pipeline: config.PipelineDocument
) -> tuple[config.StageDocument, ...]:
    if parsed.repeatable is not False:
        return pipeline.stages
    return tuple(
        dataclasses.replace(stage, repeatable=False)
        for stage in pipeline.stages
    )
