"""The demonstration: both firms' work through a small fleet.

Run it by ``make demo``. An entry, its sidecars and the stand-ins run as
application objects in one event loop over loopback sockets. One endpoint is
killed while requests run; the program ends with status 0 if every caller
has the whole answer to its own request and nothing ran twice.
"""

import dataclasses
import logging
import pathlib
import sys
import textwrap
from typing import Any, Final

import jsonc
import trio

from lentilspool import telemetry
from standins import _fleet

_EXAMPLES: Final = pathlib.Path('examples')
_ENDPOINTS: Final = 2
_ROUNDS: Final = 10
_SPACING_S: Final = 0.1
_KILL_AFTER: Final = 20
_VICTIM: Final = 'model-0'
_OK: Final = 200
_WIDTH: Final = 76


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """One request of the demonstration."""

    firm: str
    """Whose request it is."""

    pipeline: str
    """Name of the pipeline."""

    team: str
    """Team that pays."""

    text: str
    """What is asked."""


_ASKS: Final = (
    Ask('Nevesta', 'day-plan', 'brides', 'Day plan for bride {}, ceremony'),
    Ask('Nevesta', 'deposit', 'brides', 'Deposit of bride {}'),
    Ask('Clachan', 'hearing-summary', 'solicitors', 'Summary of hearing {}'),
    Ask('Clachan', 'transcript-order', 'solicitors', 'Order of transcript {}'),
)


class Demo:
    """Sends every kind of request in rounds and prints the answers."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._sent = 0
        self._wrong: list[str] = []

    async def run(self) -> int:
        """Return the exit status."""
        async with trio.open_nursery() as nursery:
            for number in range(_ROUNDS):
                for ask in _ASKS:
                    nursery.start_soon(self._ask, ask, number)
                    await trio.sleep(_SPACING_S)
        doubled = self._doubled()
        _say(
            f'{self._sent} requests; wrong or missing answers: '
            f'{len(self._wrong)}; ran twice: {doubled}'
        )
        return 1 if self._wrong or doubled else 0

    async def _ask(self, ask: Ask, number: int) -> None:
        self._sent += 1
        if self._sent == _KILL_AFTER:
            _say(f'--- endpoint {_VICTIM} is killed ---')
            self._fleet.places[_VICTIM].kill_endpoint()
        subject = ask.text.format(number)
        begun = trio.current_time()
        reply = await self._fleet.request(
            ask.pipeline, ask.team, {'text': subject, 'subject': subject}
        )
        elapsed_s = trio.current_time() - begun
        self._print(ask, subject, reply, elapsed_s)

    def _print(
        self, ask: Ask, subject: str, reply: _fleet.Reply, elapsed_s: float
    ) -> None:
        plain = reply.plain
        answer = plain.get('answer', {})
        text = answer.get('text') or answer.get('receipt', '')
        if reply.status != _OK or subject not in str(answer):
            self._wrong.append(subject)
        costs = ', '.join(
            f'{cost["stage"]} {cost["cost"]:.3f}'
            for cost in plain.get('cost_by_stage', ())
        )
        _say(
            f'{ask.firm}: {subject}\n'
            f'  {plain["outcome"]} in {elapsed_s:.3f} s; cost: {costs}\n'
            f'{textwrap.shorten(text, _WIDTH, placeholder=" ...")}\n'
        )

    def _doubled(self) -> int:
        executions = [
            runs
            for place in self._fleet.places.values()
            for runs in getattr(place.app, 'executions', {}).values()
        ]
        return sum(1 for runs in executions if runs > 1)


def plan() -> _fleet.Plan:
    """Return the fleet of the demonstration, from the example files."""
    text = (_EXAMPLES / 'configuration.jsonc').read_text(encoding='utf-8')
    document: dict[str, Any] = jsonc.loads(text)
    texts = {
        path.name: path.read_text(encoding='utf-8')
        for path in sorted((_EXAMPLES / 'texts').glob('*.txt'))
    }
    return _fleet.Plan(
        document, dict.fromkeys(document['pools'], _ENDPOINTS), texts
    )


async def run() -> int:
    """Run the demonstration and return its exit status."""
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(plan(), nursery)
        await fleet.start()
        status = await Demo(fleet).run()
        await fleet.aclose()
        nursery.cancel_scope.cancel()
    return status


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    telemetry.configure_logs('demo', logging.getLevelName(logging.ERROR))
    sys.exit(trio.run(run))
