"""Names of the platform's headers, paths and environment variables."""

import os
from typing import Final

REQUEST_ID: Final = b'request-id'
DEADLINE: Final = b'deadline-ms'
API_KEY: Final = b'key'
TEAM: Final = b'tenant'
EXPECTED_ENDPOINT: Final = b'expect-instance'
SIGNATURE: Final = b'server-stamp'
LOAD: Final = b'server-load'
LIMIT: Final = b'server-limit'
LEAVING: Final = b'server-leaving'
NOT_RUN: Final = b'not-executed'
RETRY_AFTER: Final = b'retry-after'
MODEL: Final = b'model'
TOKEN_COUNTS: Final = b'token-counts'
PROMPT_PARTS: Final = b'prompt-prefix'
PRIORITY: Final = b'request-priority'
LAST_EVENT: Final = b'last-event-id'
RESUMED_ID: Final = b'resumes'
PIECES: Final = b'pieces'
PIECE_KEY: Final = b'piece-key'
STAGE_RESULTS: Final = b'inputs'
CACHE_SOURCE: Final = b'kv-fetch'
STORE_ERA: Final = b'store-era'

# Headers that only this system may set, and that callers cannot forge.
OWN_HEADERS: Final = frozenset(
    (
        API_KEY,
        TEAM,
        DEADLINE,
        EXPECTED_ENDPOINT,
        PRIORITY,
        LAST_EVENT,
        STAGE_RESULTS,
        CACHE_SOURCE,
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        b'expect-version',
    ),
)

# Headers that concern one connection (RFC 9110, section 7.6.1).
CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authorization',
        b'proxy-authenticate',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)

READY_PATH: Final = '/readyz'
STAGE_RUN_PATH: Final = '/stage-run'
STAGE_FREE_PATH: Final = '/stage-free'

_SETTINGS_VARIABLE: Final = 'LENTILSPOOL_BOOT'


def settings_path() -> str:
    """Return the path of the settings file that the platform has written."""
    return os.environ.get(_SETTINGS_VARIABLE, '')
