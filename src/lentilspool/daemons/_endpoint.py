"""Calls to the endpoint that a sidecar serves."""

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

# Also the timeout of one probe.
_PROBE_INTERVAL_S: Final = 0.25
_DEFAULT_HTTP_PORT: Final = 80
_EXPIRED_TOKEN: Final = kernel.NotRun(kernel.NotRunReason.expired_token)

SendMessage = Callable[[wire.Message], Awaitable[bool]]
BeforeSend = Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRun:
    """One call at the endpoint: its answer, service time and crash."""

    answer: dialects.EndpointAnswer | kernel.NotRun
    """What the endpoint answered, or why the call was not sent."""

    service_s: float = 0
    """Seconds at the endpoint, without the wait in the queue."""

    death: str = ''
    """Name of the endpoint crash that ended the call; empty if none."""


class Endpoint:
    """Runs calls on the endpoint, within its queue and concurrency limit."""

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
        """Credits per unit of work; zero before the first configuration."""
        document = self._configuration.document
        return document.pools[self._pool].price if document else 0

    def apply_configuration(self, state: config.State) -> None:
        """Apply a new configuration: policies, and dialect of the endpoint."""
        pool = state.document.pools.get(self._pool)
        if pool is None:
            return
        self._slots.apply_configuration(state.document, self._pool)
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
        before_send: BeforeSend,
    ) -> EndpointRun:
        """Wait for a slot, then run one call.

        ``before_send`` is called directly before the call is sent. If it
        returns False, nothing is sent and the run ends as
        ``expired_token``.
        """
        if self._dialect is None:
            return EndpointRun(kernel.NotRun(kernel.NotRunReason.not_ready, 1))
        refusal = await self._slots.acquire(call, self._pool)
        if refusal is not None:
            return EndpointRun(refusal)
        started = trio.current_time()
        answer: dialects.EndpointAnswer = dialects.EndpointFailed('cancelled')
        in_flight = self._slots.running
        try:
            if not before_send():
                return EndpointRun(_EXPIRED_TOKEN)
            answer = await self._dialect.call(
                _endpoint_call(call, timeout_s), emit
            )
        finally:
            self._slots.release()
        service_s = trio.current_time() - started
        self._record_run(call, answer, service_s, in_flight)
        self._update_reachable(answer)
        return EndpointRun(answer, service_s, self._death_name(answer))

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

    def _update_reachable(self, answer: dialects.EndpointAnswer) -> None:
        """Mark the endpoint as down until a connection can be opened."""
        down = isinstance(answer, dialects.Refused) and answer.unreachable
        if down and self._slots.reachable:
            self._slots.reachable = False
            self._nursery.start_soon(self._probe)

    async def _probe(self) -> None:
        _events.ENDPOINT_DOWN.log(LOG, url=self._url)
        while not await _can_connect(self._url):
            await trio.sleep(_PROBE_INTERVAL_S)
        self._slots.reachable = True
        _events.ENDPOINT_UP.log(LOG, url=self._url)

    def _death_name(self, answer: dialects.EndpointAnswer) -> str:
        """Return the name of the endpoint crash that ended a call, or ''.

        All calls that a crash ends get the same name. Any other answer,
        or a refused connection, ends the crash: the next broken call gets a
        new name.
        """
        crashed = isinstance(answer, dialects.EndpointFailed) and answer.crashed
        if not crashed:
            self._alive = True
            return ''
        if self._alive:
            self._deaths += 1
            self._alive = False
        return f'{self._name}/{self._deaths}'

    def _record_run(
        self,
        call: wire.StageCall,
        answer: dialects.EndpointAnswer,
        service_s: float,
        in_flight: int,
    ) -> None:
        failed = not isinstance(answer, dialects.Answered)
        key = _slots.stage_key(call)
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
    """Return whether a connection to the endpoint can be opened."""
    parts = parse.urlsplit(url)
    port = parts.port or _DEFAULT_HTTP_PORT
    with trio.move_on_after(_PROBE_INTERVAL_S):
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
