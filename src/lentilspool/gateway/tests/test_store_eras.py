"""Model check of published state over a store that comes back from copies.

Three gateways list the store, get late and repeated messages of each other,
and are restarted. The store is replaced by an older copy of itself; what the
operator and the endpoints wrote since is written again some time later.
"""

import json

import hypothesis
import msgspec
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lentilspool import platform
from lentilspool.gateway import _packing, _published

GATEWAYS = 3
ENDPOINTS = ('a', 'b', 'c')
KEEP_S = 2.0
KINDS = (_published.CONFIGURATION, _published.ENDPOINTS)


class Writer:
    """An endpoint: what it last wrote about itself."""

    def __init__(self) -> None:
        self.born = 0
        self.sequence = 0
        self.state = ''

    def entry(self) -> bytes | None:
        if not self.state:
            return None
        fields = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'version': 'v1',
            'slots': 1,
            'state': self.state,
            'cold_left_ms': 0,
            'born': self.born,
            'sequence': self.sequence,
        }
        return msgspec.json.encode(fields)


class Store:
    """Items by key, and the counters of revisions and eras."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 0
        self.items: dict[str, tuple[bytes, int]] = {}
        self.copies: list[tuple[int, dict[str, tuple[bytes, int]]]] = []

    def put(self, key: str, payload: bytes | None) -> None:
        held = self.items.get(key)
        if (held[0] if held else None) == payload:
            return
        self.copies.append((self.revision, dict(self.items)))
        self.revision += 1
        if payload is None:
            self.items.pop(key)
        else:
            self.items[key] = (payload, self.revision)

    def restore(self, age: int) -> None:
        """Come back from the copy before the latest ``age`` changes."""
        if self.copies:
            copies = self.copies[: max(len(self.copies) - age, 0) + 1]
            latest = copies.pop()
            self.revision = latest[0]
            self.items = latest[1]
            self.copies = copies
            self.era += 1


class EraMachine(stateful.RuleBasedStateMachine):
    """Rules about store, endpoints and gateways; the clock is a number."""

    ignore_eras = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.version = 0
        self.store = Store()
        self.writers = {name: Writer() for name in ENDPOINTS}
        self.gateways = [self.new_gateway() for _ in range(GATEWAYS)]
        self.messages: list[tuple[str, int, bytes]] = []
        # By gateway: highest version, and writes known as leaving or gone.
        self.versions = [0 for _ in range(GATEWAYS)]
        self.left: list[set[tuple[str, int]]] = [set() for _ in self.versions]

    def new_gateway(self) -> _published.PublishedState:
        return _published.PublishedState()

    @stateful.rule()
    def operator_writes(self) -> None:
        self.version += 1
        self.write_configuration()

    @stateful.rule(name=st.sampled_from(ENDPOINTS))
    def endpoint_starts(self, name: str) -> None:
        writer = self.writers[name]
        if not writer.state:
            writer.born += 1
            writer.sequence = 1
            writer.state = 'ready'
            self.write_endpoint(name)

    @stateful.rule(name=st.sampled_from(ENDPOINTS))
    def endpoint_leaves(self, name: str) -> None:
        writer = self.writers[name]
        if writer.state:
            following = {'ready': 'draining', 'draining': ''}
            writer.sequence += 1
            writer.state = following[writer.state]
            self.write_endpoint(name)

    @stateful.rule(age=st.integers(1, 6))
    def store_restores(self, age: int) -> None:
        self.store.restore(age)

    @stateful.rule()
    def writers_write_again(self) -> None:
        self.write_configuration()
        for name, writer in self.writers.items():
            writer.sequence += 1
            self.write_endpoint(name)

    @stateful.rule(index=st.integers(0, GATEWAYS - 1))
    def gateway_lists(self, index: int) -> None:
        era = 0 if self.ignore_eras else self.store.era
        gateway = self.gateways[index]
        entries = []
        for key, (payload, revision) in self.store.items.items():
            item = _published.StoredItem(key, payload, revision, era)
            if key == platform.CONFIGURATION_KEY:
                gateway.apply_configuration(item, 'store')
            else:
                entries.append(item)
        gateway.apply_listing(
            entries, (era, self.store.revision), self.now + KEEP_S
        )

    @stateful.rule(
        index=st.integers(0, GATEWAYS - 1),
        kind=st.sampled_from(KINDS),
        old_release=st.booleans(),
    )
    def gateway_sends(self, index: int, kind: str, old_release: bool) -> None:
        revision, content = self.gateways[index].export(kind)
        if old_release:
            items = _packing.unpack(content, _published.StoredItem)
            stripped = [
                {
                    'key': one.key,
                    'payload': one.payload,
                    'revision': one.revision,
                }
                for one in items
            ]
            content = _packing.pack(stripped)
        self.messages.append((kind, revision, content))

    @stateful.precondition(lambda machine: machine.messages)
    @stateful.rule(
        index=st.integers(0, GATEWAYS - 1), choice=st.integers(0, 10**6)
    )
    def message_arrives(self, index: int, choice: int) -> None:
        message = self.messages[choice % len(self.messages)]
        self.gateways[index].merge(*message)

    @stateful.rule(index=st.integers(0, GATEWAYS - 1))
    def gateway_restarts(self, index: int) -> None:
        self.gateways[index] = self.new_gateway()
        self.versions[index] = 0
        self.left[index] = set()

    @stateful.rule(seconds=st.sampled_from([0.5, 3.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        for gateway in self.gateways:
            gateway.drop_expired(self.now)

    @stateful.invariant()
    def configuration_never_returns(self) -> None:
        for index, gateway in enumerate(self.gateways):
            assert gateway.version >= self.versions[index]
            self.versions[index] = gateway.version

    @stateful.invariant()
    def endpoint_that_leaves_gets_no_work(self) -> None:
        for index, gateway in enumerate(self.gateways):
            for endpoint in gateway.endpoint_index.endpoints:
                born = (endpoint.name, endpoint.born_ms)
                if endpoint.ready:
                    assert born not in self.left[index]
                else:
                    self.left[index].add(born)

    def teardown(self) -> None:
        """Check that all gateways learn the truth once all is written."""
        self.writers_write_again()
        for index, gateway in enumerate(self.gateways):
            self.gateway_lists(index)
            self.now += KEEP_S
            gateway.drop_expired(self.now)
            assert gateway.version == self.version
            ready = {one.name for one in gateway.endpoint_index.ready('s')}
            assert ready == {
                name
                for name, writer in self.writers.items()
                if writer.state == 'ready'
            }

    def write_configuration(self) -> None:
        if self.version:
            plain = {'version': self.version, 'routes': [], 'services': []}
            payload = json.dumps(plain).encode()
            self.store.put(platform.CONFIGURATION_KEY, payload)

    def write_endpoint(self, name: str) -> None:
        key = f'{platform.ENDPOINT_PREFIX}{name}'
        entry = self.writers[name].entry()
        if entry is not None or key in self.store.items:
            self.store.put(key, entry)


class MachineWithoutEras(EraMachine):
    """The same, with all revisions in one era."""

    ignore_eras = True


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestStoreEras:
    def test_nothing_believed_goes_back(self) -> None:
        stateful.run_state_machine_as_test(EraMachine, settings=SETTINGS)

    def test_check_finds_ignored_eras(self) -> None:
        with pytest.raises((AssertionError, BaseExceptionGroup)):
            stateful.run_state_machine_as_test(
                MachineWithoutEras,
                settings=hypothesis.settings(
                    SETTINGS,
                    max_examples=400,
                    stateful_step_count=40,
                    phases=(hypothesis.Phase.generate,),
                ),
            )
