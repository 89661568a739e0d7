"""Dialect of encoder, retriever and reranker pools."""

from lentilspool import kernel
from lentilspool.dialects import _http, _types


@kernel.registry.register(kernel.PluginKind.endpoint_dialect, 'stage')
class StageDialect:
    """Posts a JSON object to ``/v1/OPERATION`` and returns the answer."""

    def __init__(self, client: _http.HttpClient) -> None:
        self._client = client

    async def call(
        self, call: _types.EndpointCall, emit: _types.Emit
    ) -> _types.EndpointAnswer:
        """Run one call; ``emit`` is not used."""
        response = await self._client.post(f'/v1/{call.operation}', call)
        return _http.to_endpoint_answer(response)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()
