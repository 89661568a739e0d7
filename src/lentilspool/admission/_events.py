"""Numbered log events of the package."""

import logging
from typing import Final

from lentilspool import kernel

LEDGER_FULL: Final = kernel.catalogue.declare(
    601,
    logging.WARNING,
    'The at-most-once ledger is full; new requests are refused.',
)
UNSTARTED_REFUSED: Final = kernel.catalogue.declare(
    602,
    logging.WARNING,
    'After a pause, requests whose call had not begun were refused.',
)
KEY_REFUSED: Final = kernel.catalogue.declare(
    603,
    logging.INFO,
    'A key that an earlier incarnation may have served was refused.',
)
SUSPECTED: Final = kernel.catalogue.declare(
    604, logging.WARNING, 'An endpoint died while this content ran.'
)
QUARANTINED: Final = kernel.catalogue.declare(
    605, logging.ERROR, 'A content is refused: endpoints died while it ran.'
)
CLEARED: Final = kernel.catalogue.declare(
    606, logging.INFO, 'A content under suspicion completed; it is cleared.'
)
TAKEN_OVER: Final = kernel.catalogue.declare(
    607, logging.WARNING, 'A waiting request was taken over from its entry.'
)
SUPERSEDED: Final = kernel.catalogue.declare(
    608, logging.WARNING, 'A waiting request has another owner; stopped here.'
)
PART_REFUSED: Final = kernel.catalogue.declare(
    609,
    logging.ERROR,
    'Prompts with a part are refused: endpoints ended under it.',
)
PART_RELEASED: Final = kernel.catalogue.declare(
    610, logging.INFO, 'Prompts with a part are no longer refused.'
)
