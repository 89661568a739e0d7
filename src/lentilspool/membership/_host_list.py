"""The host list, combined with the leases where it lags."""

from collections.abc import Iterable, Iterator

from lentilspool.membership import _lease_table, _member, _subset


class HostList:
    """Hosts by name, from the newest host list.

    The list lags behind the fleet, so it is only a hint. A host that it
    marks as leaving gets no new work; a host that it does not contain
    remains usable until its lease ends.
    """

    def __init__(self, own: _subset.ProcessLocation) -> None:
        self._own = own
        self._hosts: dict[str, _member.ListedHost] = {}
        self._live_by_pool: dict[str, tuple[_member.ListedHost, ...]] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    @property
    def pools(self) -> tuple[str, ...]:
        """Names of the pools of the listed hosts."""
        return tuple(sorted(pool for pool in self._live_by_pool if pool))

    def replace(self, hosts: Iterable[_member.ListedHost]) -> frozenset[str]:
        """Replace the list; return the pools whose subsets may change."""
        new_hosts = {hint.name: hint for hint in hosts}
        changed = {
            hint.pool
            for hint in self._changed_hints(new_hosts)
            if hint is not None
        }
        self._hosts = new_hosts
        self._live_by_pool = self._group_by_pool()
        entries_changed = '' in changed
        changed.discard('')
        return frozenset((*changed, *(self.pools if entries_changed else ())))

    def hint(self, name: str) -> _member.ListedHost | None:
        """Return the listed record of a host, if any."""
        return self._hosts.get(name)

    def accepts_work(self, member: _member.Member) -> bool:
        """Tell whether neither the member nor the list reports it as leaving."""
        hint = self._hosts.get(member.name)
        return not member.leaving and (
            hint is None or hint.state is _member.HostState.live
        )

    def entries(self) -> tuple[_subset.ProcessLocation, ...]:
        """Return the listed entries, always including this process."""
        listed = {
            hint.name: _subset.ProcessLocation(hint.name, hint.zone)
            for hint in self._live_by_pool.get('', ())
        }
        return tuple({**listed, self._own.name: self._own}.values())

    def endpoints(
        self, pool: str, leases: Iterable[_lease_table.Lease]
    ) -> tuple[_subset.ProcessLocation, ...]:
        """Return the endpoints of the pool, listed or with a lease."""
        places = {
            hint.name: _subset.ProcessLocation(hint.name, hint.zone)
            for hint in self._live_by_pool.get(pool, ())
        }
        for lease in leases:
            member = lease.member
            if member.pool == pool and self.accepts_work(member):
                places[member.name] = _subset.ProcessLocation(
                    member.name, member.zone
                )
        return tuple(places.values())

    def _group_by_pool(self) -> dict[str, tuple[_member.ListedHost, ...]]:
        """Return the live listed hosts by pool; entries have the pool ''."""
        pools: dict[str, list[_member.ListedHost]] = {}
        for hint in self._hosts.values():
            if hint.state is _member.HostState.live:
                pools.setdefault(hint.pool, []).append(hint)
        return {pool: tuple(hints) for pool, hints in pools.items()}

    def _changed_hints(
        self, new_hosts: dict[str, _member.ListedHost]
    ) -> Iterator[_member.ListedHost | None]:
        """Yield the old and the new record of each host that differs."""
        for name in self._hosts.keys() | new_hosts.keys():
            if self._hosts.get(name) != new_hosts.get(name):
                yield self._hosts.get(name)
                yield new_hosts.get(name)
