"""Contents under which endpoints ended, shared with the other gateways."""

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
    """Refuses contents that end the endpoints that run them.

    ``record_death`` and ``record_completion`` report what happened to
    requests of this gateway. Run ``share`` for each connection to another
    gateway, and pass what it sends to ``merge``. Gateways pass on what they
    learn, so that all know a death after two hops.
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
        self._changed = trio.Event()
        self._subscribers: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._quarantine.version

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(callback)

    def refusal_s(self, content: str) -> float | None:
        """Return for how many seconds a content is refused; None if it runs."""
        decision = self._quarantine.decide(content, _clock.now())
        if isinstance(decision, admission.Quarantined):
            return decision.outcome.retry_after_s
        return None

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
        for text in message.suspicions:
            suspicion = admission.decode_suspicion(text)
            if suspicion is None:
                _events.PEER_MESSAGE.log(
                    _logger, kind='Suspicions', problem=f'malformed: {text!r}'
                )
            else:
                known.append(suspicion)
        if self._quarantine.merge(known, _clock.now()):
            self._notify()

    async def share(self, send: Callable[[wire.Message], None]) -> None:
        """Send all suspicions, then each change, until cancelled."""
        version = 0
        while True:
            while self.version == version:
                await self._changed.wait()
            await trio.sleep(_GATHER_S)
            suspicions = self._quarantine.suspicions_since(
                version, _clock.now()
            )
            version = self.version
            texts = [admission.encode_suspicion(one) for one in suspicions]
            for start in range(0, len(texts), _MAX_SUSPICIONS_PER_MESSAGE):
                end = start + _MAX_SUSPICIONS_PER_MESSAGE
                send(wire.Suspicions(tuple(texts[start:end])))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        for callback in self._subscribers:
            callback()
