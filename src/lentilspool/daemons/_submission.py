"""Reading and validation of callers' requests before they run."""

import dataclasses
import time
import uuid
from typing import Final

import trio

from lentilspool import admission, config, kernel, pipeline, settings
from lentilspool.daemons import _asgi, _configuration, _problem

TOKEN_HEADER: Final = 'lentilspool-token'
_KEY_HEADER: Final = 'idempotency-key'
_BAD_REQUEST: Final = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A valid request, with its admission token or idempotency key."""

    request: pipeline.PipelineRequest
    """The validated request."""

    body: bytes = b''
    """Request body as the caller sent it."""

    token: str = ''
    """Admission token that the caller sent; empty if there is none."""

    key: admission.IdempotencyKey | None = None
    """Idempotency key that the caller sent, if any."""

    def outcome_without_ledger(self, outcome: kernel.Outcome) -> kernel.Outcome:
        """Return the outcome to report when the ledger has not decided it.

        If the caller sent a token or a key, another send of the same request
        may have run or may still run. Then only ``Complete`` and ``Unknown``
        are certain, and any other outcome becomes ``Unknown``.
        """
        if isinstance(outcome, kernel.Complete | kernel.Unknown):
            return outcome
        send = admission.UnrepeatableSend(
            self.token, self.key.text if self.key else ''
        )
        if send.phase is admission.SendPhase.fresh:
            return outcome
        kind = type(outcome).__name__
        reason = getattr(outcome, 'reason', '')
        return kernel.Unknown(
            send.reference,
            kernel.UnknownReason.earlier_send,
            f'this send ended as {kind} {getattr(reason, "value", reason)}',
        )


class SubmissionReader:
    """Reads and validates requests; a refusal is an HTTP response."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        caller_limits: settings.CallerLimits,
        signer: admission.TokenSigner,
    ) -> None:
        self._configuration = configuration
        self._caller_limits = caller_limits
        self._signer = signer

    async def read(
        self, name: str, scope: _asgi.Scope, receive: _asgi.Receive
    ) -> Submission | _problem.Response:
        """Return the request for a pipeline, or a response that refuses it."""
        body = await _asgi.read_body(
            receive,
            self._caller_limits.max_body_bytes,
            self._caller_limits.body_timeout_s,
        )
        if isinstance(body, _asgi.BodyRefused):
            return _problem.invalid_response(body.status, body.detail)
        document = self._configuration.document
        if document is None or not self._configuration.ready:
            return _not_ready(scope)
        request = self._check(name, scope, body, document)
        if isinstance(request, pipeline.Invalid):
            return _problem.invalid_response(request.status, request.detail)
        checked = self._with_token_or_key(request, scope)
        if isinstance(checked, _problem.Response):
            return checked
        return dataclasses.replace(checked, body=body)

    def _check(
        self,
        name: str,
        scope: _asgi.Scope,
        body: bytes,
        document: config.Document,
    ) -> pipeline.PipelineRequest | pipeline.Invalid:
        template = pipeline.PipelineRequest(
            request_id=uuid.uuid4().hex,
            pipeline=name,
            stages=(),
            team='',
            fields={},
            deadline=0,
            may_wait=False,
            config_version=self._configuration.version,
            traceparent=_asgi.header(scope, 'traceparent'),
        )
        now = trio.current_time()
        return pipeline.check_request(body, template, document, now)

    def _with_token_or_key(
        self, request: pipeline.PipelineRequest, scope: _asgi.Scope
    ) -> Submission | _problem.Response:
        """Check the token or the key that the caller sent with a request."""
        token = _asgi.header(scope, TOKEN_HEADER)
        key = _asgi.header(scope, _KEY_HEADER)
        if not token and not key:
            return Submission(request)
        if request.repeatable or (token and key):
            detail = 'a token or a key, not both, needs an unrepeatable stage'
            return _problem.invalid_response(_BAD_REQUEST, detail)
        if token:
            return self._with_token(request, token)
        return self._with_key(request, key)

    def _with_token(
        self, request: pipeline.PipelineRequest, token_text: str
    ) -> Submission | _problem.Response:
        token = self._signer.verify(token_text)
        if isinstance(token, admission.TokenRefused):
            return _problem.response_of(token.outcome, request.request_id)
        if token.content_digest != request.digest:
            detail = 'the token was issued for another body'
            return _problem.invalid_response(_BAD_REQUEST, detail)
        return Submission(request, token=token_text)

    def _with_key(
        self, request: pipeline.PipelineRequest, key_text: str
    ) -> Submission | _problem.Response:
        key = admission.parse_key(request.team, key_text)
        if key is None:
            detail = 'Idempotency-Key must be a UUID of version 7'
            return _problem.invalid_response(_BAD_REQUEST, detail)
        expired = admission.check_key_age(
            key, admission.KeyRules(), time.time()
        )
        if expired is not None:
            return _problem.response_of(expired, request.request_id)
        return Submission(request, key=key)


def _not_ready(scope: _asgi.Scope) -> _problem.Response:
    """Return the refusal of a request while no configuration is ready.

    With a token or a key, an earlier send may have run, so the outcome is
    ``Unknown``.
    """
    reference = _asgi.header(scope, TOKEN_HEADER) or _asgi.header(
        scope, _KEY_HEADER
    )
    if reference:
        reason = kernel.UnknownReason.earlier_send
        return _problem.response_of(kernel.Unknown(reference, reason), '')
    not_ready = kernel.NotRun(kernel.NotRunReason.not_ready, 1)
    return _problem.response_of(not_ready, '')
