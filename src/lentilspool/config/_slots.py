"""Rules for changes of the key slots of a configuration document.

The key slots assign each idempotency key to a sidecar, its home.
"""

from lentilspool import admission
from lentilspool.config import _document, _problems


def key_slot_problem(
    current: _document.Document, proposed: _document.Document
) -> _problems.Problem | None:
    """Return why the proposed key slots are refused; None if they are not.

    A key must always stay with the same sidecar. Otherwise a request with
    that key could be served twice.
    """
    parsed = admission.parse_slots(proposed.key_slots)
    if isinstance(parsed, admission.SlotFault):
        return _as_problem(parsed)
    before = admission.parse_slots(current.key_slots)
    if isinstance(before, admission.SlotFault):
        return None
    fault = admission.check_slot_change(before, parsed)
    return _as_problem(fault) if fault else None


def _as_problem(fault: admission.SlotFault) -> _problems.Problem:
    return _problems.Problem(f'$.key_slots.{fault.pool}', fault.problem)
