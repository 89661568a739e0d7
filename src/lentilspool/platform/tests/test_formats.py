"""Tests of decoding and encoding the platform's formats."""

import base64
import json
from collections.abc import Callable
from functools import partial

import msgspec
import pytest

from lentilspool import platform, serving

HEAD = [
    (b'Host', b'api.example'),
    (b'Request-Id', b'9c41d07b'),
    (b'Model', b'm'),
    (b'Token-Counts', b'1460,80'),
    (b'Prompt-Prefix', b'5c1e:800,91bd:410,e440:250'),
    (b'Deadline-Ms', b'8000'),
    (b'Key', b'secret'),
    (b'Pieces', b'2,0,8'),
    (b'Piece-Key', b'7c1e'),
]
SERVICE = {
    'name': 'llm',
    'max_connections': 370,
    'engine': {'slots': 64, 'kv_capacity': 600_000, 'moves': True},
}
STAGE_SERVICE = {
    'name': 'roster',
    'pieces': {
        'slots': 1,
        'queue': 2,
        'batch': 4,
        'call_ms': 150.0,
        'item_ms': 32.0,
        'headroom_mb': 18.0,
        'handle_s': 4.0,
    },
}
ROUTE = {
    'name': 'r-1',
    'hostname': 'API.example',
    'prefix': '/plan/',
    'kind': 'streaming',
    'timeout_ms': 8000,
    'target_latency_ms': 1000,
    'max_gap_ms': 300,
    'service': 'llm',
    'stages': [{'service': 'roster', 'after': [], 'bytes': 3e6}],
}
DOCUMENT = {
    'version': 7,
    'routes': [ROUTE],
    'services': [SERVICE, STAGE_SERVICE],
    'limits': {'max_header_bytes': 16384, 'idle_timeout_ms': 15000},
    'tenants': [{'name': 't', 'api_keys': ['k'], 'priority': 1}],
}
ENTRY = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 7,
    'born': 1700000000000,
}
HUGE = 10**40
NESTED = b'{"unknown":%b' % (b'[' * 100_000)
LONG_NUMBER = b'9' * 5000


def call(*more: tuple[bytes, bytes]) -> serving.Call:
    return platform.decode_caller_request(
        b'POST', b'/plan/2f?a=1', [*HEAD, *more]
    )


class TestCallerRequest:
    def test_fields_are_decoded(self) -> None:
        decoded = call()
        assert decoded.request_id == '9c41d07b'
        assert decoded.path == '/plan/2f'
        assert decoded.deadline_s == pytest.approx(8)
        assert decoded.pieces == (2, 0, 8)
        assert decoded.prompt and decoded.prompt.output_tokens == 80
        assert [part.tokens for part in decoded.prompt.parts] == [800, 410, 250]

    @pytest.mark.parametrize(
        'name',
        [
            b'Tenant',
            b'Key',
            b'Hold',
            b'Pin-Ms',
            b'Kv-Backup',
            b'Kv-From',
            b'Kv-Fetch',
            b'Expect-Instance',
            b'Request-Priority',
            b'Inputs',
            b'Connection',
            b'Transfer-Encoding',
        ],
    )
    def test_header_reserved_for_the_system_is_not_forwarded(
        self, name: bytes
    ) -> None:
        decoded = call((name, b'forged'))
        assert name.lower() not in dict(decoded.headers)

    @pytest.mark.parametrize(
        'header',
        [
            (b'Pieces', b'2,10000000000'),
            (b'Pieces', b'-1'),
            (b'Token-Counts', b'1,99999999999999999999'),
        ],
    )
    def test_number_that_would_end_a_planner_is_refused(
        self, header: tuple[bytes, bytes]
    ) -> None:
        with pytest.raises(platform.FormatError):
            call(header)

    def test_header_named_by_connection_is_not_forwarded(self) -> None:
        decoded = call((b'Connection', b'x-hop'), (b'X-Hop', b'1'))
        assert b'x-hop' not in dict(decoded.headers)

    def test_resumed_stream_is_named_and_the_name_passed_on(self) -> None:
        decoded = call((b'Resumes', b'7a12'), (b'Last-Event-Id', b'3'))
        assert decoded.resumed_id == '7a12'
        assert decoded.last_event == 3
        assert (b'resumes', b'7a12') in decoded.headers

    def test_request_id_cannot_be_dropped_by_the_caller(self) -> None:
        decoded = call((b'Connection', b'request-id, host'))
        assert {b'request-id', b'host'} <= set(dict(decoded.headers))

    @pytest.mark.parametrize(
        ('name', 'content'),
        [
            (b'Deadline-Ms', b'soon'),
            (b'Token-Counts', b'a,b'),
            (b'Prompt-Prefix', b'5c1e'),
            (b'Pieces', b'1,x'),
        ],
    )
    def test_error_names_the_invalid_header(
        self, name: bytes, content: bytes
    ) -> None:
        with pytest.raises(platform.FormatError) as caught:
            call((name, content))
        assert name.decode().lower() in str(caught.value).lower()


class TestEndpointHeaders:
    def test_system_headers_are_added(self) -> None:
        options = platform.SendOptions(
            endpoint='i-1',
            time_left_s=1.25,
            team='t',
            priority=2,
            results=('10.0.0.1:80/aa', '10.0.0.1:80/bb'),
            cache_source='10.0.0.2:80',
            last_event=4,
        )
        decoded = dict(platform.endpoint_headers(call(), options, 3))
        assert decoded[b'deadline-ms'] == b'1250'
        assert decoded[b'expect-instance'] == b'i-1'
        assert decoded[b'tenant'] == b't'
        assert decoded[b'inputs'] == b'10.0.0.1:80/aa,10.0.0.1:80/bb'
        assert decoded[b'kv-fetch'] == b'10.0.0.2:80'
        assert decoded[b'last-event-id'] == b'4'
        assert decoded[b'content-length'] == b'3'

    def test_inputs_header_is_absent_without_stages(
        self,
    ) -> None:
        options = platform.SendOptions('i-1', 1)
        assert b'inputs' not in dict(
            platform.endpoint_headers(call(), options, 0)
        )


class TestAnswers:
    def test_head_is_decoded(self) -> None:
        head = platform.decode_answer_head(
            503,
            [
                (b'Request-Id', b'9c'),
                (b'Not-Executed', b'1'),
                (b'Server-Load', b'3, 0, 8'),
                (b'Keep-Alive', b'timeout=5'),
                (b'Server-Stamp', b'3e1b'),
                (b'Connection', b'close'),
            ],
        )
        assert head.not_run
        assert head.load == serving.ReportedLoad(3, 0, 8)
        assert head.keep_alive_s == pytest.approx(5)
        assert dict(head.headers)[b'server-stamp'] == b'3e1b'
        assert b'connection' not in dict(head.headers)

    @pytest.mark.parametrize('load', [b'', b'1,2', b'a,b,c'])
    def test_unreadable_load_is_none(self, load: bytes) -> None:
        assert (
            platform.decode_answer_head(200, [(b'Server-Load', load)]).load
            is None
        )

    @pytest.mark.parametrize(
        ('headers', 'signed', 'encoded'),
        [
            ([], False, False),
            ([(b'Server-Stamp', b'3e1b')], True, False),
            ([(b'Server-Stamp', b' ')], False, False),
            (
                [(b'Server-Stamp', b'3e1b'), (b'server-stamp', b'3e1b')],
                True,
                False,
            ),
            (
                [(b'Server-Stamp', b'3e1b'), (b'server-stamp', b'4')],
                False,
                False,
            ),
            ([(b'Content-Encoding', b'gzip')], False, True),
        ],
    )
    def test_signature_and_coding_are_decoded(
        self,
        headers: list[tuple[bytes, bytes]],
        signed: bool,
        encoded: bool,
    ) -> None:
        head = platform.decode_answer_head(200, headers)
        assert (head.signed, head.encoded) == (signed, encoded)

    @pytest.mark.parametrize(
        'handles',
        [
            ['h:1/a,h:1/b'],
            ['h:1/a\r\nModel: other'],
            ['h:1/a b'],
            ['h:1/\N{LATIN SMALL LETTER E WITH ACUTE}'],
            ['h:1/a', 'h:1/b', 'h:1/a'],
            ['h' * 300],
        ],
    )
    def test_unusable_handles_are_a_format_error(
        self, handles: list[str]
    ) -> None:
        """Guards against inputs that an engine reads as several or twice."""
        items = [{'handle': handle} for handle in handles]
        with pytest.raises(platform.FormatError):
            platform.decode_stage_answer(msgspec.json.encode({'items': items}))


class TestConfiguration:
    def test_document_is_decoded(self) -> None:
        decoded = platform.decode_configuration(json.dumps(DOCUMENT).encode())
        (route,) = decoded.routes
        assert decoded.version == 7
        assert route.host == 'api.example'
        assert route.kind is serving.RouteKind.streaming
        assert route.patience_s == pytest.approx(4)
        assert decoded.services['roster'].batches
        assert decoded.teams[0].keys == frozenset(('k',))

    @pytest.mark.parametrize(
        'payload', [b'', b'{}', b'[1]', b'\xff', b'{"version": "x"}']
    )
    def test_unreadable_document_is_refused(self, payload: bytes) -> None:
        with pytest.raises(platform.FormatError):
            platform.decode_configuration(payload)


class TestEndpoints:
    def test_entry_is_decoded(self) -> None:
        decoded = platform.decode_endpoint('i-1', msgspec.json.encode(ENTRY))
        assert decoded.address == '10.0.0.9:8080'
        assert decoded.ready and decoded.born_ms == 1700000000000
        assert decoded.version == 'v1'

    @pytest.mark.parametrize('field', ENTRY)
    def test_entry_without_a_field_is_refused(self, field: str) -> None:
        """Guards against entries of other writers that are used."""
        plain = {key: held for key, held in ENTRY.items() if key != field}
        with pytest.raises(platform.FormatError):
            platform.decode_endpoint('i-1', msgspec.json.encode(plain))

    @pytest.mark.parametrize(
        ('field', 'contents'),
        [
            ('state', ['odd', '', None, 1, 'x' * 5000]),
            ('service', [None, 1, ['llm'], 'x' * 5000]),
            ('zone', [None, 1, {}, 'x' * 5000]),
            ('version', [12, None, 'x' * 5000]),
            ('slots', ['many', 0, -1, 1.5, None, HUGE, 2**64, True]),
            ('born', ['now', -1, 1.5, None, HUGE, 2**64, 2**63]),
            ('sequence', ['7', -1, 1.5, None, HUGE, 2**64]),
            ('cold_left_ms', ['soon', -1, None, [0]]),
            (
                'address',
                [
                    None,
                    8080,
                    'nowhere',
                    '10.0.0.9',
                    ':8080',
                    '10.0.0.9:',
                    '10.0.0.9:0',
                    '10.0.0.9:-1',
                    '10.0.0.9:65536',
                    '10.0.0.9:70000',
                    f'10.0.0.9:{"9" * 18}',
                    f'10.0.0.9:{"9" * 5000}',
                    '10.0.0:8080',
                    '10.0.0.256:8080',
                    '..:8080',
                    f'{"a" * 5000}:8080',
                    'a\0b:8080',
                    '10.0.0.9\n:8080',
                    '\N{SUPERSCRIPT TWO}:8080',
                ],
            ),
        ],
    )
    def test_invalid_entry_is_refused(
        self, field: str, contents: list[object]
    ) -> None:
        """Guards against entries that end processes or get requests."""
        for content in contents:
            changed = {**ENTRY, field: content}
            payload = json.dumps(changed).encode()
            with pytest.raises(platform.FormatError):
                platform.decode_endpoint('i-1', payload)

    @pytest.mark.parametrize(
        'payload',
        [
            b'',
            b'null',
            b'[]',
            b'{}',
            b'7',
            b'\xff\xfe',
            b'{"service":',
            json.dumps(ENTRY).encode().replace(b'64', b'1e400'),
            json.dumps(ENTRY).encode().replace(b'64', b'9' * 20_000),
            json.dumps({**ENTRY, 'zone': '\ud800'}).encode(),
            json.dumps(ENTRY).encode('utf-16'),
        ],
    )
    def test_bytes_that_are_no_entry_are_refused(self, payload: bytes) -> None:
        with pytest.raises(platform.FormatError):
            platform.decode_endpoint('i-1', payload)

    @pytest.mark.parametrize(
        'name',
        ['', 'a b', 'a\nb', 'a\0', '\N{GREEK SMALL LETTER ALPHA}', 'x' * 300],
    )
    def test_name_that_no_header_can_hold_is_refused(self, name: str) -> None:
        with pytest.raises(platform.FormatError):
            platform.decode_endpoint(name, msgspec.json.encode(ENTRY))

    @pytest.mark.parametrize(
        ('address', 'decoded'),
        [
            ('10.0.0.9:1', '10.0.0.9:1'),
            ('10.0.0.9:65535', '10.0.0.9:65535'),
            ('[::1]:80', '::1:80'),
        ],
    )
    def test_address_is_decoded(self, address: str, decoded: str) -> None:
        payload = msgspec.json.encode({**ENTRY, 'address': address})
        found = platform.decode_endpoint('i-1', payload)
        assert found.address == decoded

    @pytest.mark.parametrize('field', ['born', 'sequence'])
    @pytest.mark.parametrize('content', [HUGE, 2**64, -1, 'x'])
    def test_invalid_write_has_no_state(
        self, field: str, content: object
    ) -> None:
        payload = json.dumps({**ENTRY, field: content}).encode()
        assert platform.decode_entry_state(payload) is None


class TestStore:
    @pytest.mark.parametrize('field', ['rev', 'created', 'current_rev'])
    @pytest.mark.parametrize('number', [HUGE, 2**64, -1])
    def test_number_that_no_message_can_hold_is_a_format_error(
        self, field: str, number: int
    ) -> None:
        item = {'key': 'a', 'value': '', 'rev': 4, 'created': 4}
        body = {'items': [item], 'current_rev': 9}
        (body if field == 'current_rev' else item)[field] = number
        with pytest.raises(platform.FormatError):
            platform.decode_page(json.dumps(body).encode())

    def test_changes_are_decoded(self) -> None:
        content = base64.b64encode(b'held').decode()
        body = {
            'events': [
                {'key': 'a', 'value': content, 'rev': 4},
                {'key': 'b', 'rev': 5, 'tombstone': True},
                {'key': 'c', 'value': '***', 'rev': 6},
            ],
            'current_rev': 6,
        }
        page = platform.decode_page(json.dumps(body).encode())
        assert [item.payload for item in page.items] == [b'held', None, None]
        assert page.revision == 6

    def test_targets_do_not_escape_slashes(self) -> None:
        assert platform.range_target('servers/') == '/kv-range?prefix=servers/'
        assert platform.watch_target('op/config', 7, 2.5).endswith(
            'after=7&wait_ms=2500'
        )


class TestStageCalls:
    def test_pieces_without_inputs_carry_the_key(self) -> None:
        orders = [
            platform.PieceOrder('r', 0, 1, 0.9, 'about', ()),
            platform.PieceOrder('r', 2, 0, 0.9, 'about', ('h1',)),
        ]
        _, headers, body = platform.encode_stage_request('i-1', orders)
        first, second = json.loads(body)['items']
        assert first['key'] == 'about' and 'inputs' not in first
        assert second['inputs'] == ['h1'] and 'key' not in second
        assert dict(headers)[b'expect-instance'] == b'i-1'

    def test_outcomes_are_decoded(self) -> None:
        body = b'{"items":[{"handle":"x"},{"reason":"gone"}]}'
        assert platform.decode_stage_answer(body) == (
            platform.PieceOutcome('x', ''),
            platform.PieceOutcome('', 'gone'),
        )


class TestUnreadableBytes:
    @pytest.mark.parametrize(
        'decode',
        [
            platform.decode_stage_answer,
            platform.decode_page,
            platform.decode_configuration,
            partial(platform.decode_endpoint, 'e'),
        ],
    )
    def test_deep_nesting_is_a_format_error(
        self, decode: Callable[[bytes], object]
    ) -> None:
        with pytest.raises(platform.FormatError):
            decode(NESTED)

    def test_entry_with_deep_nesting_has_no_state(self) -> None:
        assert platform.decode_entry_state(NESTED) is None

    def test_long_number_in_a_head_is_ignored(self) -> None:
        head = platform.decode_answer_head(
            200, [(b'Server-Load', b'1,2,%b' % LONG_NUMBER)]
        )
        assert head.load is None

    @pytest.mark.parametrize(
        'port', [LONG_NUMBER.decode(), '\N{SUPERSCRIPT TWO}']
    )
    def test_unreadable_port_is_a_format_error(self, port: str) -> None:
        payload = {**ENTRY, 'address': f'10.0.0.9:{port}'}
        with pytest.raises(platform.FormatError):
            platform.decode_endpoint('e', msgspec.json.encode(payload))

    def test_long_number_in_a_request_is_a_format_error(self) -> None:
        parts = b'5c1e:%b' % LONG_NUMBER
        with pytest.raises(platform.FormatError):
            call((b'Prompt-Prefix', parts))
