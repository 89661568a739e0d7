"""Unrepeatable stages: a token first, then one run at its incarnation."""

from typing import Final

import trio

from lentilspool import admission, kernel, pipeline, routing, wire
from lentilspool.daemons import (
    _attempts,
    _classify,
    _directory,
    _flight,
    _link,
    _published,
)

_POLL_S: Final = 0.05
_MAX_ISSUE_TRIES: Final = 4
_ELSEWHERE: Final = frozenset(
    (
        kernel.NotRunReason.draining,
        kernel.NotRunReason.no_endpoint,
        kernel.NotRunReason.expired_token,
    )
)


class Unrepeatable:
    """Gets admission tokens and sends calls that must run at most once.

    Nothing runs before a token is issued, so that part may be tried at one
    endpoint after another. With the token, the call goes only to the
    incarnation that issued it, again and again if connections break: its
    ledger runs it at most once.
    """

    def __init__(
        self,
        directory: _directory.Directory,
        attempts: _attempts.Attempts,
        published: _published.Published,
        signer: admission.TokenSigner,
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._published = published
        self._signer = signer

    async def run(
        self, flight: _flight.Flight, router: pipeline.PoolRouter
    ) -> kernel.Outcome:
        """Run the current stage of a request at most once.

        If the ledger says that it did not run, for a reason of that one
        endpoint, another one is asked; not so with a token of the caller,
        who may have sent it elsewhere as well.
        """
        fresh = not flight.token and flight.key is None
        outcome = await self._run(flight, router)
        for _ in range(_MAX_ISSUE_TRIES):
            if not (fresh and flight.settled and _may_move(outcome)):
                return outcome
            flight.token = ''
            flight.settled = False
            outcome = await self._run(flight, router)
        return outcome

    async def obtain(
        self, flight: _flight.Flight, router: pipeline.PoolRouter, pool: str
    ) -> kernel.NotRun | None:
        """Get a token for a stage of the pool; return a refusal if none."""
        tried: set[str] = set()
        refusal = kernel.NotRun(kernel.NotRunReason.no_endpoint, 1)
        for _ in range(_MAX_ISSUE_TRIES):
            wanted = routing.RoutingRequest(
                pool=pool, excluded=frozenset(tried)
            )
            decision = router.offer(wanted, (), trio.current_time())
            if isinstance(decision, routing.NoEndpoint):
                return refusal
            tried.add(decision.endpoint)
            answer = await self._issue(flight, decision.endpoint)
            if isinstance(answer, str):
                flight.token = answer
                return None
            refusal = answer
        return refusal

    async def _run(
        self, flight: _flight.Flight, router: pipeline.PoolRouter
    ) -> kernel.Outcome:
        refusal: kernel.NotRun | kernel.Unknown | None = None
        if flight.key is not None:
            refusal = await self._obtain_for_key(flight, flight.key)
        elif not flight.token:
            refusal = await self.obtain(
                flight, router, flight.execution.stage.pool
            )
        if refusal is not None:
            return refusal
        verified = self._signer.verify(flight.token)
        if isinstance(verified, admission.TokenRefused):
            return verified.outcome
        return await self._send(flight, verified)

    async def _issue(
        self, flight: _flight.Flight, endpoint: str
    ) -> str | kernel.NotRun:
        link = self._directory.link(endpoint)
        if link is None:
            return kernel.NotRun(kernel.NotRunReason.not_ready, 1)
        answer = await link.call(_admit_call(flight))
        if not isinstance(answer, wire.AdmitAnswer):
            return kernel.NotRun(kernel.NotRunReason.not_ready, 1)
        if answer.state == 'issued':
            return answer.token
        return _classify.not_run(answer.reason, answer.retry_after_ms)

    async def _obtain_for_key(
        self, flight: _flight.Flight, key: admission.IdempotencyKey
    ) -> kernel.NotRun | kernel.Unknown | None:
        """Get the key's token from its home; no other sidecar may serve it."""
        while True:
            answer = await self._ask_home(flight, key)
            if answer is None:
                await trio.sleep(_POLL_S)
            elif answer.state == 'issued':
                flight.token = answer.token
                return None
            elif answer.state == 'refused':
                flight.settled = True
                return _classify.not_run(answer.reason, answer.retry_after_ms)
            else:
                return _classify.unknown(answer.reason, key.text)

    async def _ask_home(
        self, flight: _flight.Flight, key: admission.IdempotencyKey
    ) -> wire.AdmitAnswer | None:
        pool = flight.execution.stage.pool
        target = self._published.home(pool, key)
        home = self._directory.name_at(target) if target else None
        if home is None or not self._directory.reach(home):
            return None
        link = self._directory.link(home)
        if link is None:
            return None
        answer = await link.call(_admit_call(flight, key.text))
        return answer if isinstance(answer, wire.AdmitAnswer) else None

    async def _send(
        self, flight: _flight.Flight, token: admission.AdmissionToken
    ) -> kernel.Outcome:
        """Send the call until its incarnation answers or is gone."""
        while True:
            lost = await self._await_link(token)
            if lost is not None:
                return kernel.Unknown(flight.token, lost)
            flight.sends += 1
            plan = _attempts.AttemptPlan(token.endpoint, flight.sends)
            outcome = await self._attempts.run(flight, plan)
            if not _is_unsettled(outcome):
                flight.settled = True
                return _with_token(outcome, flight.token)
            await trio.sleep(_POLL_S)

    async def _await_link(
        self, token: admission.AdmissionToken
    ) -> kernel.UnknownReason | None:
        """Wait for a connection to the token's incarnation."""
        while self._directory.reach(token.endpoint):
            link = self._directory.link(token.endpoint)
            peer = link.peer if link else None
            if peer is not None:
                if peer.incarnation == token.incarnation:
                    return None
                return kernel.UnknownReason.incarnation_lost
            await trio.sleep(_POLL_S)
        return kernel.UnknownReason.incarnation_lost


def _admit_call(flight: _flight.Flight, key: str = '') -> _link.MakeCall:
    request = flight.request
    return lambda call_id: wire.AdmitCall(
        call_id,
        request.request_id,
        request.digest,
        request.config_version,
        request.team,
        idempotency_key=key or None,
    )


def _is_unsettled(outcome: kernel.Outcome) -> bool:
    """Tell whether the ledger has not spoken, so that the call is sent again."""
    match outcome:
        case kernel.Unknown(reason=kernel.UnknownReason.connection_lost):
            return True
        case kernel.NotRun(reason=kernel.NotRunReason.not_ready):
            return True
        case _:
            return False


def _may_move(outcome: kernel.Outcome) -> bool:
    match outcome:
        case kernel.NotRun(reason=reason):
            return reason in _ELSEWHERE
        case _:
            return False


def _with_token(outcome: kernel.Outcome, token: str) -> kernel.Outcome:
    if isinstance(outcome, kernel.Unknown):
        return kernel.Unknown(token, outcome.reason, outcome.detail)
    return outcome
