"""Actions of the model: sends, deliveries, calls, faults and time."""

import functools
from collections.abc import Iterator
from typing import Final

from lentilspool import kernel
from lentilspool.admission.tests import (
    _explorer,
    _model,
    _model_endpoint,
    _model_receivers,
    test_sidecar_model,
)

TIME_STEP_S: Final = 15.0
_NamedActions = Iterator[tuple[str, _explorer.Action[_model.ModelState]]]


def possible(state: _model.ModelState) -> _NamedActions:
    """Yield name and function of every action possible in a state."""
    for request in (0, 1):
        yield from _sends(state, request)
    for message in dict.fromkeys(state.messages):
        yield from _deliveries(state, message)
    for number in (0, 1):
        yield from _endpoint_steps(state, number)
    if state.faults_left and state.sends:
        yield 'time passes', _pass_time
        for action in (_stop_sidecar, _pause_sidecar, _stop_entry):
            for number in (0, 1):
                yield _named(action, number)


def _named(action: object, *arguments: object) -> tuple[str, functools.partial]:  # type: ignore[type-arg]
    described = ' '.join(_describe_argument(argument) for argument in arguments)
    name = action.__name__.strip('_')  # type: ignore[attr-defined]
    return f'{name} {described}', functools.partial(_apply, action, arguments)


def _describe_argument(argument: object) -> str:
    if isinstance(argument, _model.Message):
        return f'{argument.kind} of send {argument.send}'
    return str(argument)


def _apply(
    action: object, arguments: tuple[object, ...], state: _model.ModelState
) -> _model.ModelState:
    next_state = state.copy()
    action(next_state, *arguments)  # type: ignore[operator]
    return next_state


def _sends(state: _model.ModelState, request: int) -> _NamedActions:
    repeated = any(send.request == request for send in state.sends)
    known = request == 1 or state.caller_token is not None
    if not state.sends_left[request] or (repeated and not known):
        return
    for entry in (0, 1) if repeated else (0,):
        yield _named(_send, request, entry)


def _deliveries(
    state: _model.ModelState, message: _model.Message
) -> _NamedActions:
    yield _named(_model_receivers.deliver, message)
    if state.faults_left:
        yield _named(_lose_message, message)
        yield _named(_deliver_twice, message)


def _endpoint_steps(state: _model.ModelState, number: int) -> _NamedActions:
    sidecar = state.sidecars[number]
    for queued in sidecar.queued:
        yield _named(_model_endpoint.begin, number, queued)
        yield _named(_model_endpoint.withdraw, number, queued)
    for running in sidecar.running:
        yield _named(_model_endpoint.finish, number, running)


def _send(state: _model.ModelState, request: int, entry: int) -> None:
    left = list(state.sends_left)
    left[request] -= 1
    state.sends_left = (left[0], left[1])
    number = len(state.sends)
    key = _model.KEY.request_id if request else ''
    token = None if request else state.caller_token
    if token is None:
        state.sends += (_model.Send(request, entry, key),)
        state.send_message(_model.Message('admit', number))
    else:
        state.sends += (_model.Send(request, entry, key, token.request_id),)
        state.send_message(_model_receivers.start_message(number, token))


def _deliver_twice(state: _model.ModelState, message: _model.Message) -> None:
    state.faults_left -= 1
    _model_receivers.deliver(state, message)
    state.send_message(message)


def _lose_message(state: _model.ModelState, message: _model.Message) -> None:
    """Lose a message; its entry retries at sidecar 1 or gives up."""
    state.faults_left -= 1
    messages = list(state.messages)
    messages.remove(message)
    state.messages = tuple(messages)
    unrepeatable_send = state.sends[message.send].unrepeatable_send
    if message.kind == 'admit' and unrepeatable_send.may_use_other_endpoint:
        state.send_message(_model.Message('admit', message.send, 1))
        return
    outcome = unrepeatable_send.abandon(
        kernel.NotRunReason.no_endpoint, kernel.UnknownReason.connection_lost
    )
    state.report(message.send, outcome)


def _stop_sidecar(state: _model.ModelState, number: int) -> None:
    """Replace a sidecar by a new incarnation with an empty ledger."""
    state.faults_left -= 1
    incarnation = state.sidecars[number].incarnation + 2
    state.sidecars[number] = test_sidecar_model.Sidecar(
        number, incarnation, state.now, state.decisions
    )


def _pause_sidecar(state: _model.ModelState, number: int) -> None:
    """Let a sidecar resume after a pause."""
    state.faults_left -= 1
    sidecar = state.copy_sidecar_for_change(number)
    sidecar.ledger.on_pause()
    sidecar.home.on_pause(state.now, state.now)


def _stop_entry(state: _model.ModelState, entry: int) -> None:
    """Stop an entry; its callers get no outcome."""
    state.faults_left -= 1
    for number, send in enumerate(state.sends):
        if send.entry == entry and not send.ended:
            state.update_send(number, entry_stopped=True)
    state.drop_ignored()


def _pass_time(state: _model.ModelState) -> _model.ModelState:
    next_state = state.copy()
    next_state.faults_left -= 1
    next_state.now += TIME_STEP_S
    return next_state
