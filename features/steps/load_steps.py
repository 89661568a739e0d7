"""Steps about admission, fair queues and spend, in virtual time."""

from behave import given, then, when

from lentilspool import kernel, limits

_DAY_S = 24 * 3600
_FAR = 1e6


def _offer(context, name, work_s, now=0, may_wait=False):
    estimates = (
        limits.StageEstimate('encoding', 'encode', 0.1, 0.1),
        limits.StageEstimate('generation', 'draft', work_s, work_s),
    )
    request = limits.AdmissionRequest(
        name, 'clachan', now + context.deadline_s, estimates, may_wait
    )
    return context.policy.decide(request, context.loads, now)


def _queue(context, call_id, team, **fields):
    call = limits.QueuedCall(
        call_id, team, 1, fields.pop('deadline', _FAR), **fields
    )
    assert not context.queue.offer(call, 0)


def _ids(context, count, now=0):
    taken = [context.queue.take(now).call for _ in range(count)]
    return [call.call_id for call in taken]


@given('a drafting pool of {slots:d} slots with a deadline of {due:d} seconds')
def given_pool(context, slots, due):
    context.policy = limits.AdmissionControl()
    context.loads = {
        'encode': limits.PoolLoad(slots=100),
        'draft': limits.PoolLoad(slots=slots),
    }
    context.slots = slots
    context.deadline_s = due
    context.now = 0


@given(
    'hearings of {work_s:g} seconds arrive at {factor:d} times '
    "the pool's capacity for {length:d} seconds"
)
def given_burst(context, work_s, factor, length):
    rate = factor * context.slots / work_s
    running = []
    for number in range(int(rate * length)):
        context.now = number / rate
        while running and running[0][0] <= context.now:
            context.policy.forget(running.pop(0)[1])
        name = f'hearing {number}'
        admitted = _offer(context, name, work_s, context.now)
        if isinstance(admitted, limits.Admit):
            running.append((admitted.finish, name))


@when('{count:d} hearings of {work_s:g} seconds each arrive at once')
def when_hearings(context, count, work_s):
    context.decisions = [
        _offer(context, f'hearing {number}', work_s) for number in range(count)
    ]


@when('an order-status query of {work_s:g} seconds arrives')
def when_query(context, work_s):
    context.decision = _offer(context, 'query', work_s, context.now)


@when('a hearing that may wait arrives')
def when_waiting(context):
    context.decision = _offer(context, 'waiting', 2, may_wait=True)


@when('a hearing is admitted and its first stage takes {late_s:d} seconds')
def when_late(context, late_s):
    assert isinstance(_offer(context, 'late', 2), limits.Admit)
    context.policy.stage_done('late', 'encoding', late_s)
    context.decision = context.policy.recheck('late', context.loads, late_s)


@then('at most {count:d} hearings are admitted')
def then_at_most(context, count):
    admitted = [
        one for one in context.decisions if isinstance(one, limits.Admit)
    ]
    assert 0 < len(admitted) <= count


@then('every other hearing is not run, with a time to come back')
def then_not_run(context):
    for one in context.decisions:
        if not isinstance(one, limits.Admit):
            assert isinstance(one, kernel.NotRun)
            assert one.retry_after_s > 0


@then('the query is admitted')
def then_admitted(context):
    assert isinstance(context.decision, limits.Admit)


@then('the hearing is accepted to wait')
def then_waits(context):
    assert isinstance(context.decision, limits.AdmitWaiting)


@then('the hearing is given up at once, with a time to come back')
def then_given_up(context):
    assert isinstance(context.decision, limits.GiveUp)
    assert context.decision.retry_after_s > 0


@given('a sidecar of the lookup pool that holds {count:d} calls of one team')
def given_sidecar(context, count):
    context.queue = limits.StageQueue(2 * count)
    for call_id in range(count):
        _queue(context, call_id, 'rush')
    _ids(context, count // 10)


@given('a day plan that may wait has been queued for {wait_s:d} seconds')
def given_day_plan(context, wait_s):
    _queue(context, _DAY_S, 'plans', urgency=limits.Urgency.may_wait)
    context.now = wait_s


@given('a sidecar of the lookup pool with a lookup due in {due:d} second')
def given_due(context, due):
    context.queue = limits.StageQueue(8)
    _queue(context, 0, 'bride', deadline=due)


@when('another team sends {count:d} lookups')
def when_others(context, count):
    context.sent = list(range(_DAY_S, _DAY_S + count))
    for call_id in context.sent:
        _queue(context, call_id, 'small')


@when('{count:d} calls are started')
def when_started(context, count):
    context.started = _ids(context, count, context.now)


@when('the next call is started after {wait_s:d} seconds')
def when_next(context, wait_s):
    context.taken = context.queue.take(wait_s)


@then('the {count:d} lookups are the next to start')
def then_next(context, count):
    assert _ids(context, count) == context.sent


@then('the day plan is among them')
def then_day_plan(context):
    assert _DAY_S in context.started


@then('the lookup was not run')
def then_lookup(context):
    outcome = context.taken.dropped[0].outcome
    assert isinstance(outcome, kernel.NotRun)
    assert outcome.reason is kernel.NotRunReason.deadline


@then('nothing is started')
def then_nothing(context):
    assert context.taken.call is None


@given('credits of {amount:d} that expire in {days:d} days')
def given_credits(context, amount, days):
    held = limits.Credits(amount, 0, days * _DAY_S)
    context.held = held
    context.pacer = limits.SpendPacer({'provider': held})


@when('more is asked of the provider every hour than it can pay for')
def when_asked(context):
    context.by_day = {}
    for hour in range(int(context.held.expires // 3600)):
        now = hour * 3600
        while context.pacer.allow('provider', 0.1, now):
            context.pacer.record('provider', 0.1, now)
            day = now // _DAY_S
            context.by_day[day] = context.by_day.get(day, 0) + 0.1


@then('nothing is refused for want of credits before the last day')
def then_lasts(context):
    assert len(context.by_day) == context.held.expires // _DAY_S


@then('at most {share:d} percent of the credits are unused at the end')
def then_used(context, share):
    spent = sum(context.by_day.values())
    assert spent <= context.held.amount
    assert spent >= context.held.amount * (1 - share / 100)


@given('a request whose generation was tried twice')
def given_twice(context):
    ledger = limits.CostLedger()
    for stage in ('encoding', 'generation', 'generation'):
        ledger.add('request', 'team', kernel.StageCost(stage, 'p', 1, 1))
    context.costs = ledger.pop_request('request')


@then('its costs name each stage once, with both attempts')
def then_costs(context):
    assert [(one.stage, one.attempts) for one in context.costs] == [
        ('encoding', 1),
        ('generation', 2),
    ]
