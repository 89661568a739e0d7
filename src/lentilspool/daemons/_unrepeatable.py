"""Unrepeatable stages, run at most once by means of admission tokens."""

from typing import Final

import trio

from lentilspool import admission, kernel, pipeline, routing, wire
from lentilspool.daemons import (
    _attempts,
    _classify,
    _configuration_lookup,
    _directory,
    _link,
    _request_state,
)

_POLL_INTERVAL_S: Final = 0.05
_MAX_ISSUE_ATTEMPTS: Final = 4
_RETRY_ELSEWHERE_REASONS: Final = frozenset(
    (
        kernel.NotRunReason.draining,
        kernel.NotRunReason.no_endpoint,
        kernel.NotRunReason.expired_token,
    )
)


class UnrepeatableStages:
    """Obtains admission tokens and sends calls that must run at most once.

    Nothing runs before a token is issued, so the request for a token may be
    retried at other endpoints. A call with a token goes only to the sidecar
    incarnation that issued it. It is sent again if the connection breaks,
    because the ledger of that incarnation runs it at most once.
    """

    def __init__(
        self,
        directory: _directory.Directory,
        attempts: _attempts.AttemptSender,
        lookup: _configuration_lookup.ConfigurationLookup,
        signer: admission.TokenSigner,
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._configuration_lookup = lookup
        self._signer = signer

    async def run(
        self,
        request_state: _request_state.RequestState,
        router: pipeline.PoolRouter,
    ) -> kernel.Outcome:
        """Run the current stage of a request at most once.

        If the ledger reports that the call did not run, for a reason that
        concerns only that endpoint, a token of another endpoint is used. This
        is not done if the caller sent a token or a key, because it may have
        sent the same request to another entry as well.
        """
        may_reissue = not request_state.token and request_state.key is None
        outcome = await self._run(request_state, router)
        for _ in range(_MAX_ISSUE_ATTEMPTS):
            if not (
                may_reissue
                and request_state.ledger_decided
                and _may_run_elsewhere(outcome)
            ):
                return outcome
            request_state.token = ''
            request_state.ledger_decided = False
            outcome = await self._run(request_state, router)
        return outcome

    async def obtain_token(
        self,
        request_state: _request_state.RequestState,
        router: pipeline.PoolRouter,
        pool: str,
    ) -> kernel.NotRun | None:
        """Store a token for a stage of the pool, or return the refusal."""
        tried: set[str] = set()
        refusal = kernel.NotRun(kernel.NotRunReason.no_endpoint, 1)
        for _ in range(_MAX_ISSUE_ATTEMPTS):
            routing_request = routing.RoutingRequest(
                pool=pool, excluded=frozenset(tried)
            )
            decision = router.offer(routing_request, (), trio.current_time())
            if isinstance(decision, routing.NoEndpoint):
                return refusal
            tried.add(decision.endpoint)
            answer = await self._request_token(request_state, decision.endpoint)
            if isinstance(answer, str):
                request_state.token = answer
                return None
            refusal = answer
        return refusal

    async def _run(
        self,
        request_state: _request_state.RequestState,
        router: pipeline.PoolRouter,
    ) -> kernel.Outcome:
        refusal: kernel.NotRun | kernel.Unknown | None = None
        if request_state.key is not None:
            refusal = await self._obtain_token_for_key(
                request_state, request_state.key
            )
        elif not request_state.token:
            refusal = await self.obtain_token(
                request_state, router, request_state.execution.stage.pool
            )
        if refusal is not None:
            return refusal
        verified = self._signer.verify(request_state.token)
        if isinstance(verified, admission.TokenRefused):
            return verified.outcome
        return await self._send(request_state, verified)

    async def _request_token(
        self, request_state: _request_state.RequestState, endpoint: str
    ) -> str | kernel.NotRun:
        link = self._directory.link(endpoint)
        if link is None:
            return kernel.NotRun(kernel.NotRunReason.not_ready, 1)
        answer = await link.call(_admit_call(request_state))
        if not isinstance(answer, wire.AdmitAnswer):
            return kernel.NotRun(kernel.NotRunReason.not_ready, 1)
        if answer.state == 'issued':
            return answer.token
        return _classify.not_run(answer.reason, answer.retry_after_ms)

    async def _obtain_token_for_key(
        self,
        request_state: _request_state.RequestState,
        key: admission.IdempotencyKey,
    ) -> kernel.NotRun | kernel.Unknown | None:
        """Store the key's token, issued by the sidecar that owns its slot.

        No other sidecar may issue it, so this waits until that one answers.
        """
        while True:
            answer = await self._call_home(request_state, key)
            if answer is None:
                await trio.sleep(_POLL_INTERVAL_S)
            elif answer.state == 'issued':
                request_state.token = answer.token
                return None
            elif answer.state == 'refused':
                request_state.ledger_decided = True
                return _classify.not_run(answer.reason, answer.retry_after_ms)
            else:
                return _classify.unknown(answer.reason, key.text)

    async def _call_home(
        self,
        request_state: _request_state.RequestState,
        key: admission.IdempotencyKey,
    ) -> wire.AdmitAnswer | None:
        pool = request_state.execution.stage.pool
        target = self._configuration_lookup.home_address(pool, key)
        home = self._directory.name_at(target) if target else None
        if home is None or not self._directory.connect(home):
            return None
        link = self._directory.link(home)
        if link is None:
            return None
        answer = await link.call(_admit_call(request_state, key.text))
        return answer if isinstance(answer, wire.AdmitAnswer) else None

    async def _send(
        self,
        request_state: _request_state.RequestState,
        token: admission.AdmissionToken,
    ) -> kernel.Outcome:
        """Send the call until its incarnation answers or no longer exists."""
        while True:
            loss_reason = await self._wait_for_link(token)
            if loss_reason is not None:
                return kernel.Unknown(request_state.token, loss_reason)
            request_state.attempts_sent += 1
            plan = _attempts.AttemptPlan(
                token.endpoint, request_state.attempts_sent
            )
            outcome = await self._attempts.run(request_state, plan)
            if not _is_undecided(outcome):
                request_state.ledger_decided = True
                return _with_token(outcome, request_state.token)
            await trio.sleep(_POLL_INTERVAL_S)

    async def _wait_for_link(
        self, token: admission.AdmissionToken
    ) -> kernel.UnknownReason | None:
        """Wait for a connection to the token's incarnation.

        Return None once it is connected, or the reason why it never will be.
        """
        while self._directory.connect(token.endpoint):
            link = self._directory.link(token.endpoint)
            peer = link.peer if link else None
            if peer is not None:
                if peer.incarnation == token.incarnation:
                    return None
                return kernel.UnknownReason.incarnation_lost
            await trio.sleep(_POLL_INTERVAL_S)
        return kernel.UnknownReason.incarnation_lost


def _admit_call(
    request_state: _request_state.RequestState, key: str = ''
) -> _link.MakeCall:
    request = request_state.request
    return lambda call_id: wire.AdmitCall(
        call_id,
        request.request_id,
        request.digest,
        request.config_version,
        request.team,
        idempotency_key=key or None,
    )


def _is_undecided(outcome: kernel.Outcome) -> bool:
    """Return whether the ledger gave no answer, so the call is sent again."""
    match outcome:
        case kernel.Unknown(reason=kernel.UnknownReason.connection_lost):
            return True
        case kernel.NotRun(reason=kernel.NotRunReason.not_ready):
            return True
        case _:
            return False


def _may_run_elsewhere(outcome: kernel.Outcome) -> bool:
    match outcome:
        case kernel.NotRun(reason=reason):
            return reason in _RETRY_ELSEWHERE_REASONS
        case _:
            return False


def _with_token(outcome: kernel.Outcome, token: str) -> kernel.Outcome:
    if isinstance(outcome, kernel.Unknown):
        return kernel.Unknown(token, outcome.reason, outcome.detail)
    return outcome
