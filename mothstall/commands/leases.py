"""`mothstall lease`: list, take and drop leases."""

from __future__ import annotations

import argparse
from typing import TypedDict

from mothstall.commands.connection import propose_change, read_state
from mothstall.commands.parsing import (
    SubParsers,
    add_command,
    add_command_group,
    add_reason_options,
)
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.state.changes import AcquireLease, RevokeLease

_MS_PER_S = 1000
_NS_PER_MS = 1_000_000


class LeaseRow(TypedDict):
    """One lease, as `lease list` prints it."""

    name: str
    owner: str
    token: int
    term_ms: int
    info: dict[str, str]


class AcquiredLease(TypedDict):
    """The lease that `lease take` acquired."""

    name: str
    owner: str
    token: int
    term_ms: int


def add_parsers(subparsers: SubParsers) -> None:
    """Add the commands of this module."""
    verbs = add_command_group(subparsers, "lease", "which process holds which lease")
    add_command(verbs, "list", "all leases with their holders and fencing tokens", list_leases)
    take = add_command(
        verbs, "take", "acquire a free lease for one term, for a script", acquire_lease
    )
    take.add_argument("name")
    take.add_argument("--owner", required=True)
    take.add_argument("--term", type=float, metavar="S", help="default: the operator file's")
    drop = add_command(
        verbs, "drop", "revoke a lease; its next holder gets a higher token", revoke_lease
    )
    drop.add_argument("name")
    add_reason_options(drop, is_reason_required=True)


def list_leases(operator: OperatorConfig, args: argparse.Namespace) -> list[LeaseRow]:
    """Return all leases by name."""
    state = read_state(operator, args.wait)
    leases = [lease for lease in state.leases.values() if lease]
    return [
        LeaseRow(
            name=lease.name,
            owner=lease.owner,
            token=lease.token,
            term_ms=lease.duration_ms,
            info=lease.info,
        )
        for lease in sorted(leases, key=lambda lease: lease.name)
    ]


def acquire_lease(operator: OperatorConfig, args: argparse.Namespace) -> AcquiredLease:
    """Acquire a free lease for one term, without renewing it."""
    term_ms = operator.leases.term_ns // _NS_PER_MS
    if args.term:
        term_ms = int(args.term * _MS_PER_S)
    result = propose_change(operator, AcquireLease(args.name, args.owner, term_ms), args.wait)
    return AcquiredLease(name=args.name, owner=args.owner, token=result.token, term_ms=term_ms)


def revoke_lease(operator: OperatorConfig, args: argparse.Namespace) -> str:
    """Revoke a lease; its holder's token is rejected from then on."""
    propose_change(operator, RevokeLease(args.name, args.who, args.why), args.wait)
    return f"{args.name} revoked"
