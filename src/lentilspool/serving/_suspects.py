"""What the planner asks about contents that may end endpoints."""

from collections.abc import Iterable
from typing import Protocol

from lentilspool.serving import _contents, _jobs


class Suspects(Protocol):
    """Contents under which endpoints ended."""

    @property
    def version(self) -> int:
        """Number of changes so far."""

    def refusal_s(self, content: str) -> float | None:
        """Return for how many seconds a content is refused; None if it runs."""

    def prompt_refusal_s(self, parts: tuple[str, ...]) -> float | None:
        """Return for how many seconds a prompt is refused; None if it runs.

        ``parts`` are those that other prompts may share.
        """

    def open_deaths(self, content: str) -> int:
        """Return how many deaths of endpoints count against a content."""

    def runs_apart(self, content: str) -> bool:
        """Whether a content must not run beside another such content."""

    def record_completion(self, content: str, service: str) -> None:
        """Clear a content whose stages at a service have completed."""


class NoSuspects:
    """Suspects of a planner that is used without a quarantine."""

    version = 0

    def refusal_s(self, content: str) -> float | None:
        """Return None: every content runs."""

    def prompt_refusal_s(self, parts: tuple[str, ...]) -> float | None:
        """Return None: every prompt runs."""

    def open_deaths(self, content: str) -> int:
        """Return 0: no deaths are known."""
        return 0

    def runs_apart(self, content: str) -> bool:
        """Return False: nothing is suspected."""
        return False

    def record_completion(self, content: str, service: str) -> None:
        """Do nothing."""


class JobSuspicions:
    """Applies what is known of contents to the jobs of a planner."""

    def __init__(self, suspects: Suspects) -> None:
        self._suspects = suspects
        self._applied_version = suspects.version

    def apply(self, job: _jobs.Job) -> float | None:
        """Mark a suspect; return for how many seconds it must be refused."""
        content = job.plan_request.content
        job.runs_apart = self._suspects.runs_apart(content)
        refusal_s = self._suspects.refusal_s(content)
        if refusal_s is not None:
            return refusal_s
        parts = _contents.shared_parts(job.plan_request.prompt)
        return self._suspects.prompt_refusal_s(parts) if parts else None

    def apply_changes(
        self, jobs: Iterable[_jobs.Job]
    ) -> list[tuple[_jobs.Job, float]]:
        """Return the jobs to refuse since the last change, with the seconds."""
        if self._applied_version == self._suspects.version:
            return []
        self._applied_version = self._suspects.version
        applied = [(job, self.apply(job)) for job in jobs]
        return [
            (job, refusal_s)
            for job, refusal_s in applied
            if refusal_s is not None
        ]
