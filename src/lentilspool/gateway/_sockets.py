"""TCP sockets that notice a peer which went silent."""

import socket
from typing import Final

import trio

_KEEP_ALIVE_IDLE_S: Final = 1
_KEEP_ALIVE_PROBES: Final = 2
# Unacknowledged bytes after this time break the connection.
_USER_TIMEOUT_MS: Final = 2500
_BACKLOG: Final = 1024


def split(address: str) -> tuple[str, int]:
    """Return IP address and port of ``address``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def connect(
    host: str, port: int, limit_s: float
) -> trio.SocketStream | None:
    """Return a new connection; None if there is none within the limit."""
    plain = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connected = False
    with trio.move_on_after(limit_s):
        try:
            await plain.connect((host, port))
        except OSError:
            connected = False
        else:
            connected = True
    if not connected:
        plain.close()
        return None
    return _tuned(plain)


def listen(address: str) -> trio.SocketListener:
    """Return a listener at an IP address and port."""
    plain = trio.socket.from_stdlib_socket(
        socket.create_server(split(address), backlog=_BACKLOG)
    )
    return trio.SocketListener(plain)


def accepted(stream: trio.SocketStream) -> trio.SocketStream:
    """Return an accepted connection with this module's options set."""
    _set_options(stream.socket)
    return stream


def has_input(stream: trio.SocketStream) -> bool:
    """Whether bytes, or the end, of the stream are there to be read.

    Reads nothing; used before an idle connection gets another request.
    """
    plain = socket.fromfd(
        stream.socket.fileno(), socket.AF_INET, socket.SOCK_STREAM
    )
    try:
        plain.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        plain.close()
    return True


def _tuned(plain: trio.socket.SocketType) -> trio.SocketStream:
    _set_options(plain)
    return trio.SocketStream(plain)


def _set_options(plain: trio.socket.SocketType) -> None:
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    plain.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    plain.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEP_ALIVE_IDLE_S)
    plain.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    plain.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
