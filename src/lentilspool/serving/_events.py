"""Numbered events of request plans."""

import logging
from typing import Final

from lentilspool import kernel

_declare = kernel.catalogue.declare

PLANNED: Final = _declare(
    510, logging.INFO, 'A request was admitted to its stages.'
)
PLAN_REFUSED: Final = _declare(
    511, logging.INFO, 'A plan was given up before an engine ran it.'
)
STAGE_CALL: Final = _declare(
    512, logging.INFO, 'Pieces of stages were sent in one call.'
)
STAGE_CALL_OVERDUE: Final = _declare(
    513,
    logging.WARNING,
    'A stage call is overdue or delisted; its pieces are retried.',
)
STAGE_CALL_FAILED: Final = _declare(
    514, logging.WARNING, 'A stage call returned no results.'
)
PLACED: Final = _declare(515, logging.INFO, 'An engine was chosen.')
GRANT_REFUSED: Final = _declare(
    517,
    logging.INFO,
    'All endpoints that a plain request may go to have their limit.',
)
PIECE_FAILED: Final = _declare(
    516, logging.WARNING, 'A piece of a stage returned no result.'
)
