"""Delivery of the model's messages to entries and sidecars."""

from typing import Final

from lentilspool import admission
from lentilspool.admission.tests import _model, test_sidecar_model

_SLOTS: Final = admission.KeySlots(
    (admission.SlotTable(test_sidecar_model.POOL, 0, float('inf'), ('s0',)),),
)


def deliver(state: _model.ModelState, message: _model.Message) -> None:
    """Remove a message from transit and process it at its receiver."""
    messages = list(state.messages)
    messages.remove(message)
    state.messages = tuple(messages)
    receivers = {
        'admit': _on_admit,
        'issued': _on_issued,
        'start': _on_start,
        'answer': _on_answer,
    }
    receivers[message.kind](state, message)


def _on_admit(state: _model.ModelState, message: _model.Message) -> None:
    sidecar = state.copy_sidecar_for_change(message.sidecar)
    number = message.send
    if state.sends[number].request:
        answer = sidecar.home.issue(_model.KEY, 'd1', _SLOTS, state.now)
    else:
        answer = sidecar.ledger.issue(f'r{number}', 'd0', state.now)
    if isinstance(answer, admission.Issued):
        state.send_message(_model.Message('issued', number, token=answer.token))
    else:
        state.send_message(
            _model.Message('answer', number, outcome=answer.outcome)
        )


def _on_issued(state: _model.ModelState, message: _model.Message) -> None:
    send = state.sends[message.send]
    token = message.token
    if token is None or not send.unrepeatable_send.record_token(
        token.request_id
    ):
        return
    if send.request == 0:
        state.caller_token = token
    state.update_send(message.send, token=token.request_id)
    state.send_message(start_message(message.send, token))


def _on_start(state: _model.ModelState, message: _model.Message) -> None:
    sidecar = state.copy_sidecar_for_change(message.sidecar)
    token = message.token
    if token is None:
        return
    queue_key = token.request_id
    answer = sidecar.ledger.start(token, state.now)
    state.check_not_forgotten(sidecar, token, answer)
    if isinstance(answer, admission.Finished | admission.Refused):
        outcome = answer.outcome
        state.send_message(
            _model.Message('answer', message.send, outcome=outcome)
        )
        return
    if isinstance(answer, admission.Admitted):
        sidecar.queued[queue_key] = (token, message.send)
    waiting = sidecar.waiting.get(queue_key, ())
    sidecar.waiting[queue_key] = (*waiting, message.send)


def _on_answer(state: _model.ModelState, message: _model.Message) -> None:
    if message.outcome is not None:
        state.report(message.send, message.outcome)


def start_message(send: int, token: admission.AdmissionToken) -> _model.Message:
    """Return the message that starts a token's request at its sidecar."""
    return _model.Message('start', send, int(token.endpoint[1:]), token)
