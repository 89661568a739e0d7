"""Content digests of the bodies of requests and stages."""

import hashlib
from typing import Final

_DIGEST_BYTES: Final = 16


def body_digest(body: bytes) -> str:
    """Return the BLAKE2b digest of a body, in hexadecimal."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()
