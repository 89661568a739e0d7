"""Running of a daemon as a process."""

import logging
import signal

import trio

from lentilspool import daemons, kernel, telemetry
from lentilspool.programs import _command

_LOG = logging.getLogger(__name__)


def serve(daemon: daemons.Daemon, log_level: str) -> int:
    """Run a daemon until it is told to stop; return the exit status.

    SIGTERM and SIGINT begin a graceful stop, and a second one ends it. The
    status is 0 if nothing was cut off, and 1 otherwise.
    """
    telemetry.configure_logs(daemon.name, log_level)
    kernel.registry.load_entry_points()
    drained: bool = trio.run(_run, daemon)
    return 0 if drained else _command.FAILURE


async def _run(daemon: daemons.Daemon) -> bool:
    async with trio.open_nursery() as nursery:
        await nursery.start(_follow_signals, daemon)
        drained = await daemon.run()
        nursery.cancel_scope.cancel()
    return drained


async def _follow_signals(
    daemon: daemons.Daemon,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            _LOG.info('signal %s', number)
            daemon.request_stop()
