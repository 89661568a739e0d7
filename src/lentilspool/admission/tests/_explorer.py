"""Breadth-first search of all orders of actions up to a depth."""

import dataclasses
import sys
from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Generic, Protocol, TypeAlias, TypeVar


class State(Protocol):
    """A state of the model; actions change only copies of it."""

    violation: str
    """Invariant that the last action violated; empty if none."""

    def key(self) -> Hashable:
        """Return the value by which states are compared."""
        ...


StateT = TypeVar('StateT', bound=State)
Action = Callable[[StateT], StateT]
"""Returns the state after an action, without changing its argument."""

Actions = Callable[[StateT], Iterable[tuple[str, Action[StateT]]]]
"""Returns name and function of each action possible in a state."""

_Visit: TypeAlias = tuple[StateT, tuple[str, ...]]


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of a search."""

    states: int
    """Number of distinct states visited."""

    transitions: int
    """Number of actions applied."""

    depth: int
    """Length of the longest sequence of actions searched."""

    violation: str = ''
    """Invariant that was violated; empty if none."""

    trace: tuple[str, ...] = ()
    """Shortest sequence of actions that violates it."""

    def show(self, name: str) -> None:
        """Print the report under a name."""
        sys.stdout.write(f'{name}: {self}\n')


class Explorer(Generic[StateT]):
    """Visits each state up to a depth; stops at the first violation."""

    def __init__(self, actions: Actions[StateT]) -> None:
        self._actions = actions
        self._visited_keys: set[Hashable] = set()
        self._transitions = 0

    def explore(self, initial: StateT, depth: int) -> Report:
        """Search from an initial state up to a number of actions."""
        self._visited_keys.add(initial.key())
        frontier: list[_Visit[StateT]] = [(initial, ())]
        for level in range(1, depth + 1):
            next_frontier: list[_Visit[StateT]] = []
            for state, path in self._successors(frontier):
                if state.violation:
                    return self._report(level, state.violation, path)
                if self._is_new(state):
                    next_frontier.append((state, path))
            frontier = next_frontier
        return self._report(depth)

    def _successors(
        self, frontier: list[_Visit[StateT]]
    ) -> Iterator[_Visit[StateT]]:
        for state, path in frontier:
            for name, apply_action in self._actions(state):
                self._transitions += 1
                yield apply_action(state), (*path, name)

    def _is_new(self, state: State) -> bool:
        key = state.key()
        if key in self._visited_keys:
            return False
        self._visited_keys.add(key)
        return True

    def _report(
        self, depth: int, violation: str = '', trace: tuple[str, ...] = ()
    ) -> Report:
        return Report(
            len(self._visited_keys), self._transitions, depth, violation, trace
        )
