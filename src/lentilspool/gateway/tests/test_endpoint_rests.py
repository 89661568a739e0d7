"""Tests of endpoints that reject a request and ask its sender for rest."""

import functools
from types import MappingProxyType
from typing import Final

import pytest
import trio

from lentilspool.gateway.tests import stating_fleet

GATEWAYS: Final = 3
ENDPOINTS: Final = 3
RATE: Final = 12.0
REST_S: Final = 3.0
LONG_REST_S: Final = 8.0
# Time in which an answer reaches its caller.
SLACK_S: Final = 0.2
SERVICES: Final = MappingProxyType(
    {'plain': stating_fleet.PLAIN, 'talk': stating_fleet.ENGINE}
)
# The users' rule: requests that may come from a host in a rest.
ALLOWED: Final = 2


@functools.cache
def resting() -> stating_fleet.StatingFleet:
    """Play a load beside one endpoint of each service that wants rest."""

    async def scenario(fleet: stating_fleet.StatingFleet) -> None:
        for endpoints in fleet.endpoints.values():
            endpoints[0].rest = str(REST_S)
        await fleet.load(RATE, 2 * REST_S)

    return stating_fleet.play(scenario, GATEWAYS, ENDPOINTS)


@functools.cache
def all_resting() -> stating_fleet.StatingFleet:
    """Play a load while all endpoints want rest."""

    async def scenario(fleet: stating_fleet.StatingFleet) -> None:
        for endpoints in fleet.endpoints.values():
            for endpoint in endpoints:
                endpoint.rest = str(LONG_REST_S)
        await fleet.load(RATE, 1)
        fleet.replies.clear()
        await fleet.load(RATE, 1)

    return stating_fleet.play(scenario, GATEWAYS, ENDPOINTS)


class TestRest:
    @pytest.mark.parametrize('service', stating_fleet.SERVICES)
    def test_gateway_sends_nothing_in_a_rest(self, service: str) -> None:
        endpoint = resting().endpoints[service][0]
        assert endpoint.rejected
        assert endpoint.most_in_rest(REST_S) <= ALLOWED

    @pytest.mark.parametrize('route', ['plain', 'talk'])
    def test_callers_are_told_when_a_rest_of_all_ends(self, route: str) -> None:
        fleet = all_resting()
        endpoints = fleet.endpoints[SERVICES[route]]
        first_end = min(one.rejected[0][0] for one in endpoints) + LONG_REST_S
        replies = [one for one in fleet.replies if one.route == route]
        assert {one.status for one in replies} == {503}
        waits = [(one.at, one.retry_after_s or 0) for one in replies]
        early = [
            at for at, wait_s in waits if at + wait_s < first_end - SLACK_S
        ]
        assert not early
        assert max(wait_s for _, wait_s in waits) <= LONG_REST_S

    def test_no_stage_runs_while_all_endpoints_rest(self) -> None:
        for endpoint in all_resting().endpoints[stating_fleet.STAGE]:
            assert endpoint.most_in_rest(LONG_REST_S) <= ALLOWED


class TestServiceBesideRests:
    @pytest.mark.parametrize('route', stating_fleet.ROUTES)
    def test_requests_are_served(self, route: str) -> None:
        statuses = resting().statuses(route)
        assert statuses[200] == statuses.total()


class TestRestThatEndsInTime:
    def test_request_waits_for_it(self) -> None:
        async def scenario(fleet: stating_fleet.StatingFleet) -> None:
            endpoints = fleet.endpoints[stating_fleet.PLAIN]
            for endpoint in endpoints:
                endpoint.rest = '0.15'
            async with trio.open_nursery() as nursery:
                for _ in range(2 * ENDPOINTS):
                    node = fleet.fleet.nodes[0]
                    nursery.start_soon(fleet.request, node, 'plain')
            fleet.replies.clear()
            for endpoint in endpoints:
                endpoint.rest = ''
            for _ in range(ENDPOINTS):
                await fleet.request(fleet.fleet.nodes[0], 'plain')

        fleet = stating_fleet.play(scenario, 1, ENDPOINTS)
        assert fleet.statuses('plain') == {200: ENDPOINTS}
