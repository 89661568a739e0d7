"""Tests of the message encoding."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilspool import wire

DIGEST = wire.ConfigDigest(number=7, digest='ab')

MESSAGES = (
    wire.Hello(version=1, process='e1', incarnation=2**60, zone='z1'),
    wire.StageChunk(call_id=1, sequence=0, text='žena'),
    wire.AdmitAnswer(1, 'issued', 'token', '', 0, b'\x00\xff'),
    wire.ConfigPush(number=1, digest='cd', entries=(b'{}', b'\x80')),
    wire.Heartbeat(
        'e1', 1, 2, False, DIGEST, 3, 4, 8, 2000, ('s',), 'z', 'p', 'a', 1
    ),
    wire.Refusal(call_id=0, reason='unknown'),
)


class TestCodec:
    @pytest.mark.parametrize('message', MESSAGES)
    def test_decoding_restores_encoded_message(
        self, message: wire.Message
    ) -> None:
        assert wire.decode(wire.encode(message)) == message

    def test_missing_required_field_is_malformed(self) -> None:
        encoded = wire.encode(wire.Cancel(call_id=5))
        # The field header of the envelope, followed by an empty struct.
        without_call_id = b''.join((encoded[:1], b'\x00\x00'))
        assert isinstance(wire.decode(without_call_id), wire.Malformed)

    def test_envelope_without_known_field_is_malformed(self) -> None:
        assert isinstance(wire.decode(b'\x00'), wire.Malformed)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_raise_nothing(self, payload: bytes) -> None:
        decoded = wire.decode(payload)
        assert decoded is not None

    @pytest.mark.parametrize('depth', [100, 10_000, 1_000_000])
    @pytest.mark.parametrize('byte', [b'\x1c', b'\x19\x19', b'\xfc\x0c'])
    def test_deeply_nested_structure_is_malformed(
        self, byte: bytes, depth: int
    ) -> None:
        assert isinstance(wire.decode(byte * depth), wire.Malformed)
