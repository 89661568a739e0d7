"""Model engines: load, cached prompt parts, and the choice among them.

Many requests share long prompt parts. A request goes to the engine that has
its parts cached, unless waiting there costs more than another engine needs to
read them or to fetch them from that cache.
"""

import collections
import dataclasses
from typing import Final

import xxhash

from lentilspool.serving import (
    _calls,
    _configuration,
    _endpoint_statements,
    _endpoints,
    _pacing,
    _plan_types,
)

# Weight of the latest observation in an engine's slowness, and its bounds.
_SLOWNESS_SMOOTHING: Final = 0.15
_MAX_SLOWNESS: Final = 6.0
_MIN_SLOWNESS: Final = 0.4
# Share of the slots or of the memory in use from which an engine is full.
_FULL_UTILIZATION: Final = 0.95
# Cost for each token of a part, multiplied by the rank of the engine for it.
_RANK_COST_S_PER_TOKEN: Final = 5e-6
# Fewer tokens are read again rather than fetched from another engine.
_MIN_FETCHED_TOKENS: Final = 1000
# Delay of the first event at an engine that uses all of its slots.
_FULL_BATCH_DELAY_S: Final = 0.1
_MIN_EXPECTED_S: Final = 0.01
_BYTES_PER_MB: Final = 1_000_000


@dataclasses.dataclass(slots=True)
class RunningRequest:
    """A request that an engine runs."""

    sent_at: float
    """When the request was assigned to the engine."""

    expected_s: float
    """Expected seconds until the first event."""

    tokens: int
    """Tokens of engine memory that it occupies."""

    runs_apart: bool = False
    """Whether it may have ended engines before."""

    started: bool = False
    """Whether its first event was seen."""


class Engine:
    """Estimated state of one engine.

    ``prefill_until`` is when the engine has read all assigned prompts.
    ``slowness`` is the ratio of its actual to its expected times.
    """

    def __init__(
        self,
        endpoint: _endpoints.Endpoint,
        limits: _configuration.EngineLimits,
    ) -> None:
        self.endpoint = endpoint
        self.limits = limits
        self.running: dict[str, RunningRequest] = {}
        self.cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.prefill_until = 0.0
        self.slowness = 1.0
        self.blocked_until = 0.0

    @property
    def full(self) -> bool:
        """Whether almost all slots or almost all memory are in use."""
        tokens = sum(one.tokens for one in self.running.values())
        return (
            len(self.running) >= self.limits.slots * _FULL_UTILIZATION
            or tokens >= self.limits.memory_tokens * _FULL_UTILIZATION
        )

    @property
    def has_suspect(self) -> bool:
        """Whether it runs a request that may have ended engines before."""
        return any(one.runs_apart for one in self.running.values())

    def cached_tokens(self, parts: tuple[_calls.PromptPart, ...]) -> int:
        """Return the number of leading tokens that the engine has cached."""
        tokens = 0
        for part in parts:
            if part.key not in self.cached:
                break
            tokens += part.tokens
        return tokens

    def add_cached_parts(self, parts: tuple[_calls.PromptPart, ...]) -> None:
        """Record that the engine caches these parts.

        The least recently used parts are evicted if memory is exceeded.
        """
        for part in parts:
            self.cached[part.key] = part.tokens
            self.cached.move_to_end(part.key)
        total = sum(self.cached.values())
        while total > self.limits.memory_tokens and self.cached:
            _, tokens = self.cached.popitem(last=False)
            total -= tokens

    def block_until(self, blocked_until: float) -> None:
        """Assign nothing until then, and assume that the cache is lost."""
        self.blocked_until = blocked_until
        self.cached.clear()

    def started(self, key: str, now: float) -> None:
        """Record the first event of a request and update the slowness."""
        running = self.running.get(key)
        if running is None or running.started:
            return
        running.started = True
        observed_slowness = (now - running.sent_at) / max(
            running.expected_s, _MIN_EXPECTED_S
        )
        observed_slowness = min(
            max(observed_slowness * self.slowness, _MIN_SLOWNESS), _MAX_SLOWNESS
        )
        self.slowness += _SLOWNESS_SMOOTHING * (
            observed_slowness - self.slowness
        )
        if all(one.started for one in self.running.values()):
            self.prefill_until = now


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """An engine chosen for a request."""

    engine: Engine
    """The engine."""

    cost_s: float
    """Cost by which the engine was chosen, in seconds."""

    first_event_s: float
    """Expected seconds until the first event."""

    read_tokens: int
    """Number of tokens that the engine has to read."""

    cache_source: str
    """Address of the engine to fetch cached parts from; empty for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PromptWork:
    """Tokens of a prompt that an engine has to read or fetch."""

    read_tokens: int
    """Number of tokens that it reads."""

    reread_tokens: int
    """Number of these that belong to shared parts."""

    fetched_tokens: int
    """Number of tokens that it fetches from another engine."""


def _prompt_work(
    engine: Engine, holder: Engine, prompt: _calls.Prompt | None
) -> _PromptWork:
    if prompt is None:
        return _PromptWork(0, 0, 0)
    cached = engine.cached_tokens(prompt.parts)
    fetched_tokens = 0
    if engine.limits.can_fetch and holder is not engine:
        fetched_tokens = holder.cached_tokens(prompt.parts) - cached
    if fetched_tokens < _MIN_FETCHED_TOKENS:
        fetched_tokens = 0
    shared = sum(part.tokens for part in prompt.parts[:-1])
    known = cached + fetched_tokens
    return _PromptWork(
        max(prompt.input_tokens - known, 0),
        max(shared - known, 0),
        fetched_tokens,
    )


class EnginePool:
    """All engines of one service."""

    def __init__(
        self,
        limits: _plan_types.PlanLimits,
        statements: _endpoint_statements.EndpointStatements,
    ) -> None:
        self._limits = limits
        self._statements = statements
        self.engines: dict[str, Engine] = {}

    def update_endpoints(
        self,
        endpoints: tuple[_endpoints.Endpoint, ...],
        limits: _configuration.EngineLimits,
    ) -> None:
        """Apply the engines that are listed now."""
        listed = {one.incarnation: one for one in endpoints}
        for name in list(self.engines):
            if name not in listed:
                self.engines.pop(name)
        for name, endpoint in listed.items():
            engine = self.engines.setdefault(name, Engine(endpoint, limits))
            engine.limits = limits

    def has_version(self, plan_request: _plan_types.PlanRequest) -> bool:
        """Whether an engine that is listed may run a request by its version.

        The engine may be busy or blocked.
        """
        return plan_request.version is None or any(
            _may_run(engine, plan_request) for engine in self.engines.values()
        )

    def choose(
        self,
        plan_request: _plan_types.PlanRequest,
        sizes: dict[str, float],
        now: float,
        *,
        runs_apart: bool = False,
    ) -> Placement | None:
        """Return the engine with the least cost; None if none is available.

        ``sizes`` holds the bytes of stage results by availability zone. A
        request that runs apart goes to an engine without another one of
        them, if there is any.
        """
        candidates = [
            engine
            for engine in self.engines.values()
            if _may_run(engine, plan_request)
            and engine.blocked_until <= now
            and self._next_at(engine, plan_request.gateway, now) <= now
            and not engine.full
        ]
        if not candidates:
            return None
        if runs_apart:
            apart = [one for one in candidates if not one.has_suspect]
            candidates = apart or candidates
        parts = plan_request.prompt.parts if plan_request.prompt else ()
        holder = max(candidates, key=lambda one: one.cached_tokens(parts))
        rank_costs = _rank_costs(candidates, parts)
        placements = (
            self._placement(engine, holder, plan_request, sizes, now)
            for engine in candidates
        )
        return min(
            placements,
            key=lambda one: (
                one.cost_s + rank_costs[one.engine.endpoint.incarnation]
            ),
        )

    def assign(
        self,
        placement: Placement,
        plan_request: _plan_types.PlanRequest,
        now: float,
        *,
        runs_apart: bool = False,
    ) -> None:
        """Record that a request is assigned to an engine."""
        engine = placement.engine
        self._statements.record_sent(engine.endpoint.incarnation, now)
        prompt = plan_request.prompt
        tokens = prompt.input_tokens + prompt.output_tokens if prompt else 0
        engine.running[plan_request.key] = RunningRequest(
            now, placement.first_event_s, tokens, runs_apart
        )
        prefill_s = self._prefill_s(placement.read_tokens, engine)
        engine.prefill_until = max(engine.prefill_until, now) + prefill_s
        if prompt:
            engine.add_cached_parts(prompt.parts)

    def wait_s(self, gateway: str, now: float, ahead: int = 0) -> float:
        """Return the seconds until the first engine can read another prompt.

        ``gateway`` sends the request, and ``ahead`` is the number of requests
        that go first to engines with limits. It is 1 if there is no engine.
        """
        waits = [
            max(
                engine.prefill_until,
                engine.blocked_until,
                self._next_at(engine, gateway, now),
            )
            - now
            for engine in self.engines.values()
            if self._limit(engine) is None
        ]
        if len(waits) < len(self.engines):
            waits.append(self._limited_wait_s(gateway, now, ahead))
        return max(min(waits, default=1), 0)

    def limit_per_s(self) -> float | None:
        """Return how many requests a second all engines take together.

        None if some engine has no limit, or if there is none.
        """
        limits = [self._limit(engine) for engine in self.engines.values()]
        known = [one for one in limits if one is not None]
        if not known or len(known) < len(limits):
            return None
        return sum(_pacing.rate_per_s(one) for one in known)

    def backoff_s(self, gateway: str, now: float) -> float:
        """Return the seconds for which a gateway must leave all engines alone."""
        endpoints = (engine.endpoint for engine in self.engines.values())
        return self._statements.backoff_s(endpoints, now, gateway)

    def _limit(self, engine: Engine) -> float | None:
        return self._statements.limit(engine.endpoint.incarnation)

    def _next_at(self, engine: Engine, gateway: str, now: float) -> float:
        name = engine.endpoint.incarnation
        return self._statements.next_at(name, now, gateway)

    def _limited_wait_s(self, gateway: str, now: float, ahead: int) -> float:
        """Return the seconds until an engine with a limit may get a request."""
        limited = [
            engine
            for engine in self.engines.values()
            if self._limit(engine) is not None
        ]
        first_s = min(
            max(engine.blocked_until, self._next_at(engine, gateway, now)) - now
            for engine in limited
        )
        rates = [_pacing.rate_per_s(self._limit(one) or 0) for one in limited]
        return max(first_s, 0) + ahead / sum(rates)

    def _placement(
        self,
        engine: Engine,
        holder: Engine,
        plan_request: _plan_types.PlanRequest,
        sizes: dict[str, float],
        now: float,
    ) -> Placement:
        work = _prompt_work(engine, holder, plan_request.prompt)
        plan_limits = self._limits
        first_s = (
            max(engine.prefill_until - now, 0)
            + self._prefill_s(work.read_tokens, engine)
            + plan_limits.first_event_s
            + _FULL_BATCH_DELAY_S * len(engine.running) / engine.limits.slots
        )
        weighted_tokens = work.reread_tokens * plan_limits.read_again_weight
        weighted_tokens += work.fetched_tokens * plan_limits.fetch_weight
        cost_s = first_s + weighted_tokens / plan_limits.prefill_tokens_per_s
        cost_s += self._cross_zone_s(sizes, engine.endpoint.zone)
        source = holder.endpoint.address if work.fetched_tokens else ''
        return Placement(engine, cost_s, first_s, work.read_tokens, source)

    def _prefill_s(self, tokens: int, engine: Engine) -> float:
        return tokens / self._limits.prefill_tokens_per_s * engine.slowness

    def _cross_zone_s(self, sizes: dict[str, float], zone: str) -> float:
        cross_zone_bytes = sum(
            size for result_zone, size in sizes.items() if result_zone != zone
        )
        return (
            cross_zone_bytes / _BYTES_PER_MB * self._limits.cross_zone_s_per_mb
        )


def _may_run(engine: Engine, plan_request: _plan_types.PlanRequest) -> bool:
    endpoint = engine.endpoint
    return endpoint.incarnation not in plan_request.avoid and (
        plan_request.version in {None, endpoint.version}
    )


def _rank_costs(
    engines: list[Engine], parts: tuple[_calls.PromptPart, ...]
) -> dict[str, float]:
    """Return a cost by engine; all zero if one caches the last shared part.

    The cost follows from a hash of the engine and the last shared part, so
    that all processes prefer the same engine without communication.
    """
    names = [engine.endpoint.incarnation for engine in engines]
    shared = parts[-2] if len(parts) > 1 else None
    if shared is None or any(shared.key in one.cached for one in engines):
        return dict.fromkeys(names, 0)
    key = shared.key.encode()
    ordered = sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(name.encode() + key)
    )
    step_s = shared.tokens * _RANK_COST_S_PER_TOKEN
    return {name: rank * step_s for rank, name in enumerate(ordered)}
