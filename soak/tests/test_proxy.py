"""What the proxy does to bytes, as connections of a real network do."""

import pytest
import trio

from soak import _proxy

MODES = (_proxy.Mode.silent, _proxy.Mode.one_way)


async def answer_in_turn(mode: _proxy.Mode) -> bytes:
    """Return what arrives of three bytes, one of them while a mode holds."""
    answers, takes = trio.open_memory_channel[bytes](0)

    async def serve(stream: trio.SocketStream) -> None:
        async for answer in takes:
            await stream.send_all(answer)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        proxy = _proxy.Proxy(port)
        nursery.start_soon(proxy.serve)
        stream = await trio.open_tcp_stream('127.0.0.1', proxy.port)
        await answers.send(b'a')
        received = bytes(await stream.receive_some())
        proxy.set_mode(mode)
        await answers.send(b'b')
        await trio.sleep(0.1)
        proxy.set_mode(_proxy.Mode.passing)
        await answers.send(b'c')
        with trio.move_on_after(0.1):
            received += await stream.receive_some()
        nursery.cancel_scope.cancel()
    return received


class TestLostBytes:
    @pytest.mark.parametrize('mode', MODES)
    def test_nothing_follows_lost_bytes(self, mode: _proxy.Mode) -> None:
        assert trio.run(answer_in_turn, mode) == b'a'

    @pytest.mark.parametrize('mode', [_proxy.Mode.passing])
    def test_all_pass_otherwise(self, mode: _proxy.Mode) -> None:
        assert trio.run(answer_in_turn, mode).startswith(b'ab')
