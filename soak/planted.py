"""A gateway with a guard switched off, to see that the soak finds it."""

import os
import sys

from lentilspool import platform, serving
from lentilspool.gateway import (
    _content_quarantine,
    _gateway,
    _stream_origin,
)
from lentilspool.programs import gateway
from lentilspool.serving import _inputs


def _resend() -> None:
    """Send again what may have run, as if every route could be repeated."""
    usual = serving.next_step

    def next_step(
        route: serving.Route,
        tally: serving.AttemptCounts,
        end: serving.AttemptOutcome,
        status: int,
        *,
        may_retry: bool,
    ) -> serving.AttemptStep:
        if end is serving.AttemptOutcome.unknown and tally.sent < 2:
            return serving.AttemptStep.again
        return usual(route, tally, end, status, may_retry=may_retry)

    serving.next_step = next_step


def _blind() -> None:
    """Run pieces whose inputs were freed."""
    _inputs.were_dropped = lambda stages, number: False
    _inputs.are_held = _inputs.were_made


def _era() -> None:
    """Take all revisions of the store for one history."""
    platform.decode_era = lambda headers: None


def _fatal() -> None:
    """Let requests run however many endpoints ended under them."""
    setattr(  # noqa: B010
        _content_quarantine.ContentQuarantine, 'refusal_s', _never_refused
    )


def _never_refused(
    quarantine: _content_quarantine.ContentQuarantine, content: str
) -> None:
    """Refuse nothing."""


def _abrupt() -> None:
    """End at once when a stop is requested."""
    setattr(_gateway.Gateway, 'request_stop', _exit)  # noqa: B010


def _exit(one: _gateway.Gateway) -> None:
    """End without closing anything."""
    os._exit(0)


def _version() -> None:
    """Let a stream go on at any software version."""
    origin = _stream_origin.StreamOrigin
    setattr(origin, 'version', property(_no_version))  # noqa: B010
    setattr(origin, 'find', _found)  # noqa: B010
    setattr(origin, 'allows', _allows)  # noqa: B010


def _no_version(origin: _stream_origin.StreamOrigin) -> None:
    """Need no version."""


async def _found(origin: _stream_origin.StreamOrigin) -> bool:
    return True


def _allows(
    origin: _stream_origin.StreamOrigin, endpoint: serving.Endpoint
) -> bool:
    return True


def main() -> None:
    """Switch a guard off and run the gateway."""
    plant = sys.argv.pop(1).removeprefix('--plant=')
    plants = {
        'resend': _resend,
        'blind': _blind,
        'era': _era,
        'fatal': _fatal,
        'abrupt': _abrupt,
        'version': _version,
    }
    plants[plant]()
    gateway.main()


if __name__ == '__main__':
    main()
