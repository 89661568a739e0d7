"""A minimal HTTP/1.1 server and client on asyncio, for stand-ins."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import socket
from collections.abc import Awaitable, Callable

HOST = '127.0.0.1'
# Below the ports that the system gives to outgoing connections. Each script has a
# block of its own, so that scripts side by side don't draw the same port.
_FIRST_PORT, _BLOCKS, _BLOCK_PORTS = 20_000, 300, 40
_drawn = itertools.count()


def free_port() -> int:
    """Return a port at which nothing listens and that was not drawn before."""
    block = os.getpid() % _BLOCKS
    while True:
        place = block * _BLOCK_PORTS + next(_drawn)
        port = _FIRST_PORT + place % (_BLOCKS * _BLOCK_PORTS)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((HOST, port))
            return port


@dataclasses.dataclass
class Request:
    """A request that was read completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def get(self, name: str) -> str:
        """Return a header, or an empty string."""
        return self.headers.get(name.lower(), '')


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.decode('latin-1').split('\r\n')[:-2]


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(':') for line in lines)
    return {name.strip().lower(): text.strip() for name, _, text in pairs}


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0] or b'0', 16)
        if not size:
            await reader.readuntil(b'\r\n')
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection; None at its end."""
    lines = await _read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(' ')
    headers = _headers(lines[1:])
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


class Exchange:
    """One request on a connection, and the ways to answer it."""

    def __init__(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.request = request
        self.writer = writer

    async def write(self, raw: bytes) -> None:
        """Write bytes."""
        self.writer.write(raw)
        await self.writer.drain()

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Write a complete answer."""
        headers = {**headers, 'Content-Length': str(len(body))}
        await self.write(head(status, headers) + body)

    def close(self) -> None:
        """Close the connection after what was written."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()

    @property
    def closed(self) -> bool:
        """Whether either end has closed."""
        return self.writer.is_closing()


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} S']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Serves a handler at a port; requests of a connection go one by one."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self._handler = handler
        self.port = port or free_port()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'{HOST}:{self.port}'

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=512
        )

    async def stop(self) -> None:
        """Stop listening, and reset all connections: the process has ended."""
        if self._server:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve_requests(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not writer.is_closing():
            request = await read_request(reader)
            if request is None:
                break
            exchange = Exchange(request, writer)
            handling = asyncio.ensure_future(self._handler(exchange))
            watching = asyncio.ensure_future(_closed(reader, writer))
            try:
                await asyncio.wait(
                    (handling, watching), return_when=asyncio.FIRST_COMPLETED
                )
                if not handling.done():
                    handling.cancel()
                    writer.transport.abort()
                with contextlib.suppress(asyncio.CancelledError):
                    await handling
            finally:
                handling.cancel()
                watching.cancel()
        writer.close()


async def _closed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Return when the other end has closed the connection."""
    while not (reader.at_eof() or writer.is_closing()):
        if reader.exception():
            return
        await asyncio.sleep(0.02)


@dataclasses.dataclass
class Answer:
    """What a client got: status 0 if no answer has begun."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    note: str = ''


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 30.0,
) -> Answer:
    """Send a request on a new connection and read the whole answer."""
    answer = Answer(0, {}, b'', False)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                await send(writer, method, target, headers, body)
                await receive(reader, answer)
            finally:
                writer.close()
    except TimeoutError:
        answer.note = 'gave up'
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.note = type(error).__name__
    return answer


async def send(
    writer: asyncio.StreamWriter,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Write a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)
    await writer.drain()


async def receive(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer; what has arrived is kept if it breaks off."""
    lines = await _read_head(reader)
    if lines is None:
        answer.note = 'closed without an answer'
        return
    answer.status = int(lines[0].split(' ')[1])
    answer.headers = _headers(lines[1:])
    if 'chunked' in answer.headers.get('transfer-encoding', ''):
        while True:
            line = await reader.readline()
            if not line.endswith(b'\r\n'):
                answer.note = 'broken off'
                return
            size = int(line.split(b';')[0], 16)
            if not size:
                await reader.readuntil(b'\r\n')
                answer.complete = True
                return
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(answer.headers.get('content-length', 0))
    answer.body = await reader.readexactly(length)
    answer.complete = True
