"""The gateway: callers' requests to endpoints, decided by ``serving``.

``serve`` runs a gateway from its settings. This package does the input and
output: HTTP on h11, connections between gateways, the platform's store.
"""

from lentilspool.gateway._gateway import serve as serve
