"""Detection of silent connections and of silent endpoints."""

import dataclasses
from typing import Final

_RECENT_PROGRESS_S: Final = 0.75
_MAX_SILENCE_S: Final = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class UseConnection:
    """Write the request to this connection."""

    connection: int
    """Number of the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection and write the request to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Send a probe; call ``choose`` again after its answer or a time-out."""

    connection: int
    """Number of the connection to probe."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetiredConnections:
    """Silent connections that must be closed."""

    connections: tuple[int, ...]
    """Numbers of the connections; their in-flight calls end as ``Unknown``."""

    endpoint_silent: bool
    """Whether the endpoint itself counts as failing."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectionState:
    opened_at: float
    last_progress_at: float
    in_flight: int = 0
    probing: bool = False
    waiting_since: float | None = None


class ConnectionHealth:
    """Detects silent connections to one endpoint.

    Call ``opened`` when a connection is established, and then probe it.
    Call ``sent`` and ``answered`` around each call, ``probed`` when a probe
    is written, ``progressed`` when other bytes arrive, such as the answer
    to a probe, and ``closed`` when the connection ends. Call ``choose``
    before writing a request. Call ``check`` several times a second, and
    probe the connections that ``connections_to_probe`` returns. After a pause
    of the process, call ``restart_waits`` before anything else.

    A request is written only to a connection on which bytes arrived within
    ``recent_progress_s``. A connection that owes an answer is probed; if no
    bytes arrive for ``max_silence_s``, it is retired. A silent connection
    alone does not make the endpoint count as failing: only one that was
    opened after the first silent connection was found does.
    """

    def __init__(
        self,
        recent_progress_s: float = _RECENT_PROGRESS_S,
        max_silence_s: float = _MAX_SILENCE_S,
    ) -> None:
        self._recent_progress_s = recent_progress_s
        self._max_silence_s = max_silence_s
        self._states: dict[int, _ConnectionState] = {}
        self._suspected_since: float | None = None

    @property
    def connections(self) -> tuple[int, ...]:
        """Numbers of the open connections that are not retired."""
        return tuple(self._states)

    def opened(self, connection: int, now: float) -> None:
        """Add an open connection; its handshake counts as progress."""
        self._states[connection] = _ConnectionState(now, now)

    def closed(self, connection: int) -> None:
        """Remove a connection that ended without being retired."""
        self._states.pop(connection, None)

    def sent(self, connection: int, now: float) -> None:
        """Record that a request was written."""
        self._start_waiting(connection, now, calls=1, probing=False)

    def probed(self, connection: int, now: float) -> None:
        """Record that a probe was written."""
        self._start_waiting(connection, now, calls=0, probing=True)

    def answered(self, connection: int, now: float) -> None:
        """Record that the last bytes of an answer arrived."""
        self._record_progress(connection, now, calls=1)

    def progressed(self, connection: int, now: float) -> None:
        """Record that other bytes arrived."""
        self._record_progress(connection, now, calls=0)

    def restart_waits(self, now: float) -> None:
        """Restart all waits after a pause of this process."""
        for number, state in self._states.items():
            if state.waiting_since is not None:
                self._states[number] = dataclasses.replace(
                    state, waiting_since=now
                )

    def choose(self, now: float) -> UseConnection | Probe | OpenConnection:
        """Return the connection for a request that is about to be sent.

        After ``Probe``, send the probe and call this again when it is
        answered. A call before the answer returns ``OpenConnection``.
        """
        freshest = max(
            self._states,
            key=lambda number: self._states[number].last_progress_at,
            default=None,
        )
        if freshest is None:
            return OpenConnection()
        state = self._states[freshest]
        if now - state.last_progress_at <= self._recent_progress_s:
            return UseConnection(freshest)
        return OpenConnection() if state.probing else Probe(freshest)

    def connections_to_probe(self, now: float) -> tuple[int, ...]:
        """Return the connections that owe an answer and need a probe.

        These have waited for more than a third of ``recent_progress_s`` and
        have no unanswered probe.
        """
        return tuple(
            number
            for number, state in self._states.items()
            if not state.probing
            and self._waiting_s(state, now) > self._recent_progress_s / 3
        )

    def check(self, now: float) -> RetiredConnections:
        """Retire the silent connections and return them.

        The endpoint counts as silent only if one of them was opened after
        the first silent connection was found.
        """
        silent = tuple(
            number
            for number, state in self._states.items()
            if state.probing
            and self._waiting_s(state, now) > self._max_silence_s
        )
        opening_times = [
            self._states.pop(number).opened_at for number in silent
        ]
        since = self._suspected_since
        if since is None:
            self._suspected_since = now if silent else None
            return RetiredConnections(silent, endpoint_silent=False)
        is_failing = any(opened_at >= since for opened_at in opening_times)
        return RetiredConnections(silent, endpoint_silent=is_failing)

    def _waiting_s(self, state: _ConnectionState, now: float) -> float:
        return 0 if state.waiting_since is None else now - state.waiting_since

    def _start_waiting(
        self, connection: int, now: float, *, calls: int, probing: bool
    ) -> None:
        state = self._states.get(connection)
        if state is None:
            return
        earlier = state.waiting_since
        self._states[connection] = dataclasses.replace(
            state,
            in_flight=state.in_flight + calls,
            probing=state.probing or probing,
            waiting_since=now if earlier is None else earlier,
        )

    def _record_progress(
        self, connection: int, now: float, *, calls: int
    ) -> None:
        state = self._states.get(connection)
        if state is None:
            return
        in_flight = max(state.in_flight - calls, 0)
        self._states[connection] = _ConnectionState(
            state.opened_at,
            now,
            in_flight,
            waiting_since=now if in_flight else None,
        )
        since = self._suspected_since
        if since is not None and state.opened_at >= since:
            self._suspected_since = None
