"""Prints the catalogue of events: ``python -m lentilspool.telemetry``."""

import sys

from lentilspool.telemetry import _catalogue

sys.stdout.write(_catalogue.event_page())
