"""Explores all states of the consensus core within small bounds. Pure.

A state is the local states of three replicas and the messages in flight. From each state every
step is taken: one message is delivered (or lost), one election timeout expires, the leader gets an
entry, one replica crashes and restarts from its disk. Each new state is checked for one leader per
term, matching logs, and leaders that have all committed entries.

The reaction of a replica to a message depends on its local state alone, so each such step is
computed once and cached: a state is a few numbers, and the core itself runs a few thousand times
for millions of steps. Visited states are stored as 64-bit hashes (hash compaction: Stern and Dill,
1996); the result bounds the probability of a collision, which would leave a state out.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from mothstall.lab.replicas import InvariantViolation
from mothstall.store.raft import messages as m
from mothstall.store.raft.messages import (
    Configuration,
    Entry,
    HardState,
    Message,
    RecoveryStatus,
    Snapshot,
)
from mothstall.store.raft.node import RaftNode
from mothstall.store.raft.replica_state import MAX_BATCH_BYTES, Role, Timing

NAMES = ("k1", "k2", "k3")


@dataclass(slots=True, frozen=True)
class Bounds:
    terms: int = 2
    entries: int = 2  # client entries proposed, over all leaders
    crashes: int = 1
    candidates: tuple[str, ...] = NAMES  # replicas whose election timeout may expire
    keeps_link_order: bool = True  # without reordering; any message may be lost either way
    max_states: int = 2_000_000  # the exploration stops at this number
    max_batch_bytes: int = MAX_BATCH_BYTES  # 1 sends one entry per message
    commit_only_own_term: bool = True  # safeguard of Raft 5.4.2 that tests turn off


@dataclass(slots=True)
class Explored:
    states: int = 0
    steps: int = 0
    leaders: int = 0  # states in which a replica leads
    committed: int = 0  # states in which a client entry is committed
    whole: bool = True  # whether all states within the bounds were visited

    @property
    def missed_odds(self) -> float:
        """Upper bound of the probability that two states share a 64-bit hash."""
        return self.states**2 / 2.0**65


@dataclass(slots=True, frozen=True)
class _Local:
    """The local state of one replica; each step runs on a fresh copy unpickled from `packed`."""

    packed: bytes
    position: int  # index of the replica in NAMES
    term: int
    role: Role
    log: tuple[tuple[int, bytes], ...]
    commit: int


# Local states, messages in flight, entries left to propose, crashes left.
_State = tuple[tuple[int, int, int], tuple[int, ...], int, int]


class _Space:
    """Cache of local states, messages and the steps of single replicas."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.locals: list[_Local] = []
        self.messages: list[Message] = []
        self.recipients: list[int] = []  # by message number, the index of the recipient
        self.links: list[int] = []  # by message number, the link of sender and recipient
        self._local_ids: dict[object, int] = {}
        self._message_ids: dict[Message, int] = {}
        self._steps: dict[tuple[int, int], tuple[int, tuple[int, ...]]] = {}
        self._own_steps: dict[tuple[int, int], list[tuple[int, tuple[int, ...], int, int]]] = {}
        self._inert: dict[tuple[int, int], bool] = {}

    def new_replica(self, name: str, hard: HardState, entries: list[Entry]) -> RaftNode:
        raft = RaftNode(
            name, Timing(10, 2), 1, hard, Snapshot(0, 0, Configuration(NAMES), b""), entries
        )
        raft.state.recovery_status = RecoveryStatus.NORMAL
        raft.options.is_pre_vote_enabled = False
        raft.options.is_commit_limited_to_own_term = self.bounds.commit_only_own_term
        raft.options.max_batch_bytes = self.bounds.max_batch_bytes
        return raft

    def complete_writes(self, raft: RaftNode) -> tuple[int, tuple[int, ...]]:
        """Completes all writes. Returns the numbers of the local state and of the messages sent."""
        sent: list[int] = []
        while True:
            ready = raft.ready()
            raft.complete_write(ready)
            sent += map(self._intern_message, ready.messages)
            if not ready.needs_write and not ready.messages:
                return self._intern_state(raft), tuple(sent)

    def _intern_state(self, raft: RaftNode) -> int:
        raft.recovery.observed.clear()  # used only to answer recovery queries, which are off here
        log = tuple((e.term, e.data) for e in raft.log.entries)
        followers = tuple(
            sorted(
                (n, p.match_index, p.next_index, p.is_streaming, p.sent_commit_index)
                for n, p in raft.progress().items()
            )
        )
        votes = tuple(sorted(raft.election.votes.items())) if raft.role is Role.CANDIDATE else ()
        key = (
            raft.name,
            raft.current_term,
            raft.voted_for,
            raft.role.value,
            raft.leader,
            raft.commit_index,
            log,
            votes,
            followers,
        )
        if (number := self._local_ids.get(key)) is None:
            number = self._local_ids[key] = len(self.locals)
            position = NAMES.index(raft.name)
            self.locals.append(
                _Local(
                    pickle.dumps(raft),
                    position,
                    raft.current_term,
                    raft.role,
                    log,
                    raft.commit_index,
                )
            )
        return number

    def _intern_message(self, message: Message) -> int:
        if (number := self._message_ids.get(message)) is None:
            number = self._message_ids[message] = len(self.messages)
            self.messages.append(message)
            self.recipients.append(NAMES.index(message.recipient))
            self.links.append(
                NAMES.index(message.sender) * len(NAMES) + NAMES.index(message.recipient)
            )
        return number

    def _raft(self, state_id: int) -> RaftNode:
        raft: RaftNode = pickle.loads(self.locals[state_id].packed)
        return raft

    def deliver(self, state_id: int, message: int) -> tuple[int, tuple[int, ...]]:
        """Delivers a message to a replica. Returns its new local state and the messages sent."""
        key = (state_id, message)
        if (found := self._steps.get(key)) is None:
            raft = self._raft(state_id)
            if isinstance(self.messages[message], m.RequestVote):
                # A replica that recently got messages from a leader would ignore the vote request.
                raft.election.elapsed_ticks = raft.timing.election_ticks
            raft.step(self.messages[message])
            found = self._steps[key] = self.complete_writes(raft)
        return found

    def steps_without_message(
        self, state_id: int, entries: int, crashes: int
    ) -> list[tuple[int, tuple[int, ...], int, int]]:
        """Steps without a message: timeout, proposal, crash; with the entries and crashes left."""
        key = (state_id, entries * 8 + crashes)
        if (found := self._own_steps.get(key)) is not None:
            return found
        replica, bounds = self.locals[state_id], self.bounds
        found = self._own_steps[key] = []
        raft = self._raft(state_id)
        if (
            raft.name in bounds.candidates
            and not raft.is_leader
            and raft.current_term < bounds.terms
        ):
            raft.election.elapsed_ticks = raft.election.timeout_ticks
            raft.tick()
            found.append((*self.complete_writes(raft), entries, crashes))
        if replica.role is Role.LEADER and entries:
            raft = self._raft(state_id)
            raft.propose(b"%d" % entries)
            found.append((*self.complete_writes(raft), entries - 1, crashes))
        if crashes:
            raft = self._raft(state_id)
            raft = self.new_replica(
                raft.name, HardState(raft.current_term, raft.voted_for), raft.log.entries
            )
            found.append((*self.complete_writes(raft), entries, crashes - 1))
        return found

    def is_inert(self, state_id: int, message: int) -> bool:
        """Whether a message to this replica has no effect, now or later.

        True for responses of an older term, and for those of the current term if the replica is not
        (and will not again be) candidate or leader in it. A success response that changes nothing
        at a leader never will, because the leader's progress only grows.
        """
        key = (state_id, message)
        if (found := self._inert.get(key)) is None:
            replica, response = self.locals[state_id], self.messages[message]
            found = False
            if isinstance(response, m.RequestVoteResponse):
                found = response.term < replica.term or (
                    response.term == replica.term and replica.role is not Role.CANDIDATE
                )
            elif isinstance(response, m.AppendEntriesResponse):
                found = response.term < replica.term or (
                    response.term == replica.term and replica.role is not Role.LEADER
                )
                if not found and response.term == replica.term and response.success:
                    found = self.deliver(state_id, message) == (state_id, ())
            self._inert[key] = found
        return found


def _check(locals_: list[_Local]) -> None:
    for i, a in enumerate(locals_):
        for b in locals_[i + 1 :]:
            if a.role is b.role is Role.LEADER and a.term == b.term:
                raise InvariantViolation(f"election safety: two leaders of term {a.term}")
            agree = 0
            for index, (x, y) in enumerate(zip(a.log, b.log, strict=False), start=1):
                if x[0] == y[0]:
                    agree = index
            if a.log[:agree] != b.log[:agree]:
                raise InvariantViolation(
                    f"log matching: {NAMES[a.position]} and {NAMES[b.position]} differ before {agree}"
                )
            both = min(a.commit, b.commit)
            if a.log[:both] != b.log[:both]:
                raise InvariantViolation(
                    f"state-machine safety: {NAMES[a.position]} and {NAMES[b.position]} committed other entries"
                )
        for b in locals_:
            if b.role is Role.LEADER and b.term >= a.term and len(b.log) < a.commit:
                raise InvariantViolation(
                    f"leader completeness: {NAMES[b.position]} lacks entries {NAMES[a.position]} committed"
                )


def explore(bounds: Bounds) -> Explored:
    """Visits every state within the bounds. Raises InvariantViolation at the first violation."""
    found, space = Explored(), _Space(bounds)
    replicas = tuple(
        space.complete_writes(space.new_replica(name, HardState(), []))[0] for name in NAMES
    )
    initial_state: _State = (replicas, (), bounds.entries, bounds.crashes)  # type: ignore[assignment]
    stack: list[_State] = [initial_state]
    visited: set[int] = set()
    checked: set[tuple[int, int, int]] = set()
    while stack:
        for state in _successors(space, stack.pop()):
            found.steps += 1
            key = xxhash.xxh3_64_intdigest(pickle.dumps(state))
            if key in visited:
                continue
            visited.add(key)
            local_states = [space.locals[i] for i in state[0]]
            if state[0] not in checked:
                checked.add(state[0])
                _check(local_states)
            found.states += 1
            found.leaders += any(r.role is Role.LEADER for r in local_states)
            found.committed += any(data for r in local_states for _, data in r.log[: r.commit])
            if found.states >= bounds.max_states:
                found.whole = False
                return found
            stack.append(state)
    return found


def _successors(space: _Space, state: _State) -> Iterator[_State]:
    replicas, messages, entries, crashes = state

    def successor(
        position: int,
        state_id: int,
        remaining: tuple[int, ...],
        sent: tuple[int, ...],
        entries_left: int,
        crashes_left: int,
    ) -> _State:
        states = (*replicas[:position], state_id, *replicas[position + 1 :])
        live = [
            n for n in (*remaining, *sent) if not space.is_inert(states[space.recipients[n]], n)
        ]
        if space.bounds.keeps_link_order:
            live.sort(key=space.links.__getitem__)  # stable: keeps the order within each link
        else:
            live = sorted(set(live))
        return states, tuple(live), entries_left, crashes_left  # type: ignore[return-value]

    for i, message in enumerate(messages):
        position = space.recipients[message]
        state_id, sent = space.deliver(replicas[position], message)
        # On an ordered link, delivery of this message means that the earlier ones were lost.
        link = space.links[message] if space.bounds.keeps_link_order else -1
        remaining = tuple(n for n in messages[:i] if space.links[n] != link) + messages[i + 1 :]
        yield successor(position, state_id, remaining, sent, entries, crashes)
    for position in range(len(NAMES)):
        for state_id, sent, entries_left, crashes_left in space.steps_without_message(
            replicas[position], entries, crashes
        ):
            yield successor(position, state_id, messages, sent, entries_left, crashes_left)
