"""The gateway, which forwards callers' requests to endpoints.

``serve`` runs a gateway from its settings. Decisions are made by ``serving``;
this package does the input and output: HTTP on h11, connections between
gateways, and reads of the platform's store.
"""

from lentilspool.gateway._gateway import serve as serve
