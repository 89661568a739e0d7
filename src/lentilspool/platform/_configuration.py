"""The operator's configuration document."""

from typing import Final

import msgspec

from lentilspool import serving
from lentilspool.platform import _errors

_MS: Final = 1000.0
_MB: Final = 1_000_000.0
# Callers abandon a stream after the longest of these (PROTOCOL, Requests).
_LEAST_PATIENCE_S: Final = 2.0
_TARGETS_OF_PATIENCE: Final = 4
_PAUSES_OF_PATIENCE: Final = 8
_CALL_LIMITS: Final = serving.CallLimits()


class _Split(msgspec.Struct):
    service: str
    weight: float = 1


class _Stage(msgspec.Struct):
    service: str
    after: list[int] = []
    # Size of one result, in bytes.
    bytes: float = 0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ''
    traffic_split: list[_Split] = []
    attempts: int = 1
    stages: list[_Stage] = []
    public: bool = False
    resumable: bool = False
    max_gap_ms: float = 0


class _Engine(msgspec.Struct):
    slots: int
    # Counted in tokens.
    kv_capacity: int
    moves: bool = False


class _Pieces(msgspec.Struct):
    slots: int
    queue: int
    batch: int
    call_ms: float
    item_ms: float
    # All memory for results at one runner, in MB.
    headroom_mb: float
    handle_s: float


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    pieces: _Pieces | None = None


class _Team(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = _CALL_LIMITS.max_header_bytes
    max_body_bytes: int = _CALL_LIMITS.max_body_bytes
    header_timeout_ms: float = _CALL_LIMITS.header_timeout_s * _MS
    idle_timeout_ms: float = _CALL_LIMITS.idle_timeout_s * _MS


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Team] = []


def configuration(payload: bytes) -> serving.Configuration:
    """Decode the newest configuration, as the operator wrote it.

    Raises ``FormatError`` with the path of what does not fit.
    """
    try:
        document = msgspec.json.decode(payload, type=_Document)
        return _converted(document)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise _errors.FormatError('configuration', str(error))


def _converted(document: _Document) -> serving.Configuration:
    return serving.Configuration(
        version=document.version,
        routes=tuple(_route(one) for one in document.routes),
        services={one.name: _service(one) for one in document.services},
        teams=tuple(
            serving.Team(one.name, frozenset(one.api_keys), one.priority)
            for one in document.tenants
        ),
        limits=serving.CallLimits(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms / _MS,
            document.limits.idle_timeout_ms / _MS,
        ),
    )


def _route(route: _Route) -> serving.Route:
    splits = [
        serving.ServiceShare(one.service, one.weight)
        for one in route.traffic_split
        if one.weight > 0
    ]
    if not splits:
        splits.append(serving.ServiceShare(route.service, 1))
    return serving.Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.prefix,
        kind=serving.RouteKind(route.kind),
        shares=tuple(splits),
        timeout_s=route.timeout_ms / _MS,
        target_s=route.target_latency_ms / _MS,
        attempts=route.attempts,
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
        longest_pause_s=route.max_gap_ms / _MS,
        patience_s=max(
            _LEAST_PATIENCE_S,
            route.target_latency_ms / _MS * _TARGETS_OF_PATIENCE,
            route.max_gap_ms / _MS * _PAUSES_OF_PATIENCE,
        ),
        stages=tuple(
            serving.Stage(one.service, tuple(one.after), one.bytes)
            for one in route.stages
        ),
    )


def _service(service: _Service) -> serving.Service:
    return serving.Service(
        name=service.name,
        max_connections=service.max_connections,
        batches=_batches(service.pieces),
        engine=_engine(service.engine),
    )


def _batches(pieces: _Pieces | None) -> serving.BatchLimits | None:
    if pieces is None:
        return None
    return serving.BatchLimits(
        slots=pieces.slots,
        queue=pieces.queue,
        batch=pieces.batch,
        call_s=pieces.call_ms / _MS,
        piece_s=pieces.item_ms / _MS,
        room_bytes=pieces.headroom_mb * _MB,
        keep_s=pieces.handle_s,
    )


def _engine(engine: _Engine | None) -> serving.EngineLimits | None:
    if engine is None:
        return None
    return serving.EngineLimits(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        can_fetch=engine.moves,
    )
