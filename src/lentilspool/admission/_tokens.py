"""Admission tokens and their signature.

A token names one incarnation of one sidecar. Its times refer only to that
incarnation's monotonic clock, so they do not depend on other clocks or on
steps of the wall clock.
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
    """Permission to run an unrepeatable request at one sidecar incarnation."""

    endpoint: str
    """Endpoint whose sidecar issued the token."""

    incarnation: int
    """Incarnation of that sidecar; never reused for an endpoint."""

    request_id: str
    """Id of the admitted request; unique in the incarnation."""

    content_digest: str
    """Digest of the request's content."""

    issued_at: float
    """Time of issue, in seconds on the incarnation's monotonic clock."""

    expires_at: float
    """Time until which the ledger keeps the request, on the same clock."""


class TokenProblem(enum.Enum):
    """Why the text of a token is rejected."""

    malformed = 'malformed'
    bad_signature = 'bad_signature'


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRefused:
    """A text that is no valid token, or signed with an unknown key."""

    text: str
    """Text that was presented."""

    problem: TokenProblem
    """What is wrong with it."""

    @property
    def outcome(self) -> kernel.NotRun | kernel.Unknown:
        """Outcome for the caller.

        A bad signature gives ``Unknown``: the token may be signed with a key
        that has been rotated out, and its request may have run.
        """
        if self.problem is TokenProblem.malformed:
            return kernel.NotRun(
                kernel.NotRunReason.invalid, detail='not an admission token'
            )
        return kernel.Unknown(
            self.text,
            kernel.UnknownReason.token_expired,
            'signed with a key that this process does not have',
        )


_TokenFields = tuple[str, int, str, str, float, float]
_decoder: Final = msgspec.msgpack.Decoder(_TokenFields)


class TokenSigner:
    """Signs tokens as text, and verifies and decodes such text.

    Signs with ``current`` and verifies with both keys. To rotate, publish
    the new key as ``previous`` everywhere, then swap the two, then remove
    the old one when the tokens that it signed have expired.
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
        """Return the token encoded in a text, or why it is rejected."""
        packed = _decode_text(text)
        if packed is None:
            return TokenRefused(text, TokenProblem.malformed)
        payload = packed[_SIGNATURE_BYTES:]
        if not self._has_valid_signature(packed[:_SIGNATURE_BYTES], payload):
            return TokenRefused(text, TokenProblem.bad_signature)
        try:
            return AdmissionToken(*_decoder.decode(payload))
        except msgspec.MsgspecError:
            return TokenRefused(text, TokenProblem.malformed)

    def _has_valid_signature(self, signature: bytes, payload: bytes) -> bool:
        return any(
            hmac.compare_digest(signature, hmac.digest(key, payload, 'sha256'))
            for key in self._keys
        )


def _decode_text(text: str) -> bytes | None:
    if len(text) > _MAX_TEXT_CHARS:
        return None
    padding = '=' * (-len(text) % 4)
    try:
        packed = base64.b64decode(text + padding, altchars='-_', validate=True)
    except (binascii.Error, ValueError):
        return None
    return packed if len(packed) > _SIGNATURE_BYTES else None
