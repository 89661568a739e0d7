"""RECOVER: service comes back once machines are back."""

from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _disruptions, _finding

# The platform's figure.
_LEAST_SHARE: Final = 0.25
_SUCCESS: Final = range(200, 300)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Compare the shares served before and after the last fault.

    That a ready machine takes connections is not judged.
    """
    last = _disruptions.Disruptions(history).last()
    if last is None:
        return []
    attempts = _attempts.Attempts(history).all
    back_at = last.end + history.bounds.recover_s
    before = [one for one in attempts if one.sent.at < last.begin]
    after = [one for one in attempts if one.sent.at > back_at and one.ended]
    was_served = _share(before) >= _LEAST_SHARE
    if not after or not was_served or _share(after) >= _LEAST_SHARE:
        return []
    failed = [one.sent for one in after if not _is_served(one)]
    requests = tuple(sent.request for sent in failed)
    return [_finding.Finding('RECOVER', 'share', failed[-1].at, requests)]


def _is_served(attempt: _attempts.Attempt) -> bool:
    ended = attempt.ended
    return (
        ended is not None
        and ended.how is _terms.End.whole
        and ended.status in _SUCCESS
    )


def _share(attempts: list[_attempts.Attempt]) -> float:
    served = sum(_is_served(one) for one in attempts)
    return served / max(len(attempts), 1)
