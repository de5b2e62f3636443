"""The state that a replica's components share: Raft's Figure 2, role, timing, options. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mothstall.store.raft.log import RaftLog
from mothstall.store.raft.messages import Configuration, HardState, RecoveryStatus

MAX_BATCH_BYTES = 256 * 1024  # of entries in one message; takes a few ms on a slow link


class Role(Enum):
    """The role of a replica in its term; the values are part of the status output."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"  # tests whether it would be elected (thesis, 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Election timeout and heartbeat interval in ticks.

    Attributes:
        election_ticks: Minimum election timeout; timeouts are drawn between this and its double.
        heartbeat_ticks: The interval of a leader's heartbeats.
    """

    election_ticks: int = 10
    heartbeat_ticks: int = 2


@dataclass(slots=True)
class RaftOptions:
    """Options of a replica; the first two are safeguards that only tests turn off.

    Attributes:
        is_pre_vote_enabled: Whether a pre-vote comes before each campaign.
        is_commit_limited_to_own_term: Whether a leader commits entries of older terms only along
            with a later entry of its own term (Raft, 5.4.2).
        max_batch_bytes: Maximum size of the entries in one message; one entry may exceed it.
    """

    is_pre_vote_enabled: bool = True
    is_commit_limited_to_own_term: bool = True
    max_batch_bytes: int = MAX_BATCH_BYTES


@dataclass(slots=True)
class ReplicaState:
    """The state of one replica as in Figure 2 of the Raft paper, with its role.

    Attributes:
        name: The replica's name in the configuration.
        timing: Election timeout and heartbeat interval.
        log: The entries after the newest snapshot.
        current_term: The newest term that the replica has seen.
        voted_for: The replica that got its vote in that term; empty if none did.
        commit_index: Index of the newest entry that is known to be committed.
        last_applied: Index of the newest entry that a `Ready` has contained, to be applied.
        recovery_status: Whether the replica is known to hold all promises made before its start.
        role: Its role in the current term.
        leader: The leader of the current term; empty while it is unknown.
    """

    name: str
    timing: Timing
    log: RaftLog
    current_term: int
    voted_for: str
    commit_index: int
    last_applied: int
    recovery_status: RecoveryStatus
    role: Role = Role.FOLLOWER
    leader: str = ""

    @property
    def configuration(self) -> Configuration:
        """The newest configuration in the log."""
        return self.log.configuration

    @property
    def hard_state(self) -> HardState:
        """The part of this state that has to be on disk."""
        is_recovering = self.recovery_status == RecoveryStatus.RECOVERING
        return HardState(self.current_term, self.voted_for, is_recovering)

    @property
    def is_leader(self) -> bool:
        """Whether the replica leads its current term."""
        return self.role is Role.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this replica leads and has committed an entry of its term.

        Its commit index is current then.
        """
        return self.is_leader and self.log.term_at(self.commit_index) == self.current_term

    @property
    def is_configuration_committed(self) -> bool:
        """Whether the newest configuration is committed."""
        return self.log.configuration_index <= self.commit_index

    @property
    def is_only_voter(self) -> bool:
        """Whether there is no voter beside this replica."""
        return not self.other_voters

    @property
    def other_voters(self) -> tuple[str, ...]:
        """All voters except this replica, in the order of the configuration."""
        return tuple(name for name in self.configuration.voters if name != self.name)

    @property
    def can_campaign(self) -> bool:
        """Whether the replica is a voter that has lost none of its promises."""
        is_normal = self.recovery_status == RecoveryStatus.NORMAL
        return is_normal and self.name in self.configuration.voters
