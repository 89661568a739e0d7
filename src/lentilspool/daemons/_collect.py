"""Answers of requests that were sent before, by their tokens."""

from typing import Final

import trio

from lentilspool import admission, kernel, wire
from lentilspool.daemons import _classify, _directory, _problem, _waiting

_TIMEOUT_S: Final = 5.0
_POLL_S: Final = 0.05
_OK: Final = 200
_WAITING: Final = 'wait~'


class Collect:
    """Asks the incarnation that issued a token how far its request is.

    Any entry can ask; nothing is started by it.
    """

    def __init__(
        self,
        directory: _directory.Directory,
        signer: admission.TokenSigner,
        waiting: _waiting.Waiting,
    ) -> None:
        self._directory = directory
        self._signer = signer
        self._waiting = waiting

    async def answer(self, text: str) -> _problem.Response:
        """Return the response for a token."""
        if text.startswith(_WAITING):
            return await self._waiting_answer(text)
        token = self._signer.verify(text)
        if isinstance(token, admission.TokenRefused):
            return _problem.response_of(token.outcome, '')
        answer = None
        with trio.move_on_after(_TIMEOUT_S):
            answer = await self._ask(text, token)
        if answer is None:
            reason = kernel.UnknownReason.incarnation_lost
            return _problem.response_of(
                kernel.Unknown(text, reason), token.request_id
            )
        return _response(answer, text, token.request_id)

    async def _waiting_answer(self, text: str) -> _problem.Response:
        """Return the response for the token of a request that may wait."""
        found = await self._waiting.collect(text)
        if not isinstance(found, str):
            return _problem.response_of(found, '')
        if found == 'running':
            return _problem.plain(_OK, {'state': found, 'token': text})
        reason = kernel.UnknownReason.incarnation_lost
        return _problem.response_of(kernel.Unknown(text, reason), '')

    async def _ask(
        self, text: str, token: admission.AdmissionToken
    ) -> wire.AdmitAnswer | None:
        def make(call_id: int) -> wire.AdmitCall:
            return wire.AdmitCall(
                call_id, token.request_id, '', 0, '', token=text
            )

        while self._directory.reach(token.endpoint):
            link = self._directory.link(token.endpoint)
            if link is not None and link.peer is not None:
                answer = await link.call(make)
                if isinstance(answer, wire.AdmitAnswer):
                    return answer
            await trio.sleep(_POLL_S)
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
        return _problem.plain(_OK, {'request_id': request_id, **plain})
    if answer.state == 'failed':
        failed = kernel.Failed('', answer.reason)
        return _problem.response_of(failed, request_id)
    if answer.state == 'refused':
        refusal = _classify.not_run(answer.reason, answer.retry_after_ms)
        return _problem.response_of(refusal, request_id)
    return _problem.response_of(
        _classify.unknown(answer.reason, text), request_id
    )
