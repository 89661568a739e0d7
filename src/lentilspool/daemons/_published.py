"""Small look-ups in the configuration in force."""

from lentilspool import admission, config


class Published:
    """What entries look up in the document for each attempt."""

    def __init__(self) -> None:
        self._document: config.Document | None = None
        self._slots = admission.KeySlots(())

    def adopt(self, state: config.State) -> None:
        """Take a new configuration."""
        self._document = state.document
        parsed = admission.parse_slots(state.document.key_slots)
        if isinstance(parsed, admission.KeySlots):
            self._slots = parsed

    def provider(self, pool: str) -> str:
        """Return the provider whose credits pay for a pool."""
        document = self._document
        if document is None or pool not in document.pools:
            return ''
        return document.pools[pool].provider

    def home(
        self, pool: str, key: admission.IdempotencyKey
    ) -> tuple[str, int] | None:
        """Return address and port of the sidecar that is a key's home."""
        address = self._slots.home(pool, key)
        host, _, port = (address or '').rpartition(':')
        return (host, int(port)) if port.isdecimal() else None
