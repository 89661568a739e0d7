"""The era of the store's history, which rises when it comes back from a copy."""

import logging
from typing import Final

from lentilspool import serving
from lentilspool.gateway import _events

_logger: Final = logging.getLogger(__name__)


class StoreEra:
    """Highest era that an answer of the store has stated."""

    def __init__(self) -> None:
        self._number = 0
        self._known = False

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
        self._known = True
        return order
