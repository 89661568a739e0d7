"""Daemons: the trio shells around the decision code."""

from lentilspool.daemons._asgi import App as App
from lentilspool.daemons._daemon import Daemon as Daemon
from lentilspool.daemons._entry import entry as entry
from lentilspool.daemons._http_server import HttpServer as HttpServer
from lentilspool.daemons._sidecar import sidecar as sidecar
