"""Logger that several modules of the daemons share."""

import logging
from typing import Final

LOG: Final = logging.getLogger('lentilspool.daemons')
