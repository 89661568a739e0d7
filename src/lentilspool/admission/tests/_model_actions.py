"""Actions of the model: what callers, messages, processes and time do."""

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

TICK_S: Final = 15.0
_Choices = Iterator[tuple[str, _explorer.Action[_model.World]]]


def possible(world: _model.World) -> _Choices:
    """Return every action that is possible now."""
    for request in (0, 1):
        yield from _sends(world, request)
    for message in dict.fromkeys(world.messages):
        yield from _deliveries(world, message)
    for number in (0, 1):
        yield from _endpoint_steps(world, number)
    if world.faults_left and world.sends:
        yield 'time passes', _tick
        for act in (_stop_sidecar, _wake_sidecar, _stop_entry):
            for number in (0, 1):
                yield _named(act, number)


def _named(act: object, *arguments: object) -> tuple[str, functools.partial]:  # type: ignore[type-arg]
    words = ' '.join(_word(argument) for argument in arguments)
    name = act.__name__.strip('_')  # type: ignore[attr-defined]
    return f'{name} {words}', functools.partial(_apply, act, arguments)


def _word(argument: object) -> str:
    if isinstance(argument, _model.Message):
        return f'{argument.kind} of send {argument.send}'
    return str(argument)


def _apply(
    act: object, arguments: tuple[object, ...], world: _model.World
) -> _model.World:
    following = world.copy()
    act(following, *arguments)  # type: ignore[operator]
    return following


def _sends(world: _model.World, request: int) -> _Choices:
    repeated = any(send.request == request for send in world.sends)
    known = request == 1 or world.caller_token is not None
    if not world.sends_left[request] or (repeated and not known):
        return
    for entry in (0, 1) if repeated else (0,):
        yield _named(_send, request, entry)


def _deliveries(world: _model.World, message: _model.Message) -> _Choices:
    yield _named(_model_receivers.deliver, message)
    if world.faults_left:
        yield _named(_lose, message)
        yield _named(_deliver_twice, message)


def _endpoint_steps(world: _model.World, number: int) -> _Choices:
    sidecar = world.sidecars[number]
    for queued in sidecar.queued:
        yield _named(_model_endpoint.begin, number, queued)
        yield _named(_model_endpoint.withdraw, number, queued)
    for running in sidecar.running:
        yield _named(_model_endpoint.finish, number, running)


def _send(world: _model.World, request: int, entry: int) -> None:
    left = list(world.sends_left)
    left[request] -= 1
    world.sends_left = (left[0], left[1])
    number = len(world.sends)
    key = _model.KEY.request_id if request else ''
    token = None if request else world.caller_token
    if token is None:
        world.sends += (_model.Send(request, entry, key),)
        world.post(_model.Message('admit', number))
    else:
        world.sends += (_model.Send(request, entry, key, token.request_id),)
        world.post(_model_receivers.start_message(number, token))


def _deliver_twice(world: _model.World, message: _model.Message) -> None:
    world.faults_left -= 1
    _model_receivers.deliver(world, message)
    world.post(message)


def _lose(world: _model.World, message: _model.Message) -> None:
    """Lose a message; its entry moves the send or gives it up."""
    world.faults_left -= 1
    messages = list(world.messages)
    messages.remove(message)
    world.messages = tuple(messages)
    side = world.sends[message.send].side
    if message.kind == 'admit' and side.may_move:
        world.post(_model.Message('admit', message.send, 1))
        return
    outcome = side.give_up(
        kernel.NotRunReason.no_endpoint, kernel.UnknownReason.connection_lost
    )
    world.tell(message.send, outcome)


def _stop_sidecar(world: _model.World, number: int) -> None:
    """Replace a sidecar by one that knows nothing."""
    world.faults_left -= 1
    incarnation = world.sidecars[number].incarnation + 2
    world.sidecars[number] = test_sidecar_model.Sidecar(
        number, incarnation, world.now, world.made_of
    )


def _wake_sidecar(world: _model.World, number: int) -> None:
    """Let a sidecar wake from a pause."""
    world.faults_left -= 1
    sidecar = world.own(number)
    sidecar.ledger.on_pause()
    sidecar.home.on_pause(world.now, world.now)


def _stop_entry(world: _model.World, entry: int) -> None:
    """Lose an entry and what it knows; its callers hear nothing."""
    world.faults_left -= 1
    for number, send in enumerate(world.sends):
        if send.entry == entry and not send.ended:
            world.change(number, lost=True)
    world.drop_ignored()


def _tick(world: _model.World) -> _model.World:
    following = world.copy()
    following.faults_left -= 1
    following.now += TICK_S
    return following
