"""What an endpoint states of itself in its answers, noted in the history."""

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
        self._has_stated = False

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
