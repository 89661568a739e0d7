"""Tests of an entry's readiness, over links to a scripted sidecar."""

import pytest
import trio

from lentilspool import config, settings, wire
from lentilspool.daemons import _directory, _hosts, _identity, _link

_ADDRESS = '127.0.0.1'
_MAX_FRAME_BYTES = 1 << 20
_LIMIT_S = 10
_STATE = config.State(
    number=1,
    version=1,
    digest='d',
    document=config.Document(
        pipelines={},
        pools={'p': config.PoolDocument(kind='stage')},
        teams={'t': config.TeamDocument()},
    ),
    text=b'{}',
)

_Report = tuple[int, int, int]


def _heartbeat(sequence: int, report: _Report) -> wire.Heartbeat:
    incarnation, number, limit = report
    return wire.Heartbeat(
        process='p-0',
        incarnation=incarnation,
        sequence=sequence,
        leaving=False,
        config=wire.ConfigDigest(number, ''),
        in_flight=0,
        queued=0,
        limit=limit,
        lease_ms=30_000,
        suspects=(),
        zone='z',
        pool='p',
        address=_ADDRESS,
        port=1,
    )


async def _ready_after(reports: tuple[_Report, ...]) -> bool:
    """Return whether an entry is ready after these heartbeats."""
    all_processed = trio.Event()

    async def serve(raw: trio.SocketStream) -> None:
        stream = wire.MessageStream(raw, _MAX_FRAME_BYTES)
        for sequence, report in enumerate(reports, start=1):
            await stream.send(_heartbeat(sequence, report))
        await stream.send(wire.ConfigDigest(0, ''))
        await trio.sleep_forever()

    async def on_other_message(link: _link.Link, message: wire.Message) -> None:
        all_processed.set()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=_ADDRESS)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        identity = _identity.Identity('entry-0', 'z', (_ADDRESS, 1))
        directory = _directory.Directory(
            identity, settings.LinkSettings(), on_other_message, nursery
        )
        directory.apply_configuration(_STATE)
        port = listeners[0].socket.getsockname()[1]
        directory.update_hosts(
            (
                _hosts.Host('entry-0', _ADDRESS, 1, 'z', 'entry'),
                _hosts.Host('p-0', _ADDRESS, port, 'z', 'sidecar', 'p'),
            )
        )
        with trio.fail_after(_LIMIT_S):
            await all_processed.wait()
        ready = directory.ready
        nursery.cancel_scope.cancel()
    return ready


class TestReady:
    @pytest.mark.parametrize(
        ('reports', 'ready'),
        [
            pytest.param(((1, 0, 0),), False, id='no configuration'),
            pytest.param(((1, 1, 4),), True, id='runs calls'),
            pytest.param(((1, 0, 0), (1, 1, 4)), True, id='configured later'),
            pytest.param(((1, 1, 4), (1, 1, 0)), True, id='down for a while'),
            pytest.param(((1, 1, 0),), True, id='down from the start'),
            pytest.param(((1, 1, 4), (2, 0, 0)), False, id='restarted'),
        ],
    )
    def test_each_pool_needs_a_configured_sidecar(
        self, reports: tuple[_Report, ...], ready: bool
    ) -> None:
        assert trio.run(_ready_after, reports) is ready
