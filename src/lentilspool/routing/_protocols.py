"""Interface of routing policies."""

import random
from collections.abc import Sequence
from typing import Protocol

from lentilspool.routing import _types


class RoutingPolicy(Protocol):
    """Chooses an endpoint for one attempt of one stage.

    A policy registers itself as a plug-in of kind ``routing_policy``. It is
    constructed without arguments, once for each pool at each entry.
    """

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return an endpoint that is neither excluded nor ejected.

        ``now`` is in seconds on the same clock as ``reported_at`` of the
        candidates.
        """
        ...
