"""Retries: budget, backoff, outlier ejection, breaker, connection health."""

from lentilspool.retries._backoff import Backoff as Backoff
from lentilspool.retries._breaker import Admitted as Admitted
from lentilspool.retries._breaker import PoolBreaker as PoolBreaker
from lentilspool.retries._breaker import Refused as Refused
from lentilspool.retries._budget import RetryBudget as RetryBudget
from lentilspool.retries._connections import (
    ConnectionHealth as ConnectionHealth,
)
from lentilspool.retries._connections import OpenConnection as OpenConnection
from lentilspool.retries._connections import Probe as Probe
from lentilspool.retries._connections import (
    RetiredConnections as RetiredConnections,
)
from lentilspool.retries._connections import UseConnection as UseConnection
from lentilspool.retries._decision import decide_retry as decide_retry
from lentilspool.retries._ejection import EjectionStatus as EjectionStatus
from lentilspool.retries._ejection import OutlierEjection as OutlierEjection
from lentilspool.retries._hedging import Hedging as Hedging
from lentilspool.retries._types import Attempt as Attempt
from lentilspool.retries._types import GiveUp as GiveUp
from lentilspool.retries._types import NextStep as NextStep
from lentilspool.retries._types import Retry as Retry
