"""Pipelines: requests, their stages, and routing to one pool."""

from lentilspool.pipeline._digest import body_digest as body_digest
from lentilspool.pipeline._execution import Execution as Execution
from lentilspool.pipeline._execution import StageInput as StageInput
from lentilspool.pipeline._pool_router import AttemptResult as AttemptResult
from lentilspool.pipeline._pool_router import LoadReport as LoadReport
from lentilspool.pipeline._pool_router import PoolRouter as PoolRouter
from lentilspool.pipeline._prefix import CHARS_PER_TOKEN as CHARS_PER_TOKEN
from lentilspool.pipeline._prefix import block_hashes as block_hashes
from lentilspool.pipeline._prefix import build_prompt as build_prompt
from lentilspool.pipeline._request import Invalid as Invalid
from lentilspool.pipeline._request import PipelineRequest as PipelineRequest
from lentilspool.pipeline._request import check_request as check_request
