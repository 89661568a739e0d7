"""Configured services and the planner's state of their endpoints."""

from lentilspool.serving import (
    _configuration,
    _endpoint_statements,
    _endpoints,
    _engines,
    _jobs,
    _plan_types,
    _stage_dispatch,
    _suspects,
)


class Fleet:
    """Stage services and engine pools, kept up to date.

    They change with the configuration and with the listed endpoints.
    """

    def __init__(
        self,
        endpoint_index: _endpoints.EndpointIndex,
        limits: _plan_types.PlanLimits,
        suspects: _suspects.Suspects,
        statements: _endpoint_statements.EndpointStatements,
    ) -> None:
        self._endpoint_index = endpoint_index
        self._limits = limits
        self._statements = statements
        self.stages = _stage_dispatch.StageDispatcher(
            limits, suspects, statements
        )
        self._pools: dict[str, _engines.EnginePool] = {}
        self._services: dict[str, _configuration.Service] = {}
        self._applied_generation = -1

    def configure(self, services: dict[str, _configuration.Service]) -> None:
        """Apply the services of a new configuration."""
        self._services = services
        self._applied_generation = -1

    def can_serve(self, plan_request: _plan_types.PlanRequest) -> bool:
        """Whether all services of a request are configured here."""
        names = [stage.service for stage in plan_request.stages if stage.pieces]
        batched = all(
            name in self._services and self._services[name].batches
            for name in names
        )
        engine = self._services.get(plan_request.service)
        return batched and engine is not None and engine.engine is not None

    def has_version(self, plan_request: _plan_types.PlanRequest) -> bool:
        """Whether an engine of the version that a request needs is listed."""
        return self.pool(plan_request.service).has_version(plan_request)

    def pool(self, service: str) -> _engines.EnginePool:
        """Return the engine pool of a service."""
        if service not in self._pools:
            self._pools[service] = _engines.EnginePool(
                self._limits, self._statements
            )
        return self._pools[service]

    def likely_engine_zone(self, job: _jobs.Job, now: float) -> str:
        """Return the zone of the engine that will read large results.

        Requests with a long shared prompt go to the engine that has it
        cached. Otherwise the zone is empty, because the engine is chosen by
        where the results are.
        """
        plan_request = job.plan_request
        large = (
            job.stage_graph.final_bytes >= self._limits.zone_affinity_min_bytes
        )
        if (
            not large
            or plan_request.shared_tokens
            < self._limits.zone_affinity_min_tokens
        ):
            return ''
        likely = self.pool(plan_request.service).choose(plan_request, {}, now)
        return likely.engine.endpoint.zone if likely else ''

    def update_endpoints(self) -> None:
        """Apply the endpoints that are listed now, if they have changed."""
        if self._endpoint_index.generation == self._applied_generation:
            return
        self._applied_generation = self._endpoint_index.generation
        self.stages.apply_listed(
            frozenset(one.incarnation for one in self._endpoint_index.endpoints)
        )
        for name, service in self._services.items():
            endpoints = self._endpoint_index.ready(name)
            if service.batches:
                self.stages.update_endpoints(name, service.batches, endpoints)
            if service.engine:
                self.pool(name).update_endpoints(endpoints, service.engine)
