"""Names, formats and calls of the users' platform; decides nothing.

Nothing outside this package knows how the platform spells its headers,
fields, keys and paths. Each name is decoded once, into the types of
``lentilspool.serving``.
"""

from lentilspool.platform._answers import answer_head as answer_head
from lentilspool.platform._configuration import (
    configuration as configuration,
)
from lentilspool.platform._endpoints import endpoint as endpoint
from lentilspool.platform._errors import FormatError as FormatError
from lentilspool.platform._names import READY_PATH as READY_PATH
from lentilspool.platform._names import settings_path as settings_path
from lentilspool.platform._requests import SendOptions as SendOptions
from lentilspool.platform._requests import caller_request as caller_request
from lentilspool.platform._requests import endpoint_headers as endpoint_headers
from lentilspool.platform._requests import refusal_headers as refusal_headers
from lentilspool.platform._stage_calls import PieceOrder as PieceOrder
from lentilspool.platform._stage_calls import PieceOutcome as PieceOutcome
from lentilspool.platform._stage_calls import free_request as free_request
from lentilspool.platform._stage_calls import stage_answer as stage_answer
from lentilspool.platform._stage_calls import stage_request as stage_request
from lentilspool.platform._store import CONFIGURATION_KEY as CONFIGURATION_KEY
from lentilspool.platform._store import ENDPOINT_PREFIX as ENDPOINT_PREFIX
from lentilspool.platform._store import Item as Item
from lentilspool.platform._store import Page as Page
from lentilspool.platform._store import page as page
from lentilspool.platform._store import range_target as range_target
from lentilspool.platform._store import watch_target as watch_target
