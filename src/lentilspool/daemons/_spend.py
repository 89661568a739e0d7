"""Spend on providers' credits, as one entry sees it."""

import collections
import time
from typing import Any, Final

from lentilspool import config, kernel, limits, pipeline
from lentilspool.daemons import _hosts

_RETRY_S: Final = 60.0
_SMOOTHING: Final = 0.1

_Amounts = collections.defaultdict[str, float]


class Spend(kernel.BaseComponent):
    """Refuses requests whose providers' credits may not pay for them yet.

    Each entry paces its even part of every provider's credits. A process
    that starts takes its part as spent evenly until then, so the whole is
    off by what replaced entries had spent ahead of the pace or behind it.
    """

    def __init__(self) -> None:
        self._joined = time.time()
        self._document: config.Document | None = None
        self._entries = 1
        self._policy: limits.SpendPolicy = limits.UnpacedSpend({})
        self._spent: _Amounts = collections.defaultdict(float)
        self._typical: dict[tuple[str, str], float] = {}

    def follow(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Take a new host list: the parts follow the number of entries."""
        entries = sum(1 for host in hosts if host.role == 'entry')
        if entries and entries != self._entries:
            self._entries = entries
            self._rebuild()

    def adopt(self, state: config.State) -> None:
        """Take a new configuration."""
        held = self._document
        self._document = state.document
        if held is None or _terms(held) != _terms(state.document):
            self._rebuild()

    def refusal(
        self, request: pipeline.PipelineRequest
    ) -> kernel.NotRun | None:
        """Return a refusal if a provider may not pay for a request."""
        now = time.time()
        costs: _Amounts = collections.defaultdict(float)
        for stage in request.stages:
            costs[self._provider(stage.pool)] += self._expected(stage)
        for provider, cost in costs.items():
            if not self._policy.allow(provider, cost, now):
                detail = f'the credits of {provider} are spent ahead of pace'
                reason = kernel.NotRunReason.spend
                return kernel.NotRun(reason, _RETRY_S, detail)
        return None

    def record(
        self, stage: config.StageDocument, provider: str, cost: float
    ) -> None:
        """Take in the spend of one attempt."""
        self._spent[provider] += cost
        self._policy.record(provider, cost, time.time())
        key = (stage.pool, stage.name)
        typical = self._typical.get(key, cost)
        self._typical[key] = typical + _SMOOTHING * (cost - typical)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'entries': self._entries,
            'spent_here': dict(self._spent),
            'policy': self._policy.dump(time.time()),
        }

    def _expected(self, stage: config.StageDocument) -> float:
        key = (stage.pool, stage.name)
        return self._typical.get(key, stage.expected_cost)

    def _provider(self, pool: str) -> str:
        document = self._document
        if document is None or pool not in document.pools:
            return ''
        return document.pools[pool].provider

    def _rebuild(self) -> None:
        document = self._document
        if document is None:
            return
        make: Any = kernel.registry.find(
            kernel.PluginKind.spend_policy, document.policies.spend
        )
        amounts = {
            name: limits.Credits.parse(
                provider.credits / self._entries,
                provider.starts_at,
                provider.expires_at,
            )
            for name, provider in document.providers.items()
        }
        self._policy = make(amounts, document.policies.parameters, self._joined)
        for provider, spent in self._spent.items():
            self._policy.record(provider, spent, time.time())


def _terms(document: config.Document) -> tuple[object, ...]:
    return (document.providers, document.policies)
