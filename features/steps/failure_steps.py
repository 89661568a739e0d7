"""Steps about failures that concern more than one request."""

import trio
from behave import given, then, when

from features.steps import delivery_steps

POISON = 'poison pill for the engine'
POLL_S = 0.05
MEMBER_LIMIT_S = 10
PATCH = {
    'number': 2,
    'against': 1,
    'author': 'operator',
    'merge': {'teams': {'artists': {'share': 2}}},
}


@given('a request whose content crashes a model endpoint')
def given_poison(context):
    _poison(context, 'model')


@given('a deposit whose content crashes a bookings endpoint')
def given_poisonous_deposit(context):
    _poison(context, 'bookings')


@when('the deposit is sent {count:d} times through alternating entries')
def when_deposit_sent(context, count):
    deposit = {'team': 'brides', 'input': {'subject': POISON}}
    for number in range(count):
        context.answers.append(
            context.loop.run(
                context.fleet.post,
                f'entry-{number % 2}',
                '/v1/pipelines/deposit/requests',
                deposit,
            )
        )


@when('it is sent {count:d} times through alternating entries')
def when_sent(context, count):
    for number in range(count):
        context.answers.append(
            context.loop.run(
                context.fleet.post,
                f'entry-{number % 2}',
                '/v1/pipelines/day-plan/requests',
                {'team': 'brides', 'input': {'text': POISON}},
            )
        )


@then('at most {count:d} endpoints of pool "{pool}" died')
def then_deaths(context, count, pool):
    assert 1 <= context.deaths <= count, context.deaths


@then('the last answer is refused as "{reason}"')
def then_refused(context, reason):
    plain = context.answers[-1].plain
    assert reason in plain['reason'], plain


@then('another day plan is complete')
def then_other(context):
    reply = context.loop.run(
        context.fleet.request, 'day-plan', 'brides', {'text': 'a fair day'}
    )
    assert reply.status == 200, reply


def _poison(context, pool):
    context.deaths = 0
    for place in context.fleet.places.values():
        if place.pool == pool:
            place.app.poison = POISON
            place.app.on_poison = _killer(context, place)


def _killer(context, place):
    def kill():
        context.deaths += 1
        place.kill_endpoint()

    return kill


@given('a patch is in force everywhere')
def given_patch(context):
    context.loop.call(context.fleet.configuration.publish, PATCH)
    context.loop.run(_await_version, context, 2, 6)


@given('the first sidecar of each pool is cut off')
def given_half_cut(context):
    context.cut = [
        place
        for name, place in context.fleet.places.items()
        if name.endswith('-0')
    ]
    for place in context.cut:
        context.loop.call(place.relay.block)


@when('a patch is published while {count:d} day plans are sent')
def when_patch_under_load(context, count):
    def publish():
        context.published_at = trio.current_time()
        context.fleet.configuration.publish(PATCH)

    context.answers = context.loop.run(
        delivery_steps.send_while, context.fleet, count, publish
    )


@when('a patch that removes a pool in use is published')
def when_bad_patch(context):
    patch = {**PATCH, 'merge': {'pools': {'model': None}}}
    context.loop.call(context.fleet.configuration.publish, patch)


@when('the configuration service is replaced by one with other patches')
def when_replaced(context):
    context.loop.call(_replace_history, context.fleet.configuration)


@when('{count:d} day plans are sent')
def when_plans(context, count):
    context.answers = context.loop.run(
        delivery_steps.send_while, context.fleet, count, lambda: None
    )


@then('every process holds version {version:d} within {limit:d} seconds')
def then_version(context, version, limit):
    context.loop.run(_await_version, context, version, limit)


@then('every process still holds version {version:d} after {wait:d} seconds')
def then_still(context, version, wait):
    context.loop.run(trio.sleep, wait)
    held = [
        fields['version']
        for fields in context.loop.call(_configurations, context)
    ]
    assert set(held) == {version}, held


@then('a process reports the fork')
def then_fork(context):
    held = context.loop.call(_configurations, context)
    assert any(fields['faults'] for fields in held), held


@then('every process refuses it within {limit:d} seconds and holds version 1')
def then_refuses(context, limit):
    context.loop.run(_await_refusal, context, limit)
    held = [
        fields['version']
        for fields in context.loop.call(_configurations, context)
    ]
    assert set(held) == {1}, held


@then('the cut sidecars get work again after they are reached')
def then_work_again(context):
    for place in context.cut:
        context.loop.call(place.relay.heal)
    context.loop.run(_await_members, context)


def _replace_history(service):
    service.rewind()
    for number in (2, 3):
        merge = {'teams': {f'team-{number}': {}}}
        service.publish(
            {**PATCH, 'number': number, 'against': number - 1, 'merge': merge}
        )


def _configurations(context):
    daemons = [daemon for daemon, _ in context.fleet.entries.values()]
    daemons += [place.sidecar for place in context.fleet.places.values()]
    return [daemon.dump()['configuration'] for daemon in daemons]


async def _await_version(context, version, limit):
    with trio.fail_after(limit):
        while any(
            fields['version'] != version for fields in _configurations(context)
        ):
            await trio.sleep(POLL_S)


async def _await_refusal(context, limit):
    with trio.fail_after(limit):
        while not all(
            any(not verdict['accepted'] for verdict in fields['verdicts'])
            for fields in _configurations(context)
        ):
            await trio.sleep(POLL_S)


async def _await_members(context):
    daemon, _port = context.fleet.entries['entry-0']
    wanted = {place.name for place in context.cut}
    with trio.fail_after(MEMBER_LIMIT_S):
        while True:
            pools = daemon.dump()['directory']['pools'].values()
            names = {name for pool in pools for name in pool['endpoints']}
            if wanted <= names:
                return
            await trio.sleep(POLL_S)


@given('every endpoint of pool "{pool}" has died and was noticed')
def given_pool_dead(context, pool):
    for place in context.fleet.places.values():
        if place.pool == pool:
            context.loop.call(place.kill_endpoint)
    for _ in range(4):
        context.loop.run(
            context.fleet.request, 'day-plan', 'brides', {'text': 'a'}
        )
    context.loop.run(trio.sleep, 1)
    context.encoded = context.loop.call(_encoded, context)


@then('every request is refused as not run')
def then_all_not_run(context):
    outcomes = {reply.plain['outcome'] for reply in context.answers}
    assert outcomes == {'NotRun'}, outcomes


@then('the encoders have run nothing')
def then_nothing_encoded(context):
    assert context.loop.call(_encoded, context) == context.encoded


def _encoded(context):
    return sum(
        place.app.calls
        for place in context.fleet.places.values()
        if place.pool == 'encoders'
    )
