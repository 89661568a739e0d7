"""At-most-once admission: tokens, ledger and quarantine."""

from lentilspool.admission._attempts import Accept as Accept
from lentilspool.admission._attempts import Attempt as Attempt
from lentilspool.admission._attempts import AttemptTable as AttemptTable
from lentilspool.admission._attempts import Duplicate as Duplicate
from lentilspool.admission._attempts import Foreign as Foreign
from lentilspool.admission._attempts import LateLoser as LateLoser
from lentilspool.admission._attempts import Verdict as Verdict
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
from lentilspool.admission._ledger_types import Refused as Refused
from lentilspool.admission._ledger_types import StartAnswer as StartAnswer
from lentilspool.admission._streams import Broken as Broken
from lentilspool.admission._streams import Pieces as Pieces
from lentilspool.admission._streams import StreamAssembler as StreamAssembler
from lentilspool.admission._streams import StreamProblem as StreamProblem
from lentilspool.admission._tokens import AdmissionToken as AdmissionToken
from lentilspool.admission._tokens import TokenProblem as TokenProblem
from lentilspool.admission._tokens import TokenRefused as TokenRefused
from lentilspool.admission._tokens import TokenSigner as TokenSigner
