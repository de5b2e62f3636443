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

from mothstall.lab.replicas import Breach
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
    ordered: bool = (
        True  # links deliver in order and may lose any message; otherwise delivery in any order
    )
    states: int = 2_000_000  # the exploration stops at this number
    batch: int = MAX_BATCH_BYTES  # bytes of entries in a message; 1 sends one entry per message
    own_term_only: bool = True  # safeguard of Raft 5.4.2 that tests turn off


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
    at: int  # index of the replica in NAMES
    term: int
    role: Role
    log: tuple[tuple[int, bytes], ...]
    commit: int


_State = tuple[
    tuple[int, int, int], tuple[int, ...], int, int
]  # local states, messages in flight, entries left, crashes left


class _Space:
    """Cache of local states, messages and the steps of single replicas."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.locals: list[_Local] = []
        self.words: list[Message] = []
        self.to: list[int] = []  # by message number, the index of the recipient
        self.link: list[int] = []  # by message number, the link of sender and recipient
        self._local_ids: dict[object, int] = {}
        self._word_ids: dict[Message, int] = {}
        self._steps: dict[tuple[int, int], tuple[int, tuple[int, ...]]] = {}
        self._owns: dict[tuple[int, int], list[tuple[int, tuple[int, ...], int, int]]] = {}
        self._dead: dict[tuple[int, int], bool] = {}

    def fresh(self, name: str, hard: HardState, entries: list[Entry]) -> RaftNode:
        made = RaftNode(
            name, Timing(10, 2), 1, hard, Snapshot(0, 0, Configuration(NAMES), b""), entries
        )
        made.state.recovery_status = RecoveryStatus.NORMAL
        made.options.is_pre_vote_enabled = False
        made.options.is_commit_limited_to_own_term = self.bounds.own_term_only
        made.options.max_batch_bytes = self.bounds.batch
        return made

    def settled(self, raft: RaftNode) -> tuple[int, tuple[int, ...]]:
        """Completes all writes. Returns the numbers of the local state and of the messages sent."""
        said: list[int] = []
        while True:
            ready = raft.ready()
            raft.complete_write(ready)
            said += map(self._word, ready.messages)
            if not ready.needs_write and not ready.messages:
                return self._known(raft), tuple(said)

    def _known(self, raft: RaftNode) -> int:
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
        if (known := self._local_ids.get(key)) is None:
            known = self._local_ids[key] = len(self.locals)
            at = NAMES.index(raft.name)
            self.locals.append(
                _Local(pickle.dumps(raft), at, raft.current_term, raft.role, log, raft.commit_index)
            )
        return known

    def _word(self, word: Message) -> int:
        if (known := self._word_ids.get(word)) is None:
            known = self._word_ids[word] = len(self.words)
            self.words.append(word)
            self.to.append(NAMES.index(word.recipient))
            self.link.append(NAMES.index(word.sender) * len(NAMES) + NAMES.index(word.recipient))
        return known

    def _raft(self, local: int) -> RaftNode:
        raft: RaftNode = pickle.loads(self.locals[local].packed)
        return raft

    def heard(self, local: int, word: int) -> tuple[int, tuple[int, ...]]:
        """Delivers a message to a replica. Returns its new local state and the messages sent."""
        key = (local, word)
        if (found := self._steps.get(key)) is None:
            raft = self._raft(local)
            if isinstance(self.words[word], m.RequestVote):
                raft.election.elapsed_ticks = (
                    raft.timing.election_ticks
                )  # otherwise a replica that recently heard from a leader ignores the vote request
            raft.step(self.words[word])
            found = self._steps[key] = self.settled(raft)
        return found

    def own(
        self, local: int, entries: int, crashes: int
    ) -> list[tuple[int, tuple[int, ...], int, int]]:
        """Steps without a message: timeout, proposal, crash; with the entries and crashes left."""
        key = (local, entries * 8 + crashes)
        if (found := self._owns.get(key)) is not None:
            return found
        it, bounds = self.locals[local], self.bounds
        found = self._owns[key] = []
        raft = self._raft(local)
        if (
            raft.name in bounds.candidates
            and not raft.is_leader
            and raft.current_term < bounds.terms
        ):
            raft.election.elapsed_ticks = raft.election.timeout_ticks
            raft.tick()
            found.append((*self.settled(raft), entries, crashes))
        if it.role is Role.LEADER and entries:
            raft = self._raft(local)
            raft.propose(b"%d" % entries)
            found.append((*self.settled(raft), entries - 1, crashes))
        if crashes:
            raft = self._raft(local)
            raft = self.fresh(
                raft.name, HardState(raft.current_term, raft.voted_for), raft.log.entries
            )
            found.append((*self.settled(raft), entries, crashes - 1))
        return found

    def dead(self, local: int, word: int) -> bool:
        """Whether a message to this replica has no effect, now or later.

        True for responses of an older term, and for those of the current term if the replica is not
        (and will not again be) candidate or leader in it. A success response that changes nothing
        at a leader never will, because the leader's progress only grows.
        """
        key = (local, word)
        if (found := self._dead.get(key)) is None:
            it, said = self.locals[local], self.words[word]
            found = False
            if isinstance(said, m.RequestVoteResponse):
                found = said.term < it.term or (
                    said.term == it.term and it.role is not Role.CANDIDATE
                )
            elif isinstance(said, m.AppendEntriesResponse):
                found = said.term < it.term or (said.term == it.term and it.role is not Role.LEADER)
                if not found and said.term == it.term and said.success:
                    found = self.heard(local, word) == (local, ())
            self._dead[key] = found
        return found


def _check(locals_: list[_Local]) -> None:
    for i, a in enumerate(locals_):
        for b in locals_[i + 1 :]:
            if a.role is b.role is Role.LEADER and a.term == b.term:
                raise Breach(f"election safety: two leaders of term {a.term}")
            agree = 0
            for at, (x, y) in enumerate(zip(a.log, b.log, strict=False), start=1):
                if x[0] == y[0]:
                    agree = at
            if a.log[:agree] != b.log[:agree]:
                raise Breach(f"log matching: {NAMES[a.at]} and {NAMES[b.at]} differ before {agree}")
            both = min(a.commit, b.commit)
            if a.log[:both] != b.log[:both]:
                raise Breach(
                    f"state-machine safety: {NAMES[a.at]} and {NAMES[b.at]} committed other entries"
                )
        for b in locals_:
            if b.role is Role.LEADER and b.term >= a.term and len(b.log) < a.commit:
                raise Breach(
                    f"leader completeness: {NAMES[b.at]} lacks entries {NAMES[a.at]} committed"
                )


def explore(bounds: Bounds) -> Explored:
    """Visits every state within the bounds. Raises Breach at the first violation."""
    found, space = Explored(), _Space(bounds)
    replicas = tuple(space.settled(space.fresh(name, HardState(), []))[0] for name in NAMES)
    first: _State = (replicas, (), bounds.entries, bounds.crashes)  # type: ignore[assignment]
    stack: list[_State] = [first]
    met: set[int] = set()
    checked: set[tuple[int, int, int]] = set()
    while stack:
        for state in _following(space, stack.pop()):
            found.steps += 1
            key = xxhash.xxh3_64_intdigest(pickle.dumps(state))
            if key in met:
                continue
            met.add(key)
            three = [space.locals[i] for i in state[0]]
            if state[0] not in checked:
                checked.add(state[0])
                _check(three)
            found.states += 1
            found.leaders += any(r.role is Role.LEADER for r in three)
            found.committed += any(data for r in three for _, data in r.log[: r.commit])
            if found.states >= bounds.states:
                found.whole = False
                return found
            stack.append(state)
    return found


def _following(space: _Space, state: _State) -> Iterator[_State]:
    replicas, words, entries, crashes = state

    def put(
        at: int, local: int, rest: tuple[int, ...], said: tuple[int, ...], e: int, c: int
    ) -> _State:
        fresh = (*replicas[:at], local, *replicas[at + 1 :])
        live = [w for w in (*rest, *said) if not space.dead(fresh[space.to[w]], w)]
        if space.bounds.ordered:
            live.sort(key=space.link.__getitem__)  # stable: keeps the order within each link
        else:
            live = sorted(set(live))
        return fresh, tuple(live), e, c  # type: ignore[return-value]

    for i, word in enumerate(words):
        at = space.to[word]
        local, said = space.heard(replicas[at], word)
        lost = (
            space.link[word] if space.bounds.ordered else -1
        )  # earlier messages of that link are lost
        rest = tuple(w for w in words[:i] if space.link[w] != lost) + words[i + 1 :]
        yield put(at, local, rest, said, entries, crashes)
    for at in range(len(NAMES)):
        for local, said, e, c in space.own(replicas[at], entries, crashes):
            yield put(at, local, words, said, e, c)
