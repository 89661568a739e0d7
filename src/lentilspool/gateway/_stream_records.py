"""Records of which software version began a stream, shared by gateways.

A caller whose gateway died takes its stream up at another one, which must send
it to the version that began it.
"""

import collections
import dataclasses
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Final, Protocol

import msgspec
import trio

from lentilspool import serving, wire
from lentilspool.gateway import _clock, _events, _published

_logger: Final = logging.getLogger(__name__)
# Number of the call that carries notes about streams. Plans are numbered from
# 1, so a gateway of an older release ignores these notes.
NOTES_CALL: Final = 0
_RECORDING_LINKS: Final = 3
_ANSWER_S: Final = 0.15
# Time for the store to confirm the listing.
_CONFIRM_S: Final = 1.5
# Records within this time are sent together.
_GATHER_S: Final = 0.002
_MAX_RECORDS_PER_NOTE: Final = 500
# Times the longest timeout of a route for which a stream may be taken up, and
# for which the endpoint that wrote its last event may have been unlisted.
_KEEP_FACTOR: Final = 2
_HISTORY_FACTOR: Final = 3
_SPARE_S: Final = 1.0
_DEFAULT_TIMEOUT_S: Final = 30.0


class _Begun(msgspec.Struct, tag='begun'):
    """Streams that have begun: key, service and version."""

    streams: list[tuple[str, str, str]]


class _Asked(msgspec.Struct, tag='asked'):
    """Asks where a stream was begun, and which versions were listed."""

    number: int
    key: str
    services: list[str]


class _Answered(msgspec.Struct, tag='answered'):
    """Answer to ``_Asked``; ``begun`` has a service and a version."""

    number: int
    begun: tuple[str, str] | None
    # Versions that were listed, and whether the history is long enough.
    versions: list[str]
    covers: bool
    # Position up to which it has no gap; gateways of an older release state
    # none.
    followed: tuple[int, int] = (0, 0)


_Note = _Begun | _Asked | _Answered
_DECODER: Final = msgspec.json.Decoder(_Note)


class Listing(Protocol):
    """The listing of endpoints, as the store has it."""

    async def confirm(self) -> bool:
        """Return whether all changes are known that precede this call."""


class UnconfirmedListing:
    """A listing without a store that could confirm it."""

    async def confirm(self) -> bool:
        """Return False."""
        return False


class Link(Protocol):
    """A connection to another gateway."""

    def send_note(self, text: str) -> None:
        """Send a note about streams."""


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What is known of where a stream was begun."""

    begun: serving.StreamVersion | None
    """Where it was begun; None if that is not known."""

    source: str
    """``own``, ``peer``, ``sole`` if only one version was listed for as long
    as streams live, ``unconfirmed`` if the store does not confirm what is
    listed, or ``unknown``."""


class _Question:
    """A question to other gateways that waits for their answers."""

    def __init__(self, asked: int) -> None:
        self._missing = asked
        self.answers: list[_Answered] = []
        self.done = trio.Event()

    def add(self, answer: _Answered) -> None:
        """Add an answer; the first that knows the stream is enough."""
        self.answers.append(answer)
        self._missing -= 1
        if answer.begun or self._missing <= 0:
            self.done.set()


class StreamRecords:
    """Streams that were begun here or at linked gateways.

    ``record`` a stream when its first event is passed on. It is sent to a few
    gateways, so that it outlives this process. Where no record is left, the
    only version that can have begun a stream is found by what was listed.
    """

    def __init__(
        self,
        published: _published.PublishedState,
        listing: Listing | None = None,
    ) -> None:
        self._published = published
        self._listing = listing or UnconfirmedListing()
        self._history = published.versions
        self._streams = serving.StreamVersions()
        self._links: Callable[[], Sequence[Link]] = tuple
        self._unsent: list[tuple[str, str, str]] = []
        # Time and record of the streams that were begun here last.
        self._latest: collections.deque[tuple[float, tuple[str, str, str]]] = (
            collections.deque(maxlen=_MAX_RECORDS_PER_NOTE)
        )
        self._changed = trio.Event()
        self._questions: dict[int, _Question] = {}
        self._last_number = 0
        self._longest_s = _DEFAULT_TIMEOUT_S
        published.subscribe(self._apply_published_state)

    @property
    def count(self) -> int:
        """Number of streams on record."""
        return len(self._streams)

    def record(self, key: str, begun: serving.StreamVersion) -> None:
        """Record where a stream was begun, here and at linked gateways."""
        self._keep(key, begun)
        sent = (key, begun.service, begun.version)
        self._unsent.append(sent)
        self._latest.append((_clock.now(), sent))
        self._changed.set()

    def greet(self, link: Link) -> None:
        """Send the latest streams to a gateway that may have just started.

        Those of other gateways go with them: the gateway that began them may
        be the one that has started.
        """
        now = _clock.now()
        since = now - self._keep_s
        own = [sent for at, sent in self._latest if at >= since]
        known = {sent[0] for sent in own}
        others = [
            (key, begun.service, begun.version)
            for key, begun in self._streams.latest(_MAX_RECORDS_PER_NOTE, now)
            if key not in known
        ]
        for streams in (others, own):
            if streams:
                link.send_note(_encode(_Begun(streams)))

    async def share(self, links: Callable[[], Sequence[Link]]) -> None:
        """Send records to the first of the connections, until cancelled."""
        self._links = links
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            while self._unsent:
                records = self._unsent[:_MAX_RECORDS_PER_NOTE]
                self._unsent = self._unsent[_MAX_RECORDS_PER_NOTE:]
                note = _encode(_Begun(records))
                for link in links()[:_RECORDING_LINKS]:
                    link.send_note(note)
            await trio.sleep(_GATHER_S)

    async def find(self, key: str, services: Iterable[str]) -> Found:
        """Return where a stream was begun, asking all linked gateways."""
        own = self._streams.find(key, _clock.now())
        if own:
            return Found(own, 'own')
        names = sorted(services)
        confirmed, answers = await self._inquire(key, names)
        for answer in answers:
            if answer.begun:
                begun = serving.StreamVersion(*answer.begun)
                self._keep(key, begun)
                return Found(begun, 'peer')
        if not confirmed:
            return Found(None, 'unconfirmed')
        answers.append(self._answer(0, key, names))
        versions = {one for reply in answers for one in reply.versions}
        # What another gateway knows joins without a gap what is known here.
        covered = any(
            one.covers and one.followed >= self._history.began
            for one in answers
        )
        if covered and len(versions) == 1:
            return Found(serving.StreamVersion('', versions.pop()), 'sole')
        return Found(None, 'unknown')

    def handle(self, text: str, reply: Callable[[wire.Message], None]) -> None:
        """Handle a note of another gateway."""
        try:
            note = _DECODER.decode(text)
        except msgspec.MsgspecError as error:
            # Gateways of a later release may send other notes.
            _events.PEER_MESSAGE.log(
                _logger, kind='note about streams', problem=str(error)
            )
            return
        match note:
            case _Begun():
                for key, service, version in note.streams:
                    self._keep(key, serving.StreamVersion(service, version))
            case _Asked():
                answer = self._answer(note.number, note.key, note.services)
                reply(wire.PlanNote(NOTES_CALL, _encode(answer)))
            case _Answered():
                question = self._questions.get(note.number)
                if question:
                    question.add(note)

    @property
    def _keep_s(self) -> float:
        return _KEEP_FACTOR * self._longest_s + _SPARE_S

    def _keep(self, key: str, begun: serving.StreamVersion) -> None:
        self._streams.record(key, begun, self._keep_s, _clock.now())

    async def _inquire(
        self, key: str, services: list[str]
    ) -> tuple[bool, list[_Answered]]:
        """Ask the store and other gateways at once.

        Returns whether the store has confirmed the listing. It need not if
        another gateway knows the stream.
        """
        confirmed = False
        answers: list[_Answered] = []
        scope = trio.CancelScope(deadline=trio.current_time() + _CONFIRM_S)

        async def ask() -> None:
            answers.extend(await self._ask(key, services))
            if any(one.begun for one in answers):
                scope.cancel()

        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                confirmed = await self._listing.confirm()
        return confirmed, answers

    async def _ask(self, key: str, services: list[str]) -> list[_Answered]:
        links = self._links()
        if not links:
            return []
        self._last_number += 1
        number = self._last_number
        question = _Question(len(links))
        self._questions[number] = question
        text = _encode(_Asked(number, key, services))
        try:
            for link in links:
                link.send_note(text)
            with trio.move_on_after(_ANSWER_S):
                await question.done.wait()
        finally:
            self._questions.pop(number)
        return question.answers

    def _answer(self, number: int, key: str, services: list[str]) -> _Answered:
        now = _clock.now()
        begun = self._streams.find(key, now)
        seconds = _HISTORY_FACTOR * self._longest_s + _SPARE_S
        return _Answered(
            number,
            (begun.service, begun.version) if begun else None,
            sorted(self._history.versions(services, seconds, now)),
            self._history.covers(seconds, now),
            self._history.followed,
        )

    def _apply_published_state(self) -> None:
        self._history.update(
            self._published.endpoint_index.endpoints, _clock.now()
        )
        configuration = self._published.configuration
        if configuration and configuration.routes:
            self._longest_s = max(one.timeout_s for one in configuration.routes)


def _encode(note: _Note) -> str:
    return msgspec.json.encode(note).decode()
