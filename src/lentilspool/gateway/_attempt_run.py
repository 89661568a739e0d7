"""The run of a request's current attempt."""

from lentilspool import serving
from lentilspool.gateway import _clock


class AttemptRun:
    """Records how long an endpoint takes for an attempt.

    ``end`` may be called again; only the first call counts.
    """

    def __init__(self, run_times: serving.RunTimes) -> None:
        self._run_times = run_times
        self._run: serving.Run | None = None

    def begin(
        self,
        route: str,
        endpoint: serving.Endpoint,
        output_tokens: int | None,
    ) -> None:
        """Record that the request is sent to an endpoint.

        ``output_tokens`` is None if it resumes a stream.
        """
        self._run = self._run_times.begin(
            route, endpoint, output_tokens, _clock.now()
        )

    def add_events(self, count: int) -> None:
        """Record events that the endpoint has sent."""
        if self._run:
            self._run.add_events(count, _clock.now())

    def end(self, *, complete: bool) -> None:
        """Record that the endpoint has answered completely, or was left."""
        if self._run:
            self._run_times.end(self._run, _clock.now(), complete=complete)
            self._run = None
