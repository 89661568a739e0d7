"""Pipelines: stages, deadlines, attempts and answers."""

from lentilspool.pipeline._execution import Execution as Execution
from lentilspool.pipeline._execution import StageInput as StageInput
from lentilspool.pipeline._execution import digest_of as digest_of
from lentilspool.pipeline._request import Invalid as Invalid
from lentilspool.pipeline._request import PipelineRequest as PipelineRequest
from lentilspool.pipeline._request import check_request as check_request
