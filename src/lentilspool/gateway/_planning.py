"""Choice of the gateway that plans a request, with failover."""

import dataclasses
import logging
from typing import Final

import trio

from lentilspool import serving, settings
from lentilspool.gateway import (
    _clock,
    _events,
    _local_planning,
    _peers,
)

_logger: Final = logging.getLogger(__name__)
_MAX_HEARTBEAT_AGE_S: Final = 2.0
_UNRESPONSIVE_BLOCK_S: Final = 1.0
# Planners that may be lost under one request before it is refused.
_MAX_PLANNERS: Final = 3
_LOST_RETRY_AFTER_S: Final = 0.5


class Links:
    """Connections to the gateways first in line to plan, and to seeds."""

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        cluster: _peers.ClusterState,
        nursery: trio.Nursery,
    ) -> None:
        self._settings = gateway_settings
        self._cluster = cluster
        self._nursery = nursery
        self._links: dict[str, _peers.Link] = {}
        self.known_peers = gateway_settings.known_peers
        self.max_links = gateway_settings.link.links

    def find(self, address: str) -> _peers.Link | None:
        """Return the connection to a gateway; None if it is not up."""
        link = self._links.get(address)
        return link if link and link.is_up else None

    def up(self) -> list[_peers.Link]:
        """Return the connections that are up, spread over zones.

        Otherwise they are in the order of planners.
        """
        planners = self._cluster.roster.planners(
            self._settings.link.forget_s, _clock.now()
        )
        reached = [one for one in planners if self.find(one.address)]
        links = (
            self.find(member.address)
            for member in serving.spread_over_zones(reached)
        )
        return [link for link in links if link]

    async def serve(self) -> None:
        """Open and close connections as the roster changes."""
        while True:
            self._update_links()
            await trio.sleep(self._settings.link.beat_s)

    def _update_links(self) -> None:
        now = _clock.now()
        roster = self._cluster.roster
        if (
            roster.planners(_MAX_HEARTBEAT_AGE_S, now)[0].name
            != self._settings.name
        ):
            roster.release_planning()
        planners = roster.planners(self._settings.link.forget_s, now)
        wanted = [
            member.address
            for member in planners
            if member.name != self._settings.name
        ]
        wanted = wanted[: self.max_links]
        known = {member.address for member, _ in roster.members(now)}
        for seed in self.known_peers:
            # No heartbeat came from this seed yet. It may be this process.
            if seed not in known and seed != self._settings.peers:
                wanted.append(seed)
        for address in set(self._links) - set(wanted):
            # A leaving planner continues with the requests that it has.
            if not self._links[address].busy:
                self._links.pop(address).scope.cancel()
        for address in wanted:
            if address not in self._links:
                self._open(address)

    def _open(self, address: str) -> None:
        link = _peers.Link(
            address, self._settings.link, self._cluster, self._mark_unresponsive
        )
        self._links[address] = link
        self._nursery.start_soon(link.serve)

    def _mark_unresponsive(self, link: _peers.Link) -> None:
        now = _clock.now()
        for member, _ in self._cluster.roster.members(now):
            if member.address == link.address:
                self._cluster.roster.mark_unresponsive(
                    member.name, _UNRESPONSIVE_BLOCK_S, now
                )


class Plan:
    """A request that is planned here or at another gateway.

    Await ``wait_for_decision``, then report with ``report_event`` what
    happened to the request.
    """

    def __init__(
        self, planning: 'Planning', request: serving.PlanRequest
    ) -> None:
        self._planning = planning
        self._request = request
        self._created_at = _clock.now()
        self._link: _peers.Link | None = None
        self._call_id = 0
        self._decided: trio.Event = trio.Event()
        self._decision: _local_planning.PlanDecision | None = None
        self._open = False
        self._started = False
        # Whether a planner may have sent pieces of the request.
        self._begun = False

    async def wait_for_decision(self) -> _local_planning.PlanDecision:
        """Return where to run the request, or why it is refused.

        The request is submitted again if its planner is lost, but not
        without end: it may be what ends the planners.
        """
        for _ in range(_MAX_PLANNERS):
            self._decided = trio.Event()
            self._decision = None
            self._submit()
            await self._decided.wait()
            if self._decision is not None:
                return self._decision
            planner = self._link.address if self._link else ''
            self._planning.losses.record(planner, _clock.now())
            _events.PLANNER_LOST.log(
                _logger,
                request_id=self._request.request_id,
                planner=planner,
            )
        self._open = False
        return serving.Refuse(
            self._request.key, 'planners_lost', _LOST_RETRY_AFTER_S
        )

    def report_event(self, event: str) -> None:
        """Report to the planner how far the request has come.

        ``event`` is ``started``, ``cancelled``, ``ended`` or ``failed``.
        """
        if not self._open or (event == 'started' and self._started):
            return
        self._started = True
        self._open = event == 'started'
        if self._link:
            self._link.report_event(self._call_id, event)
        else:
            self._planning.local.record_event(self._request.key, event)

    def _submit(self) -> None:
        self._open = True
        self._link = self._planning.planner_link()
        passed_s = _clock.now() - self._created_at
        request = dataclasses.replace(
            self._request,
            planners_lost=self._planning.losses.recent(_clock.now()),
            repeated=self._request.repeated or self._begun,
            target_s=self._request.target_s - passed_s,
            deadline_s=self._request.deadline_s - passed_s,
        )
        if self._link:
            self._call_id = self._link.plan(request, self._receive_decision)
        elif self._planning.local.can_serve(request):
            self._planning.local.submit(request, self._receive_decision)
        else:
            self._receive_decision(
                serving.Refuse(
                    request.key,
                    'unknown_service',
                    _local_planning.CONFIGURATION_RETRY_AFTER_S,
                )
            )

    def _receive_decision(
        self, decision: _local_planning.PlanDecision | serving.Begun | None
    ) -> None:
        if isinstance(decision, serving.Begun):
            self._begun = True
            return
        self._decision = decision
        if isinstance(decision, serving.Refuse):
            self._open = False
        self._decided.set()


class Planning:
    """Planning of this gateway's requests, here or at another gateway."""

    def __init__(
        self,
        local: _local_planning.LocalPlanning,
        links: Links,
        roster: serving.Roster,
    ) -> None:
        self.local = local
        self._links = links
        self._roster = roster
        self._planner = ''
        self.losses = serving.PlannerLosses()

    def plan(self, request: serving.PlanRequest) -> Plan:
        """Return a plan that has no decision yet."""
        return Plan(self, request)

    @property
    def own_name(self) -> str:
        """Name of this gateway."""
        return self._roster.own.name

    def unique_key(self, text: str) -> str:
        """Return a key for a plan that is unique among all processes."""
        own = self._roster.own
        return f'{own.name}/{own.incarnation}/{text}'

    def planner_link(self) -> _peers.Link | None:
        """Return the connection to the planner; None if it is this process."""
        chosen: _peers.Link | None = None
        name = self._roster.own.name
        for member in self._roster.planners(_MAX_HEARTBEAT_AGE_S, _clock.now()):
            if member.name == self._roster.own.name:
                break
            chosen = self._links.find(member.address)
            if chosen:
                name = member.name
                break
        if chosen is None:
            self._roster.claim_planning(_clock.wall_ms())
        if name != self._planner:
            self._planner = name
            _events.PLANNER.log(_logger, planner=name)
        return chosen
