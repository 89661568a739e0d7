"""Acceptance of requests that may wait."""

from lentilspool import admission, kernel
from lentilspool.daemons import (
    _configuration,
    _runner,
    _submission,
    _waiting,
)


class Accept:
    """Holds a request and returns the token that collects its outcome.

    The token of an unrepeatable stage is had before the request is
    accepted, so that whoever takes over asks for no second one.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        runner: _runner.Runner,
        waiting: _waiting.Waiting,
    ) -> None:
        self._configuration = configuration
        self._runner = runner
        self._waiting = waiting

    async def accept(
        self, submission: _submission.Submission
    ) -> kernel.Accepted | kernel.NotRun | kernel.Unknown:
        """Accept a request, or refuse it with nothing run."""
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
        return await self._waiting.accept(held, self._team_limit(request.team))

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
