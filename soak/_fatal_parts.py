"""Parts of prompts that end each endpoint which begins to write on them."""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final

import trio

from lentilspool.platform.tests import stand_ins

# Time from the begin of a run to the end of its endpoint.
END_S: Final = 0.1


@dataclasses.dataclass(slots=True)
class FatalParts:
    """The parts that are fatal, and the runs of requests that hold one."""

    names: set[str] = dataclasses.field(default_factory=set)
    """Parts that end endpoints, anywhere in a prompt but at its end."""

    runs_at: list[float] = dataclasses.field(default_factory=list)
    """When endpoints began to run requests with such a part."""

    ended_at: dict[str, float] = dataclasses.field(default_factory=dict)
    """When each endpoint that did so has ended, by its name."""

    @property
    def last_end_at(self) -> float:
        """When the last endpoint has ended."""
        return max(self.ended_at.values())

    def find(self, parts: Sequence[str]) -> str:
        """Return the fatal part of a prompt; empty if there is none."""
        fatal = (part for part in parts[:-1] if part in self.names)
        return next(fatal, '')

    def runs(self, headers: Iterable[tuple[bytes, bytes]]) -> bool:
        """Note that a request begins to run; return whether it is fatal."""
        fatal = self.find(stand_ins.decode_prompt_parts(headers))
        if fatal:
            self.runs_at.append(trio.current_time())
        return bool(fatal)

    def ends(self, endpoint: str) -> None:
        """Note the end of an endpoint."""
        self.ended_at.setdefault(endpoint, trio.current_time())

    def end_at(self, number: int) -> float:
        """Return when the endpoint with this number, from 1, has ended."""
        times = sorted(self.ended_at.values())
        return times[number - 1] if len(times) >= number else float('inf')

    def runs_after(self, at: float) -> int:
        """Return how many runs began later than a time."""
        return sum(run_at > at for run_at in self.runs_at)
