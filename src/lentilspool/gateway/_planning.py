"""Finds the gateway that plans a request, and another if it is lost."""

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
_FRESH_S: Final = 2.0
_BLOCK_S: Final = 1.0


class Links:
    """Connections to the gateways that plan, and to some others."""

    def __init__(
        self,
        own: settings.GatewaySettings,
        knowledge: _peers.Knowledge,
        nursery: trio.Nursery,
    ) -> None:
        self._own = own
        self._knowledge = knowledge
        self._nursery = nursery
        self._links: dict[str, _peers.Link] = {}
        self.known_peers = own.known_peers
        self.most = own.link.links

    def find(self, address: str) -> _peers.Link | None:
        """Return the connection to a gateway if it is up."""
        link = self._links.get(address)
        return link if link and link.up else None

    async def serve(self) -> None:
        """Open and close connections as gateways come and go."""
        while True:
            self._follow()
            await trio.sleep(self._own.link.beat_s)

    def _follow(self) -> None:
        now = _clock.now()
        roster = self._knowledge.roster
        if roster.planners(_FRESH_S, now)[0].name != self._own.name:
            roster.release_planning()
        planners = roster.planners(self._own.link.forget_s, now)
        wanted = [
            member.address
            for member in planners
            if member.name != self._own.name
        ]
        wanted = wanted[: self.most]
        known = {member.address for member, _ in roster.members(now)}
        for seed in self.known_peers:
            # A seed that was not heard yet, and may be this process.
            if seed not in known and seed != self._own.peers:
                wanted.append(seed)
        for address in set(self._links) - set(wanted):
            # A planner that leaves goes on with the requests it has.
            if not self._links[address].busy:
                self._links.pop(address).scope.cancel()
        for address in wanted:
            if address not in self._links:
                self._open(address)

    def _open(self, address: str) -> None:
        link = _peers.Link(address, self._own.link, self._knowledge, self._lost)
        self._links[address] = link
        self._nursery.start_soon(link.serve)

    def _lost(self, link: _peers.Link) -> None:
        now = _clock.now()
        for member, _ in self._knowledge.roster.members(now):
            if member.address == link.address:
                self._knowledge.roster.mark_unresponsive(
                    member.name, _BLOCK_S, now
                )


class Plan:
    """A request that is planned somewhere.

    Await ``settle``, then call ``note`` with what became of the request.
    """

    def __init__(self, planning: 'Planning', ask: serving.PlanRequest) -> None:
        self._planning = planning
        self._ask = ask
        self._asked_at = _clock.now()
        self._link: _peers.Link | None = None
        self._call = 0
        self._settled: trio.Event = trio.Event()
        self._answer: _local_planning.Settled | None = None
        self._open = False
        self._started = False

    async def settle(self) -> _local_planning.Settled:
        """Return where the request is to run, or why it is refused."""
        while True:
            self._settled = trio.Event()
            self._answer = None
            self._begin()
            await self._settled.wait()
            if self._answer is not None:
                return self._answer
            _events.PLANNER_LOST.log(
                _logger,
                request_id=self._ask.request_id,
                planner=self._link.address if self._link else '',
            )

    def note(self, event: str) -> None:
        """Tell the planner what became of the request."""
        if not self._open or (event == 'started' and self._started):
            return
        self._started = True
        self._open = event == 'started'
        if self._link:
            self._link.note(self._call, event)
        else:
            self._planning.local.note(self._ask.key, event)

    def _begin(self) -> None:
        self._open = True
        self._link = self._planning.link()
        passed_s = _clock.now() - self._asked_at
        ask = dataclasses.replace(
            self._ask,
            target_s=self._ask.target_s - passed_s,
            deadline_s=self._ask.deadline_s - passed_s,
        )
        if self._link:
            self._call = self._link.plan(ask, self._take)
        elif self._planning.local.can_serve(ask):
            self._planning.local.submit(ask, self._take)
        else:
            self._take(
                serving.Refuse(
                    ask.key, 'unknown_service', _local_planning.CONFIGURING_S
                )
            )

    def _take(self, answer: _local_planning.Settled | None) -> None:
        self._answer = answer
        if isinstance(answer, serving.Refuse):
            self._open = False
        self._settled.set()


class Planning:
    """Plans of this gateway's requests, here or at another gateway."""

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

    def plan(self, ask: serving.PlanRequest) -> Plan:
        """Return a plan that is to be settled."""
        return Plan(self, ask)

    def link(self) -> _peers.Link | None:
        """Return the connection to the gateway that plans; None for here."""
        chosen: _peers.Link | None = None
        name = self._roster.own.name
        for member in self._roster.planners(_FRESH_S, _clock.now()):
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
