"""Admission tokens: what they say, and their signature.

A token names one incarnation of one sidecar. Its times are read on that
incarnation's monotonic clock alone, so no other clock, and no step of a
wall clock, changes what it means.
"""

import base64
import binascii
import dataclasses
import enum
import hashlib
import hmac
from typing import Final

import msgspec

from lentilspool import kernel

_SIGNATURE_BYTES: Final = hashlib.sha256().digest_size
_MAX_TEXT_CHARS: Final = 1024
_MIN_KEY_BYTES: Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionToken:
    """Leave to run one unrepeatable request, at one sidecar incarnation."""

    endpoint: str
    """Endpoint whose sidecar issued the token."""

    incarnation: int
    """Incarnation of that sidecar; never used twice for an endpoint."""

    request_id: str
    """Request that the token admits; unique in the incarnation."""

    content_digest: str
    """Digest of the request's content."""

    issued_at: float
    """Seconds on the issuing incarnation's monotonic clock."""

    expires_at: float
    """Seconds on the same clock until which the ledger remembers."""


class TokenProblem(enum.Enum):
    """Why a token's text is not taken."""

    malformed = 'malformed'
    bad_signature = 'bad_signature'


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRefused:
    """A text that is no token of ours, or of keys no longer held."""

    text: str
    """Text that was presented."""

    problem: TokenProblem
    """What is wrong with it."""

    @property
    def outcome(self) -> kernel.NotRun | kernel.Unknown:
        """Answer for the caller.

        A token signed with a key that has been rotated out may have run.
        """
        if self.problem is TokenProblem.malformed:
            return kernel.NotRun(
                kernel.NotRunReason.invalid, detail='not an admission token'
            )
        return kernel.Unknown(
            self.text,
            kernel.UnknownReason.token_expired,
            'signed with a key that is not held here',
        )


_Fields = tuple[str, int, str, str, float, float]
_decoder: Final = msgspec.msgpack.Decoder(_Fields)


class TokenSigner:
    """Turns tokens into text and back.

    Signs with ``current`` and verifies with both keys. To rotate, publish
    the new key as ``previous`` everywhere, then swap the two, then drop the
    old one when the tokens that it signed have expired.
    """

    def __init__(self, current: bytes, previous: bytes | None = None) -> None:
        keys = (current,) if previous is None else (current, previous)
        if min(map(len, keys)) < _MIN_KEY_BYTES:
            raise ValueError(f'a key needs {_MIN_KEY_BYTES} bytes or more')
        self._keys = keys

    def sign(self, token: AdmissionToken) -> str:
        """Return the token as URL-safe text."""
        payload = msgspec.msgpack.encode(
            (
                token.endpoint,
                token.incarnation,
                token.request_id,
                token.content_digest,
                token.issued_at,
                token.expires_at,
            )
        )
        signature = hmac.digest(self._keys[0], payload, 'sha256')
        packed = base64.urlsafe_b64encode(signature + payload)
        return packed.rstrip(b'=').decode('ascii')

    def verify(self, text: str) -> AdmissionToken | TokenRefused:
        """Return the token that the text stands for."""
        packed = _unpack(text)
        if packed is None:
            return TokenRefused(text, TokenProblem.malformed)
        payload = packed[_SIGNATURE_BYTES:]
        if not self._is_signed(packed[:_SIGNATURE_BYTES], payload):
            return TokenRefused(text, TokenProblem.bad_signature)
        try:
            return AdmissionToken(*_decoder.decode(payload))
        except msgspec.MsgspecError:
            return TokenRefused(text, TokenProblem.malformed)

    def _is_signed(self, signature: bytes, payload: bytes) -> bool:
        return any(
            hmac.compare_digest(signature, hmac.digest(key, payload, 'sha256'))
            for key in self._keys
        )


def _unpack(text: str) -> bytes | None:
    if len(text) > _MAX_TEXT_CHARS:
        return None
    padding = '=' * (-len(text) % 4)
    try:
        packed = base64.b64decode(text + padding, altchars='-_', validate=True)
    except (binascii.Error, ValueError):
        return None
    return packed if len(packed) > _SIGNATURE_BYTES else None
