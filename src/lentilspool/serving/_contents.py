"""Identity of a request's content, the same each time the caller repeats it."""

import hashlib
from typing import Final

from lentilspool.serving import _calls

_DIGEST_BYTES: Final = 16
_LENGTH_BYTES: Final = 8


def content_digest(call: _calls.Call, team: str, body: bytes) -> str:
    """Return the digest of a caller's request, in hexadecimal.

    Repeats have new request ids, and may have other headers and keys. The
    digest is cryptographic, so that no caller can make a request that is
    taken for one of another team.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), call.host.encode(), call.target.encode(), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
