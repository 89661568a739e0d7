"""Actions of the model's endpoints."""

from lentilspool import admission, kernel
from lentilspool.admission.tests import _model, test_sidecar_model


def begin(state: _model.ModelState, number: int, request_id: str) -> None:
    """Begin the endpoint's call for a queued request."""
    sidecar = state.copy_sidecar_for_change(number)
    token, send = sidecar.queued.pop(request_id)
    if sidecar.ledger.begin_call(token, state.now):
        sidecar.running[request_id] = token
        state.count_run(send)
    else:
        _answer_waiting_sends(state, sidecar, token)


def finish(state: _model.ModelState, number: int, request_id: str) -> None:
    """End the endpoint's call with the request's answer."""
    sidecar = state.copy_sidecar_for_change(number)
    token = sidecar.running.pop(request_id)
    sidecar.ledger.finish(token, kernel.Complete(request_id.encode()))
    _answer_waiting_sends(state, sidecar, token)


def withdraw(state: _model.ModelState, number: int, request_id: str) -> None:
    """Refuse a queued request because of overload."""
    sidecar = state.copy_sidecar_for_change(number)
    token, _ = sidecar.queued.pop(request_id)
    sidecar.ledger.withdraw(token, kernel.NotRunReason.overloaded, state.now)
    _answer_waiting_sends(state, sidecar, token)


def _answer_waiting_sends(
    state: _model.ModelState,
    sidecar: test_sidecar_model.Sidecar,
    token: admission.AdmissionToken,
) -> None:
    answer = sidecar.ledger.start(token, state.now)
    if isinstance(answer, admission.Finished | admission.Refused):
        for send in sidecar.waiting.pop(token.request_id, ()):
            outcome = answer.outcome
            state.send_message(_model.Message('answer', send, outcome=outcome))
