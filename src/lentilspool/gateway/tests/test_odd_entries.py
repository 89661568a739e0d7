"""Tests of entries of other writers among those of the endpoints."""

import itertools
import json
from typing import Final

import pytest
import trio

from lentilspool.gateway.tests import stream_fleet

CALLERS: Final = 8
SETTLE_S: Final = 0.3
COPIES: Final = 20
SERVED: Final = list(itertools.repeat(True, CALLERS))
HUGE: Final = 10**40
# Fields that are changed in an entry that is sound otherwise.
CHANGES: Final[dict[str, dict[str, object]]] = {
    'born': {'born': HUGE},
    'born of 65 bits': {'born': 2**64},
    'slots': {'slots': HUGE},
    'slots of 65 bits': {'slots': 2**64},
    'no slots': {'slots': 0},
    'sequence': {'sequence': HUGE},
    'port 0': {'address': '127.0.0.1:0'},
    'port 70000': {'address': '127.0.0.1:70000'},
    'port of 18 digits': {'address': f'127.0.0.1:{"9" * 18}'},
    'host of dots': {'address': '..:80'},
    'long host': {'address': f'{"a" * 5000}:80'},
    'NUL in the host': {'address': 'a\0b:80'},
    'line break in the host': {'address': '127.0.0.1\n:80'},
    'state': {'state': 'odd'},
    'service': {'service': ['model']},
}


def odd_entries() -> dict[str, bytes]:
    """Return entries that name no endpoint to use, by the reason."""
    (engine,) = (stream_fleet.Engine('odd', 'v1'),)
    sound = json.loads(engine.closed_entry)
    entries = {
        reason: json.dumps({**sound, **changed}).encode()
        for reason, changed in CHANGES.items()
    }
    for field in sound:
        rest = {key: held for key, held in sound.items() if key != field}
        entries[f'without {field}'] = json.dumps(rest).encode()
    nested = b'%b%b' % (b'[' * 100_000, b']' * 100_000)
    return {
        **entries,
        'nothing': b'',
        'no text': b'\xff\x00\xfe',
        'nested': nested,
        'nested field': json.dumps(sound).encode()[:-1]
        + b', "more": %b}' % nested,
        'digits': json.dumps(sound).encode()[:-1]
        + b', "born": %b}' % (b'9' * 20_000),
    }


ODD: Final = odd_entries()


async def serve_all(fleet: stream_fleet.Fleet) -> list[bool]:
    """Return whether each stream of some callers was complete."""
    callers = [stream_fleet.Caller(f'r{index}') for index in range(CALLERS)]
    async with trio.open_nursery() as nursery:
        for index, caller in enumerate(callers):
            node = fleet.nodes[index % len(fleet.nodes)]
            nursery.start_soon(caller.read, node)
    return [one.complete for one in callers]


def run(names: list[str], *, sound_name: str = '') -> list[bool]:
    """Write odd entries beside two sound endpoints; return what is served.

    They are written before one gateway starts and while the other one runs,
    and one of them under the name of a sound endpoint, if it is given.
    """
    served: list[bool] = []

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            fleet = stream_fleet.Fleet(nursery)
            sound = [stream_fleet.Engine(f'e{index}', 'v1') for index in 'ab']
            await fleet.start(1, *sound)
            for number, name in enumerate(names):
                fleet.store.put(f'odd-{number}', ODD[name])
                if sound_name:
                    fleet.store.put(sound_name, ODD[name])
                    fleet.store.put(sound_name, sound[0].entry)
            await trio.sleep(SETTLE_S)
            await fleet.add_node('later')
            served.extend(await serve_all(fleet))
            # They go on following the listing.
            more = stream_fleet.Engine('more', 'v1')
            await fleet.add(more)
            await fleet.until_listed()
            nursery.cancel_scope.cancel()

    trio.run(play)
    return served


class TestOddEntries:
    """Guards against entries that end gateways or take requests."""

    @pytest.mark.parametrize('name', ODD)
    def test_all_requests_are_served_beside_one(self, name: str) -> None:
        assert run([name]) == SERVED

    def test_all_requests_are_served_beside_hundreds(self) -> None:
        # Nested ones are as long as hundreds of others.
        names = [name for name in ODD if 'nested' not in name]
        many = itertools.chain.from_iterable(itertools.repeat(names, COPIES))
        assert run(list(many)) == SERVED

    @pytest.mark.parametrize('name', ODD)
    def test_endpoint_is_used_again_once_its_entry_is_sound(
        self, name: str
    ) -> None:
        assert run([name], sound_name='ea') == SERVED
