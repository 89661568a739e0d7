"""Settings files: JSON with comments, loaded into frozen data classes."""

from lentilspool.settings._check import convert as convert
from lentilspool.settings._daemons import CallerLimits as CallerLimits
from lentilspool.settings._daemons import EntrySettings as EntrySettings
from lentilspool.settings._daemons import KeySettings as KeySettings
from lentilspool.settings._daemons import LinkSettings as LinkSettings
from lentilspool.settings._daemons import PlatformSettings as PlatformSettings
from lentilspool.settings._daemons import SidecarSettings as SidecarSettings
from lentilspool.settings._errors import SettingsError as SettingsError
from lentilspool.settings._gateway import GatewaySettings as GatewaySettings
from lentilspool.settings._gateway import PeerSettings as PeerSettings
from lentilspool.settings._gateway import (
    QuarantineSettings as QuarantineSettings,
)
from lentilspool.settings._gateway import SendSettings as SendSettings
from lentilspool.settings._gateway import StopSettings as StopSettings
from lentilspool.settings._gateway import StoreSettings as StoreSettings
from lentilspool.settings._load import load_file as load_file
from lentilspool.settings._load import parse as parse
