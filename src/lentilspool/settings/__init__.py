"""Settings: JSON with comments, checked into frozen data classes."""

from lentilspool.settings._check import convert as convert
from lentilspool.settings._errors import SettingsError as SettingsError
from lentilspool.settings._load import load_file as load_file
from lentilspool.settings._load import parse as parse
