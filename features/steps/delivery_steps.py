"""Steps about delivery, over real loopback sockets."""

import json

import trio
from behave import given, then, when

from standins import _fleet
from standins.tests import test_path

DEPOSIT = {'team': 'brides', 'input': {'subject': 'venue-1'}}
SLOW = {'slow': 100}
POLL_S = 0.005
LEASE_LIMIT_S = 15
SPACING_S = 0.03
MOST_OPEN = 8


@given(
    'a fleet with {entries:d} entries and {endpoints:d} endpoints in each pool'
)
def given_fleet(context, entries, endpoints):
    pools = test_path.DOCUMENT['pools']
    context.start_fleet(
        _fleet.Plan(
            document=test_path.DOCUMENT,
            endpoints=dict.fromkeys(pools, endpoints),
            texts=test_path.PLAN.texts,
            entries=entries,
        )
    )
    context.answers = []


@given('a token for a deposit')
def given_token(context):
    reply = context.loop.run(
        context.fleet.post, 'entry-0', '/v1/pipelines/deposit/tokens', DEPOSIT
    )
    assert reply.status == 201, reply
    context.token = reply.plain['token']


@given('the services are slow')
def given_slow(context):
    for place in _places(context, 'bookings'):
        context.loop.run(_apply, place, SLOW)


@given('the sidecars of pool "{pool}" are cut off')
def given_cut_off(context, pool):
    for place in _places(context, pool):
        context.loop.call(place.relay.block)
    context.loop.run(trio.sleep, 2.5)


@given('the configuration service is down')
def given_service_down(context):
    context.loop.call(context.fleet.configuration.set_mode, 'down')


@when('a bride asks for a day plan')
def when_day_plan(context):
    context.plans = 8


@when('endpoint "{name}" dies while it generates')
def when_endpoint_dies(context, name):
    context.answers = context.loop.run(
        _many, context.fleet, 'entry-0', context.plans, name
    )


@when('endpoint "{name}" dies only after the answers')
def when_dies_after(context, name):
    context.loop.run(_apply, context.fleet.places[name], {'die': True})


@when('the deposit is sent with its token through entry {index:d}')
def when_deposit(context, index):
    context.answers.append(_deposit(context, index))


@when('the sidecars of pool "{pool}" are replaced')
def when_replaced(context, pool):
    for place in _places(context, pool):
        context.loop.run(_replace, context.fleet, place)


@when(
    'the deposit is sent through entry {index:d} while its connection {fault}'
)
def when_connection_fault(context, index, fault):
    action = 'silence' if 'silent' in fault else 'cut'
    context.answers.append(
        context.loop.run(_deposit_with_fault, context, index, action)
    )


@when('a deposit is sent while every service dies')
def when_service_dies(context):
    context.answers.append(context.loop.run(_deposit_with_death, context))


@when('a deposit is sent')
def when_plain_deposit(context):
    context.answers.append(_post(context, 0, DEPOSIT, {}))


@when('another deposit is sent with that token')
def when_other_body(context):
    body = {'team': 'brides', 'input': {'subject': 'venue-2'}}
    headers = {'lentilspool-token': context.token}
    context.answers.append(_post(context, 0, body, headers))


@when('{count:d} day plans are sent while the sidecar "{name}" stops')
def when_sidecar_stops(context, count, name):
    sidecar = context.fleet.places[name].sidecar
    context.answers = context.loop.run(
        send_while, context.fleet, count, sidecar.request_stop, MOST_OPEN
    )


@when('{count:d} day plans are sent to entry {index:d} while it stops')
def when_entry_stops(context, count, index):
    daemon, _port = context.fleet.entries[f'entry-{index}']
    context.answers = context.loop.run(
        send_while, context.fleet, count, daemon.request_stop
    )


@when('a day plan is streamed while its endpoint dies')
def when_streamed(context):
    context.events = context.loop.run(_streamed, context.fleet)


@when('a sidecar for pool "{pool}" is added')
def when_added(context, pool):
    context.place = context.loop.run(
        context.fleet.add_place, pool, f'{pool}-new', 0
    )


@then('every day plan is whole and answers its own brief')
def then_whole(context):
    for number, reply in enumerate(context.answers):
        assert reply.status == 200, reply
        assert f'brief-{number} ' in reply.plain['answer']['text'], reply


@then('both answers are the same')
def then_same(context):
    first, second = context.answers
    assert first.status == second.status == 200, context.answers
    assert first.plain['answer'] == second.plain['answer']


@then('the deposit ran once')
def then_ran_once(context):
    assert _runs(context) == [1], _runs(context)


@then('no deposit ran twice')
def then_not_twice(context):
    assert all(runs <= 1 for runs in _runs(context))


@then('no deposit ran')
def then_none_ran(context):
    assert not _runs(context)


@then('the second answer is "{outcome}" with reason "{reason}"')
@then('the answer is "{outcome}" with reason "{reason}"')
def then_outcome_reason(context, outcome, reason):
    plain = context.answers[-1].plain
    assert (plain['outcome'], plain['reason']) == (outcome, reason), plain


@then('the answer is "{outcome}"')
def then_outcome(context, outcome):
    assert context.answers[-1].plain['outcome'] == outcome, context.answers


@then('the status is {status:d}')
def then_status(context, status):
    assert context.answers[-1].status == status, context.answers


@then('every request is complete')
def then_complete(context):
    wrong = [reply for reply in context.answers if reply.status != 200]
    assert not wrong, wrong


@then('the stream ends with the outcome "{outcome}"')
def then_stream_ends(context, outcome):
    name, fields = context.events[-1]
    assert name == 'outcome', context.events
    assert fields['outcome'] == outcome, context.events


@then('the text after the last restart is the whole answer')
def then_stream_text(context):
    names = [name for name, _ in context.events]
    assert 'restart' in names, names
    begin = len(names) - list(reversed(names)).index('restart')
    text = ''.join(
        fields['text']
        for name, fields in context.events[begin:]
        if name == 'token'
    )
    assert text == context.events[-1][1]['answer']['text']


@then('it takes part under the version of its peers')
def then_takes_part(context):
    context.loop.run(_await_version, context.place.sidecar)


def _places(context, pool):
    return [
        place for place in context.fleet.places.values() if place.pool == pool
    ]


def _runs(context):
    counts = {}
    for place in _places(context, 'bookings'):
        for subject, runs in place.app.executions.items():
            counts[subject] = counts.get(subject, 0) + runs
    return list(counts.values())


def _post(context, index, body, headers):
    return context.loop.run(
        context.fleet.post,
        f'entry-{index}',
        '/v1/pipelines/deposit/requests',
        body,
        headers,
    )


def _deposit(context, index):
    return _post(context, index, DEPOSIT, {'lentilspool-token': context.token})


async def _apply(place, order):
    place.faults.apply(order)


async def _replace(fleet, place):
    place.sidecar.kill()
    await trio.sleep(0.1)
    await fleet.start_sidecar(place)
    incarnation = place.sidecar.dump()['identity']['incarnation']
    with trio.fail_after(LEASE_LIMIT_S):
        while not all(
            _held_incarnation(daemon, place.name) == incarnation
            for daemon, _port in fleet.entries.values()
        ):
            await trio.sleep(POLL_S)


def _held_incarnation(daemon, name):
    leases = daemon.dump()['directory']['members']['leases']
    return leases.get(name, {}).get('incarnation')


async def _collect(fleet, entry, number, answers):
    fields = {'text': f'brief-{number} bridal trial in Ljubljana'}
    path = '/v1/pipelines/day-plan/requests'
    body = {'team': 'brides', 'input': fields}
    answers[number] = await fleet.post(entry, path, body)


async def _many(fleet, entry, count, victim):
    answers = {}
    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(_collect, fleet, entry, number, answers)
        await trio.sleep(0.045)
        fleet.places[victim].faults.apply({'die': True})
    return [answers[number] for number in range(count)]


async def send_while(fleet, count, action, most_open=None):
    async def one(number):
        await _collect(fleet, 'entry-0', number, answers)
        room.release()

    # A starved machine gets its requests more slowly: a fleet in one process
    # that falls behind would let deadlines pass, whether it stops or not.
    room = trio.Semaphore(most_open or count)
    answers = {}
    async with trio.open_nursery() as nursery:
        for number in range(count):
            await room.acquire()
            nursery.start_soon(one, number)
            await trio.sleep(SPACING_S)
            if number == count // 2:
                action()
    return list(answers.values())


async def _during_deposit(context, index, action):
    replies = []
    headers = {}
    if 'token' in context:
        headers['lentilspool-token'] = context.token

    async def send():
        replies.append(
            await context.fleet.post(
                f'entry-{index}',
                '/v1/pipelines/deposit/requests',
                DEPOSIT,
                headers,
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        while not _runs(context):
            await trio.sleep(POLL_S)
        action()
    return replies[0]


async def _deposit_with_fault(context, index, fault):
    def act():
        for place in _places(context, 'bookings'):
            getattr(place.relay, fault)()

    return await _during_deposit(context, index, act)


async def _deposit_with_death(context):
    def act():
        for place in _places(context, 'bookings'):
            place.faults.apply({'die': True})

    return await _during_deposit(context, 0, act)


async def _streamed(fleet):
    replies = []

    async def send():
        replies.append(
            await fleet.post(
                'entry-0',
                '/v1/pipelines/day-plan/requests',
                {'team': 'brides', 'input': {'text': 'one two three four'}},
                {'accept': 'text/event-stream'},
            )
        )

    for place in fleet.places.values():
        if place.pool == 'model':
            place.faults.apply({'slow': 5})
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        while not _kill_busy(fleet):
            await trio.sleep(POLL_S)
    return _events(replies[0].body)


def _kill_busy(fleet):
    """Kill the endpoint that has begun to generate; tell whether one has."""
    for place in fleet.places.values():
        if place.pool == 'model' and place.app.generated_tokens > 2:
            place.faults.apply({'die': True})
            return True
    return False


def _events(body):
    events = []
    for block in body.decode().split('\n\n'):
        if block:
            name, fields = block.split('\n')
            plain = json.loads(fields.removeprefix('data: '))
            events.append((name.removeprefix('event: '), plain))
    return events


async def _await_version(daemon):
    with trio.fail_after(8):
        while not daemon.dump()['configuration']['ready']:
            await trio.sleep(0.05)
    assert daemon.dump()['configuration']['version'] == 1


@when('the sidecars of pool "{pool}" become unreachable')
def when_unreachable(context, pool):
    given_cut_off(context, pool)


@given('one service has died')
def given_service_dead(context):
    context.loop.call(context.fleet.places['bookings-0'].kill_endpoint)


@when('{count:d} deposits are sent')
def when_deposits(context, count):
    context.answers = [
        _post(
            context,
            0,
            {'team': 'brides', 'input': {'subject': f'venue-{number}'}},
            {},
        )
        for number in range(count)
    ]
