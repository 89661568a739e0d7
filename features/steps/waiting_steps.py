"""Steps about requests that may wait."""

import trio
from behave import given, then, when

COLLECT_LIMIT_S = 25
POLL_S = 0.1
ENGINE_SLOW = 30


@given('the engines are slow')
def given_slow_engines(context):
    for place in context.fleet.places.values():
        if place.pool == 'model':
            context.loop.call(place.faults.apply, {'slow': ENGINE_SLOW})


@when('a draft that may wait is sent to entry {index:d}')
def when_draft(context, index):
    reply = context.loop.run(
        context.fleet.post,
        f'entry-{index}',
        '/v1/pipelines/draft/requests',
        {
            'team': 'brides',
            'input': {'text': 'a long draft'},
            'may_wait': True,
        },
    )
    assert reply.status == 202, reply
    context.token = reply.plain['token']


@when('entry {index:d} dies')
def when_entry_dies(context, index):
    context.loop.call(context.fleet.entries[f'entry-{index}'][0].kill)


@when('entry {index:d} stops as planned')
def when_entry_stops(context, index):
    context.loop.call(context.fleet.entries[f'entry-{index}'][0].request_stop)


@when('the sidecars of pool "{pool}" are reached again')
def when_reached(context, pool):
    for place in context.fleet.places.values():
        if place.pool == pool:
            context.loop.call(place.relay.heal)


@then('it is accepted')
def then_accepted(context):
    assert context.token.startswith('wait~')


@then('its answer is collected through entry {index:d}')
def then_collected(context, index):
    reply = context.loop.run(_collect, context, f'entry-{index}')
    assert reply.plain['outcome'] == 'Complete', reply
    assert 'a long draft' in reply.plain['answer']['text'], reply


async def _collect(context, entry):
    with trio.fail_after(COLLECT_LIMIT_S):
        while True:
            reply = await context.fleet.get(
                entry, f'/v1/requests/{context.token}'
            )
            if 'outcome' in reply.plain and reply.status == 200:
                return reply
            assert reply.plain.get('outcome') in {None, 'Unknown'}, reply
            await trio.sleep(POLL_S)


@then('the engines have run it once')
def then_run_once(context):
    places = context.fleet.places.values()
    runs = [place.app.completions for place in places if place.pool == 'model']
    assert sum(runs) == 1, runs
