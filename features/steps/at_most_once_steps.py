"""Steps about requests that run at most once, in virtual time."""

import math

from behave import given, then, when

from lentilspool import admission, kernel

_RECEIPT = kernel.Complete(b'{"receipt": 1}')
_RULES = admission.KeyRules()
_LIMITS = admission.LedgerLimits(max_entries=3)
_HOME = 'bookings:1'
_POOL = 'bookings'
_NOON_S = 50_000
_SLOTS = admission.KeySlots(
    (admission.SlotTable(_POOL, 0, math.inf, (_HOME,)),)
)


def _replace_sidecar(context):
    context.incarnation = getattr(context, 'incarnation', 0) + 1
    context.ledger = admission.Ledger(
        _HOME, context.incarnation, lambda token: token.request_id, _LIMITS
    )
    new_key_check = admission.NewKeyCheck(_RULES, context.now, context.now)
    context.home = admission.KeyHome(
        _HOME, _POOL, context.ledger, new_key_check
    )


def _send_token(context):
    answer = context.ledger.start(context.token, context.now)
    if isinstance(answer, admission.Admitted):
        if context.ledger.begin_call(context.token, context.now):
            context.runs += 1
            context.ledger.finish(context.token, _RECEIPT)
        answer = context.ledger.start(context.token, context.now)
    context.answers.append(answer.outcome)


@given('a bookings sidecar that issued a token for a deposit')
def given_token(context):
    context.now = 0
    context.runs = 0
    context.answers = []
    _replace_sidecar(context)
    context.token = context.ledger.issue('deposit', 'd1', 0).token


@when("the deposit's token reaches the sidecar")
def when_token_sent(context):
    _send_token(context)


@when("the deposit's token reaches the sidecar twice")
def when_token_sent_twice(context):
    _send_token(context)
    _send_token(context)


@when('the bookings sidecar is replaced')
def when_replaced(context):
    _replace_sidecar(context)


@when('the bookings sidecar wakes from a pause')
def when_woken(context):
    context.ledger.on_pause()


@when('deposits are sent until the ledger is full')
def when_full(context):
    for number in range(_LIMITS.max_entries):
        answer = context.ledger.issue(f'r{number}', 'd1', context.now)
    context.answers.append(answer.outcome)


@given("a deposit with an idempotency key that ran at the key's home")
def given_key(context):
    given_token(context)
    context.now = 1000
    created_ms = (context.now - 1) * 1000
    context.key = admission.IdempotencyKey('nevesta', 'k1', created_ms)
    answer = context.home.issue(context.key, 'd1', _SLOTS, context.now)
    context.token = answer.token
    _send_token(context)


@when("the key's home is replaced")
def when_home_replaced(context):
    _replace_sidecar(context)


@when(
    'the deposit is sent again with its key after {seconds:d} seconds',
)
def when_key_sent(context, seconds):
    context.now += seconds
    answer = context.home.issue(context.key, 'd1', _SLOTS, context.now)
    context.answers.append(answer.outcome)


@then('the deposit has run {count:d} time')
@then('the deposit has run {count:d} times')
def then_runs(context, count):
    assert context.runs == count


@then('both sends get the same receipt')
def then_same(context):
    assert context.answers == [_RECEIPT, _RECEIPT]


@then('the last answer is the receipt')
def then_receipt(context):
    assert context.answers[-1] == _RECEIPT


@then('the last answer is unknown because "{reason}"')
def then_unknown(context, reason):
    assert isinstance(context.answers[-1], kernel.Unknown)
    assert context.answers[-1].reason.value == reason


@then('the last answer is not run because "{reason}"')
def then_not_run(context, reason):
    assert isinstance(context.answers[-1], kernel.NotRun)
    assert context.answers[-1].reason.value == reason


@given('key slots that change at noon')
def given_slots(context):
    noon_ms = _NOON_S * 1000
    first = admission.SlotTable(_POOL, 0, noon_ms, ('a:1', 'b:1'))
    second = admission.SlotTable(_POOL, noon_ms, math.inf, ('c:1',))
    context.old = admission.KeySlots((first,))
    context.new = admission.KeySlots((first, second))
    assert admission.check_slot_change(context.old, context.new) is None


@then('a key made before noon has the same home in both versions')
def then_same_home(context):
    for number in range(20):
        key = admission.IdempotencyKey('t', f'k{number}', _NOON_S * 999)
        home = context.old.home(_POOL, key)
        assert home is not None
        assert home == context.new.home(_POOL, key)


@then('a key made after noon has no home in the old version')
def then_no_home(context):
    key = admission.IdempotencyKey('t', 'k', _NOON_S * 1000)
    assert context.old.home(_POOL, key) is None
    assert context.new.home(_POOL, key) == 'c:1'


@given('a draft that arrives in {count:d} pieces, the last ones first')
def given_draft(context, count):
    context.draft = admission.StreamAssembler()
    context.draft.end(count)
    for number in reversed(range(count)):
        context.draft.add(number, str(number))


@given('a draft whose stream was cut after {count:d} of {total:d} pieces')
def given_cut_draft(context, count, total):
    context.draft = admission.StreamAssembler()
    for number in range(count):
        context.draft.add(number, str(number))
    assert count < total


@then('the draft is whole and in order')
def then_whole(context):
    assert context.draft.text == '01234'


@then('the draft is not whole')
def then_cut(context):
    assert not context.draft.is_complete
    assert context.draft.text is None


@given('an entry that waits for the answers of two briefs')
def given_briefs(context):
    context.attempt_table = admission.AttemptTable()
    context.briefs = [
        admission.Attempt(f'r{number}', 'rerank', 1, f'd{number}')
        for number in (1, 2)
    ]
    for brief in context.briefs:
        context.attempt_table.open(brief)


@when('the answer of the first arrives with the content of the second')
def when_mixed(context):
    context.verdict = context.attempt_table.match(
        admission.Attempt('r1', 'rerank', 1, 'd2')
    )


@then('the answer is dropped and both still wait')
def then_dropped(context):
    assert context.verdict == admission.Foreign()
    for brief in context.briefs:
        assert context.attempt_table.match(brief) == admission.Accept(())


@given('a day plan held by an entry with a standby in another zone')
def given_day_plan(context):
    peers = (admission.Peer('a', 'z1'), admission.Peer('b', 'z2'))
    tables = [admission.HeldTable(peer) for peer in peers]
    context.peers = peers
    context.owner = admission.HandOff(tables[0])
    context.standby = admission.Standby(tables[1])
    request = admission.HeldRequest('plan', 'day_plan', 'nevesta', b'{}')
    copy = context.owner.accept(request, peers, 0)
    assert context.standby.store(copy.request, 'a', 0)
    assert context.owner.on_copy_stored('plan', copy.to, 0)


@when('its entry is silent for {seconds:d} seconds')
def when_silent(context, seconds):
    context.now = seconds
    context.actions = context.standby.take_over_expired(context.peers, seconds)


@then('the standby goes on with the day plan')
def then_goes_on(context):
    assert isinstance(context.actions[0], admission.RunRequest)
    assert context.actions[0].request.request_id == 'plan'


@then('the silent entry may not finish the day plan when it wakes')
def then_fenced(context):
    context.owner.on_pause()
    assert not context.owner.finish('plan', _RECEIPT, context.now)
    renewal = context.owner.renewals()[0]
    answer = context.standby.on_renewal(renewal.held, 'a', context.now)
    stops = context.owner.on_renewal_answer(renewal, answer, context.now)
    assert stops == (admission.StopRequest('plan'),)
