"""Target state that a configuration defines for a pool's engines."""

from typing import Final

from lentilspool import config
from lentilspool.orders import _types

LOADS_PER_S: Final = 'weight_store_loads_per_s'
"""Policy parameter for the loads a second that the weight store allows."""

SETTLE_S: Final = 'order_settle_s'
"""Policy parameter for the seconds from a new target to its first order."""


def target_state(pool: config.PoolDocument) -> _types.EngineState:
    """Return the target state of the pool's engines."""
    return _types.EngineState(
        model=pool.model,
        model_version=pool.model_version,
        adapters=tuple(sorted(pool.adapters)),
        role=pool.kind,
    )
