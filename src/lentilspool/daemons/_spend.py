"""Pacing of spend on providers' credits by one entry."""

import collections
import time
from typing import Any, Final

from lentilspool import config, kernel, limits, pipeline
from lentilspool.daemons import _hosts

_RETRY_AFTER_S: Final = 60.0
_MEAN_COST_SMOOTHING: Final = 0.1

_AmountByProvider = collections.defaultdict[str, float]


class SpendControl(kernel.BaseComponent):
    """Refuses requests that would spend a provider's credits ahead of pace.

    Each entry paces an equal share of every provider's credits. A process
    that starts assumes that its share was spent at an even pace so far. The
    total is therefore off by what replaced entries had spent ahead of the
    pace or behind it.
    """

    def __init__(self) -> None:
        self._started_at = time.time()
        self._document: config.Document | None = None
        self._entries = 1
        self._policy: limits.SpendPolicy = limits.UnpacedSpend({})
        self._spent: _AmountByProvider = collections.defaultdict(float)
        self._mean_costs: dict[tuple[str, str], float] = {}

    def update_hosts(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Apply a new host list; the number of entries sets the share."""
        entries = sum(1 for host in hosts if host.role == 'entry')
        if entries and entries != self._entries:
            self._entries = entries
            self._rebuild()

    def apply_configuration(self, state: config.State) -> None:
        """Apply a new configuration."""
        previous = self._document
        self._document = state.document
        if previous is None or _spend_terms(previous) != _spend_terms(
            state.document
        ):
            self._rebuild()

    def refusal(
        self, request: pipeline.PipelineRequest
    ) -> kernel.NotRun | None:
        """Return a refusal if the request would exceed a provider's pace."""
        now = time.time()
        costs: _AmountByProvider = collections.defaultdict(float)
        for stage in request.stages:
            costs[self._provider(stage.pool)] += self._expected_cost(stage)
        for provider, cost in costs.items():
            if not self._policy.allow(provider, cost, now):
                detail = f'the credits of {provider} are spent ahead of pace'
                reason = kernel.NotRunReason.spend
                return kernel.NotRun(reason, _RETRY_AFTER_S, detail)
        return None

    def record(
        self, stage: config.StageDocument, provider: str, cost: float
    ) -> None:
        """Record the spend of one attempt."""
        self._spent[provider] += cost
        self._policy.record(provider, cost, time.time())
        key = (stage.pool, stage.name)
        mean_cost = self._mean_costs.get(key, cost)
        self._mean_costs[key] = mean_cost + _MEAN_COST_SMOOTHING * (
            cost - mean_cost
        )

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'entries': self._entries,
            'spent_here': dict(self._spent),
            'policy': self._policy.dump(time.time()),
        }

    def _expected_cost(self, stage: config.StageDocument) -> float:
        key = (stage.pool, stage.name)
        return self._mean_costs.get(key, stage.expected_cost)

    def _provider(self, pool: str) -> str:
        document = self._document
        if document is None or pool not in document.pools:
            return ''
        return document.pools[pool].provider

    def _rebuild(self) -> None:
        document = self._document
        if document is None:
            return
        make_policy: Any = kernel.registry.find(
            kernel.PluginKind.spend_policy, document.policies.spend
        )
        credits_by_provider = {
            name: limits.Credits.parse(
                provider.credits / self._entries,
                provider.starts_at,
                provider.expires_at,
            )
            for name, provider in document.providers.items()
        }
        self._policy = make_policy(
            credits_by_provider, document.policies.parameters, self._started_at
        )
        for provider, spent in self._spent.items():
            self._policy.record(provider, spent, time.time())


def _spend_terms(document: config.Document) -> tuple[object, ...]:
    return (document.providers, document.policies)
