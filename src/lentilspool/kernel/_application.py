"""Application object that starts, drains and stops its components."""

from collections.abc import Callable
from typing import Protocol


class Component(Protocol):
    """A part of a process, started, drained and stopped by ``Application``."""

    async def start(self) -> None:
        """Start the component; return once it can be used."""
        ...

    async def drain(self) -> None:
        """Accept no new work; return once the work in progress has ended."""
        ...

    async def stop(self) -> None:
        """Release all resources without waiting for work in progress."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the component's state as plain JSON types."""
        ...


class BaseComponent:
    """Component whose methods do nothing; override those that are needed."""

    async def start(self) -> None:
        """Do nothing."""

    async def drain(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def dump(self) -> dict[str, object]:
        """Return an empty state."""
        return {}


class Application:
    """Starts components in order; drains and stops them in reverse order.

    Construct it with named components, await ``start``, and later ``drain``
    followed by ``stop``. Each hook is called with the name of every state
    that the application enters.
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
        """Drain every component in reverse start order."""
        self._enter('draining')
        for component in reversed(self._components.values()):
            await component.drain()
        self._enter('drained')

    async def stop(self) -> None:
        """Stop every component in reverse start order."""
        for component in reversed(self._components.values()):
            await component.stop()
        self._enter('stopped')

    def dump(self) -> dict[str, object]:
        """Return the application state and one section per component."""
        sections: dict[str, object] = {
            name: component.dump()
            for name, component in self._components.items()
        }
        return {'state': self._state, **sections}

    def _enter(self, state: str) -> None:
        self._state = state
        for hook in self._hooks:
            hook(state)
