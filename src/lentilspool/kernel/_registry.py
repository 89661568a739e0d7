"""Registry of plug-ins, by kind and name.

A plug-in registers itself when its module is imported::

    @kernel.registry.register(kernel.PluginKind.routing_policy, 'round_robin')
    class RoundRobin: ...

Third-party packages declare a module in the entry-point group
``lentilspool.plugins``; ``Registry.load_entry_points`` imports them.
"""

import difflib
import enum
from collections.abc import Callable
from importlib import metadata
from typing import Any, Final, TypeVar

_Plugin = TypeVar('_Plugin')

ENTRY_POINT_GROUP: Final = 'lentilspool.plugins'


class PluginKind(enum.Enum):
    """Kinds of plug-ins; the Protocol of a kind is in the package using it."""

    routing_policy = 'routing_policy'
    limit_policy = 'limit_policy'
    admission_policy = 'admission_policy'
    queue_policy = 'queue_policy'
    spend_policy = 'spend_policy'
    endpoint_dialect = 'endpoint_dialect'
    configuration_source = 'configuration_source'
    exporter = 'exporter'
    transport = 'transport'


class UnknownPluginError(LookupError):
    """No plug-in of this kind is registered under this name."""

    def __init__(
        self, kind: PluginKind, name: str, known: tuple[str, ...]
    ) -> None:
        nearest = difflib.get_close_matches(name, known, n=1)
        hint = f'; did you mean "{nearest[0]}"?' if nearest else ''
        super().__init__(
            f'no {kind.value} is named "{name}"{hint} '
            f'(known: {", ".join(known)})',
        )


class Registry:
    """Plug-ins by kind and name.

    Production code uses the module's ``registry``; tests create their own.
    """

    def __init__(self) -> None:
        self._plugins: dict[tuple[PluginKind, str], Any] = {}

    def register(
        self, kind: PluginKind, name: str
    ) -> Callable[[_Plugin], _Plugin]:
        """Return a decorator that registers a plug-in under kind and name.

        It raises ``ValueError`` if another plug-in has the name already.
        """

        def store(plugin: _Plugin) -> _Plugin:
            existing = self._plugins.setdefault((kind, name), plugin)
            if existing is not plugin:
                raise ValueError(
                    f'two plug-ins register {kind.value} "{name}": '
                    f'{existing!r} and {plugin!r}',
                )
            return plugin

        return store

    def find(self, kind: PluginKind, name: str) -> Any:
        """Return the plug-in; raise ``UnknownPluginError`` if there is none."""
        plugin = self._plugins.get((kind, name))
        if plugin is None:
            raise UnknownPluginError(kind, name, self.names(kind))
        return plugin

    def names(self, kind: PluginKind) -> tuple[str, ...]:
        """Return the sorted names of the plug-ins of a kind."""
        return tuple(
            sorted(name for other, name in self._plugins if other is kind),
        )

    def load_entry_points(self, group: str = ENTRY_POINT_GROUP) -> None:
        """Import the plug-in modules that installed packages declare."""
        for entry_point in metadata.entry_points(group=group):
            entry_point.load()


registry: Final = Registry()
