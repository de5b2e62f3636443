"""`mothstall keepers` against running keepers: status, membership, leadership and backups."""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any, TypeAlias

from mothstall.commands.connection import ADMIN_TIMEOUT_S, KeeperReply, command_every_keeper
from mothstall.commands.parsing import SubParsers, add_command
from mothstall.fleet.errors import CommandRejectedError, KeeperUnavailableError
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.keeper_messages import AdminVerb

KeeperStatus: TypeAlias = dict[str, Any]
"""Status that a keeper reports (`Keeper.status`), or `name` and `role` without a reply."""

NOT_REACHED = "not reached"

# Parts of the texts by which a keeper rejects a command that only the leader can carry out. The
# texts are compared across processes, so they stay the same from version to version.
_OTHER_LEADER_SUFFIX = " leads"
_NO_QUORUM_PREFIX = "no quorum"

_TEXT_COLUMNS = (
    "name",
    "role",
    "standing",
    "term",
    "leader",
    "voters",
    "learners",
    "commit",
    "applied",
    "version",
    "leases",
    "drains",
    "reached",
    "behind",
    "disk",
)


def add_parsers(verbs: SubParsers) -> None:
    """Add the verbs of this module to the group `keepers`."""
    add_command(verbs, "status", "status of each keeper, as it reports it", show_status)
    add = add_command(
        verbs, "add", "add a learner, which becomes a voter once it has caught up", command_leader
    )
    add.add_argument("name")
    remove = add_command(verbs, "remove", "remove one replica", command_leader)
    remove.add_argument("name")
    transfer = add_command(verbs, "transfer", "transfer leadership to a voter", command_leader)
    transfer.add_argument("name")
    backup = add_command(verbs, "backup", "write the replicated state to a file", write_backup)
    backup.add_argument("file")


def show_status(operator: OperatorConfig, args: argparse.Namespace) -> list[KeeperStatus]:
    """Return the status of every keeper; those that did not answer come last.

    Raises:
        KeeperUnavailableError: No keeper answered.
    """
    replies = command_every_keeper(operator, AdminVerb.STATUS, "", min(args.wait, ADMIN_TIMEOUT_S))
    answered: list[KeeperStatus] = []
    missing: list[KeeperStatus] = []
    for name, reply in replies.items():
        if isinstance(reply, KeeperUnavailableError):
            missing.append({"name": name, "role": NOT_REACHED})
            continue
        status = json.loads(reply.body)
        answered.append(status if args.json else {key: status[key] for key in _TEXT_COLUMNS})
    if not answered:
        raise KeeperUnavailableError(f"none of {', '.join(replies)} answered")
    return answered + missing


def command_leader(operator: OperatorConfig, args: argparse.Namespace) -> str:
    """Send `args.verb` to every keeper; only the leader carries it out.

    Raises:
        CommandRejectedError: The leader rejected the command.
        KeeperUnavailableError: No leader answered.
    """
    timeout_s = min(args.wait, ADMIN_TIMEOUT_S)
    replies = command_every_keeper(operator, AdminVerb(args.verb), args.name, timeout_s)
    reasons = {name: _rejection(reply) for name, reply in replies.items()}
    for name, reason in reasons.items():
        if not reason:
            return f"{args.verb} {args.name}: accepted by {name}"
    for reason in reasons.values():
        if _is_leaders_rejection(reason):
            raise CommandRejectedError(reason)
    raise KeeperUnavailableError("; ".join(f"{name}: {reason}" for name, reason in reasons.items()))


def _rejection(reply: KeeperReply) -> str:
    """Return why a keeper did not carry out a command; empty if it did."""
    if isinstance(reply, KeeperUnavailableError):
        return NOT_REACHED
    return reply.rejected_reason


def _is_leaders_rejection(reason: str) -> bool:
    """Whether the leader rejected a command, rather than a keeper that does not lead."""
    if reason == NOT_REACHED or reason.startswith(_NO_QUORUM_PREFIX):
        return False
    return _OTHER_LEADER_SUFFIX not in reason


def write_backup(operator: OperatorConfig, args: argparse.Namespace) -> str:
    """Write the state of the first keeper that answers to a file, compressed.

    Raises:
        KeeperUnavailableError: No keeper sent its state.
    """
    replies = command_every_keeper(operator, AdminVerb.BACKUP, "", args.wait)
    for name, reply in replies.items():
        if isinstance(reply, KeeperUnavailableError) or reply.rejected_reason:
            continue
        Path(args.file).write_bytes(reply.body)
        return f"{args.file}: the state of {name}, {len(reply.body)} bytes"
    raise KeeperUnavailableError("no keeper sent its state")
