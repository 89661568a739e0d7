"""Log events of the configuration, by number."""

import logging
from typing import Final

from lentilspool import kernel

_declare = kernel.catalogue.declare

VERSION_ADOPTED: Final = _declare(
    201, logging.INFO, 'A configuration version is now in force.'
)
ENTRY_REFUSED: Final = _declare(
    202, logging.WARNING, 'A published entry was refused and changed nothing.'
)
SOURCE_STALE: Final = _declare(
    203,
    logging.WARNING,
    'The configuration service is behind the version in force; '
    'its reply was ignored.',
)
SOURCE_FORKED: Final = _declare(
    204,
    logging.ERROR,
    'A source has a different entry or digest at the same number; ignored.',
)
SOURCE_INVALID: Final = _declare(
    205,
    logging.ERROR,
    'A source offered an unreadable entry or an invalid base; ignored.',
)
SOURCE_RECOVERED: Final = _declare(
    206,
    logging.INFO,
    'A configuration source that was at fault is consistent again.',
)
SOURCE_UNREACHABLE: Final = _declare(
    207, logging.WARNING, 'A call to the configuration service failed.'
)
READER_STARTED: Final = _declare(
    208, logging.INFO, 'This process started to read the configuration service.'
)
READER_STOPPED: Final = _declare(
    209, logging.INFO, 'This process stopped reading the configuration service.'
)
LOG_LARGE: Final = _declare(
    210, logging.WARNING, 'The patch log is large; publish a new base.'
)
