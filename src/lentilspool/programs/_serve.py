"""Runs a daemon until a signal stops it."""

import logging
import signal

import trio

from lentilspool import daemons, kernel, telemetry
from lentilspool.programs import _command

_LOG = logging.getLogger(__name__)


def serve(daemon: daemons.Daemon, log_level: str) -> int:
    """Run a daemon until it is stopped; return the exit status.

    The first SIGTERM or SIGINT begins a graceful stop, and the second one
    stops at once. The status is 0 if all work was completed, and 1 if some
    was cut off.
    """
    telemetry.configure_logs(daemon.name, log_level)
    kernel.registry.load_entry_points()
    drained: bool = trio.run(_run, daemon)
    return 0 if drained else _command.FAILURE


async def _run(daemon: daemons.Daemon) -> bool:
    async with trio.open_nursery() as nursery:
        await nursery.start(_handle_signals, daemon)
        drained = await daemon.run()
        nursery.cancel_scope.cancel()
    return drained


async def _handle_signals(
    daemon: daemons.Daemon,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            _LOG.info('received signal %s', number)
            daemon.request_stop()
