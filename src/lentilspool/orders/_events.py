"""Numbered log events of the package."""

import logging
from typing import Final

from lentilspool import kernel

OLD_ORDER: Final = kernel.catalogue.declare(
    701, logging.INFO, 'An order of an old configuration was dropped.'
)
SUPERSEDED: Final = kernel.catalogue.declare(
    702,
    logging.WARNING,
    'A newer sidecar controls the endpoint; this one stops sending orders.',
)
REFUSED: Final = kernel.catalogue.declare(
    703,
    logging.INFO,
    'The engine refused an order with an outdated fencing number.',
)
NOT_APPLIED: Final = kernel.catalogue.declare(
    704, logging.WARNING, 'The engine could not carry out an order.'
)
DRIFTED: Final = kernel.catalogue.declare(
    705,
    logging.WARNING,
    'The engine left the target state; the order is sent again.',
)
ROLLOUT_BLOCKED: Final = kernel.catalogue.declare(
    706, logging.WARNING, 'A rollout waits for members that have not finished.'
)
