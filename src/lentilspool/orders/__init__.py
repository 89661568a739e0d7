"""Orders to engines: fencing, queues, rollouts and weight-load slots."""

from lentilspool.orders._endpoint import EndpointOrders as EndpointOrders
from lentilspool.orders._queue import OrderLimits as OrderLimits
from lentilspool.orders._queue import OrderQueue as OrderQueue
from lentilspool.orders._rollout import Rollout as Rollout
from lentilspool.orders._rollout import RolloutLimits as RolloutLimits
from lentilspool.orders._rollout import RolloutProgress as RolloutProgress
from lentilspool.orders._rollout import StartDecision as StartDecision
from lentilspool.orders._rollout import target_digest as target_digest
from lentilspool.orders._schedule import LoadSchedule as LoadSchedule
from lentilspool.orders._schedule import StoreLimits as StoreLimits
from lentilspool.orders._target import target_state as target_state
from lentilspool.orders._types import Applied as Applied
from lentilspool.orders._types import EngineAnswer as EngineAnswer
from lentilspool.orders._types import EngineState as EngineState
from lentilspool.orders._types import FencingNumber as FencingNumber
from lentilspool.orders._types import NeededOrder as NeededOrder
from lentilspool.orders._types import NotApplied as NotApplied
from lentilspool.orders._types import Order as Order
from lentilspool.orders._types import ReadState as ReadState
from lentilspool.orders._types import RefusedOld as RefusedOld
from lentilspool.orders._types import ReportedState as ReportedState
from lentilspool.orders._types import SendOrder as SendOrder
from lentilspool.orders._types import Step as Step
from lentilspool.orders._types import Wait as Wait
