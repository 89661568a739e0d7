"""Messages between processes, and actions that the shell carries out."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDigest:
    """What the sender holds."""

    number: int
    """Position in the published log; 0 for nothing."""

    digest: str
    """Digest of the state there."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPull:
    """Asks for every entry after ``number``."""

    number: int
    """Position that the sender holds; 0 for nothing."""

    digest: str
    """Digest of the state there."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPush:
    """Entries in order."""

    number: int
    """Position after the last of the entries."""

    digest: str
    """Digest of the state there."""

    entries: tuple[bytes, ...]
    """Canonical bytes of the entries."""


Message = ConfigDigest | ConfigPull | ConfigPush


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; loss is allowed."""

    peer: str
    """Name of the process."""

    message: Message
    """The message."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadService:
    """Read the configuration service once; then call ``on_reply``."""

    after: int
    """Entries after this number are wanted."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchService:
    """Wait at the service for something new; then call ``on_watch``."""

    after: int
    """Entries after this number are news."""

    wait_s: float
    """Seconds after which the service answers in any case."""


Action = Send | ReadService | WatchService
