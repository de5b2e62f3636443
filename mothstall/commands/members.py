"""`mothstall members`: live proxies, by their own leases or as members of an observer."""

from __future__ import annotations

import argparse
from collections import Counter
from typing import TypedDict

from mothstall.commands.connection import read_state
from mothstall.commands.parsing import SubParsers, add_command
from mothstall.fleet.leases.names import (
    MEMBER_LEASE_PREFIX,
    OBSERVER_LEASE_PREFIX,
    PROBE_LEASE_PREFIX,
)
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.state.rows import Lease, Member


class MemberRow(TypedDict):
    """One proxy, as `members` prints it."""

    name: str
    owner: str
    zone: str
    by: str  # the observer that it is attached to; empty if it holds a member lease of its own
    token: int
    probes: int  # number of backends that it probes


def add_parsers(subparsers: SubParsers) -> None:
    """Add the command of this module."""
    add_command(subparsers, "members", "the proxies that are alive", list_members)


def list_members(operator: OperatorConfig, args: argparse.Namespace) -> list[MemberRow]:
    """Return all proxies that are members, by name."""
    state = read_state(operator, args.wait)
    leases = [lease for lease in state.leases.values() if lease]
    probes = Counter(lease.owner for lease in leases if lease.name.startswith(PROBE_LEASE_PREFIX))
    tokens = {lease.name: lease.token for lease in leases}
    rows = [
        _row_of_lease(lease, probes[lease.owner])
        for lease in leases
        if lease.name.startswith(MEMBER_LEASE_PREFIX)
    ]
    rows += [
        _row_of_attachment(member, tokens, probes[member.owner])
        for member in state.members.values()
        if member
    ]
    return sorted(rows, key=lambda row: row["name"])


def _row_of_lease(lease: Lease, probe_count: int) -> MemberRow:
    """Return the row of a proxy that holds a member lease of its own."""
    return MemberRow(
        name=lease.name.removeprefix(MEMBER_LEASE_PREFIX),
        owner=lease.owner,
        zone=lease.info.get("zone", ""),
        by="",
        token=lease.token,
        probes=probe_count,
    )


def _row_of_attachment(member: Member, tokens: dict[str, int], probe_count: int) -> MemberRow:
    """Return the row of a proxy that is attached to an observer."""
    observer = member.lease.removeprefix(OBSERVER_LEASE_PREFIX)
    if tokens.get(member.lease) != member.token:
        observer = f"{observer} (lease ended: moving)"
    return MemberRow(
        name=member.name,
        owner=member.owner,
        zone=member.zone,
        by=observer,
        token=member.token,
        probes=probe_count,
    )
