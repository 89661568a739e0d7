"""Model of two entries, two sidecars and two unrepeatable requests.

Request 0 is sent with a token, request 1 with an idempotency key whose home
is sidecar 0. Decisions are made by the production code; the model adds
messages that are delivered late, twice or never, and processes that stop and
pause.
"""

import copy
import dataclasses
from collections.abc import Hashable
from typing import Final

from lentilspool import admission, kernel
from lentilspool.admission.tests import test_sidecar_model

KEY: Final = admission.IdempotencyKey('t', 'k', 1_000_000)  # noqa: WPS432
_START_TIME_S: Final = 1000.0


@dataclasses.dataclass(frozen=True)
class Message:
    """A message in transit."""

    kind: str
    """One of admit, issued, start, answer."""

    send: int
    """Number of the send that it belongs to."""

    sidecar: int = 0
    """Number of the receiving sidecar, for admit and start."""

    token: admission.AdmissionToken | None = None
    """Token, for issued and start."""

    outcome: kernel.Outcome | None = None
    """Outcome, for answer."""


@dataclasses.dataclass(frozen=True)
class Send:
    """One send of a request by its caller through an entry."""

    request: int
    """Number of the request."""

    entry: int
    """Number of the entry."""

    key: str = ''
    """Idempotency key; empty for request 0."""

    token: str = ''
    """Token from the sidecar or the caller; empty if none yet."""

    reported: kernel.Outcome | None = None
    """Outcome that the caller has received; ``None`` if none yet."""

    entry_stopped: bool = False
    """Whether the entry stopped before it returned an outcome."""

    @property
    def ended(self) -> bool:
        """Return whether the entry ignores further messages for it."""
        return self.entry_stopped or self.reported is not None

    @property
    def unrepeatable_send(self) -> admission.UnrepeatableSend:
        """Return the production decision object in the state of this send."""
        return admission.UnrepeatableSend(self.token, self.key)


class ModelState:
    """State of all entries, sidecars, callers and messages.

    ``runs`` holds, for each request, the numbers of the sends that ran it.
    """

    def __init__(
        self,
        decisions: test_sidecar_model.Decisions,
        faults: int,
        sends: tuple[int, int],
    ) -> None:
        self.decisions = decisions
        self.now = _START_TIME_S
        self.violation = ''
        self.faults_left = faults
        self.sends_left = sends
        self.runs: tuple[tuple[int, ...], ...] = ((), ())
        self.caller_token: admission.AdmissionToken | None = None
        self.sends: tuple[Send, ...] = ()
        self.messages: tuple[Message, ...] = ()
        self.sidecars = [
            test_sidecar_model.Sidecar(number, number + 1, 0, decisions)
            for number in (0, 1)
        ]

    def copy(self) -> 'ModelState':
        """Return a copy that shares each sidecar until it is changed."""
        other = copy.copy(self)
        other.sidecars = list(self.sidecars)
        return other

    def copy_sidecar_for_change(
        self, number: int
    ) -> test_sidecar_model.Sidecar:
        """Replace a sidecar by an unshared copy; return the copy."""
        self.sidecars[number] = self.sidecars[number].copy()
        return self.sidecars[number]

    def key(self) -> Hashable:
        """Return the value by which states are compared."""
        times = (self.now, self.faults_left, self.caller_token)
        sidecars = tuple(sidecar.key() for sidecar in self.sidecars)
        messages = frozenset(self.messages)
        return (times, self.runs, self.sends, messages, sidecars)

    def update_send(self, number: int, **fields: object) -> None:
        """Replace fields of a send."""
        changed = dataclasses.replace(
            self.sends[number],
            **fields,  # type: ignore[arg-type]
        )
        self.sends = (
            *self.sends[:number],
            changed,
            *self.sends[number + 1 :],
        )

    def send_message(self, message: Message) -> None:
        """Add a message in transit unless its receiver would ignore it."""
        self.messages = (*self.messages, message)
        self.drop_ignored()

    def drop_ignored(self) -> None:
        """Drop messages to entries about sends that have ended."""
        self.messages = tuple(
            message
            for message in self.messages
            if message.kind in {'admit', 'start'}
            or not self.sends[message.send].ended
        )

    def report(self, number: int, outcome: kernel.Outcome) -> None:
        """Return the outcome of a send to its caller."""
        send = self.sends[number]
        if send.ended:
            return
        self.update_send(number, reported=outcome)
        self.drop_ignored()
        if isinstance(outcome, kernel.Complete):
            if not self.runs[send.request]:
                self.violation = f'send {number} is complete without a run'
            if outcome.answer != (send.key or send.token).encode():
                self.violation = f'send {number} got the answer of another'
        self._check_not_run(number)

    def count_run(self, number: int) -> None:
        """Record that the endpoint's call begins because of a send."""
        request = self.sends[number].request
        runs = list(self.runs)
        runs[request] = (*runs[request], number)
        self.runs = tuple(runs)
        if len(self.runs[request]) > 1:
            self.violation = f'request {request} ran twice'
        for other, _ in enumerate(self.sends):
            self._check_not_run(other)

    def check_not_forgotten(
        self,
        sidecar: test_sidecar_model.Sidecar,
        token: admission.AdmissionToken,
        answer: admission.StartAnswer,
    ) -> None:
        """Check that a sidecar does not forget a token before it expires.

        The token of a key is exempt, as a new one may replace it after a
        refusal as not run.
        """
        usage = sidecar.ledger.usage
        if usage.entries > test_sidecar_model.LIMITS.max_entries:
            self.violation = 'the ledger exceeds max_entries'
        unknown = isinstance(answer, admission.Refused) and isinstance(
            answer.outcome, kernel.Unknown
        )
        alive = token.incarnation == sidecar.incarnation
        remembered = token.request_id != KEY.request_id
        if unknown and alive and remembered and self.now < token.expires_at:
            self.violation = 'a token was forgotten before its end'

    def _check_not_run(self, number: int) -> None:
        """Check that a send reported as not run has not run.

        With a key, the caller may send again, and only that send may run.
        """
        send = self.sends[number]
        runs = self.runs[send.request]
        ran = number in runs if send.request else bool(runs)
        if ran and isinstance(send.reported, kernel.NotRun):
            self.violation = f'send {number} was called not run, and ran'
