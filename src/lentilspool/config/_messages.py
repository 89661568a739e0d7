"""Messages between processes, and actions for the caller to perform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDigest:
    """Position and digest of the entries that the sender holds."""

    number: int
    """Number of the sender's last entry; 0 for none."""

    digest: str
    """Digest of the state after that entry; empty for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPull:
    """Requests the entries after ``number``."""

    number: int
    """Number of the sender's last entry; 0 for none."""

    digest: str
    """Digest of the state after that entry; empty for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPush:
    """Consecutive entries of the log."""

    number: int
    """Number of the last of the entries."""

    digest: str
    """Digest of the state after that entry."""

    entries: tuple[bytes, ...]
    """Canonical bytes of the entries."""


Message = ConfigDigest | ConfigPull | ConfigPush


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; it may be lost."""

    peer: str
    """Name of the process."""

    message: Message
    """The message."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadService:
    """Read from the configuration service; then call ``on_read``."""

    after: int
    """Number after which entries are requested."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchService:
    """Wait at the service for new entries; then call ``on_watch``."""

    after: int
    """Number after which an entry counts as new."""

    wait_s: float
    """Seconds after which the service replies even without new entries."""


Action = Send | ReadService | WatchService
