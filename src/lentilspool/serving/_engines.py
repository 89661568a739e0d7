"""Model engines: load, cached prompt parts, and the choice among them.

Answers a load of many requests that share long prompt parts: a request goes
where its parts are cached unless waiting there costs more than reading or
fetching them elsewhere.
"""

import collections
import dataclasses
from typing import Final

import xxhash

from lentilspool.serving import (
    _calls,
    _configuration,
    _endpoints,
    _plan_types,
)

_SLOWNESS_SMOOTHING: Final = 0.15
_MAX_SLOWNESS: Final = 6.0
_MIN_SLOWNESS: Final = 0.4
_FULL_UTILIZATION: Final = 0.95
# Cost of each engine that goes before in the order of a part, a token of it.
_RANK_COST_S_PER_TOKEN: Final = 5e-6
_MIN_FETCHED_TOKENS: Final = 1000
_FULL_BATCH_DELAY_S: Final = 0.1
_MIN_EXPECTED_S: Final = 0.01
_BYTES_PER_MB: Final = 1_000_000


@dataclasses.dataclass(slots=True)
class RunningRequest:
    """A request at an engine."""

    sent_at: float
    """When the engine was chosen."""

    expected_s: float
    """Expected time to the first event."""

    tokens: int
    """Memory that it takes up."""

    started: bool = False
    """Whether its first event was seen."""


class Engine:
    """What this process knows of one engine."""

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
        """Whether no slot or no memory is left."""
        tokens = sum(one.tokens for one in self.running.values())
        return (
            len(self.running) >= self.limits.slots * _FULL_UTILIZATION
            or tokens >= self.limits.memory_tokens * _FULL_UTILIZATION
        )

    def cached_tokens(self, parts: tuple[_calls.PromptPart, ...]) -> int:
        """Return how many tokens of a prompt need no reading."""
        tokens = 0
        for part in parts:
            if part.key not in self.cached:
                break
            tokens += part.tokens
        return tokens

    def add_cached_parts(self, parts: tuple[_calls.PromptPart, ...]) -> None:
        """Note that the engine will have these parts cached."""
        for part in parts:
            self.cached[part.key] = part.tokens
            self.cached.move_to_end(part.key)
        total = sum(self.cached.values())
        while total > self.limits.memory_tokens and self.cached:
            _, tokens = self.cached.popitem(last=False)
            total -= tokens

    def block_until(self, blocked_until: float) -> None:
        """Send nothing for a time; what it had cached may be lost."""
        self.blocked_until = blocked_until
        self.cached.clear()

    def started(self, key: str, now: float) -> None:
        """Take in the first event of a request."""
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
    """Cost that decided, in seconds."""

    first_event_s: float
    """Expected time to the first event."""

    read_tokens: int
    """Tokens that the engine has to read."""

    cache_source: str
    """Address of the engine to fetch cached parts from; empty for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PromptWork:
    """What an engine has to do with a prompt."""

    read_tokens: int
    """Tokens that it reads."""

    reread_tokens: int
    """Those among them that belong to shared parts."""

    fetched_tokens: int
    """Tokens that it fetches from another engine."""


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

    def __init__(self, limits: _plan_types.PlanLimits) -> None:
        self._limits = limits
        self.engines: dict[str, Engine] = {}

    def update_endpoints(
        self,
        endpoints: tuple[_endpoints.Endpoint, ...],
        limits: _configuration.EngineLimits,
    ) -> None:
        """Take the engines listed now."""
        listed = {one.incarnation: one for one in endpoints}
        for name in list(self.engines):
            if name not in listed:
                self.engines.pop(name)
        for name, endpoint in listed.items():
            if name not in self.engines:
                self.engines[name] = Engine(endpoint, limits)

    def choose(
        self,
        ask: _plan_types.PlanAsk,
        sizes: dict[str, float],
        now: float,
    ) -> Placement | None:
        """Return the engine with the least cost; None if all are full.

        ``sizes`` holds the bytes of stage results by availability zone.
        """
        candidates = [
            engine
            for name, engine in self.engines.items()
            if name not in ask.avoid
            and engine.blocked_until <= now
            and not engine.full
        ]
        if not candidates:
            return None
        parts = ask.prompt.parts if ask.prompt else ()
        holder = max(candidates, key=lambda one: one.cached_tokens(parts))
        rank_costs = _rank_costs(candidates, parts)
        placements = (
            self._placement(engine, holder, ask, sizes, now)
            for engine in candidates
        )
        return min(
            placements,
            key=lambda one: (
                one.cost_s + rank_costs[one.engine.endpoint.incarnation]
            ),
        )

    def assign(
        self, placement: Placement, ask: _plan_types.PlanAsk, now: float
    ) -> None:
        """Note that a request goes to an engine."""
        engine = placement.engine
        prompt = ask.prompt
        tokens = prompt.input_tokens + prompt.output_tokens if prompt else 0
        engine.running[ask.key] = RunningRequest(
            now, placement.first_event_s, tokens
        )
        prefill_s = self._prefill_s(placement.read_tokens, engine)
        engine.prefill_until = max(engine.prefill_until, now) + prefill_s
        if prompt:
            engine.add_cached_parts(prompt.parts)

    def wait_s(self, now: float) -> float:
        """Return the shortest time until an engine reads another prompt."""
        waits = [
            max(engine.prefill_until, engine.blocked_until) - now
            for engine in self.engines.values()
        ]
        return max(min(waits, default=1), 0)

    def _placement(
        self,
        engine: Engine,
        holder: Engine,
        ask: _plan_types.PlanAsk,
        sizes: dict[str, float],
        now: float,
    ) -> Placement:
        work = _prompt_work(engine, holder, ask.prompt)
        weights = self._limits
        first_s = (
            max(engine.prefill_until - now, 0)
            + self._prefill_s(work.read_tokens, engine)
            + weights.first_event_s
            + _FULL_BATCH_DELAY_S * len(engine.running) / engine.limits.slots
        )
        weighted_tokens = work.reread_tokens * weights.read_again_weight
        weighted_tokens += work.fetched_tokens * weights.fetch_weight
        cost_s = first_s + weighted_tokens / weights.prefill_tokens_per_s
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


def _rank_costs(
    engines: list[Engine], parts: tuple[_calls.PromptPart, ...]
) -> dict[str, float]:
    """Return a cost for each engine if none has the shared parts cached.

    Processes then prefer the same engine without telling each other.
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
