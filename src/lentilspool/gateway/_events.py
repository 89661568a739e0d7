"""Numbered events of the gateway."""

import logging
from typing import Final

from lentilspool import kernel

_declare = kernel.catalogue.declare

STARTED: Final = _declare(120, logging.INFO, 'The gateway has started.')
STOPPING: Final = _declare(121, logging.INFO, 'A planned stop has begun.')
STOPPED: Final = _declare(122, logging.INFO, 'The gateway has stopped.')
RELOADED: Final = _declare(123, logging.INFO, 'The settings were read again.')
READY: Final = _declare(124, logging.INFO, 'Readiness has changed.')
WOKEN: Final = _declare(125, logging.WARNING, 'The host was suspended.')
LINES_DROPPED: Final = _declare(
    126, logging.WARNING, 'Log lines were dropped because they were not read.'
)
UNEXPECTED: Final = _declare(
    127, logging.ERROR, 'A request ended with an unexpected exception.'
)
RELOAD_FAILED: Final = _declare(
    128, logging.ERROR, 'Settings cannot be read; the old ones stay in force.'
)
CONFIGURED: Final = _declare(
    220, logging.INFO, 'A configuration version is in force.'
)
CONFIGURATION_REFUSED: Final = _declare(
    221, logging.ERROR, 'A published configuration cannot be read.'
)
STORE_LOST: Final = _declare(222, logging.WARNING, 'The store does not answer.')
STORE_BACK: Final = _declare(223, logging.INFO, 'The store answers.')
LISTED: Final = _declare(
    224, logging.INFO, 'A complete listing of endpoints was read.'
)
ENDPOINT: Final = _declare(
    225, logging.INFO, 'The entry of an endpoint has changed.'
)
ENTRY_REFUSED: Final = _declare(
    226, logging.WARNING, 'The entry of an endpoint is invalid.'
)
LEARNED: Final = _declare(
    227, logging.INFO, 'Published state was received from another gateway.'
)
ERA: Final = _declare(
    228, logging.WARNING, 'The store came back from an older copy.'
)
ERA_INVALID: Final = _declare(
    229,
    logging.WARNING,
    'The era of an answer of the store is invalid or out of date.',
)
ENTRY_OUTDATED: Final = _declare(
    230,
    logging.INFO,
    'The entry of an endpoint is older than what is known of it.',
)
HISTORY_EXAMINED: Final = _declare(
    231,
    logging.INFO,
    'The history of the store was examined for all entries ever listed.',
)
PEER_LOST: Final = _declare(
    320, logging.WARNING, 'Another gateway does not answer.'
)
PEER_BACK: Final = _declare(321, logging.INFO, 'Another gateway answers.')
PLANNER: Final = _declare(
    322, logging.INFO, 'The planner of requests has changed.'
)
PEER_MESSAGE: Final = _declare(
    323, logging.WARNING, 'A message of another gateway was not handled.'
)
ARRIVED: Final = _declare(520, logging.INFO, 'A request was read.')
SENT: Final = _declare(521, logging.INFO, 'A request goes to an endpoint.')
ATTEMPT_ENDED: Final = _declare(
    522, logging.INFO, 'An attempt of a request has ended.'
)
ENDED: Final = _declare(523, logging.INFO, 'A request has its final answer.')
CALLER_LEFT: Final = _declare(
    524, logging.INFO, 'The caller disconnected; its request was cancelled.'
)
PLANNER_LOST: Final = _declare(
    525, logging.WARNING, 'The gateway that planned a request is gone.'
)
BAD_REQUEST: Final = _declare(526, logging.WARNING, 'A request cannot be read.')
STREAM_FOUND: Final = _declare(
    527, logging.INFO, 'The version of a resumed stream was looked up.'
)
SILENT: Final = _declare(
    528, logging.INFO, 'The endpoint of a stream is silent.'
)
STOP_REFUSED: Final = _declare(
    530, logging.INFO, 'A request cannot end before the process does.'
)
FOREIGN_ANSWER: Final = _declare(
    820, logging.WARNING, 'An endpoint sent an answer to another request.'
)
CONNECTION_RETIRED: Final = _declare(
    821, logging.INFO, 'A connection to an endpoint is not used again.'
)
ENDPOINT_DIED: Final = _declare(
    823,
    logging.WARNING,
    'An endpoint ended while it ran requests or pieces of these contents.',
)
LIMIT_STATED: Final = _declare(
    824,
    logging.INFO,
    'An endpoint has stated or changed its limit of requests, or ended it.',
)
STATEMENT_UNREADABLE: Final = _declare(
    825, logging.WARNING, 'A statement of an endpoint cannot be read.'
)
BACKOFF_STATED: Final = _declare(
    826,
    logging.INFO,
    'An endpoint has rejected a request and asks for a backoff.',
)
LEAVING_STATED: Final = _declare(
    827, logging.INFO, 'An endpoint has stated that it is about to end.'
)
REPEATED_ANSWER: Final = _declare(
    828, logging.WARNING, 'An endpoint sent an earlier answer once more.'
)
NO_RESULTS: Final = _declare(
    829, logging.WARNING, 'The answer to a call states no results.'
)
CALLER_BROKEN: Final = _declare(
    822, logging.INFO, 'A connection of a caller violated HTTP.'
)
