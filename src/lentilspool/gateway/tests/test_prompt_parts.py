"""Tests of the prompt parts that an endpoint's end is attributed to."""

from collections.abc import Iterable

import pytest

from lentilspool import serving
from lentilspool.gateway import _endpoint_checks
from lentilspool.gateway.tests import builders, works

SHARED = frozenset(('aa',))
SUSPECT = _endpoint_checks.PromptParts(suspects=SHARED)
PROVED = _endpoint_checks.PromptParts(proved=SHARED)


def parts_of_broken_stream(
    events: int, pause_s: float
) -> list[_endpoint_checks.PromptParts]:
    """Break a stream after some events; return the parts that are checked."""
    checked: list[_endpoint_checks.PromptParts] = []

    def record(
        endpoint: serving.Endpoint,
        contents: Iterable[str],
        parts: _endpoint_checks.PromptParts = SUSPECT,
    ) -> None:
        checked.append(parts)

    async def scenario(gateway: builders.Gateway) -> None:
        gateway.context.checks.check = record  # type: ignore[method-assign]
        engine = builders.Endpoint(
            'e', builders.ENGINE, works.breaking_after(events, pause_s)
        )
        route = builders.route('draft', 'streaming', builders.ENGINE)
        await gateway.start([engine], [route])
        await gateway.request('/draft/', '1')

    builders.run(scenario)
    return checked


class TestPartsAtEndpoint:
    @pytest.mark.parametrize(
        ('events', 'pause_s', 'parts'),
        [(0, 0.01, SUSPECT), (3, 0.01, SUSPECT), (4, 0.12, PROVED)],
        ids=['no event', 'first events', 'older events'],
    )
    def test_older_events_prove_the_parts_of_a_broken_stream(
        self, events: int, pause_s: float, parts: _endpoint_checks.PromptParts
    ) -> None:
        assert parts_of_broken_stream(events, pause_s) == [parts]
