"""Steps about requests that crash endpoints, in virtual time."""

from behave import given, then, when

from lentilspool import admission

_SECONDS_PER_MINUTE = 60


def _share(context):
    for source in context.entries:
        texts = [
            admission.encode_suspicion(held)
            for held in source.suspicions_to_share(context.now)
        ]
        for target in context.entries:
            target.merge(map(admission.decode_suspicion, texts), context.now)


def _decisions(context, draft):
    return [entry.decide(draft, context.now) for entry in context.entries]


@given('three entries that share their suspicions')
def given_entries(context):
    context.now = 0
    context.entries = [admission.Quarantine() for _ in range(3)]


@when('endpoint "{name}" dies with a crashing draft and a harmless draft')
def when_dies(context, name):
    context.entries[0].record_endpoint_death(
        f'{name}@1', ['crashing', 'harmless'], context.now
    )
    _share(context)


@when('endpoint "{name}" dies with the crashing draft alone')
def when_dies_alone(context, name):
    context.now += 1
    context.entries[1].record_endpoint_death(
        f'{name}@1', ['crashing'], context.now
    )
    _share(context)


@when('the harmless draft completes')
def when_completes(context):
    context.now += 1
    assert context.entries[2].clear_completed('harmless', context.now)
    _share(context)


@when('{minutes:d} minutes pass')
def when_minutes_pass(context, minutes):
    context.now += minutes * _SECONDS_PER_MINUTE


@then('both drafts run alone from now on')
def then_alone(context):
    for draft in ('crashing', 'harmless'):
        for decision in _decisions(context, draft):
            assert isinstance(decision, admission.RunAlone)


@then('every entry refuses the crashing draft as "{reason}"')
def then_refused(context, reason):
    for decision in _decisions(context, 'crashing'):
        assert isinstance(decision, admission.Quarantined)
        assert decision.outcome.reason.value == reason
        assert decision.outcome.retry_after_s > 0


@then('every entry runs the {draft} draft freely')
def then_free(context, draft):
    for decision in _decisions(context, draft):
        assert decision == admission.RunFreely()
