"""DENIED: proper requests that every configuration allows are not denied."""

from typing import Final

from soak import _history
from soak.judges import _attempts, _configurations, _disruptions, _finding

# The platform's figures.
_MOST: Final = 5
_MOST_SHARE: Final = 1 / 500
_MOST_OUT_OF_TOUCH: Final = 10
_DENIALS: Final = range(300, 500)
_REFUSALS: Final = frozenset((408, 421, 429))
_ACCESS: Final = frozenset((401, 403, 404))


class _Denied:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._attempts = _attempts.Attempts(history)
        self._disruptions = _disruptions.Disruptions(history)
        self._versions = _configurations.Configurations(history).all
        self._denied = [
            (one.sent, one.ended)
            for one in self._attempts.all
            if one.ended and self._is_denied(one.sent, one.ended)
        ]

    def judge(self) -> list[_finding.Finding]:
        """Count denials in touch and out of touch."""
        out_of_touch = [
            (sent, ended)
            for sent, ended in self._denied
            if not self._disruptions.in_touch(sent.machine, ended.at)
        ]
        access = [
            (sent, ended)
            for sent, ended in out_of_touch
            if ended.status in _ACCESS
        ]
        counted = [
            one
            for one in self._denied
            if one not in out_of_touch or one in access
        ]
        found = []
        if len(counted) > _MOST + _MOST_SHARE * len(self._attempts.all):
            found.append(_found('denied', counted))
        if len(access) > _MOST_OUT_OF_TOUCH:
            found.append(_found('out of touch', access))
        return found

    def _is_denied(self, sent: _history.Sent, ended: _history.Ended) -> bool:
        """Whether the gateway denied what every configuration allows."""
        return (
            ended.status in _DENIALS
            and ended.status not in _REFUSALS
            and not ended.stamp
            and all(_allows(one, sent) for one in self._versions)
        )


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge both counts."""
    return _Denied(history).judge()


def _allows(one: _configurations.Configuration, sent: _history.Sent) -> bool:
    """Whether a version has the route and the key of a request."""
    return sent.route in one.services and sent.team in one.teams


def _found(
    clause: str, denied: list[tuple[_history.Sent, _history.Ended]]
) -> _finding.Finding:
    requests = tuple(sent.request for sent, _ in denied)
    latest = max(ended.at for _, ended in denied)
    return _finding.Finding('DENIED', clause, latest, requests)
