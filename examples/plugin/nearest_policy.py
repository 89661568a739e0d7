"""A routing policy of a third party: the first endpoint of the own zone."""

import random
from collections.abc import Sequence

from lentilspool import kernel, routing


@kernel.registry.register(kernel.PluginKind.routing_policy, 'nearest')
class Nearest:
    """Chooses the first endpoint in the zone of the request."""

    def choose(
        self,
        request: routing.RoutingRequest,
        candidates: Sequence[routing.Candidate],
        now: float,
        rng: random.Random,
    ) -> routing.Decision:
        """Return the first endpoint that may be chosen."""
        for candidate in candidates:
            tried = candidate.name in request.excluded
            if candidate.zone == request.zone and not (
                tried or candidate.ejected
            ):
                return routing.Choice(candidate.name)
        return routing.NoEndpoint('none in this zone', retry_after_s=1)
