"""Unrepeatable stages: a token first, then one run at its incarnation."""

from typing import Final

import trio

from lentilspool import admission, kernel, pipeline, routing, wire
from lentilspool.daemons import (
    _attempts,
    _classify,
    _directory,
    _flight,
)

_POLL_S: Final = 0.05
_MAX_ISSUE_TRIES: Final = 4


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
        signer: admission.TokenSigner,
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._signer = signer

    async def run(
        self, flight: _flight.Flight, router: pipeline.PoolRouter
    ) -> kernel.Outcome:
        """Run the current stage of a request at most once."""
        if not flight.token:
            refusal = await self.obtain(flight, router)
            if refusal is not None:
                return refusal
        verified = self._signer.verify(flight.token)
        if isinstance(verified, admission.TokenRefused):
            return verified.outcome
        flight.admitted = verified
        return await self._send(flight, verified)

    async def obtain(
        self, flight: _flight.Flight, router: pipeline.PoolRouter
    ) -> kernel.NotRun | None:
        """Get a token for the current stage; return a refusal if none."""
        tried: set[str] = set()
        refusal = kernel.NotRun(kernel.NotRunReason.no_endpoint, 1)
        for _ in range(_MAX_ISSUE_TRIES):
            pool = flight.execution.stage.pool
            decision = router.choose(
                routing.RoutingRequest(pool=pool, excluded=frozenset(tried)),
                trio.current_time(),
            )
            if isinstance(decision, routing.NoEndpoint):
                return refusal
            tried.add(decision.endpoint)
            answer = await self._issue(flight, decision.endpoint)
            if isinstance(answer, str):
                flight.token = answer
                return None
            refusal = answer
        return refusal

    async def _issue(
        self, flight: _flight.Flight, endpoint: str
    ) -> str | kernel.NotRun:
        link = self._directory.link(endpoint)
        if link is None:
            return kernel.NotRun(kernel.NotRunReason.not_ready, 1)
        request = flight.request
        answer = await link.call(
            lambda call_id: wire.AdmitCall(
                call_id,
                request.request_id,
                flight.execution.stage_input().digest,
                request.config_version,
                request.team,
            )
        )
        if isinstance(answer, wire.AdmitAnswer):
            if answer.state == 'issued':
                return answer.token
            return _classify.not_run(answer.reason, answer.retry_after_ms)
        return kernel.NotRun(kernel.NotRunReason.not_ready, 1)

    async def _send(
        self, flight: _flight.Flight, token: admission.AdmissionToken
    ) -> kernel.Outcome:
        """Send the call until its incarnation answers or is gone."""
        number = 0
        while True:
            lost = await self._await_link(token)
            if lost is not None:
                return kernel.Unknown(flight.token, lost)
            number += 1
            plan = _attempts.AttemptPlan(token.endpoint, number, 0)
            outcome = await self._attempts.run(flight, plan)
            if not _is_unsettled(outcome):
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


def _is_unsettled(outcome: kernel.Outcome) -> bool:
    """Tell whether the connection broke, so that the call is sent again."""
    match outcome:
        case kernel.Unknown(reason=kernel.UnknownReason.connection_lost):
            return True
        case kernel.NotRun(reason=kernel.NotRunReason.not_ready):
            return True
        case _:
            return False


def _with_token(outcome: kernel.Outcome, token: str) -> kernel.Outcome:
    if isinstance(outcome, kernel.Unknown):
        return kernel.Unknown(token, outcome.reason, outcome.detail)
    return outcome
