"""Identity of a request's content and of the parts of its prompt."""

import hashlib
from typing import Final

from lentilspool.serving import _calls

_DIGEST_BYTES: Final = 16
_LENGTH_BYTES: Final = 8
# Longer keys are replaced by their digest.
_MAX_KEY_CHARACTERS: Final = 64


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


def shared_parts(prompt: _calls.Prompt | None) -> tuple[str, ...]:
    """Return the identities of the parts that other prompts may share.

    These are all but the last one. Their length is bounded; their number is
    by the size of a request's head.
    """
    parts = prompt.parts[:-1] if prompt else ()
    return tuple(dict.fromkeys(_part_name(part.key) for part in parts))


def _part_name(key: str) -> str:
    if len(key) <= _MAX_KEY_CHARACTERS:
        return key
    digest = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()
