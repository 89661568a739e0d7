"""Breadth-first search of every order of actions up to a depth."""

import dataclasses
import sys
from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Generic, Protocol, TypeAlias, TypeVar


class State(Protocol):
    """A state of the model; actions work on copies of it."""

    fault: str
    """Invariant that the last action broke; empty if none."""

    def key(self) -> Hashable:
        """Return what tells this state from others."""
        ...


StateT = TypeVar('StateT', bound=State)
Action = Callable[[StateT], StateT]
"""Returns the state after an action; leaves the state before as it is."""

Actions = Callable[[StateT], Iterable[tuple[str, Action[StateT]]]]
"""Returns name and effect of each action that is possible in a state."""

_Visit: TypeAlias = tuple[StateT, tuple[str, ...]]


@dataclasses.dataclass(frozen=True)
class Report:
    """What a search has found."""

    states: int
    """Different states visited."""

    transitions: int
    """Actions taken."""

    depth: int
    """Longest sequence of actions."""

    fault: str = ''
    """Invariant that was broken; empty if none."""

    trace: tuple[str, ...] = ()
    """Shortest sequence of actions that breaks it."""

    def show(self, name: str) -> None:
        """Print the report."""
        sys.stdout.write(f'{name}: {self}\n')


class Explorer(Generic[StateT]):
    """Visits each state within a depth; stops at a broken invariant."""

    def __init__(self, actions: Actions[StateT]) -> None:
        self._actions = actions
        self._seen: set[Hashable] = set()
        self._transitions = 0

    def explore(self, initial: StateT, depth: int) -> Report:
        """Return what the search from the initial state has found."""
        self._seen.add(initial.key())
        frontier: list[_Visit[StateT]] = [(initial, ())]
        for level in range(1, depth + 1):
            following: list[_Visit[StateT]] = []
            for state, path in self._successors(frontier):
                if state.fault:
                    return self._report(level, state.fault, path)
                if self._is_new(state):
                    following.append((state, path))
            frontier = following
        return self._report(depth)

    def _successors(
        self, frontier: list[_Visit[StateT]]
    ) -> Iterator[_Visit[StateT]]:
        for state, path in frontier:
            for name, act in self._actions(state):
                self._transitions += 1
                yield act(state), (*path, name)

    def _is_new(self, state: State) -> bool:
        key = state.key()
        if key in self._seen:
            return False
        self._seen.add(key)
        return True

    def _report(
        self, depth: int, fault: str = '', trace: tuple[str, ...] = ()
    ) -> Report:
        return Report(len(self._seen), self._transitions, depth, fault, trace)
