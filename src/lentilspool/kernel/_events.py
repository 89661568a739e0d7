"""Numbered log events, declared by the package that logs them.

A package declares its events in its ``_events`` module::

    LEASE_ENDED = kernel.catalogue.declare(
        301, logging.WARNING, 'A lease ended without a renewal.'
    )

Number ranges: 100 kernel and programs, 200 configuration, 300 membership,
400 routing and limits, 500 pipeline, 600 admission, 700 orders, 800 wire,
900 stand-ins.
"""

import dataclasses
import logging
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One kind of log record."""

    number: int
    """Unique number of the event in logs and in the catalogue."""

    level: int
    """Level of the standard ``logging`` module."""

    meaning: str
    """What happened, in one sentence."""

    def log(self, logger: logging.Logger, **fields: object) -> None:
        """Write a record with this event's number and the given fields."""
        if logger.isEnabledFor(self.level):
            logger.log(
                self.level,
                self.meaning,
                extra={'event': self.number, 'fields': fields},
            )


class EventCatalogue:
    """All declared events; each number is used once."""

    def __init__(self) -> None:
        self._events: dict[int, Event] = {}

    @property
    def events(self) -> tuple[Event, ...]:
        """All events in the order of their numbers."""
        return tuple(self._events[number] for number in sorted(self._events))

    def declare(self, number: int, level: int, meaning: str) -> Event:
        """Add an event; raise ``ValueError`` if the number is in use."""
        event = Event(number, level, meaning)
        if number in self._events:
            raise ValueError(f'event {number} is declared twice')
        self._events[number] = event
        return event


catalogue: Final = EventCatalogue()
