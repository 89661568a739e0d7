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

    async def collect(self, text: str) -> _problem.Response:
        """Return the HTTP response for a token."""
        if text.startswith(_HELD_TOKEN_PREFIX):
            return await self._held_response(text)
        token = self._signer.verify(text)
        if isinstance(token, admission.TokenRefused):
            return _problem.response_of(token.outcome, '')
        answer = None
        with trio.move_on_after(_COLLECT_TIMEOUT_S):
            answer = await self._query_issuer(text, token)
        if answer is None:
            reason = kernel.UnknownReason.incarnation_lost
            return _problem.response_of(
                kernel.Unknown(text, reason), token.request_id
            )
        return _response(answer, text, token.request_id)

    async def _held_response(self, text: str) -> _problem.Response:
        """Return the HTTP response for the token of a request that may wait."""
        found = await self._held_requests.collect(text)
        if not isinstance(found, str):
            return _problem.response_of(found, '')
        if found == 'running':
            return _problem.json_response(_OK, {'state': found, 'token': text})
        reason = kernel.UnknownReason.incarnation_lost
        return _problem.response_of(kernel.Unknown(text, reason), '')

    async def _query_issuer(
        self, text: str, token: admission.AdmissionToken
    ) -> wire.AdmitAnswer | None:
        def make_call(call_id: int) -> wire.AdmitCall:
            return wire.AdmitCall(
                call_id, token.request_id, '', 0, '', token=text
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
    answer: wire.AdmitAnswer, text: str, request_id: str
) -> _problem.Response:
    if answer.state == 'finished':
        return _problem.response_of(
            kernel.Complete(answer.body or b'{}'), request_id
        )
    if answer.state in {'running', 'issued'}:
        plain = {'state': answer.state, 'token': text}
        return _problem.json_response(_OK, {'request_id': request_id, **plain})
    if answer.state == 'failed':
        failed = kernel.Failed('', answer.reason)
        return _problem.response_of(failed, request_id)
    if answer.state == 'refused':
        refusal = _classify.not_run(answer.reason, answer.retry_after_ms)
        return _problem.response_of(refusal, request_id)
    return _problem.response_of(
        _classify.unknown(answer.reason, text), request_id
    )
