"""At-most-once execution of requests, quarantine and hand-off."""

from lentilspool.admission._attempts import Accept as Accept
from lentilspool.admission._attempts import Attempt as Attempt
from lentilspool.admission._attempts import AttemptTable as AttemptTable
from lentilspool.admission._attempts import Duplicate as Duplicate
from lentilspool.admission._attempts import Foreign as Foreign
from lentilspool.admission._attempts import LateLoser as LateLoser
from lentilspool.admission._attempts import Verdict as Verdict
from lentilspool.admission._hand_off import HandOff as HandOff
from lentilspool.admission._hand_off_types import CollectResult as CollectResult
from lentilspool.admission._hand_off_types import (
    HandOffLimits as HandOffLimits,
)
from lentilspool.admission._hand_off_types import HeldRequest as HeldRequest
from lentilspool.admission._hand_off_types import LeaseRenewal as LeaseRenewal
from lentilspool.admission._hand_off_types import (
    LeaseRenewalAnswer as LeaseRenewalAnswer,
)
from lentilspool.admission._hand_off_types import Peer as Peer
from lentilspool.admission._hand_off_types import Role as Role
from lentilspool.admission._hand_off_types import RunRequest as RunRequest
from lentilspool.admission._hand_off_types import SendCopy as SendCopy
from lentilspool.admission._hand_off_types import StopRequest as StopRequest
from lentilspool.admission._hand_off_types import Transfer as Transfer
from lentilspool.admission._held_table import HeldRecord as HeldRecord
from lentilspool.admission._held_table import HeldTable as HeldTable
from lentilspool.admission._key_home import KeyHome as KeyHome
from lentilspool.admission._key_slots import KeySlots as KeySlots
from lentilspool.admission._key_slots import SlotFault as SlotFault
from lentilspool.admission._key_slots import SlotTable as SlotTable
from lentilspool.admission._key_slots import (
    check_slot_change as check_slot_change,
)
from lentilspool.admission._key_slots import parse_slots as parse_slots
from lentilspool.admission._keys import IdempotencyKey as IdempotencyKey
from lentilspool.admission._keys import KeyRules as KeyRules
from lentilspool.admission._keys import NewKeyCheck as NewKeyCheck
from lentilspool.admission._keys import check_key_age as check_key_age
from lentilspool.admission._keys import parse_key as parse_key
from lentilspool.admission._ledger import Ledger as Ledger
from lentilspool.admission._ledger_types import Admitted as Admitted
from lentilspool.admission._ledger_types import (
    AlreadyRunning as AlreadyRunning,
)
from lentilspool.admission._ledger_types import Finished as Finished
from lentilspool.admission._ledger_types import IssueAnswer as IssueAnswer
from lentilspool.admission._ledger_types import Issued as Issued
from lentilspool.admission._ledger_types import LedgerLimits as LedgerLimits
from lentilspool.admission._ledger_types import LedgerUsage as LedgerUsage
from lentilspool.admission._ledger_types import LookUpAnswer as LookUpAnswer
from lentilspool.admission._ledger_types import Refused as Refused
from lentilspool.admission._ledger_types import StartAnswer as StartAnswer
from lentilspool.admission._part_quarantine import (
    PartQuarantine as PartQuarantine,
)
from lentilspool.admission._part_quarantine_types import (
    PartLimits as PartLimits,
)
from lentilspool.admission._part_quarantine_types import (
    PartReport as PartReport,
)
from lentilspool.admission._part_quarantine_types import (
    as_part_report as as_part_report,
)
from lentilspool.admission._part_quarantine_types import (
    encode_part_report as encode_part_report,
)
from lentilspool.admission._quarantine import Quarantine as Quarantine
from lentilspool.admission._quarantine_types import Quarantined as Quarantined
from lentilspool.admission._quarantine_types import (
    QuarantineDecision as QuarantineDecision,
)
from lentilspool.admission._quarantine_types import (
    QuarantineLimits as QuarantineLimits,
)
from lentilspool.admission._quarantine_types import RunAlone as RunAlone
from lentilspool.admission._quarantine_types import RunFreely as RunFreely
from lentilspool.admission._quarantine_types import Suspicion as Suspicion
from lentilspool.admission._quarantine_types import (
    decode_suspicion as decode_suspicion,
)
from lentilspool.admission._quarantine_types import (
    encode_suspicion as encode_suspicion,
)
from lentilspool.admission._standby import Standby as Standby
from lentilspool.admission._streams import BrokenStream as BrokenStream
from lentilspool.admission._streams import ReleasedText as ReleasedText
from lentilspool.admission._streams import StreamAssembler as StreamAssembler
from lentilspool.admission._streams import StreamProblem as StreamProblem
from lentilspool.admission._tokens import AdmissionToken as AdmissionToken
from lentilspool.admission._tokens import TokenProblem as TokenProblem
from lentilspool.admission._tokens import TokenRefused as TokenRefused
from lentilspool.admission._tokens import TokenSigner as TokenSigner
from lentilspool.admission._unrepeatable import SendPhase as SendPhase
from lentilspool.admission._unrepeatable import (
    UnrepeatableSend as UnrepeatableSend,
)
