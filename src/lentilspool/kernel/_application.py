"""Application object that owns components through their life cycle."""

from collections.abc import Callable
from typing import Protocol


class Component(Protocol):
    """A part of a process, started, drained and stopped by ``Application``."""

    async def start(self) -> None:
        """Begin work; returns when the component can be used."""
        ...

    async def drain(self) -> None:
        """Take no new work; returns when the work in hand has ended."""
        ...

    async def stop(self) -> None:
        """Release everything at once."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the component's state as plain JSON types."""
        ...


class BaseComponent:
    """Hooks that do nothing, for components that need only some of them."""

    async def start(self) -> None:
        """Begin work."""

    async def drain(self) -> None:
        """Take no new work."""

    async def stop(self) -> None:
        """Release everything at once."""

    def dump(self) -> dict[str, object]:
        """Return the component's state as plain JSON types."""
        return {}


class Application:
    """Starts components in order; drains and stops them in reverse order.

    Give it named components, await ``start``, and later ``drain`` followed
    by ``stop``. Life-cycle hooks are called with the name of each state
    that the application reaches.
    """

    def __init__(
        self,
        components: dict[str, Component],
        hooks: tuple[Callable[[str], None], ...] = (),
    ) -> None:
        self._components = components
        self._hooks = hooks
        self._state = 'new'

    @property
    def state(self) -> str:
        """One of new, starting, running, draining, drained, stopped."""
        return self._state

    async def start(self) -> None:
        """Start every component in the order given."""
        self._enter('starting')
        for component in self._components.values():
            await component.start()
        self._enter('running')

    async def drain(self) -> None:
        """Drain every component, the last started first."""
        self._enter('draining')
        for component in reversed(self._components.values()):
            await component.drain()
        self._enter('drained')

    async def stop(self) -> None:
        """Stop every component, the last started first."""
        for component in reversed(self._components.values()):
            await component.stop()
        self._enter('stopped')

    def dump(self) -> dict[str, object]:
        """Return the state of the process, one section for a component."""
        sections: dict[str, object] = {
            name: component.dump()
            for name, component in self._components.items()
        }
        return {'state': self._state, **sections}

    def _enter(self, state: str) -> None:
        self._state = state
        for hook in self._hooks:
            hook(state)
