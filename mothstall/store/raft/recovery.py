"""Recovery of a replica whose disk is older than the promises that were made from it. Pure.

A vote, or the acknowledgement of an entry, is a promise that Raft relies on for ever. A disk that
was replaced, or restored from an old copy, has lost some of them. Each replica therefore records
the promises that it observes of the others. A replica that starts queries the others before it
votes or counts towards a quorum. If one has observed promises that the replica's disk lacks, the
replica recovers: it neither votes nor counts until a leader has made it a learner in a term that is
not older than the lost promises.
"""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.store.raft.messages import RecoveryQuery, RecoveryReport, RecoveryStatus
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.replica_state import ReplicaState

# Election timeouts for which a started replica waits for the responses of all other voters; after
# that a quorum suffices, so that one replica that stays down does not keep another from starting.
ALL_VOTERS_ELECTION_TIMEOUTS = 5


@dataclass(slots=True, frozen=True)
class ObservedPromises:
    """The newest promises of a replica that another replica has observed.

    Attributes:
        term: The newest term in which the replica sent a message.
        last_log_term: Term of the newest entry that the replica is known to hold.
        last_log_index: Index of that entry.
    """

    term: int = 0
    last_log_term: int = 0
    last_log_index: int = 0

    @property
    def log_position(self) -> tuple[int, int]:
        """Term and index of the newest entry, in the order by which Raft compares logs (5.4.1)."""
        return self.last_log_term, self.last_log_index

    def merged(self, other: ObservedPromises) -> ObservedPromises:
        """Return the newer of both terms and the newer of both log positions."""
        newest = max(self.log_position, other.log_position)
        return ObservedPromises(max(self.term, other.term), *newest)


class PromiseRecovery:
    """Records promises of the other replicas, and checks that this one has lost none.

    Attributes:
        observed: The promises of other replicas, by name.
    """

    def __init__(self, state: ReplicaState, outbox: Outbox) -> None:
        self._state = state
        self._outbox = outbox
        self.observed: dict[str, ObservedPromises] = {}
        self._promises_at_start = ObservedPromises(
            state.current_term, state.log.last_term, state.log.last_index
        )
        self._answered_voters: set[str] = set()
        self._ticks_since_start = 0
        self._lost_promises_term = 0  # the newest term in which promises may have been lost
        if state.recovery_status == RecoveryStatus.VERIFYING and state.is_only_voter:
            state.recovery_status = RecoveryStatus.NORMAL

    def observe(self, name: str, promises: ObservedPromises) -> None:
        """Add promises of another replica to those observed before."""
        known = self.observed.get(name, ObservedPromises())
        self.observed[name] = known.merged(promises)

    def tick(self) -> None:
        """Query the other voters until the recovery status is normal."""
        if self._state.recovery_status == RecoveryStatus.NORMAL:
            return
        self._ticks_since_start += 1
        if self._ticks_since_start % self._state.timing.heartbeat_ticks == 0:
            self._query_other_voters()
        self._finish_verification_if_answered()

    def answer(self, query: RecoveryQuery) -> None:
        """Report the promises of the sender that this replica has observed."""
        known = self.observed.get(query.sender, ObservedPromises())
        self._outbox.send(
            RecoveryReport(
                sender=self._state.name,
                recipient=query.sender,
                seen_term=known.term,
                last_log_term=known.last_log_term,
                last_log_index=known.last_log_index,
            )
        )

    def handle_report(self, report: RecoveryReport) -> None:
        """Handle another replica's report of the promises of this replica that it observed.

        Guards against a disk that is older than the promises made from it: an old copy or a new
        disk.
        """
        state = self._state
        if state.recovery_status == RecoveryStatus.NORMAL:
            return
        self._lost_promises_term = max(self._lost_promises_term, report.seen_term)
        reported_position = (report.last_log_term, report.last_log_index)
        is_term_lost = report.seen_term > self._promises_at_start.term
        if is_term_lost or reported_position > self._promises_at_start.log_position:
            state.recovery_status = RecoveryStatus.RECOVERING
        if state.recovery_status == RecoveryStatus.RECOVERING:
            return
        self._answered_voters.add(report.sender)
        self._finish_verification_if_answered()

    def finish_recovery_as_learner(self) -> None:
        """End the recovery once a committed configuration makes this replica a learner."""
        state = self._state
        if state.recovery_status != RecoveryStatus.RECOVERING:
            return
        is_learner = state.name in state.configuration.learners
        is_term_recent_enough = state.current_term >= self._lost_promises_term
        if state.is_configuration_committed and is_learner and is_term_recent_enough:
            state.recovery_status = RecoveryStatus.NORMAL

    def _query_other_voters(self) -> None:
        state = self._state
        for name in state.other_voters:
            self._outbox.send(
                RecoveryQuery(
                    sender=state.name,
                    recipient=name,
                    seen_term=state.current_term,
                    last_log_term=state.log.last_term,
                    last_log_index=state.log.last_index,
                )
            )

    def _finish_verification_if_answered(self) -> None:
        """End the verification once all other voters (after a timeout: a quorum) have responded."""
        state = self._state
        if state.recovery_status != RecoveryStatus.VERIFYING:
            return
        others = set(state.other_voters)
        timeout_ticks = ALL_VOTERS_ELECTION_TIMEOUTS * state.timing.election_ticks
        needed = len(others)
        if self._ticks_since_start >= timeout_ticks:
            needed = state.configuration.quorum_size - 1
        if len(self._answered_voters & others) >= needed:
            state.recovery_status = RecoveryStatus.NORMAL
