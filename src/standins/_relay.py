"""A TCP relay whose connections can go silent, break or be refused."""

from typing import Final

import trio

_CHUNK_BYTES: Final = 65536


class Relay:
    """Passes bytes between callers and one address, until told otherwise.

    ``silence`` makes the connections open now swallow everything for good,
    while new ones work; ``cut`` breaks them; ``block`` lets none through
    until ``heal``.
    """

    def __init__(self, target: tuple[str, int], nursery: trio.Nursery) -> None:
        self._target = target
        self._nursery = nursery
        self._silent: set[int] = set()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._accepted = 0
        self._blocked = False

    async def start(self, port: int) -> None:
        """Begin to listen at a port of the loopback address."""
        listeners = await trio.open_tcp_listeners(port, host='127.0.0.1')
        self._nursery.start_soon(trio.serve_listeners, self._handle, listeners)

    def silence(self) -> None:
        """Swallow everything on the connections that are open now."""
        self._silent.update(self._scopes)

    def cut(self) -> None:
        """Break the connections that are open now."""
        for scope in tuple(self._scopes.values()):
            scope.cancel()

    def block(self) -> None:
        """Break all connections and let no new one through."""
        self._blocked = True
        self.cut()

    def heal(self) -> None:
        """Let connections through again."""
        self._blocked = False

    async def _handle(self, caller: trio.SocketStream) -> None:
        if self._blocked:
            return
        self._accepted += 1
        number = self._accepted
        with trio.CancelScope() as scope:
            self._scopes[number] = scope
            try:
                await self._pass(number, caller, scope)
            except OSError:
                scope.cancel()
            finally:
                self._scopes.pop(number, None)

    async def _pass(
        self, number: int, caller: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        endpoint = await trio.open_tcp_stream(*self._target)
        async with endpoint, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, number, caller, endpoint, scope)
            nursery.start_soon(self._copy, number, endpoint, caller, scope)

    async def _copy(
        self,
        number: int,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            async for chunk in source:
                if number not in self._silent:
                    await sink.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
        if number not in self._silent:
            scope.cancel()
