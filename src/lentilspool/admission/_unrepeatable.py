"""Entry's decisions on one send of an unrepeatable request."""

import enum

from lentilspool import kernel


class SendPhase(enum.Enum):
    """Whether anyone but this entry may have started the request."""

    fresh = 'fresh'
    shared = 'shared'


class UnrepeatableSend:
    """Decides whether an abandoned send may be reported as not run.

    A send is ``fresh`` while nobody but this entry can start the request:
    it came without token or key, and the caller has not received a token.
    Call ``record_token`` when a token has been issued; if it returns true,
    send the token to the caller first and then start the request with it.
    Call ``abandon`` when the sidecar is unreachable or does not answer in
    time.
    """

    def __init__(self, token: str = '', key: str = '') -> None:
        self._reference = token or key
        self._token = token
        self._phase = SendPhase.shared if self._reference else SendPhase.fresh

    @property
    def phase(self) -> SendPhase:
        """``shared`` if another send may start or have started the request."""
        return self._phase

    @property
    def reference(self) -> str:
        """Token or key with which the caller can retry; empty if fresh."""
        return self._reference

    @property
    def may_use_other_endpoint(self) -> bool:
        """Whether a token may be requested at another endpoint."""
        return self._phase is SendPhase.fresh

    def record_token(self, token: str) -> bool:
        """Store the send's first token; return false for a later one."""
        if self._token:
            return False
        self._token = token
        self._reference = token
        self._phase = SendPhase.shared
        return True

    def abandon(
        self,
        not_run: kernel.NotRunReason,
        unknown: kernel.UnknownReason,
        retry_after_s: float | None = None,
    ) -> kernel.NotRun | kernel.Unknown:
        """Return the outcome of a send that ends without an answer.

        That is ``NotRun`` for a fresh send and ``Unknown`` otherwise.
        """
        if self._phase is SendPhase.fresh:
            return kernel.NotRun(not_run, retry_after_s)
        return kernel.Unknown(self._reference, unknown)
