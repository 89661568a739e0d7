"""Routing: choice of the endpoint that runs an attempt of a stage."""

from lentilspool.routing._baselines import LeastOutstanding as LeastOutstanding
from lentilspool.routing._baselines import Random as Random
from lentilspool.routing._baselines import RoundRobin as RoundRobin
from lentilspool.routing._baselines import TwoChoices as TwoChoices
from lentilspool.routing._cache_events import Applied as Applied
from lentilspool.routing._cache_events import CacheEvent as CacheEvent
from lentilspool.routing._cache_events import (
    CacheEventOutcome as CacheEventOutcome,
)
from lentilspool.routing._cache_events import CacheSnapshot as CacheSnapshot
from lentilspool.routing._cache_events import ResyncNeeded as ResyncNeeded
from lentilspool.routing._default import DefaultPolicy as DefaultPolicy
from lentilspool.routing._offers import Offer as Offer
from lentilspool.routing._offers import OfferPolicy as OfferPolicy
from lentilspool.routing._offers import RefusedOffer as RefusedOffer
from lentilspool.routing._prefix_index import PrefixIndex as PrefixIndex
from lentilspool.routing._protocols import RoutingPolicy as RoutingPolicy
from lentilspool.routing._table import EndpointTable as EndpointTable
from lentilspool.routing._types import Candidate as Candidate
from lentilspool.routing._types import Choice as Choice
from lentilspool.routing._types import Decision as Decision
from lentilspool.routing._types import NoEndpoint as NoEndpoint
from lentilspool.routing._types import RoutingRequest as RoutingRequest
