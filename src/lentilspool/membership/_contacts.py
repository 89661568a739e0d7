"""Which endpoints of a pool to keep connections with."""

from collections.abc import Callable, Iterable

_Live = Callable[[str], bool]


class Contacts:
    """Replaces members of a subset that stay without a lease by spares.

    Spares are taken in order of preference, one for each member that has
    been without a lease for a while, and dropped when it is back. A spare
    that cannot be reached either is followed by the next one.
    """

    def __init__(self, spare_after_s: float) -> None:
        self._spare_after_s = spare_after_s
        self._absent: dict[str, float] = {}

    def choose(
        self,
        subset: tuple[str, ...],
        ranked: Callable[[], Iterable[str]],
        live: _Live,
        now: float,
    ) -> tuple[str, ...]:
        """Return the subset and its spares; ``ranked`` is called if needed."""
        overdue = [name for name in subset if self._overdue(name, live, now)]
        if not overdue:
            return subset
        return (
            *subset,
            *self._spares(len(overdue), subset, ranked(), live, now),
        )

    def forget(self, known: Callable[[str], bool]) -> None:
        """Drop what is remembered of hosts that are gone."""
        self._absent = {
            name: since for name, since in self._absent.items() if known(name)
        }

    def _spares(
        self,
        wanted: int,
        subset: tuple[str, ...],
        ranked: Iterable[str],
        live: _Live,
        now: float,
    ) -> list[str]:
        spares: list[str] = []
        for name in ranked:
            if wanted and name not in subset:
                spares.append(name)
                wanted -= not self._overdue(name, live, now)
        return spares

    def _overdue(self, name: str, live: _Live, now: float) -> bool:
        """Tell whether the member has had no lease for a while."""
        if live(name):
            self._absent.pop(name, None)
            return False
        since = self._absent.setdefault(name, now)
        return now - since > self._spare_after_s
