"""Steps about orders to engines."""

import itertools

import trio
from behave import given, then, when

from standins import _fleet

LIMIT_S = 60
POLL_S = 0.02
MOST_OPEN = 6
SPACING_S = 0.03
WORDS = 60
ENGINES = 'model'


def document(fencing):
    return {
        'pipelines': {
            'answer': {
                'stages': [
                    {
                        'name': 'generate',
                        'pool': ENGINES,
                        'max_output_tokens': WORDS,
                    }
                ]
            }
        },
        'pools': {
            ENGINES: {
                'kind': 'engine',
                'fencing': fencing,
                'model': 'ljubljana-7b',
                'model_version': '1',
            }
        },
        'teams': {'brides': {}},
        'policies': {
            'parameters': {
                'weight_store_loads_per_s': 10,
                'order_settle_s': 6,
            }
        },
    }


@given('a fleet with {count:d} engines whose fencing is "{fencing}"')
def given_engines(context, count, fencing):
    context.start_fleet(
        _fleet.Plan(document=document(fencing), endpoints={ENGINES: count})
    )
    for place in context.fleet.places.values():
        place.app.checks_fencing = fencing == 'checked'
    context.published = 1


@given(
    'engines that load for {load:d} second and answer {answer:d} second later'
)
def given_slow(context, load, answer):
    for place in context.fleet.places.values():
        place.app.load_s = load
        place.app.answer_s = answer


@given('every engine has loaded version "{version}"')
def given_loaded(context, version):
    context.loop.run(_await_loaded, context.fleet, version)


@when('version "{version}" is published and no requests are sent')
def when_published_alone(context, version):
    context.loop.run(_roll_alone, context, version)


@given('every engine holds version "{version}"')
@then('every engine holds version "{version}"')
def every_engine_holds(context, version):
    places = tuple(context.fleet.places.values())
    context.loop.run(_await_versions, places, version)


@when('version "{version}" is published while requests go on')
def when_rolled(context, version):
    context.replies = context.loop.run(_roll, context, version)


@when('version "{version}" is published and sidecar "{name}" is replaced')
def when_replaced(context, version, name):
    _publish(context, version)
    place = context.fleet.places[name]
    context.loop.run(_replace, context.fleet, place)


@when('version "{version}" is published')
def when_published(context, version):
    _publish(context, version)


@when('a late order for version "{version}" reaches engine "{name}"')
def when_late(context, version, name):
    context.loop.run(_send_late, context.fleet.places[name], version)


@then('at most {count:d} engine was out of service at a time')
def then_out(context, count):
    assert 1 <= context.most_loading <= count, context.most_loading


@then('every request was answered in full')
def then_answered(context):
    wrong = [reply for reply in context.replies if reply.status != 200]
    assert context.replies
    assert not wrong, wrong[:3]


@then('no completion was cut off by an order')
def then_not_cut_off(context):
    places = context.fleet.places.values()
    assert not sum(place.app.cut_off for place in places)


@then('engine "{name}" was never given version "{version}"')
def then_never(context, name, version):
    place = context.fleet.places[name]
    assert _version(place) != version
    assert place.app.orders == 1, place.app.orders


@then('engine "{name}" is given version "{version}" again')
def then_again(context, name, version):
    place = context.fleet.places[name]
    assert _version(place) != version
    context.loop.run(_await_versions, (place,), version)


def _version(place):
    return place.app.state.get('model_version')


def _publish(context, version):
    context.loop.call(
        context.fleet.configuration.publish, _patch(context, version)
    )


def _patch(context, version):
    context.published += 1
    return {
        'number': context.published,
        'against': context.published - 1,
        'author': 'ana',
        'merge': {'pools': {ENGINES: {'model_version': version}}},
    }


async def _await_versions(places, version):
    """Wait until engines hold a version and their sidecars know it."""
    with trio.move_on_after(LIMIT_S):
        while not all(_is_settled(place, version) for place in places):
            await trio.sleep(POLL_S)
    held = {
        place.name: (_version(place), place.sidecar.dump()['orders'])
        for place in places
    }
    assert all(_is_settled(place, version) for place in places), held


def _is_settled(place, version):
    known = place.sidecar.dump()['orders']
    return (
        _version(place) == version
        and known.get('model_version') == version
        and known['settled']
        and not known['busy']
    )


async def _await_loaded(fleet, version):
    """Wait until engines hold a version, whatever their sidecars know."""
    with trio.fail_after(LIMIT_S):
        while any(
            _version(place) != version for place in fleet.places.values()
        ):
            await trio.sleep(POLL_S)


async def _roll_alone(context, version):
    fleet = context.fleet
    context.most_loading = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch, context)
        fleet.configuration.publish(_patch(context, version))
        await _await_versions(tuple(fleet.places.values()), version)
        nursery.cancel_scope.cancel()


async def _roll(context, version):
    replies = []
    fleet = context.fleet
    context.most_loading = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_ask, fleet, replies, nursery)
        nursery.start_soon(_watch, context)
        fleet.configuration.publish(_patch(context, version))
        await _await_versions(tuple(fleet.places.values()), version)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    return replies


async def _ask(fleet, replies, nursery):
    async def one(number):
        words = itertools.repeat(f'bride-{number}', WORDS)
        fields = {'text': ' '.join(words)}
        replies.append(await fleet.request('answer', 'brides', fields))
        room.release()

    # A slow machine gets its requests more slowly, so that admission does
    # not refuse what the machine, not the roll, cannot serve.
    room = trio.Semaphore(MOST_OPEN)
    for number in range(int(LIMIT_S / SPACING_S)):
        await room.acquire()
        nursery.start_soon(one, number)
        await trio.sleep(SPACING_S)


async def _watch(context):
    while True:
        places = context.fleet.places.values()
        loading = sum(place.app.loading for place in places)
        context.most_loading = max(context.most_loading, loading)
        await trio.sleep(POLL_S)


async def _replace(fleet, place):
    await trio.sleep(0.5)
    place.sidecar.kill()
    await trio.sleep(0.1)
    await fleet.start_sidecar(place)


async def _send_late(place, version):
    state = {'model_version': version}
    await place.app.take_order({'fence': [0, 1, 1], 'state': state})
