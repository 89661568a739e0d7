"""Rules for the published homes of idempotency keys."""

from lentilspool import admission
from lentilspool.config import _document, _problems


def slot_problem(
    held: _document.Document, proposed: _document.Document
) -> _problems.Problem | None:
    """Return why the slots may not change as proposed.

    A key must keep one home for ever, or it could be served twice.
    """
    parsed = admission.parse_slots(proposed.key_slots)
    if isinstance(parsed, admission.SlotFault):
        return _as_problem(parsed)
    before = admission.parse_slots(held.key_slots)
    if isinstance(before, admission.SlotFault):
        return None
    fault = admission.check_slot_change(before, parsed)
    return _as_problem(fault) if fault else None


def _as_problem(fault: admission.SlotFault) -> _problems.Problem:
    return _problems.Problem(f'$.key_slots.{fault.pool}', fault.problem)
