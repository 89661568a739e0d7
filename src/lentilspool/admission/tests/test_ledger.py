"""Tests of the at-most-once ledger."""

import dataclasses

import pytest

from lentilspool import admission, kernel

LIMITS = admission.LedgerLimits(
    max_entries=3, max_answer_bytes=40, answer_bytes=10, lifetime_s=60
)
DONE = kernel.Complete(b'{}')


def make_ledger(limits: admission.LedgerLimits = LIMITS) -> admission.Ledger:
    return admission.Ledger('e1', 1, lambda token: token.request_id, limits)


def issue_token(
    ledger: admission.Ledger, name: str = 'r1', now: float = 0
) -> admission.AdmissionToken:
    answer = ledger.issue(name, 'd1', now)
    assert isinstance(answer, admission.Issued)
    return answer.token


def reason(answer: object) -> object:
    assert isinstance(answer, admission.Refused), answer
    return answer.outcome.reason


class TestLedger:
    def test_request_runs_once_and_later_sends_get_its_answer(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        assert ledger.start(token, 1) == admission.Admitted(token)
        assert ledger.start(token, 1) == admission.AlreadyRunning(token)
        assert ledger.begin_call(token, 2)
        assert not ledger.begin_call(token, 2)
        ledger.finish(token, DONE)
        assert ledger.start(token, 3) == admission.Finished(DONE)

    def test_same_request_gets_the_same_token(self) -> None:
        ledger = make_ledger()
        assert issue_token(ledger) == issue_token(ledger, now=1)

    def test_same_request_with_other_content_is_refused(self) -> None:
        ledger = make_ledger()
        issue_token(ledger)
        answer = ledger.issue('r1', 'd2', 1)
        assert reason(answer) is kernel.NotRunReason.invalid

    @pytest.mark.parametrize('change', [{'incarnation': 2}, {'endpoint': 'e2'}])
    def test_token_of_other_incarnation_is_unknown(
        self, change: dict[str, object]
    ) -> None:
        ledger = make_ledger()
        other = dataclasses.replace(issue_token(ledger), **change)  # type: ignore[arg-type]
        answer = ledger.start(other, 1)
        assert reason(answer) is kernel.UnknownReason.incarnation_lost

    def test_expired_token_is_unknown(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        assert (
            reason(ledger.start(token, 60))
            is kernel.UnknownReason.token_expired
        )

    def test_running_request_stays_after_its_token_expires(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        ledger.start(token, 1)
        ledger.begin_call(token, 1)
        assert ledger.start(token, 61) == admission.AlreadyRunning(token)
        ledger.finish(token, DONE)
        assert (
            reason(ledger.start(token, 62))
            is kernel.UnknownReason.token_expired
        )
        assert ledger.usage.entries == 0

    def test_expired_queued_request_never_runs(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        ledger.start(token, 1)
        assert not ledger.begin_call(token, 61)

    def test_full_ledger_refuses_new_requests_and_evicts_none(self) -> None:
        ledger = make_ledger()
        tokens = [issue_token(ledger, f'r{number}') for number in range(3)]
        answer = ledger.issue('r4', 'd1', 1)
        assert reason(answer) is kernel.NotRunReason.ledger_full
        assert ledger.start(tokens[0], 1) == admission.Admitted(tokens[0])
        assert isinstance(ledger.issue('r4', 'd1', 61), admission.Issued)

    def test_answer_bytes_are_bounded(self) -> None:
        ledger = make_ledger(dataclasses.replace(LIMITS, max_answer_bytes=20))
        token = issue_token(ledger)
        issue_token(ledger, 'r2')
        assert (
            reason(ledger.issue('r3', 'd1', 1))
            is kernel.NotRunReason.ledger_full
        )
        ledger.start(token, 1)
        ledger.begin_call(token, 1)
        ledger.finish(token, kernel.Complete(b'x' * 11))
        assert ledger.usage.held_bytes == 10
        later = ledger.start(token, 2)
        assert isinstance(later, admission.Finished)
        assert isinstance(later.outcome, kernel.Failed)

    def test_withdrawn_request_never_runs(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        ledger.start(token, 1)
        overloaded = kernel.NotRunReason.overloaded
        assert reason(ledger.withdraw(token, overloaded, 1)) is overloaded
        assert not ledger.begin_call(token, 1)
        assert reason(ledger.start(token, 2)) is overloaded

    def test_running_request_cannot_be_withdrawn(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        ledger.start(token, 1)
        ledger.begin_call(token, 1)
        answer = ledger.withdraw(token, kernel.NotRunReason.overloaded, 1)
        assert answer == admission.AlreadyRunning(token)

    def test_drain_refuses_requests_not_yet_started(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        queued = issue_token(ledger, 'r2')
        ledger.start(queued, 1)
        ledger.drain()
        draining = kernel.NotRunReason.draining
        assert reason(ledger.start(token, 1)) is draining
        assert reason(ledger.issue('r3', 'd1', 1)) is draining
        assert ledger.begin_call(queued, 1)

    def test_pause_refuses_requests_whose_call_has_not_begun(self) -> None:
        ledger = make_ledger()
        tokens = [issue_token(ledger, f'r{number}') for number in range(3)]
        for token in tokens[1:]:
            ledger.start(token, 1)
        ledger.begin_call(tokens[2], 1)
        assert ledger.on_pause() == 2
        expired = kernel.NotRunReason.expired_token
        assert reason(ledger.start(tokens[0], 2)) is expired
        assert not ledger.begin_call(tokens[1], 2)
        assert ledger.start(tokens[2], 2) == admission.AlreadyRunning(tokens[2])

    def test_refused_request_can_get_a_new_token(self) -> None:
        ledger = make_ledger()
        token = issue_token(ledger)
        ledger.withdraw(token, kernel.NotRunReason.overloaded, 1)
        assert issue_token(ledger, now=2) == token
        answer = ledger.issue('r1', 'd1', 0, renew=True)
        assert answer == admission.Issued(token)
        answer = ledger.issue('r1', 'd1', 2, renew=True)
        assert isinstance(answer, admission.Issued)
        renewed = answer.token
        assert renewed != token
        assert ledger.start(renewed, 2) == admission.Admitted(renewed)
        assert not ledger.begin_call(token, 2)
        assert isinstance(ledger.start(token, 2), admission.Refused)
        assert ledger.usage == admission.LedgerUsage(1, 1, 10)
