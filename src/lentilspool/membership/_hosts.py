"""The host list as a hint, joined with what leases tell."""

from collections.abc import Iterable, Iterator

from lentilspool.membership import _lease_table, _member, _subset


class HostView:
    """Hosts by name, as last listed.

    The list lags. A host that it calls leaving gets no new work; a host
    that it lacks stays as long as its lease lives.
    """

    def __init__(self, own: _subset.Place) -> None:
        self._own = own
        self._hosts: dict[str, _member.HostHint] = {}
        self._live: dict[str, tuple[_member.HostHint, ...]] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    @property
    def pools(self) -> tuple[str, ...]:
        """Pools of the hosts listed."""
        return tuple(sorted(pool for pool in self._live if pool))

    def replace(self, hosts: Iterable[_member.HostHint]) -> frozenset[str]:
        """Take a new list; return the pools whose subsets it may change."""
        fresh = {hint.name: hint for hint in hosts}
        changed = {
            hint.pool for hint in self._differences(fresh) if hint is not None
        }
        self._hosts = fresh
        self._live = self._by_pool()
        entries_changed = '' in changed
        changed.discard('')
        return frozenset((*changed, *(self.pools if entries_changed else ())))

    def hint(self, name: str) -> _member.HostHint | None:
        """Return the line of a host, if it is listed."""
        return self._hosts.get(name)

    def takes_work(self, member: _member.Member) -> bool:
        """Tell whether neither the member nor the list says that it leaves."""
        hint = self._hosts.get(member.name)
        return not member.leaving and (
            hint is None or hint.state is _member.HostState.live
        )

    def entries(self) -> tuple[_subset.Place, ...]:
        """Return the entries listed, this one always included."""
        listed = {
            hint.name: _subset.Place(hint.name, hint.zone)
            for hint in self._live.get('', ())
        }
        return tuple({**listed, self._own.name: self._own}.values())

    def endpoints(
        self, pool: str, leases: Iterable[_lease_table.Lease]
    ) -> tuple[_subset.Place, ...]:
        """Return who takes work in the pool: listed, or heard from."""
        places = {
            hint.name: _subset.Place(hint.name, hint.zone)
            for hint in self._live.get(pool, ())
        }
        for lease in leases:
            member = lease.member
            if member.pool == pool and self.takes_work(member):
                places[member.name] = _subset.Place(member.name, member.zone)
        return tuple(places.values())

    def _by_pool(self) -> dict[str, tuple[_member.HostHint, ...]]:
        """Return the hosts listed as live, entries under the empty name."""
        pools: dict[str, list[_member.HostHint]] = {}
        for hint in self._hosts.values():
            if hint.state is _member.HostState.live:
                pools.setdefault(hint.pool, []).append(hint)
        return {pool: tuple(hints) for pool, hints in pools.items()}

    def _differences(
        self, fresh: dict[str, _member.HostHint]
    ) -> Iterator[_member.HostHint | None]:
        """Yield the old and the new line of each host that differs."""
        for name in self._hosts.keys() | fresh.keys():
            if self._hosts.get(name) != fresh.get(name):
                yield self._hosts.get(name)
                yield fresh.get(name)
