"""Entry's side of one send of an unrepeatable request."""

import enum

from lentilspool import kernel


class SendPhase(enum.Enum):
    """What others may have done with the request already."""

    fresh = 'fresh'
    shared = 'shared'


class UnrepeatableSend:
    """Tells whether a send that is given up may be called not run.

    A send is fresh while no one but this entry can start the request: it
    came without token and key, and no token has been shown to the caller.
    Call ``take_token`` when a token has been issued; if it returns true,
    show the token to the caller and then start it. Call ``give_up`` when
    the sidecar cannot be reached, or does not answer in time.
    """

    def __init__(self, token: str = '', key: str = '') -> None:
        self._reference = token or key
        self._token = token
        self._phase = SendPhase.shared if self._reference else SendPhase.fresh

    @property
    def phase(self) -> SendPhase:
        """Whether another send can start, or have started, the request."""
        return self._phase

    @property
    def reference(self) -> str:
        """Token or key with which the caller can ask again."""
        return self._reference

    @property
    def may_move(self) -> bool:
        """Whether a token may be asked for at another endpoint."""
        return self._phase is SendPhase.fresh

    def take_token(self, token: str) -> bool:
        """Return whether this is the send's first token; drop a later one."""
        if self._token:
            return False
        self._token = token
        self._reference = token
        self._phase = SendPhase.shared
        return True

    def give_up(
        self,
        not_run: kernel.NotRunReason,
        unknown: kernel.UnknownReason,
        retry_after_s: float | None = None,
    ) -> kernel.NotRun | kernel.Unknown:
        """Return the outcome of a send that ends without an answer."""
        if self._phase is SendPhase.fresh:
            return kernel.NotRun(not_run, retry_after_s)
        return kernel.Unknown(self._reference, unknown)
