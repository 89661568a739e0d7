"""State that a configuration asks of a pool's engines."""

from typing import Final

from lentilspool import config
from lentilspool.orders import _types

LOADS_PER_S: Final = 'weight_store_loads_per_s'
"""Policy parameter: loads a second that the weight store allows."""

SETTLE_S: Final = 'order_settle_s'
"""Policy parameter: seconds from a new target until its first order."""


def target_of(pool: config.PoolDocument) -> _types.EngineState:
    """Return the state that engines of the pool shall have."""
    return _types.EngineState(
        model=pool.model,
        model_version=pool.model_version,
        adapters=tuple(sorted(pool.adapters)),
        role=pool.kind,
    )
