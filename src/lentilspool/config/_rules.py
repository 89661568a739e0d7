"""Rules of a configuration document, one function for each section."""

from collections.abc import Iterator

from lentilspool.config import _bounds, _document, _problems


def check_pipelines(
    document: _document.Document,
) -> Iterator[_problems.Problem]:
    for name, pipeline in document.pipelines.items():
        path = f'$.pipelines.{name}'
        if not pipeline.stages:
            yield _problems.Problem(
                f'{path}.stages', 'a pipeline needs at least one stage'
            )
        yield from _bounds.check_positive(
            path, 'deadline_s', pipeline.deadline_s
        )
        yield from _bounds.check_positive(
            path, 'wait_limit_s', pipeline.wait_limit_s
        )
        yield from _check_stages(document, path, pipeline)
        for index, team in enumerate(pipeline.teams):
            if team not in document.teams:
                yield _problems.Problem(
                    f'{path}.teams[{index}]', _missing_detail('team', team)
                )


def _check_stages(
    document: _document.Document,
    path: str,
    pipeline: _document.PipelineDocument,
) -> Iterator[_problems.Problem]:
    seen: set[str] = set()
    for index, stage in enumerate(pipeline.stages):
        place = f'{path}.stages[{index}]'
        if stage.pool not in document.pools:
            yield _problems.Problem(
                f'{place}.pool', _missing_detail('pool', stage.pool)
            )
        if stage.name in seen:
            yield _problems.Problem(
                f'{place}.name', f'"{stage.name}" is used twice'
            )
        yield from _bounds.check_positive(
            place, 'max_output_tokens', stage.max_output_tokens
        )
        yield from _bounds.check_not_negative(
            place, 'expected_cost', stage.expected_cost
        )
        seen.add(stage.name)
    if sum(not candidate.repeatable for candidate in pipeline.stages) > 1:
        yield _problems.Problem(
            f'{path}.stages',
            'at most one stage may be unrepeatable: one token admits one stage',
        )


def check_pools(document: _document.Document) -> Iterator[_problems.Problem]:
    for name, pool in document.pools.items():
        path = f'$.pools.{name}'
        yield from _bounds.check_not_negative(path, 'price', pool.price)
        yield from _bounds.check_positive(
            path, 'max_in_flight', pool.max_in_flight
        )
        yield from _bounds.check_not_negative(
            path, 'max_queued', pool.max_queued
        )
        yield from _bounds.check_share(
            path, 'min_capacity_share', pool.min_capacity_share
        )


def check_teams(document: _document.Document) -> Iterator[_problems.Problem]:
    for name, team in document.teams.items():
        path = f'$.teams.{name}'
        yield from _bounds.check_positive(path, 'share', team.share)
        yield from _bounds.check_not_negative(
            path, 'max_waiting', team.max_waiting
        )
    budget = document.policies.retry_budget_share
    yield from _bounds.check_share('$.policies', 'retry_budget_share', budget)


def check_providers(
    document: _document.Document,
) -> Iterator[_problems.Problem]:
    for name, provider in document.providers.items():
        path = f'$.providers.{name}'
        yield from _bounds.check_not_negative(path, 'credits', provider.credits)
        starts_at = _bounds.parse_timestamp(provider.starts_at)
        expires_at = _bounds.parse_timestamp(provider.expires_at)
        if starts_at is None:
            yield _problems.Problem(
                f'{path}.starts_at', _bad_timestamp_detail(provider.starts_at)
            )
        if expires_at is None:
            yield _problems.Problem(
                f'{path}.expires_at', _bad_timestamp_detail(provider.expires_at)
            )
        if starts_at and expires_at and expires_at <= starts_at:
            yield _problems.Problem(
                f'{path}.expires_at', 'is not after starts_at'
            )


def check_key_slots(
    document: _document.Document,
) -> Iterator[_problems.Problem]:
    for name, addresses in document.key_slots.items():
        path = f'$.key_slots.{name}'
        pool = name.partition('@')[0]
        if pool not in document.pools:
            yield _problems.Problem(path, _missing_detail('pool', pool))
        if not addresses:
            yield _problems.Problem(path, 'needs at least one sidecar address')
        if len(set(addresses)) != len(addresses):
            yield _problems.Problem(path, 'names an address twice')


def _missing_detail(kind: str, name: str) -> str:
    return f'there is no {kind} "{name}"'


def _bad_timestamp_detail(text: str) -> str:
    return f'"{text}" is not an ISO 8601 time with an offset from UTC'
