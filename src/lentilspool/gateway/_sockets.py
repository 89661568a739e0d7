"""TCP sockets with options that detect unresponsive peers."""

import enum
import logging
import socket
import struct
from typing import Final

import trio

_logger: Final = logging.getLogger(__name__)

_KEEP_ALIVE_IDLE_S: Final = 1
_KEEP_ALIVE_PROBES: Final = 2
# Bytes that stay unacknowledged for this long break the connection.
_USER_TIMEOUT_MS: Final = 2500
_ACCEPT_BACKLOG: Final = 1024
# struct linger: whether it is set, and its time in seconds.
_LINGER: Final = struct.Struct('ii')


class Unreachable(enum.Enum):
    """Why a connection could not be opened."""

    refused = 'refused'
    no_response = 'no response'


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``IP:PORT``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def connect(
    host: str, port: int, limit_s: float
) -> trio.SocketStream | None:
    """Open a connection; return None if it fails or takes too long."""
    connected = await try_connect(host, port, limit_s)
    return None if isinstance(connected, Unreachable) else connected


async def try_connect(
    host: str, port: int, limit_s: float
) -> trio.SocketStream | Unreachable:
    """Open a connection, or return why that is not possible."""
    try:
        raw_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        _logger.warning('cannot create a socket: %s', error)
        return Unreachable.no_response
    failure: Unreachable | None = Unreachable.no_response
    with trio.move_on_after(limit_s):
        try:
            await raw_socket.connect((host, port))
        except ConnectionRefusedError:
            failure = Unreachable.refused
        except OSError:
            failure = Unreachable.no_response
        else:
            failure = None
    if failure:
        raw_socket.close()
        return failure
    return _configured_stream(raw_socket)


def listen(address: str) -> trio.SocketListener:
    """Return a listener at an IP address and port."""
    raw_socket = trio.socket.from_stdlib_socket(
        socket.create_server(split_address(address), backlog=_ACCEPT_BACKLOG)
    )
    return trio.SocketListener(raw_socket)


def configure_accepted(stream: trio.SocketStream) -> trio.SocketStream:
    """Set this module's socket options on an accepted connection."""
    _set_options(stream.socket)
    return stream


def reset_on_close(stream: trio.SocketStream, *, enabled: bool) -> None:
    """Choose whether a close resets the connection.

    It does so also when the process ends.
    """
    stream.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(int(enabled), 0)
    )


def has_input(stream: trio.SocketStream) -> bool:
    """Whether bytes or the end of the stream can be read now.

    Consumes nothing, so that it can check a connection before its reuse.
    """
    raw_socket = socket.fromfd(
        stream.socket.fileno(), socket.AF_INET, socket.SOCK_STREAM
    )
    try:
        raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        raw_socket.close()
    return True


def _configured_stream(raw_socket: trio.socket.SocketType) -> trio.SocketStream:
    _set_options(raw_socket)
    return trio.SocketStream(raw_socket)


def _set_options(raw_socket: trio.socket.SocketType) -> None:
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    raw_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEP_ALIVE_IDLE_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    raw_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
