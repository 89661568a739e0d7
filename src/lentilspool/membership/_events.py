"""Numbered log events of the package."""

import logging
from typing import Final

from lentilspool import kernel

PAUSED: Final = kernel.catalogue.declare(
    301,
    logging.WARNING,
    'The process was paused; every lease counts as ended until renewed.',
)
LEASE_ENDED: Final = kernel.catalogue.declare(
    302, logging.WARNING, 'A lease ended without a renewal.'
)
MEMBER_LEAVING: Final = kernel.catalogue.declare(
    303, logging.INFO, 'A member is leaving and accepts no new work.'
)
OLD_HEARTBEAT: Final = kernel.catalogue.declare(
    304, logging.INFO, 'A heartbeat of an old incarnation was refused.'
)
CUT_OFF: Final = kernel.catalogue.declare(
    305,
    logging.ERROR,
    'Most subset members are unreachable; a network partition is likely.',
)
HEALED: Final = kernel.catalogue.declare(
    306, logging.INFO, 'Most subset members are reachable again.'
)
