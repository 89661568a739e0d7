"""Outcomes, plug-in registry, component life cycle, clock and log events."""

from lentilspool.kernel._application import Application as Application
from lentilspool.kernel._application import BaseComponent as BaseComponent
from lentilspool.kernel._application import Component as Component
from lentilspool.kernel._clock import Clock as Clock
from lentilspool.kernel._clock import PauseDetector as PauseDetector
from lentilspool.kernel._clock import SystemClock as SystemClock
from lentilspool.kernel._events import Event as Event
from lentilspool.kernel._events import EventCatalogue as EventCatalogue
from lentilspool.kernel._events import catalogue as catalogue
from lentilspool.kernel._outcomes import Accepted as Accepted
from lentilspool.kernel._outcomes import Complete as Complete
from lentilspool.kernel._outcomes import Failed as Failed
from lentilspool.kernel._outcomes import Late as Late
from lentilspool.kernel._outcomes import NotRun as NotRun
from lentilspool.kernel._outcomes import NotRunReason as NotRunReason
from lentilspool.kernel._outcomes import Outcome as Outcome
from lentilspool.kernel._outcomes import StageCost as StageCost
from lentilspool.kernel._outcomes import Unknown as Unknown
from lentilspool.kernel._outcomes import UnknownReason as UnknownReason
from lentilspool.kernel._registry import PluginKind as PluginKind
from lentilspool.kernel._registry import Registry as Registry
from lentilspool.kernel._registry import (
    UnknownPluginError as UnknownPluginError,
)
from lentilspool.kernel._registry import registry as registry
