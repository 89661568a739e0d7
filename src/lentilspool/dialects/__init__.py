"""Protocols for calling model engines, pool stages and plain services."""

from lentilspool.dialects import _engine as _engine
from lentilspool.dialects import _service as _service
from lentilspool.dialects import _stage as _stage
from lentilspool.dialects._engine import EngineOrderClient as EngineOrderClient
from lentilspool.dialects._http import HttpClient as HttpClient
from lentilspool.dialects._types import Answered as Answered
from lentilspool.dialects._types import Dialect as Dialect
from lentilspool.dialects._types import Emit as Emit
from lentilspool.dialects._types import EndpointAnswer as EndpointAnswer
from lentilspool.dialects._types import EndpointCall as EndpointCall
from lentilspool.dialects._types import EndpointFailed as EndpointFailed
from lentilspool.dialects._types import Refused as Refused
