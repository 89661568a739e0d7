"""Numbered events of the configuration."""

import logging
from typing import Final

from lentilspool import kernel

_declare = kernel.catalogue.declare

VERSION_ADOPTED: Final = _declare(
    201, logging.INFO, 'A configuration version is in force.'
)
ENTRY_REFUSED: Final = _declare(
    202, logging.WARNING, 'A published entry was refused.'
)
SOURCE_STALE: Final = _declare(
    203,
    logging.WARNING,
    'The configuration service is behind the version in force; ignored.',
)
SOURCE_FORKED: Final = _declare(
    204,
    logging.ERROR,
    'A source holds another entry at the same number; ignored.',
)
SOURCE_INVALID: Final = _declare(
    205, logging.ERROR, 'A source offered entries that do not follow; ignored.'
)
SOURCE_RECOVERED: Final = _declare(
    206, logging.INFO, 'A source of configuration agrees again.'
)
SOURCE_UNREACHABLE: Final = _declare(
    207, logging.WARNING, 'The configuration service does not answer.'
)
READER_STARTED: Final = _declare(
    208, logging.INFO, 'This process reads the configuration service.'
)
READER_STOPPED: Final = _declare(
    209, logging.INFO, 'This process leaves the reading to others.'
)
LOG_LARGE: Final = _declare(
    210, logging.WARNING, 'The patch log is large; publish a new base.'
)
