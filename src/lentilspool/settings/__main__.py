"""Prints the settings page when run as ``python -m lentilspool.settings``."""

import sys

from lentilspool.settings import _reference

sys.stdout.write(_reference.reference())
