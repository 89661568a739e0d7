"""Decisions of a gateway: routes, plans, placement and refusals.

The code here is synchronous and does no input or output. It takes the
current time as ``now`` and returns decisions, which the gateway carries out.
"""

from lentilspool.serving._answer_defects import (
    SUCCESS_STATUSES as SUCCESS_STATUSES,
)
from lentilspool.serving._answer_defects import answer_defect as answer_defect
from lentilspool.serving._answers import AnswerHead as AnswerHead
from lentilspool.serving._answers import ReportedLoad as ReportedLoad
from lentilspool.serving._answers import Statement as Statement
from lentilspool.serving._attempts import AttemptCounts as AttemptCounts
from lentilspool.serving._attempts import AttemptOutcome as AttemptOutcome
from lentilspool.serving._attempts import AttemptStep as AttemptStep
from lentilspool.serving._attempts import next_step as next_step
from lentilspool.serving._calls import Call as Call
from lentilspool.serving._calls import Headers as Headers
from lentilspool.serving._calls import Prompt as Prompt
from lentilspool.serving._calls import PromptPart as PromptPart
from lentilspool.serving._catch_up import CatchUp as CatchUp
from lentilspool.serving._configuration import BatchLimits as BatchLimits
from lentilspool.serving._configuration import CallLimits as CallLimits
from lentilspool.serving._configuration import Configuration as Configuration
from lentilspool.serving._configuration import EngineLimits as EngineLimits
from lentilspool.serving._configuration import Route as Route
from lentilspool.serving._configuration import RouteKind as RouteKind
from lentilspool.serving._configuration import Service as Service
from lentilspool.serving._configuration import ServiceShare as ServiceShare
from lentilspool.serving._configuration import Stage as Stage
from lentilspool.serving._configuration import Team as Team
from lentilspool.serving._contents import content_digest as content_digest
from lentilspool.serving._contents import shared_parts as shared_parts
from lentilspool.serving._endpoint_loads import EndpointLoads as EndpointLoads
from lentilspool.serving._endpoint_statements import (
    EndpointStatements as EndpointStatements,
)
from lentilspool.serving._endpoint_statements import LimitReport as LimitReport
from lentilspool.serving._endpoints import Endpoint as Endpoint
from lentilspool.serving._endpoints import EndpointIndex as EndpointIndex
from lentilspool.serving._entry_order import EntryState as EntryState
from lentilspool.serving._entry_order import EraOrder as EraOrder
from lentilspool.serving._entry_order import Position as Position
from lentilspool.serving._entry_order import is_outdated as is_outdated
from lentilspool.serving._entry_order import order_of_era as order_of_era
from lentilspool.serving._grants import Grants as Grants
from lentilspool.serving._listing_history import Write as Write
from lentilspool.serving._listing_history import ever_listed as ever_listed
from lentilspool.serving._listing_history import (
    first_unknown_revision as first_unknown_revision,
)
from lentilspool.serving._patience import StorePatience as StorePatience
from lentilspool.serving._plan_types import Action as Action
from lentilspool.serving._plan_types import Begun as Begun
from lentilspool.serving._plan_types import CheckEndpoint as CheckEndpoint
from lentilspool.serving._plan_types import FreeResults as FreeResults
from lentilspool.serving._plan_types import Piece as Piece
from lentilspool.serving._plan_types import PieceResult as PieceResult
from lentilspool.serving._plan_types import PlanLimits as PlanLimits
from lentilspool.serving._plan_types import PlanRequest as PlanRequest
from lentilspool.serving._plan_types import Refuse as Refuse
from lentilspool.serving._plan_types import RunAt as RunAt
from lentilspool.serving._plan_types import StageRequest as StageRequest
from lentilspool.serving._plan_types import StartCall as StartCall
from lentilspool.serving._planner import Planner as Planner
from lentilspool.serving._planner_losses import PlannerLosses as PlannerLosses
from lentilspool.serving._repeat_callers import (
    RepeatCallerDetector as RepeatCallerDetector,
)
from lentilspool.serving._roster import Member as Member
from lentilspool.serving._roster import Roster as Roster
from lentilspool.serving._roster import spread_over_zones as spread_over_zones
from lentilspool.serving._route_table import Matched as Matched
from lentilspool.serving._route_table import NoRoute as NoRoute
from lentilspool.serving._route_table import RouteTable as RouteTable
from lentilspool.serving._route_table import UnknownKey as UnknownKey
from lentilspool.serving._route_table import pick_service as pick_service
from lentilspool.serving._run_observations import Run as Run
from lentilspool.serving._run_times import Estimate as Estimate
from lentilspool.serving._run_times import ExpectedRun as ExpectedRun
from lentilspool.serving._run_times import RunTimes as RunTimes
from lentilspool.serving._stop_admission import CAREFUL as CAREFUL
from lentilspool.serving._stop_admission import USUAL as USUAL
from lentilspool.serving._stop_admission import StopAdmission as StopAdmission
from lentilspool.serving._stream_versions import StreamVersion as StreamVersion
from lentilspool.serving._stream_versions import (
    StreamVersions as StreamVersions,
)
from lentilspool.serving._stream_versions import (
    VersionHistory as VersionHistory,
)
from lentilspool.serving._stream_versions import stream_key as stream_key
from lentilspool.serving._suspects import Suspects as Suspects
