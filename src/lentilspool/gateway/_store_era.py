"""The era of the store's history, which rises when it comes back from a copy."""

import logging
from typing import Final

import trio

from lentilspool import serving
from lentilspool.gateway import _events

_logger: Final = logging.getLogger(__name__)


class StoreEra:
    """Highest era that an answer of the store has stated.

    A watch that began in the former era may wait long for its answer, so
    ``wait_for_news`` returns as soon as there is a sign of a new one.
    """

    def __init__(self) -> None:
        self._number = 0
        self._heard = 0
        self._known = False
        self._news = trio.Event()

    @property
    def number(self) -> int:
        """The era; 0 if the store states none."""
        return self._number

    def observe(self, answered: int | None) -> serving.EraOrder:
        """Record the era of an answer; return how it compares."""
        order = serving.order_of_era(self._number, answered)
        if order is serving.EraOrder.newer and answered is not None:
            if self._known:
                _events.ERA.log(_logger, before=self._number, era=answered)
            self._number = answered
            self._announce()
        self._known = True
        return order

    def hear(self, number: int) -> None:
        """Take the era of another gateway as a sign, once, not as a fact."""
        if number > max(self._number, self._heard):
            self._heard = number
            self._announce()

    async def wait_for_news(self) -> None:
        """Return when an answer or another gateway indicates a new era."""
        await self._news.wait()

    def _announce(self) -> None:
        self._news.set()
        self._news = trio.Event()
