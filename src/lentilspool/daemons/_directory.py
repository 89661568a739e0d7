"""Endpoints known to an entry, with connections to their sidecars."""

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
from lentilspool.daemons import _connections, _hosts, _identity, _link

_DEFAULT_SERVICE_TIME_S: Final = 0.02
_LEASE_CHECK_INTERVAL_S: Final = 0.25


class Directory(kernel.BaseComponent):
    """Maintains connections to sidecars and one ``PoolRouter`` per pool.

    An endpoint is a candidate for calls while its connection is usable and
    its sidecar has sent a heartbeat on it without announcing that it is
    leaving. Messages other than heartbeats go to the listener.
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
        self._connections = _connections.Connections(
            identity.hello(),
            link_settings,
            self._on_message,
            nursery,
            self._update_routers,
        )
        self._members = membership.Membership(
            membership.ProcessLocation(identity.name, identity.zone),
            trio.current_time(),
            membership.MembershipLimits(),
        )
        self._interval_requests = _identity.IntervalRequests(
            identity,
            membership.HeartbeatLimits(
                min_interval_s=link_settings.heartbeat_interval_s
            ),
        )
        self._nursery = nursery
        self._hosts: dict[str, _hosts.Host] = {}
        self._names_by_target: dict[_connections.Target, str] = {}
        self._extra_sidecars: set[str] = set()
        self._entries = 1
        self._lease_generation = -1
        self._document: config.Document | None = None
        self._routers: dict[str, pipeline.PoolRouter] = {}

    @property
    def ready(self) -> bool:
        """Whether every pool has an endpoint with a configured sidecar.

        An endpoint that is down or gets an order counts too, because the
        other pools can be used meanwhile.
        """
        now = trio.current_time()
        return bool(self._routers) and all(
            any(
                self._is_configured(candidate.name, now)
                for candidate in router.candidates
            )
            for router in self._routers.values()
        )

    def router(self, pool: str) -> pipeline.PoolRouter | None:
        """Return the router of a pool; None for an unknown pool."""
        return self._routers.get(pool)

    def link(self, name: str) -> _link.Link | None:
        """Return the usable connection to a sidecar, if there is one."""
        host = self._hosts.get(name)
        return self._connections.find(host.target) if host else None

    def connect(self, name: str) -> bool:
        """Keep a connection to a sidecar; False if it is not in the host list.

        The connection is kept in addition to those of the entry's subset, until
        the sidecar leaves the host list.
        """
        if name not in self._hosts:
            return False
        if name not in self._extra_sidecars:
            self._extra_sidecars.add(name)
            self._update_targets()
        return True

    def on_answer(self, name: str, answer: wire.StageAnswer) -> None:
        """Extend a sidecar's lease on its answer.

        A refusal because of draining marks the sidecar as leaving instead.
        """
        link = self.link(name)
        if link is None or link.peer is None:
            return
        incarnation = link.peer.incarnation
        draining = kernel.NotRunReason.draining.value
        if answer.outcome == 'not_run' and answer.reason == draining:
            self._members.record_draining_refusal(name, incarnation)
            self._update_routers()
            return
        now = trio.current_time()
        self._members.leases.extend(name, incarnation, now)

    def name_at(self, target: _connections.Target) -> str | None:
        """Return the name of the sidecar at an address and port."""
        return self._names_by_target.get(target)

    def loads(self, pools: Iterable[str]) -> dict[str, limits.PoolLoad]:
        """Return the load of each known pool."""
        return {
            pool: self._routers[pool].load(
                _entries_per_endpoint(self._hosts.values(), self._entries, pool)
            )
            for pool in pools
            if pool in self._routers
        }

    def update_hosts(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Apply a new host list."""
        sidecars = [host for host in hosts if host.role == 'sidecar']
        entries = [host for host in hosts if host.role == 'entry']
        self._entries = max(1, len(entries))
        self._members.update_hosts(_host_hint(host) for host in hosts)
        self._hosts = {host.name: host for host in sidecars}
        self._names_by_target = {host.target: host.name for host in sidecars}
        self._extra_sidecars.intersection_update(self._hosts)
        self._update_targets()

    def apply_configuration(self, state: config.State) -> None:
        """Apply a new configuration; unchanged pools keep their routers."""
        previous = self._document
        document = state.document
        budget_share = document.policies.retry_budget_share
        for name, pool in document.pools.items():
            if previous is None or previous.pools.get(name) != pool:
                self._routers[name] = pipeline.PoolRouter(
                    name, pool, budget_share, self._rng
                )
        self._lease_generation = -1
        self._update_routers()
        for removed in set(self._routers).difference(document.pools):
            self._routers.pop(removed)
        self._document = document

    async def start(self) -> None:
        """Start to check leases periodically."""
        self._nursery.start_soon(self._check_leases)

    async def stop(self) -> None:
        """Close every connection once its open calls have ended."""
        self._connections.replace_targets(())

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

    async def _check_leases(self) -> None:
        while True:
            now = trio.current_time()
            self._members.run_checks(now)
            leases = self._members.leases
            self._interval_requests.set_lease_count(
                sum(lease.ends_at > now for lease in leases)
            )
            for router in self._routers.values():
                router.expire(now)
            self._update_routers()
            self._update_targets()
            await trio.sleep(_LEASE_CHECK_INTERVAL_S)

    async def _on_message(
        self, link: _link.Link, message: wire.Message
    ) -> None:
        if not isinstance(message, wire.Heartbeat):
            await self._listener(link, message)
            return
        interval_request = self._interval_requests.next_request(link)
        if interval_request is not None:
            await link.send(interval_request)
        now = trio.current_time()
        answer = self._members.receive(
            _identity.heartbeat_from_wire(message), now
        )
        if isinstance(answer, membership.Refused):
            correction = _correction(self._members.leases, message, now)
            if correction is not None:
                await link.send(correction)
            return
        self._update_routers()
        member = answer.member
        router = self._routers.get(member.pool)
        if router is not None:
            report = pipeline.LoadReport(
                member.in_flight, member.queued, member.limit
            )
            router.update_load(
                member.name, report, _DEFAULT_SERVICE_TIME_S, now
            )

    def _is_configured(self, name: str, now: float) -> bool:
        """Return whether a sidecar has reported a configuration."""
        member = self._members.leases.live_member(name, now)
        return member is not None and member.config.version > 0

    def _update_targets(self) -> None:
        """Keep connections to subsets, spare endpoints and extra sidecars."""
        now = trio.current_time()
        names = set(self._extra_sidecars)
        for pool in self._members.pools:
            names.update(self._members.subset(pool))
            spares = self._members.connection_targets(pool, now)
            names.update(spare.name for spare in spares)
        self._connections.replace_targets(
            self._hosts[name].target for name in names if name in self._hosts
        )

    def _update_routers(
        self, ended_target: _connections.Target | None = None
    ) -> None:
        """Update the candidate endpoints of the routers if leases changed.

        ``ended_target`` is the target of a connection that has just ended;
        the lease of its sidecar ends too.
        """
        name = self._names_by_target.get(ended_target) if ended_target else None
        if name is not None:
            self._members.leases.end(name, trio.current_time())
        generation = self._members.leases.generation
        if generation == self._lease_generation:
            return
        self._lease_generation = generation
        now = trio.current_time()
        for pool, router in self._routers.items():
            usable = self._members.usable_members(pool, now)
            router.set_endpoints(
                (member.name, member.zone) for member in usable
            )


def _host_hint(host: _hosts.Host) -> membership.ListedHost:
    return membership.ListedHost(
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
    """Return the message that tells an old incarnation of a newer one.

    Return None if the sender of ``message`` is the newest live incarnation.
    """
    current = leases.live_member(message.process, now)
    if current is None or current.incarnation <= message.incarnation:
        return None
    return dataclasses.replace(message, incarnation=current.incarnation)


def _entries_per_endpoint(
    sidecars: Iterable[_hosts.Host], entries: int, pool: str
) -> float:
    """Return the mean number of entries that use one endpoint of a pool."""
    listed = sum(1 for host in sidecars if host.pool == pool)
    return membership.mean_coverage(entries, listed, membership.SubsetLimits())
