"""Tests of endpoints that reject a request and ask its sender for a backoff."""

import functools
from types import MappingProxyType
from typing import Final

import pytest
import trio

from lentilspool.gateway.tests import stating_fleet

GATEWAYS: Final = 3
ENDPOINTS: Final = 3
RATE: Final = 10.0
BACKOFF_S: Final = 3.0
LONG_BACKOFF_S: Final = 8.0
# Time in which an answer reaches its caller.
SLACK_S: Final = 0.2
SERVICES: Final = MappingProxyType(
    {'plain': stating_fleet.PLAIN, 'talk': stating_fleet.ENGINE}
)
# The users' rule: requests that may come from a host during a backoff.
ALLOWED: Final = 2


@functools.cache
def backed_off() -> stating_fleet.StatingFleet:
    """Play a load beside one endpoint of each service that asks for a backoff."""

    async def scenario(fleet: stating_fleet.StatingFleet) -> None:
        for endpoints in fleet.endpoints.values():
            endpoints[0].retry_after = str(BACKOFF_S)
        await fleet.load(RATE, 2 * BACKOFF_S)

    return stating_fleet.play(scenario, GATEWAYS, ENDPOINTS)


@functools.cache
def all_backed_off() -> stating_fleet.StatingFleet:
    """Play a load while all endpoints ask for a backoff."""

    async def scenario(fleet: stating_fleet.StatingFleet) -> None:
        for endpoints in fleet.endpoints.values():
            for endpoint in endpoints:
                endpoint.retry_after = str(LONG_BACKOFF_S)
        await fleet.load(RATE, 1)
        fleet.replies.clear()
        await fleet.load(RATE, 1)

    return stating_fleet.play(scenario, GATEWAYS, ENDPOINTS)


class TestBackoff:
    @pytest.mark.parametrize('service', stating_fleet.SERVICES)
    def test_gateway_sends_nothing_during_a_backoff(self, service: str) -> None:
        endpoint = backed_off().endpoints[service][0]
        assert endpoint.rejected
        assert endpoint.most_in_backoff(BACKOFF_S) <= ALLOWED

    @pytest.mark.parametrize('route', ['plain', 'talk'])
    def test_callers_are_told_when_a_backoff_of_all_ends(
        self, route: str
    ) -> None:
        fleet = all_backed_off()
        endpoints = fleet.endpoints[SERVICES[route]]
        first_end = (
            min(one.rejected[0][0] for one in endpoints) + LONG_BACKOFF_S
        )
        replies = [one for one in fleet.replies if one.route == route]
        assert {one.status for one in replies} == {503}
        waits = [(one.at, one.retry_after_s or 0) for one in replies]
        early = [
            at for at, wait_s in waits if at + wait_s < first_end - SLACK_S
        ]
        assert not early
        assert max(wait_s for _, wait_s in waits) <= LONG_BACKOFF_S

    def test_no_stage_runs_while_all_endpoints_back_off(self) -> None:
        for endpoint in all_backed_off().endpoints[stating_fleet.STAGE]:
            assert endpoint.most_in_backoff(LONG_BACKOFF_S) <= ALLOWED


class TestServiceBesideBackoffs:
    @pytest.mark.parametrize('route', stating_fleet.ROUTES)
    def test_requests_are_served(self, route: str) -> None:
        statuses = backed_off().statuses(route)
        assert statuses[200] == statuses.total()


class TestBackoffThatEndsInTime:
    def test_request_waits_for_it(self) -> None:
        async def scenario(fleet: stating_fleet.StatingFleet) -> None:
            endpoints = fleet.endpoints[stating_fleet.PLAIN]
            for endpoint in endpoints:
                endpoint.retry_after = '0.15'
            async with trio.open_nursery() as nursery:
                for _ in range(2 * ENDPOINTS):
                    node = fleet.fleet.nodes[0]
                    nursery.start_soon(fleet.request, node, 'plain')
            fleet.replies.clear()
            for endpoint in endpoints:
                endpoint.retry_after = ''
            for _ in range(ENDPOINTS):
                await fleet.request(fleet.fleet.nodes[0], 'plain')

        fleet = stating_fleet.play(scenario, 1, ENDPOINTS)
        assert fleet.statuses('plain') == {200: ENDPOINTS}
