"""Fleet membership: leases, leaving notices and endpoint subsets."""

from lentilspool.membership._answers import Answer as Answer
from lentilspool.membership._answers import RefusalReason as RefusalReason
from lentilspool.membership._answers import Refused as Refused
from lentilspool.membership._answers import Renewed as Renewed
from lentilspool.membership._heartbeats import (
    HeartbeatLimits as HeartbeatLimits,
)
from lentilspool.membership._heartbeats import (
    HeartbeatScheduler as HeartbeatScheduler,
)
from lentilspool.membership._heartbeats import ReportedLoad as ReportedLoad
from lentilspool.membership._heartbeats import interval_s as interval_s
from lentilspool.membership._lease_table import Lease as Lease
from lentilspool.membership._lease_table import LeaseLimits as LeaseLimits
from lentilspool.membership._lease_table import LeaseTable as LeaseTable
from lentilspool.membership._leaving import LeavingNotice as LeavingNotice
from lentilspool.membership._leaving import NoticeLimits as NoticeLimits
from lentilspool.membership._leaving import ReadinessLimits as ReadinessLimits
from lentilspool.membership._leaving import ReadinessNotice as ReadinessNotice
from lentilspool.membership._member import ActiveConfig as ActiveConfig
from lentilspool.membership._member import Heartbeat as Heartbeat
from lentilspool.membership._member import HostState as HostState
from lentilspool.membership._member import ListedHost as ListedHost
from lentilspool.membership._member import Member as Member
from lentilspool.membership._member import Role as Role
from lentilspool.membership._membership import Membership as Membership
from lentilspool.membership._membership import (
    MembershipLimits as MembershipLimits,
)
from lentilspool.membership._subset import ProcessLocation as ProcessLocation
from lentilspool.membership._subset import SubsetLimits as SubsetLimits
from lentilspool.membership._subset import Subsets as Subsets
from lentilspool.membership._subset import even_subsets as even_subsets
from lentilspool.membership._subset import mean_coverage as mean_coverage
from lentilspool.membership._subset import preference_order as preference_order
