"""Steps about failures that concern more than one request."""

from behave import given, then, when

POISON = 'poison pill for the engine'


@given('a request whose content crashes a model endpoint')
def given_poison(context):
    context.deaths = 0
    for place in context.fleet.places.values():
        if place.pool == 'model':
            place.app.poison = POISON
            place.app.on_poison = _killer(context, place)


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


def _killer(context, place):
    def kill():
        context.deaths += 1
        place.kill_endpoint()

    return kill
