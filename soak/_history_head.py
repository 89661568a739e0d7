"""First line of a history: its format, version and bounds."""

from typing import Final

import msgspec

FORMAT: Final = 'lentilspool-soak-history'
VERSION: Final = 1


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time bounds of the rules, in seconds, as the run was made with them."""

    stable_window_s: float = 3.0
    """Time without disruption after which a machine is in touch."""

    grace_s: float = 8.0
    """Time from SIGTERM to SIGKILL."""

    loss_slack_s: float = 0.2
    """Time after which a whole request counts as read."""

    config_apply_s: float = 2.0
    """Time in which an acknowledged configuration comes into force."""

    drain_s: float = 2.0
    """Time in which an endpoint that leaves is used no more."""

    downgrade_s: float = 0.25
    """Time after which a machine that showed a version keeps to it."""

    recover_s: float = 12.0
    """Time after the last fault in which service is back."""


class Named(msgspec.Struct, frozen=True):
    """Names the format of a file; other versions may have other fields."""

    format: str
    """Name of the format."""

    version: int
    """Version of the format."""


class Header(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a history."""

    format: str
    """Name of the format."""

    version: int
    """Version of the format."""

    seed: int = 0
    """Seed of the run."""

    bounds: Bounds = Bounds()
    """Bounds that hold in the run."""
