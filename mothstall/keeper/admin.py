"""Execution of operators' commands at one keeper, and its status."""

from __future__ import annotations

import json
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mothstall.keeper.disk_writer import DiskWriter
from mothstall.keeper.limits import KeeperLimits
from mothstall.keeper.peers import PeerConnections
from mothstall.keeper.replica import Replica
from mothstall.serving.frame_server import FrameServer
from mothstall.store.protocol.keeper_messages import AdminCommand, AdminResponse, AdminVerb


@dataclass(frozen=True, slots=True)
class StatusReporter:
    """Builds the status of a keeper; its keys are documented for operators."""

    name: str
    replica: Replica
    server: FrameServer
    peers: PeerConnections
    disk: DiskWriter
    limits: KeeperLimits

    def status(self) -> dict[str, Any]:
        """Return the keeper's status by key, ready to be encoded as JSON."""
        raft = self.replica.raft
        state = self.replica.state
        return {
            "name": self.name,
            "role": raft.role.value,
            "standing": raft.recovery_status.published_name,
            "term": raft.current_term,
            "leader": raft.leader,
            "voters": list(raft.configuration.voters),
            "learners": list(raft.configuration.learners),
            "last": raft.log.last_index,
            "commit": raft.commit_index,
            "applied": state.applied_index,
            "snapshot": raft.log.snapshot.last_included_index,
            "version": state.version,
            "sessions": len(state.sessions),
            "leases": len(state.leases),
            "drains": len(state.drains),
            "entries": len(state.values),
            "disk": self.disk.status or "fine",
            "connections": len(self.server.clients),
            "reached": self.peers.connected_names(),
            "behind": self._entries_behind(),
            "terms_left_ms": self._remaining_lease_terms_ms(),
            "counts": self.counts(),
        }

    def counts(self) -> dict[str, int]:
        """Return the counters since the start, including the bytes of open connections."""
        counts = self.server.counts_with_open_connections()
        counts["dropped"] = self.replica.admission.dropped
        counts["waiting"] = len(self.replica.admission)
        return counts

    def _entries_behind(self) -> dict[str, int]:
        raft = self.replica.raft
        return {
            name: raft.log.last_index - progress.match_index
            for name, progress in raft.progress().items()
            if name != self.name
        }

    def _remaining_lease_terms_ms(self) -> dict[str, int]:
        now_ns = time.monotonic_ns()
        remaining_ms = {}
        for name in list(self.replica.state.leases)[: self.limits.max_leases_in_status]:
            remaining_ns = self.replica.lease_expiry.remaining_ns(name, now_ns)
            if remaining_ns is not None:
                remaining_ms[name] = remaining_ns // 1_000_000
        return remaining_ms


class AdminCommandHandler:
    """Executes operators' commands; only the leader changes membership and leadership."""

    def __init__(
        self,
        reporter: StatusReporter,
        schedule_replica: Callable[[], None],
    ) -> None:
        """Execute commands on the reporter's replica, and then call `schedule_replica`."""
        self._reporter = reporter
        self._replica = reporter.replica
        self._schedule_replica = schedule_replica

    def execute(self, command: AdminCommand) -> AdminResponse:
        """Execute one command; a rejection is a response with the reason."""
        if command.verb == AdminVerb.STATUS:
            text = json.dumps(self._reporter.status()).encode()
            return AdminResponse(command.request_id, "", text)
        if command.verb == AdminVerb.BACKUP:
            return self._backup(command)
        raft = self._replica.raft
        if not raft.is_leader:
            reason = f"{raft.leader} leads" if raft.leader else "no quorum: no leader is known"
            return AdminResponse(command.request_id, reason)
        reason = self._change_configuration(command)
        self._schedule_replica()
        return AdminResponse(command.request_id, reason)

    def _backup(self, command: AdminCommand) -> AdminResponse:
        backup = zlib.compress(self._replica.state.encode_snapshot())
        if len(backup) >= self._reporter.limits.max_backup_bytes:
            return AdminResponse(command.request_id, "the state is too large for one answer")
        return AdminResponse(command.request_id, "", backup)

    def _change_configuration(self, command: AdminCommand) -> str:
        """Return why the command is rejected; an empty string if its execution has started."""
        if command.verb == AdminVerb.TRANSFER:
            return self._replica.raft.transfer_leadership(command.target)
        if command.verb == AdminVerb.ADD:
            return self._add_learner(command.target)
        if command.verb == AdminVerb.REMOVE:
            return self._remove(command.target)
        return f"no order {command.verb}"

    def _add_learner(self, name: str) -> str:
        own_name = self._reporter.name
        raft = self._replica.raft
        if name not in self._reporter.peers and name != own_name:
            return f"the operator file of {own_name} names no keeper {name}"
        if name in raft.configuration.replicas:
            return f"{name} is a keeper already"
        return raft.propose_configuration(
            raft.configuration.voters, [*raft.configuration.learners, name]
        )

    def _remove(self, name: str) -> str:
        raft = self._replica.raft
        if name not in raft.configuration.replicas:
            return f"{name} is no keeper"
        voters = [voter for voter in raft.configuration.voters if voter != name]
        learners = [learner for learner in raft.configuration.learners if learner != name]
        return raft.propose_configuration(voters, learners)
