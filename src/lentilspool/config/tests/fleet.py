"""A few processes, their links and a service, for tests of the spread."""

import dataclasses
import random

from lentilspool import config

_STEP_S = 0.25
_LONGEST_QUIET = 60


@dataclasses.dataclass(frozen=True)
class Read:
    """Answer of the service that travels to a process."""

    entries: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class News:
    """End of a watch that travels to a process."""

    has_news: bool


@dataclasses.dataclass(frozen=True)
class Parcel:
    """Anything on its way."""

    source: str
    target: str
    incarnation: int
    content: config.Message | Read | News


class Service:
    """The published log, of which a stale service shows only a part."""

    def __init__(self, base: bytes) -> None:
        self.log = [base]
        self.shown = 1
        self.up = True

    def after(self, number: int) -> tuple[bytes, ...]:
        shown = self.log[: self.shown]
        bases = [raw for raw in shown if b'"document"' in raw]
        first = config.decode_entry(bases[-1]).number
        start = first if number < first else number + 1
        return tuple(
            raw for raw in shown if config.decode_entry(raw).number >= start
        )

    def publish(self, raw: bytes, stale: bool = False) -> None:
        self.log.append(raw)
        self.shown = self.shown if stale else len(self.log)


class Fleet:
    """Processes p0, p1, ... in two zones; time passes only in ``step``."""

    def __init__(self, size: int, service: Service, seed: int = 1) -> None:
        self.service = service
        self.now = 0.0
        self.parcels: list[Parcel] = []
        self.delivered: list[Parcel] = []
        self.ready_at: dict[str, int] = {}
        self.paused: set[str] = set()
        self.cut: set[str] = set()
        self.watches: dict[str, tuple[int, float]] = {}
        self.incarnations = {f'p{index}': 0 for index in range(size)}
        self.holders: dict[str, config.Holder] = {}
        self.spreads: dict[str, config.Spread] = {}
        self.rng = random.Random(seed)
        for name in self.names:
            self.start(name)

    @property
    def names(self) -> list[str]:
        """Names of the processes."""
        return list(self.incarnations)

    def start(self, name: str) -> None:
        """Start a process that holds nothing, or replace one by it."""
        member = config.Member(name, _zone(name))
        holder = config.Holder()
        rng = random.Random(self.rng.random())
        spread = config.Spread(member, holder, rng, self.now)
        self.incarnations[name] += 1
        self.holders[name] = holder
        self.spreads[name] = spread
        self.paused.discard(name)
        self.watches.pop(name, None)
        self.ready_at.pop(name, None)
        members = [config.Member(other, _zone(other)) for other in self.names]
        spread.follow(self.now, config.View(members))

    def linked(self, one: str, other: str) -> bool:
        """Tell whether two ends are on the same side of a cut."""
        return (one in self.cut) == (other in self.cut)

    def step(self, seconds: float = _STEP_S) -> None:
        """Let time pass; tick everything that is not paused."""
        self.now += seconds
        self._end_watches()
        for name in self.names:
            if name not in self.paused:
                self._carry_out(name, self.spreads[name].tick(self.now))

    def deliver(self, index: int) -> None:
        """Deliver one parcel, unless its target is paused."""
        parcel = self.parcels[index]
        if parcel.target in self.paused:
            return
        self.parcels.pop(index)
        self.delivered.append(parcel)
        if parcel.incarnation != self.incarnations[parcel.target]:
            return
        if self.linked(parcel.source, parcel.target):
            self._carry_out(parcel.target, self._taken(parcel))

    def replay(self, index: int) -> None:
        """Deliver a parcel of any time again, also to a later incarnation."""
        parcel = self.delivered[index]
        if parcel.target not in self.paused:
            self._carry_out(parcel.target, self._taken(parcel))

    def quiet(self, seconds: float) -> None:
        """Run without loss, in any order."""
        end = self.now + seconds
        while self.now < end:
            self.step()
            for _ in range(_LONGEST_QUIET * len(self.names)):
                ready = [
                    index
                    for index, parcel in enumerate(self.parcels)
                    if parcel.target not in self.paused
                ]
                if not ready:
                    break
                self.deliver(self.rng.choice(ready))

    def _taken(self, parcel: Parcel) -> list[config.Action]:
        spread = self.spreads[parcel.target]
        content = parcel.content
        if isinstance(content, Read):
            return spread.on_read(self.now, content.entries)
        if isinstance(content, News):
            return spread.on_watch(self.now, content.has_news)
        return spread.on_message(self.now, parcel.source, content)

    def _carry_out(self, name: str, actions: list[config.Action]) -> None:
        if self.spreads[name].ready:
            self.ready_at.setdefault(name, self.holders[name].number)
        for action in actions:
            if isinstance(action, config.Send):
                target = action.peer
                content = action.message
                incarnation = self.incarnations[target]
                self.parcels.append(Parcel(name, target, incarnation, content))
            elif not self.service.up or name in self.cut:
                self.spreads[name].on_service_failure(self.now)
            elif isinstance(action, config.WatchService):
                until = self.now + action.wait_s
                self.watches[name] = (action.after, until)
            else:
                self._answer(name, Read(self.service.after(action.after)))

    def _end_watches(self) -> None:
        for name, (after, until) in list(self.watches.items()):
            has_news = bool(self.service.after(after)) and self.service.up
            if has_news or self.now >= until:
                self.watches.pop(name)
                self._answer(name, News(has_news))

    def _answer(self, name: str, content: Read | News) -> None:
        incarnation = self.incarnations[name]
        self.parcels.append(Parcel('service', name, incarnation, content))


def _zone(name: str) -> str:
    return f'z{int(name[1:]) % 2}'
