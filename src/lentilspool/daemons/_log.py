"""Logger of the daemons."""

import logging
from typing import Final

LOG: Final = logging.getLogger('lentilspool.daemons')
