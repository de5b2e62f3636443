"""Elections: timeout, pre-votes, campaigns and votes (Raft, 5.2, 5.4.1; thesis, 9.6). Pure."""

from __future__ import annotations

import random

from mothstall.store.raft.messages import RecoveryStatus, RequestVote, RequestVoteResponse
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.replica_state import ReplicaState, Role

# Each consecutive lost campaign doubles the timeout; three doublings make it eight times as long.
MAX_TIMEOUT_DOUBLINGS = 3


class Election:
    """The election timeout of a replica, and the votes that it receives as a candidate.

    Attributes:
        elapsed_ticks: Ticks since the last message of a leader, or since the timeout was drawn.
        timeout_ticks: Number of elapsed ticks after which the replica campaigns.
        votes: Responses of voters in the current pre-vote or election, by name.
        lost_campaigns: Number of campaigns since the replica last had a leader or led.
    """

    def __init__(self, state: ReplicaState, outbox: Outbox, seed: int) -> None:
        self._state = state
        self._outbox = outbox
        self._rng = random.Random(seed)
        self.votes: dict[str, bool] = {}
        self.elapsed_ticks = 0
        self.timeout_ticks = 0
        self.lost_campaigns = 0
        self.draw_timeout()

    @property
    def has_timed_out(self) -> bool:
        """Whether the election timeout has passed without a message of a leader."""
        return self.elapsed_ticks >= self.timeout_ticks

    def draw_timeout(self) -> None:
        """Draw a new timeout and start it.

        Guards against disks so slow that no election ends before the next begins: each lost
        campaign doubles the timeout.
        """
        self.elapsed_ticks = 0
        factor = 1 << min(self.lost_campaigns, MAX_TIMEOUT_DOUBLINGS)
        election_ticks = self._state.timing.election_ticks
        self.timeout_ticks = factor * (election_ticks + self._rng.randrange(election_ticks))

    def leader_found(self) -> None:
        """Restart the timeout: there is a leader of this term, possibly this replica."""
        self.elapsed_ticks = 0
        self.lost_campaigns = 0

    def reset(self) -> None:
        """Discard the votes and draw a new timeout: the replica has become a follower."""
        self.votes = {}
        self.draw_timeout()

    def campaign(self, *, is_pre_vote: bool, is_leadership_transfer: bool = False) -> bool:
        """Start a pre-vote, or an election in a new term.

        Returns:
            Whether the election is won at once, as this replica is the only voter.
        """
        state = self._state
        self.votes = {state.name: True}
        state.leader = ""
        if is_pre_vote:
            state.role = Role.PRE_CANDIDATE
        else:
            state.role = Role.CANDIDATE
            state.current_term += 1
            state.voted_for = state.name
            self.lost_campaigns += 1
            self.draw_timeout()
        if self._has_quorum():
            return self._win_round()
        self._request_votes(is_pre_vote, is_leadership_transfer)
        return False

    def record_vote(self, response: RequestVoteResponse) -> bool:
        """Record a voter's response; a won pre-vote starts the election.

        Returns:
            Whether this response wins the election; False if it wins only the pre-vote.
        """
        awaited = {Role.PRE_CANDIDATE: True, Role.CANDIDATE: False}
        if awaited.get(self._state.role) != response.is_pre_vote:
            return False
        self.votes[response.sender] = response.vote_granted
        return self._has_quorum() and self._win_round()

    def ignores(self, request: RequestVote) -> bool:
        """Whether a vote request gets no response.

        Guards against a replica that has received nothing from the leader for a while and would
        depose a leader that others still receive from (thesis, 4.2.3), and against a second
        vote in one term by this replica while its earlier votes may be lost.
        """
        if self._state.recovery_status != RecoveryStatus.NORMAL:
            return True
        is_recent = self.elapsed_ticks < self._state.timing.election_ticks
        has_live_leader = bool(self._state.leader) and (self._state.is_leader or is_recent)
        return has_live_leader and not request.is_leadership_transfer

    def answer(self, request: RequestVote) -> None:
        """Respond to a request: grant the vote or pre-vote, or reject it (Raft, 5.4.1)."""
        state = self._state
        granted = self._can_grant(request)
        if granted and not request.is_pre_vote:
            state.voted_for = request.sender
            self.draw_timeout()
        self._outbox.send(
            RequestVoteResponse(
                sender=state.name,
                recipient=request.sender,
                term=request.term if granted else state.current_term,
                is_pre_vote=request.is_pre_vote,
                vote_granted=granted,
            )
        )

    def _can_grant(self, request: RequestVote) -> bool:
        state = self._state
        candidate_position = (request.last_log_term, request.last_log_index)
        is_up_to_date = candidate_position >= (state.log.last_term, state.log.last_index)
        if request.is_pre_vote:
            is_vote_free = request.term > state.current_term
        else:
            is_vote_free = state.voted_for in ("", request.sender) and not state.leader
        return request.term >= state.current_term and is_up_to_date and is_vote_free

    def _has_quorum(self) -> bool:
        configuration = self._state.configuration
        granted = sum(self.votes.get(name, False) for name in configuration.voters)
        return granted >= configuration.quorum_size

    def _win_round(self) -> bool:
        """Start the election after a won pre-vote; return whether the election itself is won."""
        if self._state.role is Role.PRE_CANDIDATE:
            return self.campaign(is_pre_vote=False)
        return True

    def _request_votes(self, is_pre_vote: bool, is_leadership_transfer: bool) -> None:
        state = self._state
        for name in state.other_voters:
            self._outbox.send(
                RequestVote(
                    sender=state.name,
                    recipient=name,
                    term=state.current_term + is_pre_vote,
                    last_log_index=state.log.last_index,
                    last_log_term=state.log.last_term,
                    is_pre_vote=is_pre_vote,
                    is_leadership_transfer=is_leadership_transfer,
                )
            )
