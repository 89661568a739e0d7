"""Dialect of plain services, such as bookings and order desks."""

from typing import Final

from lentilspool import kernel
from lentilspool.dialects import _http, _types

_SERVER_ERROR: Final = 500


@kernel.registry.register(kernel.PluginKind.endpoint_dialect, 'service')
class ServiceDialect:
    """Posts a JSON object to ``/v1/OPERATION``.

    A service's status 503 does not prove that nothing ran, so every status
    from 500 counts as a failure of a call that was sent.
    """

    def __init__(self, client: _http.HttpClient) -> None:
        self._client = client

    async def call(
        self, call: _types.EndpointCall, emit: _types.Emit
    ) -> _types.EndpointAnswer:
        """Run one call; nothing is emitted."""
        response = await self._client.post(f'/v1/{call.operation}', call)
        if not isinstance(response, tuple):
            return response
        status, body = response
        if status >= _SERVER_ERROR:
            return _types.EndpointFailed(f'status {status}')
        return _http.refusal(status, body) or _types.Answered(body, units=1)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()
