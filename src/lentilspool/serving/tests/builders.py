"""Builders of endpoints, services and requests for tests of the planner."""

import dataclasses

from lentilspool import serving

BATCHES = serving.BatchLimits(
    slots=1,
    queue=2,
    batch=4,
    call_s=0.15,
    piece_s=0.03,
    room_bytes=18_000_000,
    keep_s=4,
)
ENGINE = serving.EngineLimits(slots=64, memory_tokens=600_000, can_fetch=True)
SERVICES = {
    'model': serving.Service('model', 370, engine=ENGINE),
    'search': serving.Service('search', 370, batches=BATCHES),
    'rank': serving.Service('rank', 370, batches=BATCHES),
}


def endpoint(
    name: str, service: str, zone: str = 'a', *, ready: bool = True
) -> serving.Endpoint:
    """Return an endpoint with a port that is derived from its name."""
    port = 1000 + sum(name.encode())
    return serving.Endpoint(name, service, '10.0.0.1', port, zone, 1, ready, 1)


def endpoint_index(*endpoints: serving.Endpoint) -> serving.EndpointIndex:
    """Return an index of the endpoints."""
    listed = serving.EndpointIndex()
    listed.replace({one.name: one for one in endpoints})
    return listed


def planner(
    listed: serving.EndpointIndex, limits: serving.PlanLimits | None = None
) -> serving.Planner:
    """Return a planner for the services above."""
    new_planner = serving.Planner(listed, limits)
    new_planner.configure(SERVICES)
    return new_planner


def stage(
    pieces: int = 1,
    service: str = 'search',
    after: tuple[int, ...] = (),
    result_bytes: float = 8000,
) -> serving.StageRequest:
    """Return a stage of a request."""
    return serving.StageRequest(service, after, result_bytes, pieces)


def prompt(
    shared: int = 1000, own: int = 500, key: str = 'p'
) -> serving.Prompt:
    """Return a prompt with one shared part and one unique part."""
    parts = (serving.PromptPart(key, shared), serving.PromptPart('own', own))
    return serving.Prompt('m', shared + own, 100, parts)


def plan_request(
    key: str,
    *stages: serving.StageRequest,
    **changes: object,
) -> serving.PlanRequest:
    """Return a request with one second until its target."""
    plain = serving.PlanRequest(
        key=key,
        request_id=f'id-{key}',
        route='route',
        service='model',
        stages=stages,
        piece_key='about',
        prompt=prompt(),
        target_s=1,
        deadline_s=8,
        priority=1,
        zone='a',
    )
    return dataclasses.replace(plain, **changes)  # type: ignore[arg-type]


def calls(actions: list[serving.Action]) -> list[serving.StartCall]:
    """Return the stage calls among actions."""
    return [one for one in actions if isinstance(one, serving.StartCall)]


def runs(actions: list[serving.Action]) -> list[serving.RunAt]:
    """Return the orders to run a request at an engine among actions."""
    return [one for one in actions if isinstance(one, serving.RunAt)]


def refusals(actions: list[serving.Action]) -> list[serving.Refuse]:
    """Return the refusals among actions."""
    return [one for one in actions if isinstance(one, serving.Refuse)]


def frees(actions: list[serving.Action]) -> list[serving.FreeResults]:
    """Return the orders to free results among actions."""
    return [one for one in actions if isinstance(one, serving.FreeResults)]


def results_of(call: serving.StartCall) -> tuple[serving.PieceResult, ...]:
    """Return a successful result for every piece of a call."""
    return tuple(
        serving.PieceResult(f'{call.endpoint.address}/{call.number}-{index}')
        for index, _ in enumerate(call.pieces)
    )
