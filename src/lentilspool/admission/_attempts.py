"""Identity of attempts, and the answers that they may give."""

import collections
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One send of one stage of one request; answers carry it back."""

    request_id: str
    """Request that the attempt belongs to."""

    stage: str
    """Stage of the pipeline."""

    number: int
    """Number of the attempt within the stage."""

    content_digest: str
    """Digest of the stage's input."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """The first valid answer of its stage."""

    losers: tuple[Attempt, ...]
    """Attempts that are still open and are to be cancelled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """No attempt with this identity is known; drop the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The attempt has answered before; drop the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class LateLoser:
    """Another attempt of the stage has won; drop the answer."""


Verdict = Accept | Foreign | Duplicate | LateLoser


class _State(enum.Enum):
    open = 'open'
    closed = 'closed'


@dataclasses.dataclass(slots=True)
class _Stage:
    """Attempts of one stage of one request."""

    attempts: dict[Attempt, _State] = dataclasses.field(default_factory=dict)
    winner: Attempt | None = None
    spend: float = 0


class AttemptTable:
    """Open attempts of an entry, by request, stage, number and content.

    ``open`` each attempt before it is sent, ``match`` each valid answer,
    and ``fail`` each attempt that ends without one. ``close`` the request
    when its outcome has been given to the caller.
    """

    def __init__(self) -> None:
        self._requests: dict[str, dict[str, _Stage]] = {}
        self._dropped: collections.Counter[str] = collections.Counter()
        self._foreign_spend = 0.0

    @property
    def size(self) -> int:
        """Number of requests in the table."""
        return len(self._requests)

    @property
    def dropped(self) -> dict[str, int]:
        """Number of dropped answers, by the name of the verdict."""
        return dict(self._dropped)

    @property
    def foreign_spend(self) -> float:
        """Credits of answers whose request was already closed."""
        return self._foreign_spend

    def open(self, attempt: Attempt) -> None:
        """Register an attempt; raises ``ValueError`` for a second time."""
        stages = self._requests.setdefault(attempt.request_id, {})
        stage = stages.setdefault(attempt.stage, _Stage())
        if attempt in stage.attempts:
            raise ValueError(f'{attempt} is open already')
        stage.attempts[attempt] = _State.open

    def match(self, answer: Attempt, cost: float = 0) -> Verdict:
        """Decide on an answer that carries this identity.

        Its cost is counted whatever the verdict, once for each attempt.
        """
        stage = self._find(answer)
        if stage is None:
            self._foreign_spend += cost
            return self._drop(Foreign())
        if stage.attempts[answer] is _State.closed:
            return self._drop(Duplicate())
        stage.attempts[answer] = _State.closed
        stage.spend += cost
        if stage.winner is not None:
            return self._drop(LateLoser())
        stage.winner = answer
        return Accept(_open_attempts(stage))

    def fail(self, attempt: Attempt, cost: float = 0) -> bool:
        """Close an attempt that gave no valid answer.

        Returns whether it was open.
        """
        stage = self._find(attempt)
        if stage is None or stage.attempts[attempt] is _State.closed:
            return False
        stage.attempts[attempt] = _State.closed
        stage.spend += cost
        return True

    def spend(self, request_id: str) -> dict[str, float]:
        """Return the credits spent, by stage, losers included."""
        stages = self._requests.get(request_id, {})
        return {name: stage.spend for name, stage in stages.items()}

    def close(self, request_id: str) -> tuple[Attempt, ...]:
        """Forget a request; return the attempts to cancel."""
        stages = self._requests.pop(request_id, {})
        return tuple(
            attempt
            for stage in stages.values()
            for attempt in _open_attempts(stage)
        )

    def _find(self, attempt: Attempt) -> _Stage | None:
        stage = self._requests.get(attempt.request_id, {}).get(attempt.stage)
        return stage if stage and attempt in stage.attempts else None

    def _drop(self, verdict: Verdict) -> Verdict:
        self._dropped[type(verdict).__name__] += 1
        return verdict


def _open_attempts(stage: _Stage) -> tuple[Attempt, ...]:
    return tuple(
        attempt
        for attempt, state in stage.attempts.items()
        if state is _State.open
    )
