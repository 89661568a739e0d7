"""Adapter to the formats of the platform; it makes no decisions.

Only this package knows how the platform spells its headers, fields, keys and
paths. They are decoded once, into the types of ``lentilspool.serving``.
"""

from lentilspool.platform._answers import (
    decode_answer_head as decode_answer_head,
)
from lentilspool.platform._configuration import (
    decode_configuration as decode_configuration,
)
from lentilspool.platform._endpoints import decode_endpoint as decode_endpoint
from lentilspool.platform._endpoints import (
    decode_entry_state as decode_entry_state,
)
from lentilspool.platform._errors import FormatError as FormatError
from lentilspool.platform._names import READY_PATH as READY_PATH
from lentilspool.platform._names import settings_path as settings_path
from lentilspool.platform._requests import SendOptions as SendOptions
from lentilspool.platform._requests import (
    decode_caller_request as decode_caller_request,
)
from lentilspool.platform._requests import endpoint_headers as endpoint_headers
from lentilspool.platform._requests import refusal_headers as refusal_headers
from lentilspool.platform._stage_calls import PieceOrder as PieceOrder
from lentilspool.platform._stage_calls import PieceOutcome as PieceOutcome
from lentilspool.platform._stage_calls import (
    decode_stage_answer as decode_stage_answer,
)
from lentilspool.platform._stage_calls import (
    encode_free_request as encode_free_request,
)
from lentilspool.platform._stage_calls import (
    encode_stage_request as encode_stage_request,
)
from lentilspool.platform._store import CONFIGURATION_KEY as CONFIGURATION_KEY
from lentilspool.platform._store import ENDPOINT_PREFIX as ENDPOINT_PREFIX
from lentilspool.platform._store import Item as Item
from lentilspool.platform._store import Page as Page
from lentilspool.platform._store import decode_era as decode_era
from lentilspool.platform._store import decode_page as decode_page
from lentilspool.platform._store import range_target as range_target
from lentilspool.platform._store import watch_target as watch_target
