"""Steps about the choice of endpoints and about retries, in virtual time."""

import random

from behave import given, then, when

from lentilspool import kernel, retries, routing

_HEARING = tuple(range(40))
_BLOCK_TOKENS = 64
_BROKEN = kernel.Unknown('t', kernel.UnknownReason.connection_lost)
_LEAVING = kernel.NotRun(kernel.NotRunReason.draining)
_FAILED = kernel.Failed('retrieve', 'error')


def _after(outcome, budget, repeatable):
    attempt = retries.Attempt(
        outcome=outcome,
        stage='retrieve',
        repeatable=repeatable,
        number=1,
        remaining_s=5,
        expected_s=0.1,
    )
    return retries.decide_retry(
        attempt, budget, retries.Backoff(), 0, random.Random(1)
    )


@given('a drafting pool of {count:d} runners')
def given_pool(context, count):
    context.rng = random.Random(1)
    names = [str(number) for number in range(count)]
    context.endpoints = routing.EndpointTable()
    context.endpoints.set_endpoints(
        routing.Candidate(name=name) for name in names
    )
    context.index = routing.PrefixIndex()
    context.ejection = retries.OutlierEjection()
    context.ejection.set_endpoints(names)


@given('runner {name} was sent the same hearing before')
def given_cached(context, name):
    context.index.expect_cached(name, _HEARING, 0)


@given('runner {name} has {count:d} calls in flight')
def given_busy(context, name, count):
    context.endpoints.add_work(name, count)


@when('a draft of the hearing is routed {count:d} times')
def when_routed(context, count):
    depths = context.index.cached_block_counts(_HEARING, 1)
    request = routing.RoutingRequest(
        prompt_tokens=len(_HEARING) * _BLOCK_TOKENS,
        cached_tokens={
            name: depth * _BLOCK_TOKENS for name, depth in depths.items()
        },
    )
    policy = routing.DefaultPolicy()
    context.chosen = [
        policy.choose(
            request, context.endpoints.candidates, 1, context.rng
        ).endpoint
        for _ in range(count)
    ]


@then('every draft goes to runner {name}')
def then_all(context, name):
    assert set(context.chosen) == {name}, context.chosen


@then('no draft goes to runner {name}')
def then_none(context, name):
    assert name not in context.chosen, context.chosen


def _end(context, name, succeeded):
    context.ejection.record(
        name,
        succeeded=succeeded,
        latency_s=0.1,
        now=0,
        rng=context.rng,
    )


@when('runner {name} fails while the others work')
def when_one_fails(context, name):
    for _ in range(20):
        for candidate in context.endpoints.candidates:
            _end(context, candidate.name, candidate.name != name)


@when('all runners fail')
def when_all_fail(context):
    for _ in range(50):
        for candidate in context.endpoints.candidates:
            _end(context, candidate.name, succeeded=False)


@then('runner {name} is ejected')
def then_ejected(context, name):
    assert context.ejection.ejected(0.1) == (name,)


@then('runner {name} gets work again after {seconds:d} seconds')
def then_back(context, name, seconds):
    assert not context.ejection.ejection_status(name, seconds).ejected


@then('at most {count:d} runners are ejected')
def then_capped(context, count):
    assert len(context.ejection.ejected(0.1)) <= count


@given('a retry budget that earned nothing lately')
def given_budget(context):
    context.budget = retries.RetryBudget()


@when('{count:d} lookups fail')
def when_lookups_fail(context, count):
    context.after = [
        _after(_FAILED, context.budget, repeatable=True) for _ in range(count)
    ]


@then('at most {count:d} lookup is retried')
def then_few_retries(context, count):
    retried = [
        step for step in context.after if isinstance(step, retries.Retry)
    ]
    assert len(retried) <= count


@then('every other caller is told when to come back')
def then_told(context):
    given_up = [
        step for step in context.after if isinstance(step, retries.GiveUp)
    ]
    assert given_up
    assert all(step.outcome.retry_after_s > 0 for step in given_up)


@when('a deposit ends as unknown')
def when_unknown(context):
    context.step = _after(_BROKEN, retries.RetryBudget(), repeatable=False)


@then('the deposit is given up as unknown')
def then_unknown(context):
    assert context.step == retries.GiveUp(_BROKEN)


@when('a deposit is refused by a leaving sidecar')
def when_refused(context):
    context.step = _after(_LEAVING, retries.RetryBudget(), repeatable=False)


@then('the deposit is tried again at once')
def then_retried(context):
    assert context.step == retries.Retry(0)


@given('a connection to the order desk that falls silent with a call open')
def given_silent(context):
    context.health = retries.ConnectionHealth()
    context.health.opened(1, 0)
    context.health.sent(1, 0)


@when('{seconds:d} seconds pass')
def when_time_passes(context, seconds):
    context.now = seconds
    context.retired = ()
    context.judged = False
    for tick in range(seconds * 10):
        now = tick / 10
        for number in context.health.connections_to_probe(now):
            context.health.probed(number, now)
        found = context.health.check(now)
        context.retired += found.connections
        context.judged |= found.endpoint_silent


@then('the connection is retired')
def then_retired(context):
    assert context.retired == (1,)


@then('the order desk is not judged as failing')
def then_not_judged(context):
    assert not context.judged


@then('new work opens a new connection')
def then_new(context):
    assert context.health.choose(context.now) == retries.OpenConnection()
