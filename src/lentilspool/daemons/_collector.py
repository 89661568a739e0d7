"""Look-up of the outcome of an earlier request by its token."""

from typing import Final

import trio

from lentilspool import admission, kernel, wire
from lentilspool.daemons import _classify, _directory, _held_requests, _problem

_COLLECT_TIMEOUT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.05
_OK: Final = 200
_HELD_TOKEN_PREFIX: Final = 'wait~'


class Collector:
    """Queries the sidecar incarnation that issued a token for the outcome.

    Any entry can send the query, and it starts no work. Tokens of requests
    that may wait are looked up at the entries that hold the request.
    """

    def __init__(
        self,
        directory: _directory.Directory,
        signer: admission.TokenSigner,
        held_requests: _held_requests.HeldRequests,
    ) -> None:
        self._directory = directory
        self._signer = signer
        self._held_requests = held_requests

    async def collect(self, token_text: str) -> _problem.Response:
        """Return the HTTP response for a token, which may be invalid."""
        if token_text.startswith(_HELD_TOKEN_PREFIX):
            return await self._held_response(token_text)
        token = self._signer.verify(token_text)
        if isinstance(token, admission.TokenRefused):
            return _problem.response_of(token.outcome, '')
        answer = None
        with trio.move_on_after(_COLLECT_TIMEOUT_S):
            answer = await self._query_issuer(token_text, token)
        if answer is None:
            reason = kernel.UnknownReason.incarnation_lost
            return _problem.response_of(
                kernel.Unknown(token_text, reason), token.request_id
            )
        return _response(answer, token_text, token.request_id)

    async def _held_response(self, token_text: str) -> _problem.Response:
        """Return the HTTP response for the token of a request that may wait."""
        found = await self._held_requests.collect(token_text)
        if not isinstance(found, str):
            return _problem.response_of(found, '')
        if found == 'running':
            return _problem.json_response(
                _OK, {'state': found, 'token': token_text}
            )
        reason = kernel.UnknownReason.incarnation_lost
        return _problem.response_of(kernel.Unknown(token_text, reason), '')

    async def _query_issuer(
        self, token_text: str, token: admission.AdmissionToken
    ) -> wire.AdmitAnswer | None:
        def make_call(call_id: int) -> wire.AdmitCall:
            return wire.AdmitCall(
                call_id, token.request_id, '', 0, '', token=token_text
            )

        while self._directory.connect(token.endpoint):
            link = self._directory.link(token.endpoint)
            if link is not None and link.peer is not None:
                answer = await link.call(make_call)
                if isinstance(answer, wire.AdmitAnswer):
                    return answer
            await trio.sleep(_POLL_INTERVAL_S)
        return None


def _response(
    answer: wire.AdmitAnswer, token_text: str, request_id: str
) -> _problem.Response:
    if answer.state == 'finished':
        return _problem.response_of(
            kernel.Complete(answer.body or b'{}'), request_id
        )
    if answer.state in {'running', 'issued'}:
        fields = {'state': answer.state, 'token': token_text}
        return _problem.json_response(_OK, {'request_id': request_id, **fields})
    if answer.state == 'failed':
        failed = kernel.Failed('', answer.reason)
        return _problem.response_of(failed, request_id)
    if answer.state == 'refused':
        refusal = _classify.not_run(answer.reason, answer.retry_after_ms)
        return _problem.response_of(refusal, request_id)
    return _problem.response_of(
        _classify.unknown(answer.reason, token_text), request_id
    )
