"""Endpoints known to an entry: connections to sidecars, and their health."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Final

import trio

from lentilspool import (
    config,
    kernel,
    limits,
    membership,
    pipeline,
    settings,
    wire,
)
from lentilspool.daemons import _hosts, _identity, _link, _targets

_PRIOR_S: Final = 0.02
_BEAT_S: Final = 0.25


class Directory(kernel.BaseComponent):
    """Keeps connections to sidecars and one ``PoolRouter`` for each pool.

    An endpoint may get work while its connection is usable, its sidecar has
    sent a heartbeat on it, and has not said that it is leaving. Messages
    other than heartbeats go to the listener.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        link_settings: settings.LinkSettings,
        listener: _link.Listener,
        nursery: trio.Nursery,
    ) -> None:
        self._identity = identity
        self._listener = listener
        self._rng = random.Random(identity.incarnation)
        self._targets = _targets.Targets(
            identity.hello(),
            link_settings,
            self._heard,
            nursery,
            self._refresh,
        )
        self._members = membership.Membership(
            membership.Place(identity.name, identity.zone),
            trio.current_time(),
            membership.MembershipLimits(),
        )
        self._wishes = _identity.Wishes(
            identity,
            membership.BeatLimits(
                min_interval_s=link_settings.heartbeat_interval_s
            ),
        )
        self._nursery = nursery
        self._hosts: dict[str, _hosts.Host] = {}
        self._names: dict[_targets.Target, str] = {}
        self._reached: set[str] = set()
        self._entries = 1
        self._generation = -1
        self._document: config.Document | None = None
        self._routers: dict[str, pipeline.PoolRouter] = {}

    @property
    def ready(self) -> bool:
        """Whether every pool has an endpoint that may get work."""
        return bool(self._routers) and all(
            router.candidates for router in self._routers.values()
        )

    def router(self, pool: str) -> pipeline.PoolRouter | None:
        """Return the router of a pool; none for an unknown pool."""
        return self._routers.get(pool)

    def link(self, name: str) -> _link.Link | None:
        """Return the usable connection to a sidecar, if there is one."""
        host = self._hosts.get(name)
        return self._targets.find(host.target) if host else None

    def reach(self, name: str) -> bool:
        """Open a connection to a sidecar; False if it is not listed."""
        if name not in self._hosts:
            return False
        if name not in self._reached:
            self._reached.add(name)
            self._want()
        return True

    def answered(self, name: str, answer: wire.StageAnswer) -> None:
        """Renew a sidecar's lease by its answer, or learn that it leaves."""
        link = self.link(name)
        if link is None or link.peer is None:
            return
        incarnation = link.peer.incarnation
        draining = kernel.NotRunReason.draining.value
        if answer.outcome == 'not_run' and answer.reason == draining:
            self._members.refused_draining(name, incarnation)
            self._refresh()
            return
        now = trio.current_time()
        self._members.leases.extend(name, incarnation, now)

    def name_at(self, target: _targets.Target) -> str | None:
        """Return the sidecar that listens at an address and port."""
        return self._names.get(target)

    def loads(self, pools: Iterable[str]) -> dict[str, limits.PoolLoad]:
        """Return the load of each known pool."""
        return {
            pool: self._routers[pool].load(
                _sharers(self._hosts.values(), self._entries, pool)
            )
            for pool in pools
            if pool in self._routers
        }

    def follow(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Take a new host list."""
        sidecars = [host for host in hosts if host.role == 'sidecar']
        entries = [host for host in hosts if host.role == 'entry']
        self._entries = max(1, len(entries))
        self._members.update_hosts(_hint(host) for host in hosts)
        self._hosts = {host.name: host for host in sidecars}
        self._names = {host.target: host.name for host in sidecars}
        self._reached.intersection_update(self._hosts)
        self._want()

    def adopt(self, state: config.State) -> None:
        """Take a new configuration; unchanged pools keep their health."""
        held = self._document
        document = state.document
        share = document.policies.retry_budget_share
        for name, pool in document.pools.items():
            if held is None or held.pools.get(name) != pool:
                self._routers[name] = pipeline.PoolRouter(
                    name, pool, share, self._rng
                )
        self._generation = -1
        self._refresh()
        for gone in set(self._routers).difference(document.pools):
            self._routers.pop(gone)
        self._document = document

    async def start(self) -> None:
        """Begin to watch leases."""
        self._nursery.start_soon(self._beat)

    async def stop(self) -> None:
        """Close every connection."""
        self._targets.want(())

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        now = trio.current_time()
        return {
            'entries': self._entries,
            'members': self._members.dump(now),
            'sidecars': len(self._hosts),
            'pools': {
                name: router.dump(now) for name, router in self._routers.items()
            },
        }

    async def _beat(self) -> None:
        while True:
            now = trio.current_time()
            self._members.beat(now)
            leases = self._members.leases
            self._wishes.count(sum(lease.ends_at > now for lease in leases))
            for router in self._routers.values():
                router.expire(now)
            self._refresh()
            self._want()
            await trio.sleep(_BEAT_S)

    async def _heard(self, link: _link.Link, message: wire.Message) -> None:
        if not isinstance(message, wire.Heartbeat):
            await self._listener(link, message)
            return
        wish = self._wishes.ask(link)
        if wish is not None:
            await link.send(wish)
        now = trio.current_time()
        answer = self._members.receive(_identity.from_wire(message), now)
        if isinstance(answer, membership.Refused):
            correction = _correction(self._members.leases, message, now)
            if correction is not None:
                await link.send(correction)
            return
        self._refresh()
        member = answer.member
        router = self._routers.get(member.pool)
        if router is not None:
            report = pipeline.LoadReport(
                member.in_flight, member.queued, member.limit
            )
            router.update_load(member.name, report, _PRIOR_S, now)

    def _want(self) -> None:
        """Keep connections to the subsets, to spares and to extra sidecars."""
        now = trio.current_time()
        names = set(self._reached)
        for pool in self._members.pools:
            names.update(self._members.subset(pool))
            spares = self._members.candidates(pool, now)
            names.update(spare.name for spare in spares)
        self._targets.want(
            self._hosts[name].target for name in names if name in self._hosts
        )

    def _refresh(self, ended: _targets.Target | None = None) -> None:
        """Give the routers the endpoints that may get work, if they changed.

        ``ended`` is the target of a connection that has ended.
        """
        name = self._names.get(ended) if ended else None
        if name is not None:
            self._members.leases.end(name, trio.current_time())
        generation = self._members.leases.generation
        if generation == self._generation:
            return
        self._generation = generation
        now = trio.current_time()
        for pool, router in self._routers.items():
            usable = self._members.usable(pool, now)
            router.set_endpoints(
                (member.name, member.zone) for member in usable
            )


def _hint(host: _hosts.Host) -> membership.HostHint:
    return membership.HostHint(
        name=host.name,
        address=host.address,
        port=host.port,
        zone=host.zone,
        pool=host.pool,
        role=membership.Role(host.role),
        state=membership.HostState(host.state),
    )


def _correction(
    leases: membership.LeaseTable, message: wire.Heartbeat, now: float
) -> wire.Heartbeat | None:
    """Return what tells an old incarnation which one is at work."""
    later = leases.live(message.process, now)
    if later is None or later.incarnation <= message.incarnation:
        return None
    return dataclasses.replace(message, incarnation=later.incarnation)


def _sharers(sidecars: Iterable[_hosts.Host], entries: int, pool: str) -> float:
    """Return how many entries send work to one endpoint of a pool."""
    listed = sum(1 for host in sidecars if host.pool == pool)
    return membership.mean_coverage(entries, listed, membership.SubsetLimits())
