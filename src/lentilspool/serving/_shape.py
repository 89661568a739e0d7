"""What follows from the stages that a request asks for, before any has run."""

import dataclasses
from typing import Final

from lentilspool.serving import _plan_types

# Results from this size on are worth care for where and when they are made.
LARGE_BYTES: Final = 100_000
_Asks = tuple[_plan_types.StageAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes that travel for one piece of a stage."""

    read: float
    """Results of other stages that it reads."""

    written: float
    """Its own result, once for each piece that reads it."""

    @property
    def total(self) -> float:
        """All of them."""
        return self.read + self.written


class Shape:
    """Structure of a request's stages."""

    def __init__(self, asks: _Asks) -> None:
        numbers = range(len(asks))
        self.traffics = tuple(_traffic(asks, number) for number in numbers)
        read = {earlier for ask in asks if ask.pieces for earlier in ask.after}
        # Stages that no other stage reads: the engine does.
        self.final_stages = tuple(
            number for number in numbers if number not in read
        )
        # Stages with large results that run beside a chain.
        self.side_stages = self._side_stages(asks)
        # Bytes of the results that the engine reads.
        self.final_bytes = sum(
            asks[number].pieces * asks[number].result_bytes
            for number in self.final_stages
        )

    def _side_stages(self, asks: _Asks) -> frozenset[int]:
        if not any(ask.after and ask.pieces for ask in asks):
            return frozenset()
        return frozenset(
            number
            for number in self.final_stages
            if not asks[number].after
            and asks[number].pieces * asks[number].result_bytes >= LARGE_BYTES
        )


def _traffic(asks: _Asks, number: int) -> Traffic:
    """Return what a piece of a stage reads, and what is read of it.

    Each piece of a stage reads all results of the stages before it, so
    that a small result may travel many times.
    """
    own = asks[number]
    readers = sum(ask.pieces for ask in asks if number in ask.after)
    sources = [asks[earlier] for earlier in own.after]
    read = sum(ask.pieces * ask.result_bytes for ask in sources)
    return Traffic(read, own.result_bytes * max(readers, 1))
