"""Telemetry: JSON logs, metrics and state dumps."""

from lentilspool.telemetry._lines import LineHandler as LineHandler
from lentilspool.telemetry._lines import configure_lines as configure_lines
from lentilspool.telemetry._logs import configure_logs as configure_logs
from lentilspool.telemetry._metrics import Metrics as Metrics
