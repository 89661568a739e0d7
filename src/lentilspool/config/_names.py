"""Policy names of the plug-in registry, for the check of documents."""

from lentilspool import kernel
from lentilspool.config import _problems

_DEFAULT = 'default'


def registered_names(
    registry: kernel.Registry = kernel.registry,
) -> _problems.KnownNames:
    """Return the names that a document may use.

    Call it when every plug-in is loaded. All processes must have the same
    plug-ins: they refuse the same patches only if they know the same names.
    """
    return _problems.KnownNames(
        routing=_names(registry, kernel.PluginKind.routing_policy),
        limit=_names(registry, kernel.PluginKind.limit_policy),
        admission=_names(registry, kernel.PluginKind.admission_policy),
        queue=_names(registry, kernel.PluginKind.queue_policy),
        spend=_names(registry, kernel.PluginKind.spend_policy),
    )


def _names(
    registry: kernel.Registry, kind: kernel.PluginKind
) -> tuple[str, ...]:
    return registry.names(kind) or (_DEFAULT,)
