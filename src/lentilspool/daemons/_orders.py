"""Orders to the engine of a sidecar, such as to load a model."""

import time
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import config, dialects, kernel, orders, wire
from lentilspool.daemons import _hosts, _identity

_STEP_INTERVAL_S: Final = 0.2
_PROGRESS_INTERVAL_S: Final = 1.0

Send = Callable[[str, wire.Message], Awaitable[None]]


class OrderDriver(kernel.BaseComponent):
    """Sends orders to the engine until it matches the configuration.

    Only engines in a pool with a model get orders. Pass configurations to
    ``apply_configuration``, host lists to ``update_hosts`` and messages of
    peers to ``on_progress``. While ``busy`` is true the sidecar refuses new
    work; ``on_busy_change`` is called when ``busy`` changes.

    A sidecar whose engine does not match sends its progress to the others of
    its pool every second, and they answer with theirs. No progress is sent
    once all engines of the pool match.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        url: str,
        count_calls: Callable[[], int],
        send: Send,
        nursery: trio.Nursery,
    ) -> None:
        self._identity = identity
        self._engine = dialects.EngineOrderClient(dialects.HttpClient(url, 2))
        self._count_calls = count_calls
        self._send = send
        self._nursery = nursery
        self._hosts: tuple[_hosts.Host, ...] = ()
        self._pool: config.PoolDocument | None = None
        self._ordered_pools: frozenset[str] = frozenset()
        self._schedule = orders.LoadSchedule(
            identity.name, orders.StoreLimits()
        )
        self._orders: orders.EndpointOrders | None = None
        self._sent_at: dict[str, float] = {}
        self.on_busy_change: Callable[[], None] | None = None

    @property
    def busy(self) -> bool:
        """Whether an order is in progress, or waits for calls to end."""
        return self._orders is not None and self._orders.busy

    def apply_configuration(self, state: config.State) -> None:
        """Apply a new configuration."""
        document = state.document
        pool = document.pools.get(self._identity.pool)
        self._ordered_pools = frozenset(
            name
            for name, other in document.pools.items()
            if _gets_orders(other)
        )
        if pool is None or not _gets_orders(pool):
            self._orders = None
            return
        self._pool = pool
        if self._orders is None:
            self._orders = self._make_orders(pool.fencing)
        now = trio.current_time()
        self._orders.update_target(state.version, pool, document.policies, now)
        self._update_members()

    def update_hosts(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Update the other sidecars from a new host list."""
        self._hosts = hosts
        self._update_members()

    async def on_progress(
        self, peer: str, progress: wire.OrderProgress
    ) -> None:
        """Record the progress of a peer, and answer if it is not done.

        An answer is sent only if the last progress went to this peer at
        least half an interval ago.
        """
        current = self._orders
        if current is None or progress.name != peer:
            return
        now = trio.current_time()
        current.rollout.record_progress(
            orders.RolloutProgress(
                progress.name,
                progress.version,
                progress.target,
                progress.done,
                progress.busy,
            ),
            now,
        )
        sent_at = self._sent_at.get(peer, 0)
        if not progress.done and now - sent_at >= _PROGRESS_INTERVAL_S / 2:
            await self._send_progress(peer, current)

    def on_pause(self) -> None:
        """After a pause of the process, read the engine before any order."""
        if self._orders is not None:
            self._orders.queue.discard_state()

    async def start(self) -> None:
        """Start sending orders and progress."""
        self._nursery.start_soon(self._run_steps)
        self._nursery.start_soon(self._broadcast_progress)

    async def stop(self) -> None:
        """Close connections to the engine."""
        await self._engine.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        if self._orders is None:
            return {}
        return self._orders.dump(trio.current_time())

    def _make_orders(
        self, fencing: config.FencingMode
    ) -> orders.EndpointOrders:
        queue = orders.OrderQueue(
            self._identity.incarnation, fencing, orders.OrderLimits()
        )
        rollout = orders.Rollout(self._identity.name, orders.RolloutLimits())
        return orders.EndpointOrders(queue, rollout, self._schedule)

    def _update_members(self) -> None:
        """Update the pool in the rollout and the fleet in the schedule."""
        if self._orders is not None:
            self._orders.rollout.set_pool(
                _pool_peers(self._hosts, self._identity)
            )
        self._schedule.set_sidecars(
            tuple(
                host.name
                for host in self._hosts
                if host.pool in self._ordered_pools
            )
        )

    async def _run_steps(self) -> None:
        while True:
            current = self._orders
            if current is not None and not self._identity.leaving:
                self._run_step(current)
            await trio.sleep(_STEP_INTERVAL_S)

    def _run_step(self, current: orders.EndpointOrders) -> None:
        if self._identity.superseded and not current.queue.superseded:
            current.queue.supersede()
        was_busy = current.busy
        step = current.step(
            trio.current_time(), time.time(), self._count_calls()
        )
        if current.busy is not was_busy and self.on_busy_change:
            self.on_busy_change()
        if isinstance(step, orders.SendOrder):
            self._nursery.start_soon(self._send_order, current, step.order)
        elif isinstance(step, orders.ReadState):
            self._nursery.start_soon(self._read_state, current, step.number)

    async def _send_order(
        self, current: orders.EndpointOrders, order: orders.Order
    ) -> None:
        answer = await self._engine.send_order(order)
        current.queue.record_answer(answer, trio.current_time())

    async def _read_state(
        self, current: orders.EndpointOrders, number: int
    ) -> None:
        checked = self._pool is not None and self._pool.fencing == 'checked'
        reported = await self._engine.read(number, checked)
        if reported is None:
            current.queue.record_failed_read(number, trio.current_time())
        else:
            current.queue.record_state(reported, trio.current_time())

    async def _broadcast_progress(self) -> None:
        """Send progress to the pool while the engine does not match."""
        while True:
            current = self._orders
            if current is not None and not current.queue.settled:
                for name in _pool_peers(self._hosts, self._identity):
                    await self._send_progress(name, current)
            await trio.sleep(_PROGRESS_INTERVAL_S)

    async def _send_progress(
        self, name: str, current: orders.EndpointOrders
    ) -> None:
        self._sent_at[name] = trio.current_time()
        own_progress = current.progress(self._identity.name)
        await self._send(
            name,
            wire.OrderProgress(
                own_progress.name,
                own_progress.version,
                own_progress.target,
                own_progress.done,
                own_progress.busy,
            ),
        )


def _gets_orders(pool: config.PoolDocument) -> bool:
    """Return whether the engines of the pool get orders."""
    return pool.kind == 'engine' and bool(pool.model)


def _pool_peers(
    hosts: tuple[_hosts.Host, ...], identity: _identity.Identity
) -> tuple[str, ...]:
    """Return the names of the other live sidecars of the pool."""
    return tuple(
        host.name
        for host in hosts
        if host.role == 'sidecar'
        and host.pool == identity.pool
        and host.name != identity.name
        and host.state == 'live'
    )
