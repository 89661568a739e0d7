"""Quarantine of request contents that may crash endpoints."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import admission, kernel, wire
from lentilspool.daemons import _hosts

_REPEAT_INTERVAL_S: Final = 2.0
# A message that opens a connection is lost, so a change is sent again within
# the time after which a suspect may run.
_CHANGE_PAUSES_S: Final = (0.0, 0.1, 0.2)

Send = Callable[[str, wire.Message], Awaitable[None]]


class SharedQuarantine(kernel.BaseComponent):
    """Decides whether request contents may run; shares suspicions.

    Suspicions are sent to all other entries when one changes. They are sent
    again while any lasts, because a message may be lost.
    """

    def __init__(self, name: str, send: Send, nursery: trio.Nursery) -> None:
        self._name = name
        self._send = send
        self._nursery = nursery
        self._quarantine = admission.Quarantine()
        self._entries: tuple[str, ...] = ()

    def update_hosts(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Apply a new host list."""
        self._entries = tuple(
            host.name
            for host in hosts
            if host.role == 'entry' and host.name != self._name
        )

    def decision_for(self, digest: str) -> admission.QuarantineDecision:
        """Return whether a content may run freely, only alone or not at all."""
        return self._quarantine.decide(digest, trio.current_time())

    def record_death(self, death: str, digest: str) -> None:
        """Record the death of an endpoint on which a content was running."""
        self._quarantine.record_endpoint_death(
            death, (digest,), trio.current_time()
        )
        self._nursery.start_soon(self._share_change)

    def record_completion(self, digest: str) -> None:
        """Clear suspicions against a content that has run to completion."""
        if self._quarantine.clear_completed(digest, trio.current_time()):
            self._nursery.start_soon(self._share_change)

    def merge_suspicions(self, message: wire.Suspicions) -> None:
        """Merge the suspicions of another entry; malformed ones are skipped."""
        decoded = map(admission.decode_suspicion, message.suspicions)
        known = [suspicion for suspicion in decoded if suspicion is not None]
        self._quarantine.merge(known, trio.current_time())

    async def start(self) -> None:
        """Start to repeat suspicions periodically."""
        self._nursery.start_soon(self._share_periodically)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        shared = self._quarantine.suspicions_to_share(trio.current_time())
        return {
            suspicion.content_digest: {
                'deaths': sorted(suspicion.deaths),
                'cleared': sorted(suspicion.cleared),
                'remaining_s': round(suspicion.remaining_s, 1),
            }
            for suspicion in shared
        }

    async def _share_periodically(self) -> None:
        while True:
            await trio.sleep(_REPEAT_INTERVAL_S)
            if self._quarantine.size:
                await self._share()

    async def _share_change(self) -> None:
        for pause_s in _CHANGE_PAUSES_S:
            await trio.sleep(pause_s)
            await self._share()

    async def _share(self) -> None:
        shared = self._quarantine.suspicions_to_share(trio.current_time())
        message = wire.Suspicions(
            tuple(admission.encode_suspicion(each) for each in shared)
        )
        for name in self._entries:
            await self._send(name, message)
