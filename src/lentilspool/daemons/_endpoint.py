"""Calls to the endpoint beside the sidecar."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, Final
from urllib import parse

import trio

from lentilspool import config, dialects, kernel, limits, wire
from lentilspool.daemons import (
    _configuration,
    _events,
    _identity,
    _slots,
)
from lentilspool.daemons._log import LOG

_PROBE_S: Final = 0.25
_HTTP_PORT: Final = 80
_EXPIRED: Final = kernel.NotRun(kernel.NotRunReason.expired_token)

Reply = Callable[[wire.Message], Awaitable[bool]]
Begin = Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """End of a call that was given to the endpoint, or refused."""

    answer: dialects.EndpointAnswer | kernel.NotRun
    """What the endpoint answered, or why it was not asked."""

    service_s: float = 0
    """Seconds at the endpoint, without the wait for a turn."""

    death: str = ''
    """Name of the endpoint's death that ended the call; empty if none."""


class Endpoint:
    """Runs calls on the endpoint, each in its turn."""

    def __init__(
        self,
        identity: _identity.Identity,
        url: str,
        configuration: _configuration.Configuration,
        nursery: trio.Nursery,
    ) -> None:
        self._nursery = nursery
        self._name = f'{identity.name}/{identity.incarnation}'
        self._pool = identity.pool
        self._url = url
        self._configuration = configuration
        self._times = limits.ServiceTimes()
        self._slots = _slots.Slots(self._times)
        self._dialect: dialects.Dialect | None = None
        self._kind = ''
        self._deaths = 0
        self._alive = True

    @property
    def slots(self) -> _slots.Slots:
        """Queue and concurrency limit."""
        return self._slots

    @property
    def price(self) -> float:
        """Credits for one unit of work."""
        document = self._configuration.document
        return document.pools[self._pool].price if document else 0

    def adopt(self, state: config.State) -> None:
        """Take a new configuration."""
        pool = state.document.pools.get(self._pool)
        if pool is None:
            return
        self._slots.adopt(state.document, self._pool)
        if self._kind == pool.kind:
            return
        self._kind = pool.kind
        make: Any = kernel.registry.find(
            kernel.PluginKind.endpoint_dialect, pool.kind
        )
        self._dialect = make(dialects.HttpClient(self._url, pool.max_in_flight))

    async def run(
        self,
        call: wire.StageCall,
        timeout_s: float,
        emit: dialects.Emit,
        begin: Begin,
    ) -> Ran:
        """Run one call in its turn.

        ``begin`` is asked directly before the call is sent; if it says no,
        nothing is sent.
        """
        if self._dialect is None:
            return Ran(kernel.NotRun(kernel.NotRunReason.not_ready, 1))
        refusal = await self._slots.take(call, self._pool)
        if refusal is not None:
            return Ran(refusal)
        started = trio.current_time()
        answer: dialects.EndpointAnswer = dialects.EndpointFailed('cancelled')
        in_flight = self._slots.running
        try:
            if not begin():
                return Ran(_EXPIRED)
            answer = await self._dialect.call(
                _endpoint_call(call, timeout_s), emit
            )
        finally:
            self._slots.free()
        service_s = trio.current_time() - started
        self._learn(call, answer, service_s, in_flight)
        self._note_reach(answer)
        return Ran(answer, service_s, self._death(answer))

    async def aclose(self) -> None:
        """Close connections to the endpoint."""
        if self._dialect is not None:
            await self._dialect.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'url': self._url,
            'deaths': self._deaths,
            'slots': self._slots.dump(),
            'service_times': self._times.dump(),
        }

    def _note_reach(self, answer: dialects.EndpointAnswer) -> None:
        """Report the endpoint as down until a connection can be opened."""
        down = isinstance(answer, dialects.Refused) and answer.unreachable
        if down and self._slots.reachable:
            self._slots.reachable = False
            self._nursery.start_soon(self._probe)

    async def _probe(self) -> None:
        _events.ENDPOINT_DOWN.log(LOG, url=self._url)
        while not await _can_connect(self._url):
            await trio.sleep(_PROBE_S)
        self._slots.reachable = True
        _events.ENDPOINT_UP.log(LOG, url=self._url)

    def _death(self, answer: dialects.EndpointAnswer) -> str:
        """Return the name of the death that broke a call's connection.

        All calls that break together get the same name, until an answer or
        a refused connection shows that the death is over.
        """
        crashed = isinstance(answer, dialects.EndpointFailed) and answer.crashed
        if not crashed:
            self._alive = True
            return ''
        if self._alive:
            self._deaths += 1
            self._alive = False
        return f'{self._name}/{self._deaths}'

    def _learn(
        self,
        call: wire.StageCall,
        answer: dialects.EndpointAnswer,
        service_s: float,
        in_flight: int,
    ) -> None:
        failed = not isinstance(answer, dialects.Answered)
        key = _slots.key_of(call)
        expected = self._times.estimate(self._pool, key, service_s)
        if not failed:
            self._times.observe(self._pool, key, service_s)
        self._slots.observe(
            limits.LatencySample(service_s, expected.floor_s, in_flight, failed)
        )
        _events.CALL_ENDED.log(
            LOG,
            request_id=call.request_id,
            stage=call.stage,
            seconds=round(service_s, 4),
            failed=failed,
        )


async def _can_connect(url: str) -> bool:
    """Tell whether a connection to the endpoint can be opened."""
    parts = parse.urlsplit(url)
    port = parts.port or _HTTP_PORT
    with trio.move_on_after(_PROBE_S):
        try:
            stream = await trio.open_tcp_stream(parts.hostname or '', port)
        except OSError:
            return False
        await stream.aclose()
        return True
    return False


def _endpoint_call(
    call: wire.StageCall, timeout_s: float
) -> dialects.EndpointCall:
    return dialects.EndpointCall(
        operation=call.operation,
        body=call.body,
        max_output_tokens=call.max_output_tokens,
        priority=call.priority,
        timeout_s=timeout_s,
        request_id=call.request_id,
        traceparent=call.traceparent or '',
        stream=call.stream,
    )
