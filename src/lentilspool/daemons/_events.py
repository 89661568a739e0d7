"""Numbered events of the daemons."""

import logging
from typing import Final

from lentilspool import kernel

_declare = kernel.catalogue.declare

STARTED: Final = _declare(101, logging.INFO, 'The process has started.')
DRAINING: Final = _declare(102, logging.INFO, 'A graceful stop has started.')
DRAINED: Final = _declare(
    103, logging.INFO, 'A graceful stop completed all work in flight.'
)
CUT_OFF: Final = _declare(
    104, logging.ERROR, 'A graceful stop ended with work in flight.'
)
PAUSED: Final = _declare(
    105, logging.WARNING, 'The process was paused for longer than a lease.'
)
REQUEST_ENDED: Final = _declare(
    501, logging.INFO, 'A request has its final outcome.'
)
ATTEMPT_ENDED: Final = _declare(
    502, logging.DEBUG, 'An attempt of a stage has ended.'
)
ANSWER_DROPPED: Final = _declare(
    503, logging.WARNING, 'An answer matched no open attempt and was dropped.'
)
CALL_ENDED: Final = _declare(
    504, logging.DEBUG, 'A call to the endpoint has ended.'
)
ENDPOINT_DOWN: Final = _declare(
    506,
    logging.WARNING,
    'The endpoint refuses connections; no calls are sent to it.',
)
ENDPOINT_UP: Final = _declare(
    507, logging.INFO, 'The endpoint accepts connections again.'
)
CALLER_GONE: Final = _declare(
    505, logging.INFO, 'A response could not be delivered to its caller.'
)
LINK_OPENED: Final = _declare(801, logging.INFO, 'A connection was opened.')
LINK_SILENT: Final = _declare(
    804, logging.WARNING, 'A connection answered neither calls nor probes.'
)
LINK_CLOSED: Final = _declare(802, logging.INFO, 'A connection has ended.')
MALFORMED: Final = _declare(
    803, logging.WARNING, 'A malformed or unexpected message was refused.'
)
