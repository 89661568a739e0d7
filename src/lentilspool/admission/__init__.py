"""At-most-once execution of requests, quarantine and hand-off."""

from lentilspool.admission._attempts import Accept as Accept
from lentilspool.admission._attempts import Attempt as Attempt
from lentilspool.admission._attempts import AttemptTable as AttemptTable
from lentilspool.admission._attempts import Duplicate as Duplicate
from lentilspool.admission._attempts import Foreign as Foreign
from lentilspool.admission._attempts import LateLoser as LateLoser
from lentilspool.admission._attempts import Verdict as Verdict
from lentilspool.admission._hand_off import HandOff as HandOff
from lentilspool.admission._hand_off_types import Collected as Collected
from lentilspool.admission._hand_off_types import Copy as Copy
from lentilspool.admission._hand_off_types import (
    HandOffLimits as HandOffLimits,
)
from lentilspool.admission._hand_off_types import HeldRequest as HeldRequest
from lentilspool.admission._hand_off_types import Peer as Peer
from lentilspool.admission._hand_off_types import Renew as Renew
from lentilspool.admission._hand_off_types import Renewed as Renewed
from lentilspool.admission._hand_off_types import Role as Role
from lentilspool.admission._hand_off_types import Run as Run
from lentilspool.admission._hand_off_types import Stop as Stop
from lentilspool.admission._hand_off_types import Transfer as Transfer
from lentilspool.admission._held_table import Held as Held
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
from lentilspool.admission._keys import KeyGate as KeyGate
from lentilspool.admission._keys import KeyRules as KeyRules
from lentilspool.admission._keys import check_age as check_age
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
from lentilspool.admission._ledger_types import LookAnswer as LookAnswer
from lentilspool.admission._ledger_types import Refused as Refused
from lentilspool.admission._ledger_types import StartAnswer as StartAnswer
from lentilspool.admission._quarantine import Quarantine as Quarantine
from lentilspool.admission._quarantine_types import Judgement as Judgement
from lentilspool.admission._quarantine_types import Quarantined as Quarantined
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
from lentilspool.admission._streams import Broken as Broken
from lentilspool.admission._streams import Pieces as Pieces
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
