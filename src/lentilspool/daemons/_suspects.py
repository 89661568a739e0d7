"""Contents suspected of crashing endpoints, shared between entries."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import admission, kernel, wire
from lentilspool.daemons import _hosts

_REPEAT_S: Final = 2.0

Send = Callable[[str, wire.Message], Awaitable[None]]


class Suspects(kernel.BaseComponent):
    """Judges contents, and tells other entries what is held against them.

    A suspicion is sent to every entry when it arises and repeated while it
    lasts, since a message may be lost.
    """

    def __init__(self, name: str, send: Send, nursery: trio.Nursery) -> None:
        self._name = name
        self._send = send
        self._nursery = nursery
        self._quarantine = admission.Quarantine()
        self._entries: tuple[str, ...] = ()

    def follow(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Take a new host list."""
        self._entries = tuple(
            host.name
            for host in hosts
            if host.role == 'entry' and host.name != self._name
        )

    def judge(self, digest: str) -> admission.QuarantineDecision:
        """Decide how a content may run."""
        return self._quarantine.decide(digest, trio.current_time())

    def died(self, death: str, digest: str) -> None:
        """Count an endpoint's death against a content that ran there."""
        self._quarantine.record_endpoint_death(
            death, (digest,), trio.current_time()
        )
        self._nursery.start_soon(self._share)

    def completed(self, digest: str) -> None:
        """Clear a content that has run to its end."""
        if self._quarantine.clear_completed(digest, trio.current_time()):
            self._nursery.start_soon(self._share)

    def heard(self, message: wire.Suspicions) -> None:
        """Take what another entry holds against contents."""
        decoded = map(admission.decode_suspicion, message.suspicions)
        known = [suspicion for suspicion in decoded if suspicion is not None]
        self._quarantine.merge(known, trio.current_time())

    async def start(self) -> None:
        """Begin to repeat suspicions."""
        self._nursery.start_soon(self._repeat)

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

    async def _repeat(self) -> None:
        while True:
            await trio.sleep(_REPEAT_S)
            if self._quarantine.size:
                await self._share()

    async def _share(self) -> None:
        shared = self._quarantine.suspicions_to_share(trio.current_time())
        message = wire.Suspicions(
            tuple(admission.encode_suspicion(each) for each in shared)
        )
        for name in self._entries:
            await self._send(name, message)
