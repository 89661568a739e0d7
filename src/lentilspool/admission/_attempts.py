"""Identity of attempts, and decisions on their answers."""

import collections
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Identity of one send of a stage of a request.

    Its answer carries the same identity.
    """

    request_id: str
    """Id of the request."""

    stage: str
    """Name of the pipeline stage."""

    number: int
    """Number of the attempt within the stage."""

    content_digest: str
    """Digest of the input of the stage."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """The first valid answer of its stage; use it."""

    losers: tuple[Attempt, ...]
    """Attempts of the stage that are still open, to be cancelled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """No attempt with this identity is registered; drop the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The attempt has already answered or failed; drop the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class LateLoser:
    """Another attempt of the stage answered first; drop the answer."""


Verdict = Accept | Foreign | Duplicate | LateLoser


class _AttemptState(enum.Enum):
    open = 'open'
    closed = 'closed'


@dataclasses.dataclass(slots=True)
class _StageAttempts:
    """Attempts of one stage of one request."""

    attempts: dict[Attempt, _AttemptState] = dataclasses.field(
        default_factory=dict
    )
    winner: Attempt | None = None
    spend: float = 0


class AttemptTable:
    """Attempts of the open requests of an entry, by their identity.

    Call ``open`` before an attempt is sent, ``match`` for each valid answer,
    and ``fail`` for an attempt that ends without one. Call ``close`` when
    the request's outcome has been sent to the caller.
    """

    def __init__(self) -> None:
        self._requests: dict[str, dict[str, _StageAttempts]] = {}
        self._dropped: collections.Counter[str] = collections.Counter()
        self._foreign_spend = 0.0

    @property
    def size(self) -> int:
        """Number of open requests."""
        return len(self._requests)

    @property
    def dropped(self) -> dict[str, int]:
        """Number of dropped answers, by class name of the verdict."""
        return dict(self._dropped)

    @property
    def foreign_spend(self) -> float:
        """Credits of answers without a registered attempt.

        Most come from requests that were already closed.
        """
        return self._foreign_spend

    def open(self, attempt: Attempt) -> None:
        """Register an attempt.

        Raises ``ValueError`` if it is registered already.
        """
        stages = self._requests.setdefault(attempt.request_id, {})
        stage = stages.setdefault(attempt.stage, _StageAttempts())
        if attempt in stage.attempts:
            raise ValueError(f'{attempt} is already registered')
        stage.attempts[attempt] = _AttemptState.open

    def match(self, answer: Attempt, cost: float = 0) -> Verdict:
        """Decide whether an answer with this identity is used.

        Its cost, in credits, counts whatever the verdict, but only once per
        attempt.
        """
        stage = self._find(answer)
        if stage is None:
            self._foreign_spend += cost
            return self._count_dropped(Foreign())
        if stage.attempts[answer] is _AttemptState.closed:
            return self._count_dropped(Duplicate())
        stage.attempts[answer] = _AttemptState.closed
        stage.spend += cost
        if stage.winner is not None:
            return self._count_dropped(LateLoser())
        stage.winner = answer
        return Accept(_open_attempts(stage))

    def fail(self, attempt: Attempt, cost: float = 0) -> bool:
        """Close an attempt that gave no valid answer.

        Returns false if it was not open; then its cost is not counted.
        """
        stage = self._find(attempt)
        if stage is None or stage.attempts[attempt] is _AttemptState.closed:
            return False
        stage.attempts[attempt] = _AttemptState.closed
        stage.spend += cost
        return True

    def spend(self, request_id: str) -> dict[str, float]:
        """Return the credits that all attempts have spent, by stage."""
        stages = self._requests.get(request_id, {})
        return {name: stage.spend for name, stage in stages.items()}

    def close(self, request_id: str) -> tuple[Attempt, ...]:
        """Remove a request; return its open attempts, to be cancelled."""
        stages = self._requests.pop(request_id, {})
        return tuple(
            attempt
            for stage in stages.values()
            for attempt in _open_attempts(stage)
        )

    def _find(self, attempt: Attempt) -> _StageAttempts | None:
        stage = self._requests.get(attempt.request_id, {}).get(attempt.stage)
        return stage if stage and attempt in stage.attempts else None

    def _count_dropped(self, verdict: Verdict) -> Verdict:
        self._dropped[type(verdict).__name__] += 1
        return verdict


def _open_attempts(stage: _StageAttempts) -> tuple[Attempt, ...]:
    return tuple(
        attempt
        for attempt, state in stage.attempts.items()
        if state is _AttemptState.open
    )
