"""Prints the reference page: ``python -m lentilspool.settings``."""

import sys

from lentilspool.settings import _reference

sys.stdout.write(_reference.reference())
