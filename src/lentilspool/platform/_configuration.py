"""Decoding of the operator's configuration document."""

from typing import Final

import msgspec

from lentilspool import serving
from lentilspool.platform import _errors, _numbers

_MS_PER_S: Final = 1000.0
_BYTES_PER_MB: Final = 1_000_000.0
# Callers abandon a stream after the longest of these times: 2 s, 4 target
# latencies or 8 of the longest pauses (PROTOCOL, Requests).
_MIN_PATIENCE_S: Final = 2.0
_PATIENCE_PER_TARGET: Final = 4
_PATIENCE_PER_GAP: Final = 8
_DEFAULT_CALL_LIMITS: Final = serving.CallLimits()


class _Split(msgspec.Struct):
    service: str
    weight: _numbers.Measure = 1


class _Stage(msgspec.Struct):
    service: str
    after: list[_numbers.Count] = []
    # Size of one result, in bytes.
    bytes: _numbers.Measure = 0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    kind: str
    timeout_ms: _numbers.Measure
    target_latency_ms: _numbers.Measure = 0
    priority: _numbers.Rank = 0
    service: str = ''
    traffic_split: list[_Split] = []
    attempts: _numbers.Count = 1
    stages: list[_Stage] = []
    public: bool = False
    resumable: bool = False
    max_gap_ms: _numbers.Measure = 0


class _Engine(msgspec.Struct):
    slots: _numbers.Count
    # Counted in tokens.
    kv_capacity: _numbers.Count
    moves: bool = False


class _Pieces(msgspec.Struct):
    slots: _numbers.Count
    queue: _numbers.Count
    batch: _numbers.Count
    call_ms: _numbers.Measure
    item_ms: _numbers.Measure
    # All memory for results at one runner, in MB.
    headroom_mb: _numbers.Measure
    handle_s: _numbers.Measure


class _Service(msgspec.Struct):
    name: str
    max_connections: _numbers.Count = 0
    engine: _Engine | None = None
    pieces: _Pieces | None = None


class _Team(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _numbers.Rank | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _numbers.Count = _DEFAULT_CALL_LIMITS.max_header_bytes
    max_body_bytes: _numbers.Count = _DEFAULT_CALL_LIMITS.max_body_bytes
    header_timeout_ms: _numbers.Measure = (
        _DEFAULT_CALL_LIMITS.header_timeout_s * _MS_PER_S
    )
    idle_timeout_ms: _numbers.Measure = (
        _DEFAULT_CALL_LIMITS.idle_timeout_s * _MS_PER_S
    )


class _Document(msgspec.Struct):
    version: _numbers.Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Team] = []


def decode_configuration(payload: bytes) -> serving.Configuration:
    """Decode the configuration as the operator wrote it.

    Raises ``FormatError`` with the path of the invalid value.
    """
    try:
        document = msgspec.json.decode(payload, type=_Document)
        return _to_configuration(document)
    except (RecursionError, ValueError) as error:
        raise _errors.FormatError('configuration', str(error))


def _to_configuration(document: _Document) -> serving.Configuration:
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
            document.limits.header_timeout_ms / _MS_PER_S,
            document.limits.idle_timeout_ms / _MS_PER_S,
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
        timeout_s=route.timeout_ms / _MS_PER_S,
        target_s=route.target_latency_ms / _MS_PER_S,
        attempts=route.attempts,
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
        longest_pause_s=route.max_gap_ms / _MS_PER_S,
        patience_s=max(
            _MIN_PATIENCE_S,
            route.target_latency_ms / _MS_PER_S * _PATIENCE_PER_TARGET,
            route.max_gap_ms / _MS_PER_S * _PATIENCE_PER_GAP,
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
        call_s=pieces.call_ms / _MS_PER_S,
        piece_s=pieces.item_ms / _MS_PER_S,
        room_bytes=pieces.headroom_mb * _BYTES_PER_MB,
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
