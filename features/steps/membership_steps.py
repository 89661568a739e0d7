"""Steps about members of a pool that come and go."""

import dataclasses

from behave import given, then, when

from lentilspool import membership

_LEASE_S = 9
_TICK_S = 0.1


def _heartbeat(name, sequence, incarnation=1, leaving=False):
    return membership.Heartbeat(
        name,
        incarnation,
        sequence,
        leaving=leaving,
        lease_ms=_LEASE_S * 1000,
        zone='z1',
        pool='p',
        address='127.0.0.1',
        port=1,
    )


def _hints(names):
    return [
        membership.ListedHost(name, '127.0.0.1', 1, 'z1', 'p') for name in names
    ]


def _usable(context):
    members = context.view.usable_members('p', context.now)
    return {member.name for member in members}


@given('an entry that holds leases with "a", "b" and "c" of one pool')
def given_entry(context):
    context.now = 0.0
    context.view = membership.Membership(
        membership.ProcessLocation('e1', 'z1'), 0, membership.MembershipLimits()
    )
    context.view.update_hosts(_hints('abc'))
    for name in 'abc':
        context.view.receive(_heartbeat(name, 10), 0)


@when('"{name}" leaves and its first {lost:d} notices are lost')
def when_leaves(context, name, lost):
    limits = membership.NoticeLimits(lease_s=_LEASE_S)
    context.left_at = context.now
    context.notice = membership.LeavingNotice(('e1',), context.now, limits)
    sent = 0
    while not context.notice.done(context.now):
        for _ in context.notice.due(context.now):
            sent += 1
            if sent > lost:
                notice = _heartbeat(name, 10 + sent, leaving=True)
                context.view.receive(notice, context.now)
                context.notice.acknowledge('e1')
        context.now += _TICK_S


@when('"{name}" refuses a call because it is draining')
def when_refuses(context, name):
    context.view.record_draining_refusal(name, 1)


@when('an older heartbeat of "{name}" arrives late')
def when_late(context, name):
    context.view.receive(_heartbeat(name, 9), context.now)


@when('the host list names only "b" and "c"')
def when_listed(context):
    context.view.update_hosts(_hints('bc'))
    context.now = 1
    context.view.run_checks(context.now)


@when('the entry is paused for {seconds:d} seconds')
def when_paused(context, seconds):
    context.now += seconds
    context.view.run_checks(context.now)


@when('"{name}" is heard from again')
def when_heard(context, name):
    context.view.receive(_heartbeat(name, 11), context.now)


@when('"{name}" is replaced by a new incarnation')
def when_replaced(context, name):
    context.view.receive(_heartbeat(name, 1, incarnation=2), context.now)


@when('a heartbeat of the former "{name}" arrives late')
def when_former(context, name):
    late = dataclasses.replace(_heartbeat(name, 99), in_flight=7)
    context.answer = context.view.receive(late, context.now)


@then('"{name}" gets no new work after 1 second')
def then_none_after(context, name):
    assert context.now - context.left_at <= 1
    assert name not in _usable(context)


@then('"{name}" may stop once its calls have ended')
def then_may_stop(context, name):
    assert not context.notice.can_exit(1, context.now)
    assert context.notice.can_exit(0, context.now)


@then('nobody gets new work')
def then_nobody(context):
    assert not _usable(context)


@then('new work goes to "{one}"')
def then_work(context, one):
    names = one.replace('"', '').replace(' and ', ', ').split(', ')
    assert _usable(context) == set(names)


@then('the entry holds the new incarnation of "{name}"')
def then_incarnation(context, name):
    assert isinstance(context.answer, membership.Refused)
    member = context.view.leases.live_member(name, context.now)
    assert member.incarnation == 2
