"""What an attempt has shown of the prompt of its request."""

from typing import Final

from lentilspool import serving
from lentilspool.gateway import _clock, _endpoint_checks

# An endpoint that lives so long after the first event of an answer does not end
# because of that request's prompt.
_PROOF_S: Final = 0.25


class PromptProgress:
    """Tells whether an endpoint has begun to write an answer on a prompt.

    Call ``begin_attempt`` when the request is sent, and ``record_event`` for
    each event that its caller gets.
    """

    def __init__(self, prompt: serving.Prompt | None) -> None:
        self._parts = serving.shared_parts(prompt)
        self._first_event_at: float | None = None
        self._last_event_at = 0.0

    @property
    def parts(self) -> tuple[str, ...]:
        """Parts of the prompt that other requests may have."""
        return self._parts

    @property
    def has_event(self) -> bool:
        """Whether the attempt has brought an event."""
        return self._first_event_at is not None

    @property
    def at_endpoint(self) -> _endpoint_checks.PromptParts:
        """Parts of the prompt by what the attempt has shown of them."""
        parts = frozenset(self._parts)
        first_at = self._first_event_at
        if first_at is None or self._last_event_at - first_at < _PROOF_S:
            return _endpoint_checks.PromptParts(suspects=parts)
        return _endpoint_checks.PromptParts(proved=parts)

    def begin_attempt(self) -> None:
        """Record that the request is sent to an endpoint."""
        self._first_event_at = None

    def record_event(self) -> None:
        """Record that the caller gets events of its stream."""
        self._last_event_at = _clock.now()
        if self._first_event_at is None:
            self._first_event_at = self._last_event_at
