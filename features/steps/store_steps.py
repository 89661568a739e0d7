"""Steps about a store that comes back from an older copy, with real gateways."""

import pathlib
import random

import trio
from behave import given, then, when

from soak import _callers, _faults, _findings, _gateways

_GATEWAYS = 3
_START_S = 15.0
_AWAY_S = 0.3
# Time after which the operator and the endpoints write again.
_WRITE_AGAIN_S = 1.2
_OK = 200
_MARGIN_S = 0.001
_LOG_CHARACTERS = 2000


async def _start(context):
    context.findings = _findings.Findings()
    world = _faults.World(
        context.findings, random.Random(1), context.loop.nursery
    )
    context.world = world
    await world.start()
    folder = pathlib.Path(context.folder)
    for index in range(_GATEWAYS):
        port = world.store.server.port
        world.gateways.append(_gateways.Gateway(f'g{index}', folder, port))
    for gateway in world.gateways:
        gateway.configure(tuple(one.peers for one in world.gateways))
        context.loop.nursery.start_soon(gateway.store_way.serve)
        context.loop.nursery.start_soon(gateway.serve)
    try:
        await _served(context, 'again', _START_S)
    except trio.TooSlowError as error:
        raise AssertionError(_state_of(world.gateways, folder)) from error


def _state_of(gateways, folder):
    """Return how often each gateway was started, and the end of its log."""
    return {
        gateway.name: (
            gateway.starts,
            (folder / f'{gateway.name}.log').read_text()[-_LOG_CHARACTERS:],
        )
        for gateway in gateways
    }


async def _served(context, route, seconds):
    """Wait until every gateway serves a route."""
    with trio.fail_after(seconds):
        while set(await _statuses(context, route)) != {_OK}:
            await trio.sleep(0.05)


async def _statuses(context, route):
    context.calls += 1
    statuses = []
    for number, gateway in enumerate(context.world.gateways):
        caller = _callers.Caller(
            context.calls * _GATEWAYS + number,
            [gateway],
            context.findings,
            random.Random(number),
        )
        try:
            statuses.append(await caller.status_of(route))
        except OSError:
            statuses.append(0)
    return statuses


async def _publish(context, route):
    context.changed_at = trio.current_time()
    context.world.store.publish(int(route.removeprefix('new')) + 1)


async def _replace(context):
    world = context.world
    context.left = [one for one in world.endpoints if one.service == 'desk']
    context.changed_at = trio.current_time()
    for endpoint in context.left:
        await world.add('desk', endpoint.version)
    for endpoint in context.left:
        world.endpoints.remove(endpoint)
        world.gone.append(endpoint)
        world.store.drop_endpoint(endpoint)
    await trio.sleep(0.5)


async def _restore(context):
    store = context.world.store
    await store.leave(_AWAY_S)
    store.restore(trio.current_time() - context.changed_at - _MARGIN_S)
    context.restored_at = trio.current_time()


async def _goes_on(context, route):
    """Ask until some time after the writers have written again."""
    seen = set()
    with trio.move_on_after(_WRITE_AGAIN_S):
        while True:
            seen.update(await _statuses(context, route))
            await trio.sleep(0.05)
    context.world.write_again()
    with trio.move_on_after(2 * _WRITE_AGAIN_S):
        while True:
            seen.update(await _statuses(context, route))
            await trio.sleep(0.05)
    assert seen == {_OK}, seen


@given('three gateways over a store')
def given_gateways(context):
    context.calls = 0
    context.loop.run(_start, context)


@given('route "{route}" is published')
def given_route(context, route):
    context.loop.run(_publish, context, route)
    context.loop.run(_served, context, route, 5)


@given('all endpoints of the plain service are replaced')
def given_replaced(context):
    context.loop.run(_replace, context)


@when('the store comes back from the copy before the last change')
def when_restored(context):
    context.loop.run(_restore, context)


@when('route "{route}" is published')
def when_published(context, route):
    context.loop.run(_publish, context, route)


@then('every gateway goes on serving route "{route}"')
def then_goes_on(context, route):
    context.loop.run(_goes_on, context, route)


@then('every gateway serves route "{route}" within {seconds:d} seconds')
def then_served(context, route, seconds):
    context.loop.run(_served, context, route, seconds)


@then('no call reaches an endpoint that has left')
def then_none_left(context):
    late = [
        one.name
        for one in context.left
        if context.findings.last_run_at.get(one.name, 0) > context.restored_at
    ]
    assert not late, late
