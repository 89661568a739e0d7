"""Steps of the model's endpoints."""

from lentilspool import admission, kernel
from lentilspool.admission.tests import _model, test_sidecar_model


def begin(world: _model.World, number: int, name: str) -> None:
    """Begin the call of the endpoint for a queued request."""
    sidecar = world.own(number)
    token, send = sidecar.queued.pop(name)
    if sidecar.ledger.begin_call(token, world.now):
        sidecar.running[name] = token
        world.count_run(send)
    else:
        _answer_waiting(world, sidecar, token)


def finish(world: _model.World, number: int, name: str) -> None:
    """End the call of the endpoint with the request's answer."""
    sidecar = world.own(number)
    token = sidecar.running.pop(name)
    sidecar.ledger.finish(token, kernel.Complete(name.encode()))
    _answer_waiting(world, sidecar, token)


def withdraw(world: _model.World, number: int, name: str) -> None:
    """Refuse a queued request for want of capacity."""
    sidecar = world.own(number)
    token, _ = sidecar.queued.pop(name)
    sidecar.ledger.withdraw(token, kernel.NotRunReason.overloaded, world.now)
    _answer_waiting(world, sidecar, token)


def _answer_waiting(
    world: _model.World,
    sidecar: test_sidecar_model.Sidecar,
    token: admission.AdmissionToken,
) -> None:
    answer = sidecar.ledger.start(token, world.now)
    if isinstance(answer, admission.Finished | admission.Refused):
        for send in sidecar.waiting.pop(token.request_id, ()):
            outcome = answer.outcome
            world.post(_model.Message('answer', send, outcome=outcome))
