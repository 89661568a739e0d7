"""JSON logs and metrics."""

from lentilspool.telemetry._logs import configure_logs as configure_logs
from lentilspool.telemetry._metrics import Metrics as Metrics
from lentilspool.telemetry._nonblocking import (
    NonBlockingHandler as NonBlockingHandler,
)
from lentilspool.telemetry._nonblocking import (
    configure_nonblocking_logs as configure_nonblocking_logs,
)
