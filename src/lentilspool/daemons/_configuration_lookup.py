"""Look-ups in the current configuration."""

from lentilspool import admission, config


class ConfigurationLookup:
    """Looks up the values of the configuration that each attempt needs."""

    def __init__(self) -> None:
        self._document: config.Document | None = None
        self._slots = admission.KeySlots(())

    def apply_configuration(self, state: config.State) -> None:
        """Apply a new configuration; invalid key slots leave the old ones."""
        self._document = state.document
        parsed = admission.parse_slots(state.document.key_slots)
        if isinstance(parsed, admission.KeySlots):
            self._slots = parsed

    def provider(self, pool: str) -> str:
        """Return the provider that a pool is paid from; empty if unknown."""
        document = self._document
        if document is None or pool not in document.pools:
            return ''
        return document.pools[pool].provider

    def home_address(
        self, pool: str, key: admission.IdempotencyKey
    ) -> tuple[str, int] | None:
        """Return address and port of the sidecar that owns a key's slot.

        Return None if the slot has no valid address.
        """
        address = self._slots.home(pool, key)
        host, _, port = (address or '').rpartition(':')
        return (host, int(port)) if port.isdecimal() else None
