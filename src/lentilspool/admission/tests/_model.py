"""Model of two entries, two sidecars and two unrepeatable requests.

Request 0 is sent with a token, request 1 with an idempotency key whose home
is sidecar 0. The decisions are the real ones; the model adds messages that
are delivered late, twice or never, and processes that stop and pause.
"""

import copy
import dataclasses
from collections.abc import Hashable
from typing import Final

from lentilspool import admission, kernel
from lentilspool.admission.tests import test_sidecar_model

KEY: Final = admission.IdempotencyKey('t', 'k', 1_000_000)  # noqa: WPS432
_START_S: Final = 1000.0


@dataclasses.dataclass(frozen=True)
class Message:
    """A message on its way; ``send`` says for whom."""

    kind: str
    """One of admit, issued, start, answer."""

    send: int
    """Number of the send that it belongs to."""

    sidecar: int = 0
    """Receiver of admit and start."""

    token: admission.AdmissionToken | None = None
    """Token of issued and start."""

    outcome: kernel.Outcome | None = None
    """Outcome of answer."""


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
    """Token that the entry has taken or was given."""

    told: kernel.Outcome | None = None
    """Outcome that the caller was told."""

    lost: bool = False
    """Whether the entry has stopped before it told anything."""

    @property
    def ended(self) -> bool:
        """Return whether the entry takes no more messages for it."""
        return self.lost or self.told is not None

    @property
    def side(self) -> admission.UnrepeatableSend:
        """Return the entry's decision code in the state of this send."""
        return admission.UnrepeatableSend(self.token, self.key)


class World:
    """One state of the model."""

    def __init__(
        self,
        made_of: test_sidecar_model.Decisions,
        faults: int,
        sends: tuple[int, int],
    ) -> None:
        self.made_of = made_of
        self.now = _START_S
        self.fault = ''
        self.faults_left = faults
        self.sends_left = sends
        self.runs: tuple[tuple[int, ...], ...] = ((), ())
        self.caller_token: admission.AdmissionToken | None = None
        self.sends: tuple[Send, ...] = ()
        self.messages: tuple[Message, ...] = ()
        self.sidecars = [
            test_sidecar_model.Sidecar(number, number + 1, 0, made_of)
            for number in (0, 1)
        ]

    def copy(self) -> 'World':
        """Return a copy; sidecars are shared until ``own`` is called."""
        other = copy.copy(self)
        other.sidecars = list(self.sidecars)
        return other

    def own(self, number: int) -> test_sidecar_model.Sidecar:
        """Return a sidecar that this state shares with no other."""
        self.sidecars[number] = self.sidecars[number].copy()
        return self.sidecars[number]

    def key(self) -> Hashable:
        """Return what tells this state from others."""
        times = (self.now, self.faults_left, self.caller_token)
        sidecars = tuple(sidecar.key() for sidecar in self.sidecars)
        messages = frozenset(self.messages)
        return (times, self.runs, self.sends, messages, sidecars)

    def change(self, number: int, **fields: object) -> None:
        """Change fields of a send."""
        changed = dataclasses.replace(
            self.sends[number],
            **fields,  # type: ignore[arg-type]
        )
        self.sends = (
            *self.sends[:number],
            changed,
            *self.sends[number + 1 :],
        )

    def post(self, message: Message) -> None:
        """Put a message on its way unless its receiver would ignore it."""
        self.messages = (*self.messages, message)
        self.drop_ignored()

    def drop_ignored(self) -> None:
        """Drop the messages that a send which has ended would ignore."""
        self.messages = tuple(
            message
            for message in self.messages
            if message.kind in {'admit', 'start'}
            or not self.sends[message.send].ended
        )

    def tell(self, number: int, outcome: kernel.Outcome) -> None:
        """Give the caller the outcome of a send."""
        send = self.sends[number]
        if send.ended:
            return
        self.change(number, told=outcome)
        self.drop_ignored()
        if isinstance(outcome, kernel.Complete):
            if not self.runs[send.request]:
                self.fault = f'send {number} is complete without a run'
            if outcome.answer != (send.key or send.token).encode():
                self.fault = f'send {number} got the answer of another'
        self._check_not_run(number)

    def count_run(self, number: int) -> None:
        """Note that the endpoint's call begins, because of a send."""
        request = self.sends[number].request
        runs = list(self.runs)
        runs[request] = (*runs[request], number)
        self.runs = tuple(runs)
        if len(self.runs[request]) > 1:
            self.fault = f'request {request} ran twice'
        for other, _ in enumerate(self.sends):
            self._check_not_run(other)

    def check_memory(
        self,
        sidecar: test_sidecar_model.Sidecar,
        token: admission.AdmissionToken,
        answer: admission.StartAnswer,
    ) -> None:
        """The living incarnation of a token may not lose its memory.

        Only the token of a key may be renewed, after it was not run.
        """
        usage = sidecar.ledger.usage
        if usage.entries > test_sidecar_model.LIMITS.max_entries:
            self.fault = 'the ledger has outgrown its bound'
        unknown = isinstance(answer, admission.Refused) and isinstance(
            answer.outcome, kernel.Unknown
        )
        alive = token.incarnation == sidecar.incarnation
        remembered = token.request_id != KEY.request_id
        if unknown and alive and remembered and self.now < token.expires_at:
            self.fault = 'a token was forgotten before its end'

    def _check_not_run(self, number: int) -> None:
        """Nothing may run of a send that was called not run.

        With a key, the caller may send anew, and that send may run.
        """
        send = self.sends[number]
        runs = self.runs[send.request]
        ran = number in runs if send.request else bool(runs)
        if ran and isinstance(send.told, kernel.NotRun):
            self.fault = f'send {number} was called not run, and ran'
