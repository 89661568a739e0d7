"""Contents and prompt parts under which endpoints ended.

They are shared with the other gateways.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

import trio

from lentilspool import admission, settings, wire
from lentilspool.gateway import _clock, _events

_logger: Final = logging.getLogger(__name__)
_MAX_SUSPICIONS_PER_MESSAGE: Final = 100
# Changes within this time are sent together.
_GATHER_S: Final = 0.02


class ContentQuarantine:
    """Refuses contents and prompt parts that end the endpoints that run them.

    ``record_death``, ``record_completion`` and their counterparts for prompts
    report what happened to requests of this gateway. Run ``share`` for each
    connection to another gateway, and pass what it sends to ``merge``.
    Gateways pass on what they learn, so that all know a death after two hops.
    """

    def __init__(self, limits: settings.QuarantineSettings) -> None:
        self._limits = limits
        self._quarantine = admission.Quarantine(
            admission.QuarantineLimits(
                limits.max_contents,
                limits.deaths,
                limits.suspicion_s,
                limits.refusal_s,
            )
        )
        self._parts = admission.PartQuarantine(
            admission.PartLimits(
                deaths=limits.part_deaths,
                sound_deaths=limits.sound_part_deaths,
                refusal_s=limits.part_refusal_s,
                lifetime_s=limits.refusal_s,
                max_entries=limits.max_part_deaths,
            )
        )
        self._changed = trio.Event()
        self._told_version = 0
        self._subscribers: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Number of changes so far that may change a refusal."""
        return self._quarantine.version + self._parts.refusals_version

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(callback)

    def refusal_s(self, content: str) -> float | None:
        """Return for how many seconds a content is refused; None if it runs."""
        decision = self._quarantine.decide(content, _clock.now())
        if isinstance(decision, admission.Quarantined):
            return decision.outcome.retry_after_s
        return None

    def prompt_refusal_s(self, parts: tuple[str, ...]) -> float | None:
        """Return for how many seconds a prompt is refused; None if it runs.

        ``parts`` are those that other prompts may share.
        """
        return self._parts.refusal_s(parts, _clock.now())

    def open_deaths(self, content: str) -> int:
        """Return how many deaths of endpoints count against a content."""
        return self._quarantine.open_deaths(content, _clock.now())

    def runs_apart(self, content: str) -> bool:
        """Whether one more death under a content leads to its refusal."""
        return self.open_deaths(content) >= self._limits.deaths - 1

    def record_death(
        self, service: str, incarnation: str, contents: Iterable[str]
    ) -> None:
        """Record that an endpoint ended while it ran these contents."""
        self._quarantine.record_endpoint_death(
            f'{service} {incarnation}', contents, _clock.now()
        )
        self._notify()

    def record_prompt_death(
        self,
        service: str,
        incarnation: str,
        suspects: Iterable[str],
        proved: Iterable[str],
    ) -> None:
        """Record that an endpoint ended while it ran these prompt parts.

        ``proved`` are parts of requests whose answers it was writing.
        """
        if self._parts.record_death(
            f'{service} {incarnation}', suspects, proved, _clock.now()
        ):
            self._notify()

    def record_completed_prompt(self, parts: tuple[str, ...]) -> None:
        """Clear the parts of a prompt whose answer is complete."""
        if self._parts.clear_completed(parts):
            self._notify()

    def record_completion(self, content: str, service: str = '') -> None:
        """Clear a content that has completed.

        If only its stages at a service have, other deaths still count.
        """
        ended_at = f'{service} ' if service else ''
        if self._quarantine.clear_completed(content, _clock.now(), ended_at):
            self._notify()

    def merge(self, message: wire.Suspicions) -> None:
        """Merge what another gateway knows; malformed parts are skipped."""
        known: list[admission.Suspicion] = []
        reports: list[admission.PartReport] = []
        for text in message.suspicions:
            suspicion = admission.decode_suspicion(text)
            if suspicion is None:
                _events.PEER_MESSAGE.log(
                    _logger, kind='Suspicions', problem=f'malformed: {text!r}'
                )
                continue
            report = admission.as_part_report(suspicion)
            if report:
                reports.append(report)
            else:
                known.append(suspicion)
        now = _clock.now()
        changed = self._quarantine.merge(known, now)
        if self._parts.merge(reports, now) or changed:
            self._notify()

    async def share(self, send: Callable[[wire.Message], None]) -> None:
        """Send all suspicions, then each change, until cancelled."""
        versions = (0, 0)
        while True:
            while self._versions == versions:
                await self._changed.wait()
            await trio.sleep(_GATHER_S)
            texts = self._changes_since(*versions)
            versions = self._versions
            for start in range(0, len(texts), _MAX_SUSPICIONS_PER_MESSAGE):
                end = start + _MAX_SUSPICIONS_PER_MESSAGE
                send(wire.Suspicions(tuple(texts[start:end])))

    @property
    def _versions(self) -> tuple[int, int]:
        return self._quarantine.version, self._parts.version

    def _changes_since(
        self, content_version: int, part_version: int
    ) -> list[str]:
        now = _clock.now()
        suspicions = self._quarantine.suspicions_since(content_version, now)
        reports = self._parts.reports_since(part_version, now)
        return [
            *(admission.encode_suspicion(one) for one in suspicions),
            *(admission.encode_part_report(one) for one in reports),
        ]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        if self.version == self._told_version:
            return
        self._told_version = self.version
        for callback in self._subscribers:
            callback()
