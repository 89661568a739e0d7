"""Acceptance of requests that may wait for their outcome."""

from lentilspool import admission, kernel
from lentilspool.daemons import (
    _configuration,
    _held_requests,
    _runner,
    _submission,
)


class Acceptor:
    """Stores a request and returns the token that collects its outcome.

    The admission token of an unrepeatable stage is obtained before the
    request is accepted, so that an entry that takes the request over uses
    the same token and does not request a second one.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        runner: _runner.RequestRunner,
        held_requests: _held_requests.HeldRequests,
    ) -> None:
        self._configuration = configuration
        self._runner = runner
        self._held_requests = held_requests

    async def accept(
        self, submission: _submission.Submission
    ) -> kernel.Accepted | kernel.NotRun | kernel.Unknown:
        """Accept a request, or refuse it before anything of it has run."""
        request = submission.request
        tokens = await self._tokens(submission)
        if isinstance(tokens, kernel.NotRun):
            return tokens
        held = admission.HeldRequest(
            request_id=request.request_id,
            pipeline=request.pipeline,
            team=request.team,
            body=submission.body,
            tokens=tokens,
        )
        return await self._held_requests.accept(
            held, self._team_limit(request.team)
        )

    async def _tokens(
        self, submission: _submission.Submission
    ) -> tuple[tuple[str, str], ...] | kernel.NotRun:
        for stage in submission.request.stages:
            if not stage.repeatable:
                issued = submission.token or await self._runner.issue(
                    submission
                )
                if isinstance(issued, kernel.NotRun):
                    return issued
                return ((stage.name, issued),)
        return ()

    def _team_limit(self, team: str) -> int:
        document = self._configuration.document
        if document is None or team not in document.teams:
            return 0
        return document.teams[team].max_waiting
