"""What an endpoint states of itself in its answers, noted in the history."""

import itertools

from lentilspool.platform.tests import stand_ins
from soak import _history, _recorder


class Statements:
    """Statements in the answers of one endpoint."""

    def __init__(self, endpoint: str, recorder: _recorder.Recorder) -> None:
        self._endpoint = endpoint
        self._recorder = recorder
        # Requests a second that it takes; None for no limit.
        self.limit_per_s: float | None = None
        # Rest that it asks for, rejecting everything; 0 if it serves.
        self.rest_s = 0.0
        self.leaving = False
        # Of so many requests it rejects one, without its id; 0 for none.
        self.rejects_every = 0
        self._asked = itertools.count(1)
        self._has_stated = False

    def rejects(self) -> bool:
        """Whether the next request is rejected."""
        every = self.rejects_every
        drawn = bool(every) and not next(self._asked) % every
        return bool(self.rest_s) or drawn

    def rejection_headers(
        self, request: str, arrived_at: float
    ) -> stand_ins.Headers:
        """Return the headers of a rejection, and note what they state."""
        headers = stand_ins.rejection_headers(request)
        if self.rejects_every:
            headers = stand_ins.unnamed_headers(headers)
        return [*headers, *self.headers(request, arrived_at)]

    def headers(self, request: str, arrived_at: float) -> stand_ins.Headers:
        """Return the headers of an answer, and note what they state.

        ``request`` is empty for a call of pieces.
        """
        headers: stand_ins.Headers = []
        if self.limit_per_s is not None:
            headers += stand_ins.limit_headers(f'{self.limit_per_s:.2f}')
        if self.rest_s:
            headers += stand_ins.retry_after_headers(f'{self.rest_s:.2f}')
        headers += stand_ins.leaving_headers(leaving=self.leaving)
        self._has_stated = self._has_stated or bool(headers)
        if self._has_stated:
            self._recorder.note(
                _history.Answered(
                    self._recorder.now(),
                    self._endpoint,
                    request,
                    arrived_at,
                    self.limit_per_s,
                    self.rest_s,
                    self.leaving,
                )
            )
        return headers
