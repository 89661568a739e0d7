"""Connections that have gone silent, and what a fresh one says."""

import dataclasses
from typing import Final

_FRESH_S: Final = 0.75
_SILENT_S: Final = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """Write the request to this connection."""

    connection: int
    """Number of the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenNew:
    """Open a connection and write the request to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Send a probe and ask again when it is answered or after a time."""

    connection: int
    """Number of the connection to probe."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retired:
    """Connections that must be closed, and what that says."""

    connections: tuple[int, ...]
    """Numbers of the connections; their open calls are ``Unknown``."""

    endpoint_silent: bool
    """Whether the endpoint itself is to be judged as failing."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Connection:
    opened_at: float
    progress_at: float
    open_calls: int = 0
    probing: bool = False
    waiting_since: float | None = None


class ConnectionHealth:
    """Finds silent connections to one endpoint.

    Call ``opened`` when a connection stands and probe it, ``sent`` and ``answered``
    around each call, ``probed`` when a probe is written, ``progressed``
    when other bytes come in, the answer to a probe among them, and
    ``closed`` when it ends. Ask ``choose`` before writing a request, and
    ``check`` several times a second; probe what ``to_probe`` names. Call
    ``resumed`` first after a pause of the process.

    A request is written only to a connection that made progress a short
    time ago. One that owes an answer and is silent for that long, also
    to a probe, is retired. The endpoint is judged only by connections
    that were opened after the first one was found silent.
    """

    def __init__(
        self, fresh_s: float = _FRESH_S, silent_s: float = _SILENT_S
    ) -> None:
        self._fresh_s = fresh_s
        self._silent_s = silent_s
        self._open: dict[int, _Connection] = {}
        self._suspected_since: float | None = None

    @property
    def connections(self) -> tuple[int, ...]:
        """Numbers of the connections that are in use."""
        return tuple(self._open)

    def opened(self, connection: int, now: float) -> None:
        """Add a connection; its handshake counts as progress."""
        self._open[connection] = _Connection(now, now)

    def closed(self, connection: int) -> None:
        """Remove a connection that has ended by itself."""
        self._open.pop(connection, None)

    def sent(self, connection: int, now: float) -> None:
        """Note that a request was written."""
        self._wait(connection, now, calls=1, probing=False)

    def probed(self, connection: int, now: float) -> None:
        """Note that a probe was written."""
        self._wait(connection, now, calls=0, probing=True)

    def answered(self, connection: int, now: float) -> None:
        """Note that the last bytes of an answer came in."""
        self._advance(connection, now, calls=1)

    def progressed(self, connection: int, now: float) -> None:
        """Note that other bytes came in."""
        self._advance(connection, now, calls=0)

    def resumed(self, now: float) -> None:
        """Start all waits anew after a pause of this process."""
        for number, held in self._open.items():
            if held.waiting_since is not None:
                self._open[number] = dataclasses.replace(
                    held, waiting_since=now
                )

    def choose(self, now: float) -> Use | Probe | OpenNew:
        """Return the connection for a request that is about to be sent.

        After ``Probe``, send the probe and ask again when it is answered
        or at once: the request then goes to a new connection.
        """
        best = max(
            self._open,
            key=lambda number: self._open[number].progress_at,
            default=None,
        )
        if best is None:
            return OpenNew()
        held = self._open[best]
        if now - held.progress_at <= self._fresh_s:
            return Use(best)
        return OpenNew() if held.probing else Probe(best)

    def to_probe(self, now: float) -> tuple[int, ...]:
        """Return connections that owe an answer and have gone quiet."""
        return tuple(
            number
            for number, held in self._open.items()
            if not held.probing
            and self._waited_s(held, now) > self._fresh_s / 3
        )

    def check(self, now: float) -> Retired:
        """Retire the silent connections; judge the endpoint by fresh ones."""
        silent = tuple(
            number
            for number, held in self._open.items()
            if held.probing and self._waited_s(held, now) > self._silent_s
        )
        opened = [self._open.pop(number).opened_at for number in silent]
        since = self._suspected_since
        if since is None:
            self._suspected_since = now if silent else None
            return Retired(silent, endpoint_silent=False)
        judged = any(opened_at >= since for opened_at in opened)
        return Retired(silent, endpoint_silent=judged)

    def _waited_s(self, held: _Connection, now: float) -> float:
        return 0 if held.waiting_since is None else now - held.waiting_since

    def _wait(
        self, connection: int, now: float, *, calls: int, probing: bool
    ) -> None:
        held = self._open.get(connection)
        if held is None:
            return
        waiting = held.waiting_since
        self._open[connection] = dataclasses.replace(
            held,
            open_calls=held.open_calls + calls,
            probing=held.probing or probing,
            waiting_since=now if waiting is None else waiting,
        )

    def _advance(self, connection: int, now: float, *, calls: int) -> None:
        held = self._open.get(connection)
        if held is None:
            return
        open_calls = max(held.open_calls - calls, 0)
        self._open[connection] = _Connection(
            held.opened_at,
            now,
            open_calls,
            waiting_since=now if open_calls else None,
        )
        since = self._suspected_since
        if since is not None and held.opened_at >= since:
            self._suspected_since = None
