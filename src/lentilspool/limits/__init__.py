"""Limits: admission control, fair shares, concurrency limits and spend.

Registers the plug-ins ``default``, ``none`` and ``queue_length`` for
admission, ``default`` and ``fixed`` for limits, ``default`` and ``fifo``
for queues, and ``default`` and ``none`` for spend.
"""

from lentilspool.limits._admission import AdmissionControl as AdmissionControl
from lentilspool.limits._admission import split_deadline as split_deadline
from lentilspool.limits._admission_baselines import AdmitAll as AdmitAll
from lentilspool.limits._admission_baselines import (
    QueueLengthLimit as QueueLengthLimit,
)
from lentilspool.limits._concurrency import (
    ConcurrencyLimit as ConcurrencyLimit,
)
from lentilspool.limits._concurrency import FixedLimit as FixedLimit
from lentilspool.limits._costs import CostLedger as CostLedger
from lentilspool.limits._costs import CostTotal as CostTotal
from lentilspool.limits._protocols import AdmissionPolicy as AdmissionPolicy
from lentilspool.limits._protocols import LimitPolicy as LimitPolicy
from lentilspool.limits._protocols import QueuePolicy as QueuePolicy
from lentilspool.limits._protocols import SpendPolicy as SpendPolicy
from lentilspool.limits._service_times import ServiceTime as ServiceTime
from lentilspool.limits._service_times import ServiceTimes as ServiceTimes
from lentilspool.limits._spend import Credits as Credits
from lentilspool.limits._spend import SpendPacer as SpendPacer
from lentilspool.limits._spend import UnpacedSpend as UnpacedSpend
from lentilspool.limits._stage_queue import FifoQueue as FifoQueue
from lentilspool.limits._stage_queue import StageQueue as StageQueue
from lentilspool.limits._types import Admission as Admission
from lentilspool.limits._types import AdmissionRequest as AdmissionRequest
from lentilspool.limits._types import Admit as Admit
from lentilspool.limits._types import AdmitWaiting as AdmitWaiting
from lentilspool.limits._types import Dequeued as Dequeued
from lentilspool.limits._types import Dropped as Dropped
from lentilspool.limits._types import GiveUp as GiveUp
from lentilspool.limits._types import LatencySample as LatencySample
from lentilspool.limits._types import PoolLoad as PoolLoad
from lentilspool.limits._types import QueuedCall as QueuedCall
from lentilspool.limits._types import StageDueTime as StageDueTime
from lentilspool.limits._types import StageEstimate as StageEstimate
from lentilspool.limits._types import Urgency as Urgency
