"""All that the consensus core can do within small bounds: every order of words, time-outs and crashes. Pure.

A state is what three replicas hold and the words on their way. From each state every step is taken: one
word arrives (or never does), one replica's time is up, the leader gets an entry, one replica crashes and
comes back with its disk. After each step: one leader a term, logs that match, nothing committed that a
leader lacks.
"""

from __future__ import annotations

import pickle
from collections import deque
from dataclasses import dataclass
from functools import lru_cache

from mothstall.lab.replicas import Breach
from mothstall.store import messages as m
from mothstall.store.messages import Entry, Hard, Members, Message, Snapshot, Standing
from mothstall.store.raft import Raft, Role, Timing

NAMES = ("k1", "k2", "k3")


@dataclass(slots=True, frozen=True)
class Bounds:
    terms: int = 2
    entries: int = 1  # that the outside world asks for, over all leaders
    crashes: int = 1
    candidates: tuple[str, ...] = NAMES  # whose time may be up
    states: int = 2_000_000  # to give up at


@dataclass(slots=True)
class Explored:
    states: int = 0
    steps: int = 0
    leaders: int = 0  # states in which a replica leads
    committed: int = 0  # states in which an entry of the outside world is committed
    whole: bool = True  # whether all states within the bounds were seen


_State = tuple[tuple[bytes, ...], frozenset[Message], int, int]


def _fresh(name: str, hard: Hard, entries: list[Entry], own_term_only: bool) -> Raft:
    made = Raft(name, Timing(10, 2), 1, hard, Snapshot(0, 0, Members(NAMES), b""), entries)
    made.standing, made.prevote, made.own_term_only = Standing.SOUND, False, own_term_only
    return made


def _settled(raft: Raft) -> list[Message]:
    """Writes what is to be written; what is then said."""
    said: list[Message] = []
    while True:
        ready = raft.ready()
        raft.written(ready)
        said += ready.messages
        if not ready.writes and not ready.messages:
            return said


def _key(raft: Raft) -> tuple[object, ...]:
    followers = tuple(sorted((n, p.match, p.next, p.streaming) for n, p in raft.progress().items()))
    votes = tuple(sorted(raft._votes.items())) if raft.role is Role.CANDIDATE else ()
    log = tuple((e.term, e.data) for e in raft.log.entries)
    return raft.term, raft.vote, raft.role.value, raft.leader, raft.commit, log, votes, followers


@lru_cache(maxsize=100_000)
def _look(packed: bytes) -> tuple[Raft, tuple[object, ...]]:
    """A replica to look at, never to step, and what tells it from others."""
    raft: Raft = pickle.loads(packed)
    return raft, _key(raft)


def _check(rafts: list[Raft]) -> None:
    leaders = [r for r in rafts if r.is_leader]
    for one in leaders:
        if any(r is not one and r.term == one.term for r in leaders):
            raise Breach(f"election safety: two leaders of term {one.term}")
    for a in rafts:
        for b in rafts:
            same = [i for i in range(1, min(a.log.last, b.log.last) + 1) if a.log.term(i) == b.log.term(i)]
            for i in range(1, max(same, default=0) + 1):
                if a.log.entries[i - 1] != b.log.entries[i - 1]:
                    raise Breach(f"log matching: {a.name} and {b.name} differ at {i} before {max(same)}")
            for i in range(1, min(a.commit, b.commit) + 1):
                if a.log.entries[i - 1] != b.log.entries[i - 1]:
                    raise Breach(f"state-machine safety: {a.name} and {b.name} committed other entries {i}")
            if b.is_leader and b.term >= a.term and b.log.last < a.commit:
                raise Breach(f"leader completeness: {b.name} lacks what {a.name} committed")


def explore(bounds: Bounds, own_term_only: bool = True) -> Explored:
    """Sees every state within the bounds. Raises Breach at the first one in which something does not hold."""
    found = Explored()
    rafts = [_fresh(name, Hard(), [], own_term_only) for name in NAMES]
    first: _State = (tuple(pickle.dumps(r) for r in rafts), frozenset(), bounds.entries, bounds.crashes)
    queue: deque[_State] = deque([first])
    met: set[object] = set()
    while queue:
        state = queue.popleft()
        for following in _following(state, bounds, own_term_only):
            found.steps += 1
            looked = [_look(data) for data in following[0]]
            key = (tuple(key for _, key in looked), *following[1:])
            if key in met:
                continue
            met.add(key)
            rafts = [raft for raft, _ in looked]
            _check(rafts)
            found.states += 1
            found.leaders += any(r.is_leader for r in rafts)
            found.committed += any(e.data and e.index <= r.commit for r in rafts for e in r.log.entries)
            if found.states >= bounds.states:
                found.whole = False
                return found
            queue.append(following)
    return found


def _following(state: _State, bounds: Bounds, own_term_only: bool) -> list[_State]:
    packed, words, entries, crashes = state
    found: list[_State] = []

    def put(at: int, raft: Raft, rest: frozenset[Message], entries: int, crashes: int) -> None:
        said = rest | frozenset(_settled(raft))
        fresh = (*packed[:at], pickle.dumps(raft), *packed[at + 1 :])
        found.append((fresh, _live(said, at, raft), entries, crashes))

    for word in words:
        at = NAMES.index(word.to)
        raft = pickle.loads(packed[at])
        raft.step(word)
        put(at, raft, words - {word}, entries, crashes)
    for at, name in enumerate(NAMES):
        raft = pickle.loads(packed[at])
        if name in bounds.candidates and not raft.is_leader and raft.term < bounds.terms:
            raft._elapsed = raft._limit
            raft.tick()
            put(at, raft, words, entries, crashes)
        raft = pickle.loads(packed[at])
        if raft.is_leader and entries:
            raft.propose(b"%d" % entries)
            put(at, raft, words, entries - 1, crashes)
        if crashes:
            hard = Hard(raft.term, raft.vote)
            put(at, _fresh(name, hard, raft.log.entries, own_term_only), words, entries, crashes - 1)
    return found


def _live(words: frozenset[Message], at: int, raft: Raft) -> frozenset[Message]:
    """Leaves out answers that nobody heeds any more: they change nothing whenever they come."""
    gone = (m.VoteAnswer, m.AppendAnswer)
    return frozenset(
        w for w in words if not (w.to == NAMES[at] and isinstance(w, gone) and w.term < raft.term)
    )
