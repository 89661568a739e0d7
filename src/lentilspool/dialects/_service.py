"""Dialect of plain services, such as booking and order services."""

from typing import Final

from lentilspool import kernel
from lentilspool.dialects import _http, _stage, _types

_SERVER_ERROR: Final = 500


@kernel.registry.register(kernel.PluginKind.endpoint_dialect, 'service')
class ServiceDialect(_stage.StageDialect):
    """Posts a JSON object to ``/v1/OPERATION``.

    Status 503 of a service does not prove that nothing ran, so every status
    from 500 is reported as ``EndpointFailed``, not as ``Refused``.
    """

    async def call(
        self, call: _types.EndpointCall, emit: _types.Emit
    ) -> _types.EndpointAnswer:
        """Run one call; ``emit`` is not used."""
        response = await self._client.post(f'/v1/{call.operation}', call)
        if isinstance(response, tuple) and response[0] >= _SERVER_ERROR:
            return _types.EndpointFailed(f'status {response[0]}')
        return _http.to_endpoint_answer(response)
