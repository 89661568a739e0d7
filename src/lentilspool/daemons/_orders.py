"""Orders to the engine beside the sidecar."""

import time
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import config, dialects, kernel, orders, wire
from lentilspool.daemons import _hosts, _identity

_STEP_S: Final = 0.2
_TELL_S: Final = 1.0

Send = Callable[[str, wire.Message], Awaitable[None]]


class Orders(kernel.BaseComponent):
    """Keeps the engine of a pool with a model as the configuration says.

    Hand in configurations by ``adopt``, host lists by ``follow`` and
    messages of peers by ``heard``. While ``busy`` is true the sidecar
    refuses new work; ``changed`` is called when it changes. Members that
    have an order to give tell the others of their pool every second and
    are told by them; a pool at rest is silent.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        url: str,
        calls: Callable[[], int],
        send: Send,
        nursery: trio.Nursery,
    ) -> None:
        self._identity = identity
        self._engine = dialects.EngineOrders(dialects.HttpClient(url, 2))
        self._calls = calls
        self._send = send
        self._nursery = nursery
        self._hosts: tuple[_hosts.Host, ...] = ()
        self._pool: config.PoolDocument | None = None
        self._loading: frozenset[str] = frozenset()
        self._schedule = orders.LoadSchedule(
            identity.name, orders.StoreLimits()
        )
        self._orders: orders.EndpointOrders | None = None
        self._told: dict[str, float] = {}
        self.changed: Callable[[], None] | None = None

    @property
    def busy(self) -> bool:
        """Whether an order is under way, or waits for calls to end."""
        return self._orders is not None and self._orders.busy

    def adopt(self, state: config.State) -> None:
        """Take a new configuration."""
        document = state.document
        pool = document.pools.get(self._identity.pool)
        self._loading = frozenset(
            name for name, other in document.pools.items() if _ordered(other)
        )
        if pool is None or not _ordered(pool):
            self._orders = None
            return
        self._pool = pool
        if self._orders is None:
            self._orders = self._make(pool.fencing)
        now = trio.current_time()
        self._orders.want(state.version, pool, document.policies, now)
        self._share()

    def follow(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Take a new host list."""
        self._hosts = hosts
        self._share()

    async def heard(self, peer: str, progress: wire.OrderProgress) -> None:
        """Take the progress of a peer, and answer if it has work to do."""
        held = self._orders
        if held is None or progress.name != peer:
            return
        now = trio.current_time()
        held.rollout.heard(
            orders.Progress(
                progress.name,
                progress.version,
                progress.target,
                progress.done,
                progress.busy,
            ),
            now,
        )
        answered_at = self._told.get(peer, 0)
        if not progress.done and now - answered_at >= _TELL_S / 2:
            await self._tell(peer, held)

    def pause(self) -> None:
        """Act on nothing that was known before a pause of the process."""
        if self._orders is not None:
            self._orders.queue.pause()

    async def start(self) -> None:
        """Begin to give orders."""
        self._nursery.start_soon(self._step)
        self._nursery.start_soon(self._tell_peers)

    async def stop(self) -> None:
        """Close connections to the engine."""
        await self._engine.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        if self._orders is None:
            return {}
        return self._orders.dump(trio.current_time())

    def _make(self, fencing: config.FencingMode) -> orders.EndpointOrders:
        queue = orders.OrderQueue(
            self._identity.incarnation, fencing, orders.OrderLimits()
        )
        rollout = orders.Rollout(self._identity.name, orders.RolloutLimits())
        return orders.EndpointOrders(queue, rollout, self._schedule)

    def _share(self) -> None:
        """Tell the rollout and the schedule who the others are."""
        if self._orders is not None:
            self._orders.rollout.set_pool(_members(self._hosts, self._identity))
        self._schedule.set_fleet(
            tuple(
                host.name for host in self._hosts if host.pool in self._loading
            )
        )

    async def _step(self) -> None:
        while True:
            held = self._orders
            if held is not None and not self._identity.leaving:
                self._take_step(held)
            await trio.sleep(_STEP_S)

    def _take_step(self, held: orders.EndpointOrders) -> None:
        if self._identity.superseded and not held.queue.superseded:
            held.queue.supersede()
        was_busy = held.busy
        step = held.step(trio.current_time(), time.time(), self._calls())
        if held.busy is not was_busy and self.changed:
            self.changed()
        if isinstance(step, orders.SendOrder):
            self._nursery.start_soon(self._order, held, step.order)
        elif isinstance(step, orders.ReadState):
            self._nursery.start_soon(self._read, held, step.number)

    async def _order(
        self, held: orders.EndpointOrders, order: orders.Order
    ) -> None:
        answer = await self._engine.order(order)
        held.queue.answered(answer, trio.current_time())

    async def _read(self, held: orders.EndpointOrders, number: int) -> None:
        checked = self._pool is not None and self._pool.fencing == 'checked'
        readback = await self._engine.read(number, checked)
        if readback is None:
            held.queue.unread(number, trio.current_time())
        else:
            held.queue.read_back(readback, trio.current_time())

    async def _tell_peers(self) -> None:
        """Tell the pool, while this member has an order to give."""
        while True:
            held = self._orders
            if held is not None and not held.queue.settled:
                for name in _members(self._hosts, self._identity):
                    await self._tell(name, held)
            await trio.sleep(_TELL_S)

    async def _tell(self, name: str, held: orders.EndpointOrders) -> None:
        self._told[name] = trio.current_time()
        own = held.progress(self._identity.name)
        await self._send(
            name,
            wire.OrderProgress(
                own.name, own.version, own.target, own.done, own.busy
            ),
        )


def _ordered(pool: config.PoolDocument) -> bool:
    """Tell whether the engines of the pool get orders."""
    return pool.kind == 'engine' and bool(pool.model)


def _members(
    hosts: tuple[_hosts.Host, ...], own: _identity.Identity
) -> tuple[str, ...]:
    """Return the other sidecars of the pool."""
    return tuple(
        host.name
        for host in hosts
        if host.role == 'sidecar'
        and host.pool == own.pool
        and host.name != own.name
        and host.state == 'live'
    )
