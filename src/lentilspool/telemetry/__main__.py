"""Prints the events page when run as ``python -m lentilspool.telemetry``."""

import sys

from lentilspool.telemetry import _catalogue

sys.stdout.write(_catalogue.event_page())
