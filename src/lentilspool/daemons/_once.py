"""At-most-once execution of calls at a sidecar, backed by its ledger."""

import dataclasses
import time

import trio

from lentilspool import admission, config, kernel, wire
from lentilspool.daemons import _answers, _endpoint, _identity, _pulse

_MS_PER_S = 1000
_MAX_DEATHS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRun:
    """Outcome of a call with a token."""

    outcome: kernel.Outcome
    """Outcome of its only run, or why there was none."""

    death: str = ''
    """Name of the endpoint crash that ended the run; empty if none."""


class AtMostOnceRunner:
    """Issues admission tokens and runs the call of each token at most once.

    A call runs in a task of its own, so a broken connection or a
    cancellation does not end it. A call that is sent again with the same
    token waits for the first run and gets its outcome.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        endpoint: _endpoint.Endpoint,
        signer: admission.TokenSigner,
        limits: admission.LedgerLimits,
        pause_monitor: _pulse.PauseMonitor,
        nursery: trio.Nursery,
    ) -> None:
        self._identity = identity
        self._endpoint = endpoint
        self._signer = signer
        self._pause_monitor = pause_monitor
        self._nursery = nursery
        self._ledger = admission.Ledger(
            identity.name, identity.incarnation, signer.sign, limits
        )
        self._new_key_check = admission.NewKeyCheck(
            admission.KeyRules(), time.time(), trio.current_time()
        )
        self._key_slots = admission.KeySlots(())
        self._key_home: admission.KeyHome | None = None
        self._end_events: dict[str, trio.Event] = {}
        # Names of recent endpoint crashes by the request that ran.
        self._deaths: dict[str, str] = {}
        pause_monitor.add_listener(self._on_pause)

    @property
    def running(self) -> int:
        """Number of calls that are queued or run."""
        return len(self._end_events)

    def apply_configuration(self, state: config.State, address: str) -> None:
        """Apply the idempotency key slots of a new configuration.

        ``address`` is the ``host:port`` of this sidecar in the table of slots.
        """
        parsed = admission.parse_slots(state.document.key_slots)
        if isinstance(parsed, admission.KeySlots):
            self._key_slots = parsed
        if self._key_home is None:
            self._key_home = admission.KeyHome(
                address, self._identity.pool, self._ledger, self._new_key_check
            )

    def drain(self) -> None:
        """Refuse every token whose call has not started."""
        self._ledger.drain()

    def admit(self, call: wire.AdmitCall) -> wire.AdmitAnswer:
        """Issue a token for a request or an idempotency key, or look one up."""
        self._pause_monitor.check()
        now = trio.current_time()
        if call.token:
            return self._look_up(call, call.token, now)
        if call.idempotency_key:
            answer = self._issue_for_key(call, call.idempotency_key, now)
        else:
            answer = self._ledger.issue(call.request_id, call.digest, now)
        if isinstance(answer, admission.Issued):
            token = self._signer.sign(answer.token)
            return wire.AdmitAnswer(call.call_id, 'issued', token, '', 0)
        return _admit_answer(call, answer.outcome)

    async def run(self, call: wire.StageCall) -> TokenRun:
        """Run a call that carries a token, or wait for the run in progress."""
        token = self._signer.verify(call.token or '')
        if isinstance(token, admission.TokenRefused):
            return TokenRun(token.outcome)
        while True:
            self._pause_monitor.check()
            answer = self._ledger.start(token, trio.current_time())
            match answer:
                case admission.Admitted():
                    ended = trio.Event()
                    self._end_events[token.request_id] = ended
                    self._nursery.start_soon(self._run, call, token, ended)
                    await ended.wait()
                case admission.AlreadyRunning():
                    await self._end_events[token.request_id].wait()
                case admission.Finished() | admission.Refused():
                    death = self._deaths.get(token.request_id, '')
                    return TokenRun(answer.outcome, death)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        usage = self._ledger.usage
        return {
            'entries': usage.entries,
            'open_requests': usage.open_requests,
            'held_bytes': usage.held_bytes,
            'keys': self._key_home.size if self._key_home else 0,
            'keys_open_in_s': max(
                0,
                round(self._new_key_check.quiet_until - trio.current_time(), 1),
            ),
        }

    async def _run(
        self,
        call: wire.StageCall,
        token: admission.AdmissionToken,
        ended: trio.Event,
    ) -> None:
        now = trio.current_time()
        ran = await self._endpoint.run(
            _with_request_id(call, token.request_id),
            max(token.expires_at - now, 0),
            _discard_text,
            lambda: self._begin_call(token),
        )
        self._record_death(token.request_id, ran.death)
        answer = ran.answer
        now = trio.current_time()
        outcome = _answers.endpoint_outcome(call, answer, self._endpoint.price)
        if isinstance(answer, kernel.NotRun):
            self._ledger.withdraw(token, answer.reason, now)
        else:
            self._ledger.finish(token, outcome)
        self._end_events.pop(token.request_id, None)
        ended.set()

    def _record_death(self, request_id: str, death: str) -> None:
        if not death:
            return
        self._deaths[request_id] = death
        if len(self._deaths) > _MAX_DEATHS:
            self._deaths.pop(next(iter(self._deaths)))

    def _begin_call(self, token: admission.AdmissionToken) -> bool:
        self._pause_monitor.check()
        return self._ledger.begin_call(token, trio.current_time())

    def _look_up(
        self, call: wire.AdmitCall, text: str, now: float
    ) -> wire.AdmitAnswer:
        token = self._signer.verify(text)
        if isinstance(token, admission.TokenRefused):
            return _admit_answer(call, token.outcome)
        match self._ledger.look_up(token, now):
            case admission.Issued():
                return wire.AdmitAnswer(call.call_id, 'issued', text, '', 0)
            case admission.Finished(outcome=outcome):
                return _admit_answer(call, outcome)
            case admission.Refused(outcome=refusal):
                return _admit_answer(call, refusal)
            case _:
                return wire.AdmitAnswer(call.call_id, 'running', text, '', 0)

    def _issue_for_key(
        self, call: wire.AdmitCall, text: str, now: float
    ) -> admission.IssueAnswer:
        key = admission.parse_key(call.team, text)
        if key is not None and self._key_home is None:
            lost = kernel.UnknownReason.incarnation_lost
            return admission.Refused(kernel.Unknown(text, lost))
        if key is None or self._key_home is None:
            detail = 'the idempotency key is not a version 7 UUID'
            reason = kernel.NotRunReason.invalid
            return admission.Refused(kernel.NotRun(reason, None, detail))
        return self._key_home.issue(key, call.digest, self._key_slots, now)

    def _on_pause(self) -> None:
        self._ledger.on_pause()
        if self._key_home is not None:
            self._key_home.on_pause(time.time(), trio.current_time())


def _admit_answer(
    call: wire.AdmitCall, outcome: kernel.Outcome
) -> wire.AdmitAnswer:
    match outcome:
        case kernel.Complete(answer=body):
            return wire.AdmitAnswer(call.call_id, 'finished', '', '', 0, body)
        case kernel.NotRun(reason=why, retry_after_s=retry_after_s):
            retry_ms = int((retry_after_s or 0) * _MS_PER_S)
            return wire.AdmitAnswer(
                call.call_id, 'refused', '', why.value, retry_ms
            )
        case kernel.Unknown(token=token, reason=unknown):
            return wire.AdmitAnswer(
                call.call_id, 'unknown', token, unknown.value, 0
            )
        case kernel.Failed(reason=reason):
            return wire.AdmitAnswer(call.call_id, 'failed', '', reason, 0)
        case _:
            return wire.AdmitAnswer(call.call_id, 'unknown', '', '', 0)


def _with_request_id(call: wire.StageCall, request_id: str) -> wire.StageCall:
    """Return the call with the request id that its token carries."""
    return dataclasses.replace(call, request_id=request_id)


async def _discard_text(_text: str) -> None:
    """Drop streamed text, because unrepeatable calls are not streamed."""
