"""The proxy's side of the fleet's agent: the list's word with operators' drains over it, for the decider.

It is there only where an operator file is given. The agent knows boxes by name and drains; the decider gets
what discovery said, or a change of it, and never waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from mothstall.config import Names
from mothstall.fleet.agent import Agent, BoxAt
from mothstall.fleet.operator import Operator
from mothstall.interface import Health, Hinted, Scope
from mothstall.net import protocol
from mothstall.net.counters import Counters
from mothstall.net.decider import Partner
from mothstall.net.discovery import Told


class Together:
    """`report` is where the list's words go on to; `probes`: the settings allow them.

    OSError or ValueError if the agent cannot be made.
    """

    def __init__(
        self,
        operator: Operator,
        name: str,
        names: Names,
        *,
        probes: bool,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        report: Callable[[Told | Partner], None],
    ) -> None:
        self._names, self._report = names, report
        self._members: dict[str, protocol.Member] = {}
        self._told: dict[str, Health] = {}
        self._version = 0
        self.agent = Agent(operator, name, loop=loop, changed=self._changed, probes=probes)
        counters.more = self.agent.figures

    def _zone(self, member: protocol.Member) -> str:
        zones = self._names.zones
        return zones[member.entry.zone] if member.entry.zone < len(zones) else ""

    def _merged(self, member: protocol.Member) -> protocol.Member:
        health = self.agent.drained().health(member.id, self._zone(member), member.entry.health)
        self._told[member.id] = health
        return replace(member, entry=replace(member.entry, health=health))

    def told(self, message: Told) -> None:
        """A word of discovery, which goes on with the drains over it."""
        word = message.word
        if word is None:
            self._report(message)
            return
        self._version = max(self._version, word.version)
        if message.scope != Scope.DELTA:
            self._members, self._told = {}, {}
        for member in word.members:
            self._members[member.id] = member
        members = [self._merged(member) for member in word.members]
        self._members = {k: m for k, m in self._members.items() if m.entry.health != Health.GONE}
        self.agent.boxes = {key: BoxAt(m.address, self._zone(m)) for key, m in self._members.items()}
        self._report(Told(message.scope, replace(word, members=members)))

    def _changed(self) -> None:
        """Drains may have changed: what differs is told at once, as a change of the list."""
        drained = self.agent.drained()
        rows = []
        for member in self._members.values():
            health = drained.health(member.id, self._zone(member), member.entry.health)
            if health != self._told.get(member.id):
                rows.append(self._merged(member))
        if rows:
            self._report(Told(Scope.DELTA, protocol.ListWord(self._version, False, rows)))
        for box in self.agent.hinted():
            if box in self._members:  # one that is known by a hint alone is nobody's
                self._report(Partner(Hinted(self._members[box].entry.backend)))
