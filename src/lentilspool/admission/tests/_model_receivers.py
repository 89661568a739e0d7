"""Receivers of the model's messages."""

from typing import Final

from lentilspool import admission
from lentilspool.admission.tests import _model, test_sidecar_model

_SLOTS: Final = admission.KeySlots(
    (admission.SlotTable(test_sidecar_model.POOL, 0, float('inf'), ('s0',)),),
)


def deliver(world: _model.World, message: _model.Message) -> None:
    """Hand a message to its receiver."""
    messages = list(world.messages)
    messages.remove(message)
    world.messages = tuple(messages)
    receivers = {
        'admit': _on_admit,
        'issued': _on_issued,
        'start': _on_start,
        'answer': _on_answer,
    }
    receivers[message.kind](world, message)


def _on_admit(world: _model.World, message: _model.Message) -> None:
    sidecar = world.own(message.sidecar)
    number = message.send
    if world.sends[number].request:
        answer = sidecar.home.issue(_model.KEY, 'd1', _SLOTS, world.now)
    else:
        answer = sidecar.ledger.issue(f'r{number}', 'd0', world.now)
    if isinstance(answer, admission.Issued):
        world.post(_model.Message('issued', number, token=answer.token))
    else:
        world.post(_model.Message('answer', number, outcome=answer.outcome))


def _on_issued(world: _model.World, message: _model.Message) -> None:
    send = world.sends[message.send]
    token = message.token
    if token is None or not send.side.take_token(token.request_id):
        return
    if send.request == 0:
        world.caller_token = token
    world.change(message.send, token=token.request_id)
    world.post(start_message(message.send, token))


def _on_start(world: _model.World, message: _model.Message) -> None:
    sidecar = world.own(message.sidecar)
    token = message.token
    if token is None:
        return
    name = token.request_id
    answer = sidecar.ledger.start(token, world.now)
    world.check_memory(sidecar, token, answer)
    if isinstance(answer, admission.Finished | admission.Refused):
        outcome = answer.outcome
        world.post(_model.Message('answer', message.send, outcome=outcome))
        return
    if isinstance(answer, admission.Admitted):
        sidecar.queued[name] = (token, message.send)
    waiting = sidecar.waiting.get(name, ())
    sidecar.waiting[name] = (*waiting, message.send)


def _on_answer(world: _model.World, message: _model.Message) -> None:
    if message.outcome is not None:
        world.tell(message.send, message.outcome)


def start_message(send: int, token: admission.AdmissionToken) -> _model.Message:
    """Return the message that starts a token at its sidecar."""
    return _model.Message('start', send, int(token.endpoint[1:]), token)
