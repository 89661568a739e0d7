"""Policy names of the plug-in registry, for validation of documents."""

from lentilspool import kernel
from lentilspool.config import _problems

_DEFAULT = 'default'


def registered_names(
    registry: kernel.Registry = kernel.registry,
) -> _problems.KnownNames:
    """Return the names that a document may use.

    Call it after every plug-in is loaded. All processes must load the same
    plug-ins; otherwise some would accept a patch that others refuse.
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
