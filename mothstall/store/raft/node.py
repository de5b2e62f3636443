"""One Raft replica: takes messages, ticks and completed writes, and returns `Ready`s. Pure.

Raft as published: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
(2014), cited as "Raft", and Ongaro's thesis "Consensus: Bridging Theory and Practice" (2014), cited
as "thesis": pre-vote (9.6), check quorum (6.2), protection of live leaders (4.2.3), membership
changes of one voter at a time (4.1, with the correction that a leader first commits an entry of its
own term), read index (6.4) and leadership transfer (3.10).

The shell, which does the I/O, calls `ready`, writes the records in it, calls `complete_write`,
sends the messages and applies the committed entries: no message is sent before the state that it
depends on is on disk. While a write is in progress the shell sends the messages that
`take_early_messages` returns.

`RaftNode` combines the components, each in a module of its own, and alone decides when the role
changes between leader and follower.
"""

from __future__ import annotations

from collections.abc import Sequence

from mothstall.store.raft.early_messages import EarlyMessages
from mothstall.store.raft.election import Election
from mothstall.store.raft.follower import Follower
from mothstall.store.raft.leader import Leader
from mothstall.store.raft.log import RaftLog
from mothstall.store.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    Entry,
    ForwardProposal,
    HardState,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    ReadIndex,
    ReadIndexResponse,
    RecoveryQuery,
    RecoveryReport,
    RecoveryStatus,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    TimeoutNow,
)
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.persistence import Persistence
from mothstall.store.raft.progress import Progress
from mothstall.store.raft.ready import Ready
from mothstall.store.raft.recovery import ObservedPromises, PromiseRecovery
from mothstall.store.raft.replica_state import RaftOptions, ReplicaState, Role, Timing


class RaftNode:
    """One replica.

    Attributes:
        options: Options of the replica.
        state: Term, vote, log, role and indexes.
        outbox: Messages that wait for the next write.
        persistence: Which part of the state is on disk, and which is being written.
        recovery: The check that no promise from before the start is lost.
        election: Election timeout and votes.
    """

    def __init__(
        self,
        name: str,
        timing: Timing,
        seed: int,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Sequence[Entry] = (),
    ) -> None:
        """Start a replica from the contents of its disk.

        Args:
            name: Its name in the configuration.
            timing: Election timeout and heartbeat interval.
            seed: Seed of the random election timeouts.
            hard_state: Term and vote.
            snapshot: The newest snapshot; at index 0 it only contains the first configuration.
            entries: The log; entries before the end of the snapshot are skipped.
        """
        self.options = RaftOptions()
        self.state = _state_from_disk(name, timing, hard_state, snapshot, entries)
        self.outbox = Outbox()
        self.persistence = Persistence(self.state, hard_state)
        self.recovery = PromiseRecovery(self.state, self.outbox)
        self.election = Election(self.state, self.outbox, seed)
        self._leader = Leader(self.state, self.outbox, self.persistence, self.options)
        self._follower = Follower(self.state, self.outbox, self.persistence, self.recovery)
        self._early_messages = EarlyMessages(
            self.state, self.outbox, self.persistence, self._leader.progress
        )

    # State

    @property
    def name(self) -> str:
        """The replica's name in the configuration."""
        return self.state.name

    @property
    def timing(self) -> Timing:
        """Election timeout and heartbeat interval."""
        return self.state.timing

    @property
    def log(self) -> RaftLog:
        """The entries after the newest snapshot."""
        return self.state.log

    @property
    def configuration(self) -> Configuration:
        """The newest configuration in the log, committed or not."""
        return self.state.configuration

    @property
    def current_term(self) -> int:
        """The newest term that the replica has seen."""
        return self.state.current_term

    @property
    def voted_for(self) -> str:
        """The replica that got its vote in the current term; empty if none did."""
        return self.state.voted_for

    @property
    def commit_index(self) -> int:
        """Index of the newest entry that is known to be committed."""
        return self.state.commit_index

    @property
    def last_applied(self) -> int:
        """Index of the newest entry that a `ready` has contained, to be applied."""
        return self.state.last_applied

    @property
    def recovery_status(self) -> RecoveryStatus:
        """Whether the replica is known to hold all promises that it made before its start."""
        return self.state.recovery_status

    @property
    def role(self) -> Role:
        """Its role in the current term."""
        return self.state.role

    @property
    def leader(self) -> str:
        """The leader of the current term; empty while it is unknown."""
        return self.state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads the current term."""
        return self.state.is_leader

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this replica leads and has committed an entry of its term.

        Its commit index is current then.
        """
        return self.state.has_committed_in_term

    @property
    def has_unwritten_state(self) -> bool:
        """Whether the next `ready` contains something to write."""
        return self.persistence.has_unwritten_state

    @property
    def has_ready(self) -> bool:
        """Whether there are entries to apply or to write, or messages to send.

        A change of term or vote alone does not count, but any message that depends on it does.
        """
        has_entries_to_apply = self.last_applied < self.commit_index
        has_messages = bool(self.outbox.messages) or self._leader.replication.is_broadcast_due
        return has_entries_to_apply or has_messages or self.persistence.has_unwritten_entries

    def progress(self) -> dict[str, Progress]:
        """Return the progress of all replicas, itself included; empty if it does not lead."""
        return self._leader.progress.replicas if self.is_leader else {}

    # Requests of the shell

    def propose(self, data: bytes) -> bool:
        """Append a command to the log; False if this replica does not lead or rejects it."""
        return self.is_leader and self._leader.propose(data)

    def forward(self, data: bytes) -> bool:
        """Propose a command, or send it to the leader; False if rejected or without a leader."""
        if self.is_leader:
            return self.propose(data)
        if self.leader:
            self.outbox.send(ForwardProposal(sender=self.name, recipient=self.leader, data=data))
        return bool(self.leader)

    def request_read(self, context: int) -> None:
        """Request a read index, which a later `ready` contains.

        The request may be lost; the caller retries.
        """
        if self.is_leader:
            self._leader.read(self.name, context)
        elif self.leader:
            self.outbox.send(ReadIndex(sender=self.name, recipient=self.leader, context=context))

    def propose_configuration(self, voters: Sequence[str], learners: Sequence[str]) -> str:
        """Propose a configuration that differs from the current one by at most one voter.

        Returns:
            The reason if it is rejected, else an empty string.
        """
        if not self.is_leader or self._leader.transfer.is_in_progress:
            return "this keeper does not lead"
        return self._leader.propose_configuration(voters, learners)

    def transfer_leadership(self, target: str) -> str:
        """Begin to transfer the leadership; return a rejection's reason, else an empty string."""
        if not self.is_leader:
            return "this keeper does not lead"
        return self._leader.transfer.begin(target)

    def compact(self, index: int, data: bytes, retained_entries: int) -> Snapshot:
        """Replace the log up to an applied entry by a snapshot.

        Args:
            index: Index of that entry.
            data: The state after it.
            retained_entries: Number of entries before it to keep for followers that lag slightly.

        Returns:
            The snapshot, which the shell writes.
        """
        configuration = self.log.configuration_at(index)
        snapshot = Snapshot(index, self.log.term_at(index), configuration, data)
        self.log.compact(snapshot, retained_entries)
        return snapshot

    # Time, writes and messages

    def tick(self) -> None:
        """Advance the time by one tick."""
        self.election.elapsed_ticks += 1
        self.persistence.tick()
        if self.is_leader:
            self._tick_as_leader()
            return
        self.recovery.tick()
        if self.election.has_timed_out:
            self.election.draw_timeout()
            self.state.leader = ""
            if self.state.can_campaign:
                self._campaign(is_pre_vote=self.options.is_pre_vote_enabled)

    def ready(self) -> Ready:
        """Return records to write, then messages to send and entries to apply after the write."""
        self._leader.replication.broadcast_if_due()
        ready = self.persistence.begin_write()
        ready.messages = self.outbox.take_all()
        ready.read_states = self._leader.reads.take_read_states()
        state = self.state
        if state.last_applied < state.commit_index:
            unapplied = state.log.entries_from(state.last_applied + 1)
            ready.committed_entries = [e for e in unapplied if e.index <= state.commit_index]
            state.last_applied = state.commit_index
        return ready

    def complete_write(self, ready: Ready) -> None:
        """Note that the contents of `ready` are on disk."""
        self.persistence.complete_write(ready)
        if self.is_leader:
            self._leader.entries_persisted()

    def take_early_messages(self) -> list[Message]:
        """Return the messages that may be sent before the due or running write is complete."""
        return self._early_messages.take()

    def step(self, message: Message) -> None:
        """Handle a message from another replica; ignore it if it is for another recipient."""
        if message.recipient != self.name:
            return
        match message:
            case RecoveryQuery():
                self.recovery.answer(message)
            case RecoveryReport():
                self.recovery.handle_report(message)
            case ForwardProposal():
                self.propose(message.data)
            case ReadIndex():
                if self.is_leader:
                    self._leader.read(message.sender, message.context)
            case ReadIndexResponse():
                self._leader.reads.confirm(message.context, message.read_index)
            case RequestVote():
                self._handle_vote_request(message)
            case _:
                self._step_in_term(message)

    def _step_in_term(
        self,
        message: RequestVoteResponse
        | AppendEntries
        | AppendEntriesResponse
        | InstallSnapshot
        | InstallSnapshotResponse
        | TimeoutNow,
    ) -> None:
        """Handle a message that is valid only in its own term."""
        if not self._accepts_term(message):
            return
        match message:
            case RequestVoteResponse():
                if self.election.record_vote(message):
                    self._become_leader()
            case AppendEntries():
                self._accept_leader(message.sender)
                self._follower.handle_append(message)
            case InstallSnapshot():
                self._accept_leader(message.sender)
                self._follower.handle_snapshot(message)
            case AppendEntriesResponse():
                self._handle_append_response(message)
            case InstallSnapshotResponse():
                self._handle_snapshot_response(message)
            case TimeoutNow():
                self._handle_timeout_now()

    # Roles and terms

    def _tick_as_leader(self) -> None:
        self._leader.transfer.tick()
        if self.election.elapsed_ticks >= self.timing.election_ticks:
            self.election.elapsed_ticks = 0
            if not self._leader.has_active_quorum():
                self._become_follower(self.current_term, leader="")
                return
        self._leader.tick()

    def _campaign(self, *, is_pre_vote: bool, is_leadership_transfer: bool = False) -> None:
        is_elected = self.election.campaign(
            is_pre_vote=is_pre_vote, is_leadership_transfer=is_leadership_transfer
        )
        if is_elected:
            self._become_leader()

    def _become_leader(self) -> None:
        self.state.role = Role.LEADER
        self.state.leader = self.name
        self.election.leader_found()
        self._leader.start_term()

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.state.current_term:
            self.state.current_term = term
            self.state.voted_for = ""
        self.state.role = Role.FOLLOWER
        self.state.leader = leader
        self._leader.step_down()
        self.election.reset()

    def _accept_leader(self, leader: str) -> None:
        """Follow the leader of the current term."""
        self.state.role = Role.FOLLOWER
        self.state.leader = leader
        self.election.leader_found()

    def _accepts_term(self, message: Message) -> bool:
        """Adopt the term of a message if it is newer; return whether to handle the message."""
        if isinstance(message, RequestVoteResponse) and message.is_pre_vote:
            return self._accepts_pre_vote_response(message)
        if _recovery_status_of_sender(message) == RecoveryStatus.NORMAL:
            self.recovery.observe(message.sender, ObservedPromises(message.term))
        is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
        if message.term > self.current_term:
            self._become_follower(message.term, message.sender if is_from_leader else "")
        elif message.term < self.current_term:
            if is_from_leader:
                # Guards against a stale leader that gets no response and never steps down.
                self._follower.reject_stale_leader(message.sender)
            return False
        return True

    def _accepts_pre_vote_response(self, response: RequestVoteResponse) -> bool:
        """Return whether a pre-vote response counts; a rejection with a newer term is adopted.

        The term of a granted pre-vote is the term of the election that would follow.
        """
        if response.term > self.current_term and not response.vote_granted:
            self._become_follower(response.term, leader="")
        return self.role is Role.PRE_CANDIDATE

    def _handle_vote_request(self, request: RequestVote) -> None:
        if not request.is_pre_vote:
            promises = ObservedPromises(request.term, request.last_log_term, request.last_log_index)
            self.recovery.observe(request.sender, promises)
        if self.election.ignores(request):
            return
        if request.term > self.current_term and not request.is_pre_vote:
            self._become_follower(request.term, leader="")
        self.election.answer(request)

    def _handle_snapshot_response(self, response: InstallSnapshotResponse) -> None:
        if self.is_leader:
            self._leader.handle_snapshot_response(response)

    def _handle_timeout_now(self) -> None:
        """Campaign at once, without a pre-vote, as the leader transfers its leadership."""
        if self.state.can_campaign:
            self._campaign(is_pre_vote=False, is_leadership_transfer=True)

    def _handle_append_response(self, response: AppendEntriesResponse) -> None:
        if not self.is_leader or not self._leader.handle_append_response(response):
            return
        if response.success and response.recovery_status == RecoveryStatus.NORMAL:
            index = response.match_index
            promises = ObservedPromises(self.current_term, self.log.term_at(index), index)
            self.recovery.observe(response.sender, promises)


def _state_from_disk(
    name: str,
    timing: Timing,
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Sequence[Entry],
) -> ReplicaState:
    log = RaftLog(snapshot)
    for entry in entries:
        if entry.index == log.last_index + 1:
            log.append(entry)
    recovery_status = RecoveryStatus.VERIFYING
    if hard_state.is_recovering:
        recovery_status = RecoveryStatus.RECOVERING
    return ReplicaState(
        name=name,
        timing=timing,
        log=log,
        current_term=hard_state.current_term,
        voted_for=hard_state.voted_for,
        commit_index=snapshot.last_included_index,
        last_applied=snapshot.last_included_index,
        recovery_status=recovery_status,
    )


def _recovery_status_of_sender(message: Message) -> RecoveryStatus:
    if isinstance(message, AppendEntriesResponse | InstallSnapshotResponse):
        return message.recovery_status
    return RecoveryStatus.NORMAL
