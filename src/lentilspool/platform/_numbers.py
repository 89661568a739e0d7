"""Types of numbers that every message between processes can hold."""

from typing import Annotated, Final

import msgspec

# Messages between gateways hold whole numbers of 64 bits.
_MAX_WHOLE: Final = 0x7FFF_FFFF_FFFF_FFFF

Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_WHOLE)]
"""A whole number that is not negative."""

Rank = Annotated[int, msgspec.Meta(ge=-_MAX_WHOLE, le=_MAX_WHOLE)]
"""A whole number."""

Measure = Annotated[float, msgspec.Meta(ge=0)]
"""A number that is not negative."""
