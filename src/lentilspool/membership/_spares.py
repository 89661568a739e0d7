"""Selection of spare endpoints for unreachable subset members."""

from collections.abc import Callable, Iterable

_HasLease = Callable[[str], bool]


class SpareSelector:
    """Adds spares for subset members that have had no lease for some time.

    A member is unreachable if it has had no lease for longer than
    ``spare_after_s`` seconds. Each unreachable member gets one spare, in
    order of preference, until it has a lease again. An unreachable spare
    is kept and the next one is added.
    """

    def __init__(self, spare_after_s: float) -> None:
        self._spare_after_s = spare_after_s
        self._unleased_since: dict[str, float] = {}

    def choose(
        self,
        subset: tuple[str, ...],
        ranked: Callable[[], Iterable[str]],
        has_lease: _HasLease,
        now: float,
    ) -> tuple[str, ...]:
        """Return the subset and its spares.

        ``ranked`` returns the endpoints in order of preference. It is only
        called if a member is unreachable.
        """
        unreachable = [
            name
            for name in subset
            if self._is_unreachable(name, has_lease, now)
        ]
        if not unreachable:
            return subset
        return (
            *subset,
            *self._choose_spares(
                len(unreachable), subset, ranked(), has_lease, now
            ),
        )

    def forget(self, is_known: Callable[[str], bool]) -> None:
        """Remove the records of hosts that are no longer known."""
        self._unleased_since = {
            name: since
            for name, since in self._unleased_since.items()
            if is_known(name)
        }

    def _choose_spares(
        self,
        missing_count: int,
        subset: tuple[str, ...],
        ranked: Iterable[str],
        has_lease: _HasLease,
        now: float,
    ) -> list[str]:
        spares: list[str] = []
        for name in ranked:
            if missing_count and name not in subset:
                spares.append(name)
                missing_count -= not self._is_unreachable(name, has_lease, now)
        return spares

    def _is_unreachable(
        self, name: str, has_lease: _HasLease, now: float
    ) -> bool:
        """Tell whether the member has had no lease for ``spare_after_s``."""
        if has_lease(name):
            self._unleased_since.pop(name, None)
            return False
        since = self._unleased_since.setdefault(name, now)
        return now - since > self._spare_after_s
