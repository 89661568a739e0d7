"""Content digests of bodies."""

import hashlib
from typing import Final

_DIGEST_BYTES: Final = 16


def digest_of(body: bytes) -> str:
    """Return the content digest of a body, in hexadecimal."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()
