"""Seeded simulation of keepers, lease owners and a fenced receiver; checks invariants at each step.

Messages are dropped, duplicated, reordered, delayed and blocked in one direction; replicas crash at
any write, pause, and restart with an older copy of their disk; clocks drift; members change under
load. An `InvariantViolation` names the seed and the violated invariant; equal seeds give equal runs.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mothstall.fleet.leases.fencing import FencingTokens
from mothstall.fleet.leases.holder import LeaseHolder
from mothstall.keeper.replica import Replica
from mothstall.lab import linear
from mothstall.store.raft.messages import (
    Configuration,
    Entry,
    HardState,
    Message,
    RecoveryStatus,
    Snapshot,
)
from mothstall.store.raft.node import RaftNode
from mothstall.store.raft.ready import Ready
from mothstall.store.raft.replica_state import Role, Timing
from mothstall.store.state.changes import (
    AcquireLease,
    ChangeResult,
    OpenSession,
    Proposal,
    PutValue,
    ReleaseLease,
    RenewLeases,
)

MS = 1_000_000
TICK_NS = 20 * MS
LEASE_MS, MARGIN_MS, MAX_DRIFT = 600, 40, 0.02
LEASE_NAMES = ("lead", "shift")
KEYS = ("plan", "stage")


FAULT_KINDS = ("crash", "pause", "owner", "one way", "both ways", "alone", "old disk", "change")


class InvariantViolation(AssertionError):
    """An invariant of the simulated system is violated."""


@dataclass(slots=True, frozen=True)
class Guards:
    """Safeguards that a test turns off to show that the invariants detect their absence."""

    pre_vote: bool = True
    commit_only_own_term: bool = True
    write_before_send: bool = True  # messages are sent only after the write that they depend on
    grant_fresh_terms: bool = True
    check_token_on_apply: bool = True
    fencing: bool = True
    count_from_request: bool = True  # owners count a lease term from the time they sent the request
    send_early: bool = True  # messages that depend on no write are sent during a running write
    recovery_query: bool = True  # a started replica first asks the others for its promises


@dataclass(slots=True, frozen=True)
class Plan:
    seed: int
    replicas: int = 3
    seconds: float = 12.0
    quiet_seconds: float = 3.0  # seconds without faults at the end, for recovery
    loss: float = 0.08
    duplication: float = 0.04
    fault_interval: float = 0.35  # mean seconds between faults
    crash_probability: float = 0.004  # probability of a crash at each write
    write_ms: float = 2.0  # mean duration of a write
    fault_kinds: tuple[str, ...] = FAULT_KINDS
    guards: Guards = field(default_factory=Guards)


@dataclass(slots=True)
class Disk:
    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry]

    def copy(self) -> Disk:
        return Disk(self.hard_state, self.snapshot, list(self.entries))

    def write(self, ready: Ready, part: float = 1.0) -> None:
        """Applies one transaction; with `part` below 1 it is torn and has no effect."""
        if part < 1.0:
            return  # a torn transaction is rolled back entirely
        if ready.snapshot:
            self.snapshot, self.entries = ready.snapshot, []
        if (
            ready.compacted_snapshot
            and ready.compacted_snapshot.last_included_index > self.snapshot.last_included_index
        ):
            self.snapshot = ready.compacted_snapshot
        if ready.entries:
            first = ready.entries[0].index
            self.entries = [e for e in self.entries if e.index < first] + ready.entries
        self.entries = [e for e in self.entries if e.index > self.snapshot.last_included_index]
        if ready.hard_state:
            self.hard_state = ready.hard_state


class Node:
    """One simulated keeper: its disk, and its replica while it is running."""

    def __init__(self, world: World, name: str, members: Configuration) -> None:
        self.world, self.name = world, name
        self.disk = Disk(HardState(), Snapshot(0, 0, members, b""), [])
        self.clock_rate = 1.0 + (world.rng.random() - 0.5) * MAX_DRIFT
        self.replica: Replica | None = None
        self.paused = False
        self.incarnation = 0
        self.inbox: list[Message] = []
        self.writing = False
        self.start()

    def now(self) -> int:
        return int(self.world.now * self.clock_rate)

    def start(self) -> None:
        world, disk = self.world, self.disk
        self.incarnation += 1
        self.inbox, self.writing, self.paused = [], False, False
        self.replica = Replica(
            self.name,
            Timing(8, 2),
            world.rng.randrange(1 << 30),
            disk.hard_state,
            disk.snapshot,
            disk.entries,
            compact_every=40,
            grants_fresh_terms=world.guards.grant_fresh_terms,
            checks_token_on_apply=world.guards.check_token_on_apply,
        )
        raft = self.replica.raft
        raft.options.is_pre_vote_enabled = world.guards.pre_vote
        raft.options.is_commit_limited_to_own_term = world.guards.commit_only_own_term
        if not world.guards.recovery_query:
            raft.state.recovery_status = RecoveryStatus.NORMAL
        world.after(int(TICK_NS / self.clock_rate), self._tick, self.incarnation)

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.replica is None:
            return
        self.world.after(int(TICK_NS / self.clock_rate), self._tick, incarnation)
        if not self.paused:
            self.replica.tick(self.now())
            self.pump()

    def deliver(self, message: Message) -> None:
        if self.replica is None:
            return
        if self.paused:
            self.inbox.append(message)
            return
        self.replica.step(message, self.now())
        self.pump()

    def resume(self) -> None:
        if not self.paused:
            return
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            self.deliver(message)

    def crash(self) -> None:
        self.replica, self.incarnation, self.inbox = None, self.incarnation + 1, []
        self.world.lost_callers(self)

    def pump(self) -> None:
        """Writes, then sends and applies; the replica may crash during a write."""
        if self.replica is None:
            return
        if (self.writing or self.replica.raft.has_unwritten_state) and self.world.guards.send_early:
            self.world.send(self.replica.raft.take_early_messages())
        if self.writing:
            return
        ready = self.replica.ready()
        world = self.world
        world.check_log_matching(self, ready)
        if not ready.needs_write:
            self._after_write(ready, self.incarnation)
            return
        if not world.guards.write_before_send:
            world.send(ready.messages)
            ready.messages = []
        if world.faults_are_on() and world.rng.random() < world.plan.crash_probability:
            self.disk.write(ready, world.rng.choice((0.5, 1.0)))
            world.restart_later(self)
            return
        self.writing = True
        duration = world.rng.expovariate(1 / (world.plan.write_ms * MS))
        world.after(int(duration), self._write_done, ready, self.incarnation)

    def _write_done(self, ready: Ready, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        if self.paused:  # a paused process sees the end of its write after the pause
            self.world.after(TICK_NS, self._write_done, ready, incarnation)
            return
        self.disk.write(ready)
        self.writing = False
        self._after_write(ready, incarnation)

    def _after_write(self, ready: Ready, incarnation: int) -> None:
        assert self.replica is not None
        self.world.send(ready.messages)
        done = self.replica.handle_persisted(ready, self.now())
        self.world.check_applied(self, ready)
        for caller, result in done.results:
            self.world.deliver_result(caller, result)
        for caller in done.reads:
            self.world.complete_read(caller, self)
        if self.replica.raft.has_ready:
            self.world.after(0, self._pump_again, incarnation)

    def _pump_again(self, incarnation: int) -> None:
        if incarnation == self.incarnation and not self.paused:
            self.pump()


@dataclass(slots=True)
class Call:
    """One request of an owner to the keepers."""

    owner: Owner
    proposal: Proposal | None  # None for a read
    key: str = ""
    sent: int = 0
    operation: int = -1


class Owner:
    """A process that holds leases, writes under them and sends effects to the receiver."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.clock_rate = 1.0 + (world.rng.random() - 0.5) * MAX_DRIFT
        self.holder = LeaseHolder(
            LEASE_MS,
            MARGIN_MS,
            MAX_DRIFT,
            counts_from_response=not world.guards.count_from_request,
        )
        self.session = self.serial = 0
        self.call: Call | None = None
        self.submitted_at = 0
        self.paused = False
        self.renewed: dict[str, int] = {}
        world.after(world.rng.randrange(100 * MS), self._tick)

    def now(self) -> int:
        return int(self.world.now * self.clock_rate)

    def _tick(self) -> None:
        self.world.after(self.world.rng.randrange(10 * MS, 60 * MS), self._tick)
        if self.paused:
            return
        now, rng = self.now(), self.world.rng
        self.holder.drop_expired(now)
        self._send_effects(now)
        if self.call is not None:
            # Retries, maybe at another keeper; the serial number deduplicates the change
            if now - self.submitted_at > 500 * MS:
                self.submitted_at = now
                self.world.submit(self.call)
            return
        if not self.session:
            self._send(Proposal(0, rng.randrange(1, 1 << 60), OpenSession(self.name)))
            return
        name = rng.choice(LEASE_NAMES)
        token = self.holder.valid_token(name, now)
        self.serial += 1
        if rng.random() < 0.15:
            self.serial -= 1
            self._send(None, rng.choice(KEYS))
        elif not token:
            self._send(Proposal(self.session, self.serial, AcquireLease(name, self.name, LEASE_MS)))
        elif now - self.renewed.get(name, 0) > LEASE_MS * MS // 3:
            held = tuple((n, row.token) for n, row in self.holder.held.items())
            self.renewed.update({n: now for n, _ in held})
            self._send(Proposal(self.session, self.serial, RenewLeases(self.name, held)))
        elif rng.random() < 0.05:
            self.holder.forget(name)
            self._send(Proposal(self.session, self.serial, ReleaseLease(name, token)))
        else:
            value = self.world.next_number().to_bytes(8, "big")
            key = KEYS[LEASE_NAMES.index(name)]
            self._send(Proposal(self.session, self.serial, PutValue(name, token, key, value)), key)

    def _send_effects(self, now: int) -> None:
        """Sends an effect under each valid lease; it may arrive at any later time."""
        for name in LEASE_NAMES:
            if token := self.holder.valid_token(name, now):
                self.world.send_effect(self.name, name, token)

    def _send(self, proposal: Proposal | None, key: str = "") -> None:
        self.call = Call(self, proposal, key, self.now())
        self.submitted_at = self.now()
        self.world.record_call(self.call)
        self.world.submit(self.call)

    def handle_result(self, call: Call, result: ChangeResult) -> None:
        if self.call is not call or call.proposal is None:
            return
        self.call = None
        change = call.proposal.change
        if result.is_session_unknown:
            self.session = self.serial = 0
        elif result.rejected_reason:
            if isinstance(change, PutValue) and result.is_token_stale:
                self.holder.forget(change.lease)
        elif isinstance(change, OpenSession):
            self.session, self.serial = result.token, 0
        elif isinstance(change, AcquireLease):
            self.world.check_token(change.name, result.token)
            self.holder.record_grant(change.name, result.token, call.sent, self.now())
        elif isinstance(change, RenewLeases):
            kept = [row for row in change.leases if row[0] not in result.lost_leases]
            self.holder.record_renewal(kept, call.sent, self.now())
            for name in result.lost_leases:
                self.holder.forget(name)


class World:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.guards = plan, plan.guards
        self.rng = random.Random(plan.seed)
        self.now = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = self._number = 0
        self.steps = 0
        self.end = int(plan.seconds * 1e9)
        names = [f"k{i + 1}" for i in range(plan.replicas)]
        members = Configuration(tuple(names))
        self.cuts: set[tuple[str, str]] = set()
        self.isolated: set[str] = set()  # replicas isolated at some time since the last election
        self.leaders: dict[int, str] = {}
        self.predecessors: dict[tuple[int, int], tuple[int, bytes]] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.tokens: dict[str, int] = {}
        self.fencing = FencingTokens(is_enforced=plan.guards.fencing)
        self.accepted: dict[str, int] = {}
        self.effects = self.refused = self.elections = self.acknowledged = 0
        self.undecided = 0  # histories whose linearizability check hit its search limit
        self.checked_index = 0  # highest applied index whose state was checked
        self.written_tokens: dict[str, int] = {}
        self.pending_calls: dict[int, Call] = {}
        self.history: dict[str, list[list[int]]] = {key: [] for key in KEYS}
        self.disk_copies: dict[str, Disk] = {}
        self.restored, self.restored_run = "", 0
        self.nodes = {name: Node(self, name, members) for name in names}
        self.owners = [Owner(self, f"p{i + 1}") for i in range(3)]
        self.after(int(self.rng.expovariate(1.0 / plan.fault_interval) * 1e9), self._inject_fault)

    def after(self, delay: int, action: Callable[..., None], *args: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + max(0, delay), self._event_count, action, args))

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def faults_are_on(self) -> bool:
        return self.now < self.end - int(self.plan.quiet_seconds * 1e9) and not self._is_verifying()

    def _is_verifying(self) -> bool:
        """Whether a replica with a restored disk is verifying, for which all others must answer."""
        node = self.nodes.get(self.restored)
        if node is None or node.incarnation not in (self.restored_run - 1, self.restored_run):
            return False
        return node.replica is None or node.replica.raft.recovery_status == RecoveryStatus.VERIFYING

    def run(self) -> World:
        """Runs to the end. Raises InvariantViolation, also for the final state."""
        while self._events and self._events[0][0] <= self.end:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
            self.steps += 1
            self._check_invariants()
        self._check_final_state()
        return self

    def fail(self, message: str) -> None:
        raise InvariantViolation(f"seed {self.plan.seed} at {self.now / 1e9:.3f} s: {message}")

    # Faults

    def _inject_fault(self) -> None:
        if self._is_verifying():
            self.after(100 * MS, self._inject_fault)
            return
        if not self.faults_are_on():
            self.cuts.clear()
            for node in self.nodes.values():
                node.resume()
                if node.replica is None:
                    node.start()
            for owner in self.owners:
                owner.paused = False
            return
        rng = self.rng
        self.after(int(rng.expovariate(1.0 / self.plan.fault_interval) * 1e9), self._inject_fault)
        node = rng.choice(list(self.nodes.values()))
        kind = rng.choice(self.plan.fault_kinds)
        duration = int(rng.uniform(0.05, 1.5) * 1e9)
        if kind == "crash":
            self.restart_later(node)
        elif kind == "pause":
            node.paused = node.replica is not None
            self.after(duration, self._resume, node, node.incarnation)
        elif kind == "owner":
            owner = rng.choice(self.owners)
            owner.paused = True
            self.after(duration, setattr, owner, "paused", False)
        elif kind in ("one way", "both ways"):
            other = rng.choice([n for n in self.nodes if n != node.name])
            links = {(node.name, other)} | ({(other, node.name)} if kind == "both ways" else set())
            self._cut(links, duration)
        elif kind == "alone":
            others = [n for n in self.nodes if n != node.name]
            self._cut({(a, node.name) for a in others} | {(node.name, a) for a in others}, duration)
        elif kind == "old disk":
            self._restore_disk(node)
        else:
            self._change_members()

    def _resume(self, node: Node, incarnation: int) -> None:
        if node.incarnation == incarnation:
            node.resume()

    def _cut(self, links: set[tuple[str, str]], duration: int) -> None:
        # Two overlapping isolations may leave no leader a quorum
        others = {name for name, _ in self.cuts}
        self.isolated |= others or {
            name for name, _ in links if sum(name in way for way in links) > 2
        }
        self.cuts |= links
        self.after(duration, self.cuts.difference_update, links)

    def restart_later(self, node: Node) -> None:
        if node.replica is None:
            return
        node.crash()
        self.after(int(self.rng.uniform(0.02, 1.0) * 1e9), self._start, node)

    def _start(self, node: Node) -> None:
        if node.replica is None:
            node.start()

    def _restore_disk(self, node: Node) -> None:
        """Copies a replica's disk, or restarts the replica with the copy taken by an earlier call.

        One replica at a time, while all others run: promises lost by two cannot be recovered.
        """
        if copy := self.disk_copies.pop(node.name, None):
            others = [n for n in self.nodes.values() if n is not node]
            others_ready = all(n.replica and n.replica.raft.recovery_status == 0 for n in others)
            if (
                others_ready
                and node.replica
                and node.replica.raft.recovery_status == 0
                and self._copy_is_safe(node)
            ):
                self.restored, self.restored_run = node.name, node.incarnation + 2
                node.crash()
                node.disk = copy
                self.cuts.clear()
                self.after(50 * MS, self._start, node)
        else:
            self.disk_copies[node.name] = node.disk.copy()

    def _copy_is_safe(self, node: Node) -> bool:
        """Whether all replicas are voters, and the others, never restarted, know its promises."""
        others = [n for n in self.nodes.values() if n is not node]
        all_vote = all(
            n.replica
            and n.replica.raft.configuration.voters == tuple(self.nodes)
            and not n.replica.raft.configuration.learners
            for n in self.nodes.values()
        )
        return all_vote and all(n.incarnation == 1 and not n.paused for n in others)

    def _change_members(self) -> None:
        if any(n.replica is None or n.replica.raft.recovery_status for n in self.nodes.values()):
            return
        for node in self.nodes.values():
            if node.replica and not node.paused and node.replica.raft.is_leader:
                members = node.replica.raft.configuration
                others = [n for n in members.voters if n != node.name]
                if self.rng.random() < 0.5 and others:
                    node.replica.raft.transfer_leadership(self.rng.choice(others))
                elif len(members.voters) > 2:
                    removed = self.rng.choice(others)
                    voters = [n for n in members.voters if n != removed]
                    node.replica.raft.propose_configuration(voters, [*members.learners, removed])
                node.pump()

    # The network

    def send(self, messages: list[Message]) -> None:
        rng, plan = self.rng, self.plan
        for message in messages:
            for _ in range(2 if rng.random() < plan.duplication and self.faults_are_on() else 1):
                if self.faults_are_on() and rng.random() < plan.loss:
                    continue
                delay = rng.uniform(0.2, 4.0) * MS
                if self.faults_are_on() and rng.random() < 0.03:
                    delay *= 60
                self.after(int(delay), self._reach_node, message)

    def _reach_node(self, message: Message) -> None:
        if (message.sender, message.recipient) not in self.cuts:
            self.nodes[message.recipient].deliver(message)

    # Owners' requests and effects

    def record_call(self, call: Call) -> None:
        if call.key:
            self.history[call.key].append([self.now, linear.NEVER_ENDED, 0, 0])
            call.operation = len(self.history[call.key]) - 1
            if call.proposal is not None and isinstance(call.proposal.change, PutValue):
                value = call.proposal.change.value or b""
                self.history[call.key][call.operation][2:] = [1, int.from_bytes(value, "big")]

    def submit(self, call: Call) -> None:
        node = self.rng.choice(list(self.nodes.values()))
        self.after(int(self.rng.uniform(0.2, 3) * MS), self._reach_keeper, call, node)

    def _reach_keeper(self, call: Call, node: Node) -> None:
        if node.replica is None or node.paused:
            return
        number = self.next_number()
        self.pending_calls[number] = call
        if call.proposal is None:
            node.replica.read(number)
        elif (err := node.replica.propose(number, call.proposal, node.now())) and "token" in err:
            self.deliver_result(number, ChangeResult(rejected_reason=err))
        node.pump()

    def lost_callers(self, node: Node) -> None:
        """Does nothing: callers of a crashed keeper retry at another one after a timeout."""

    def deliver_result(self, number: int, result: ChangeResult) -> None:
        self.after(
            int(self.rng.uniform(0.2, 60) * MS),
            self._reach_owner,
            self.pending_calls.pop(number),
            result,
        )

    def _reach_owner(self, call: Call, result: ChangeResult) -> None:
        if call.owner.paused:
            self.after(50 * MS, self._reach_owner, call, result)
            return
        change = call.proposal.change if call.proposal else None
        if isinstance(change, PutValue) and call.operation >= 0:
            row = self.history[call.key][call.operation]
            if not result.rejected_reason:
                row[1] = min(row[1], self.now)
                self.acknowledged += 1
            elif call.owner.call is call:
                row[2:] = [2, 0]  # rejected when applied, so the write never took effect
        call.owner.handle_result(call, result)

    def complete_read(self, number: int, node: Node) -> None:
        call = self.pending_calls.pop(number)
        assert node.replica is not None
        row = node.replica.state.values.get(call.key)
        value = int.from_bytes(row.value, "big") if row else 0
        if call.owner.call is call:
            call.owner.call = None
            self.history[call.key][call.operation][1:] = [self.now, 0, value]

    def send_effect(self, owner: str, name: str, token: int) -> None:
        delay = (
            self.rng.uniform(0.2, 5)
            * MS
            * (200 if self.rng.random() < 0.1 and self.faults_are_on() else 1)
        )
        self.after(int(delay), self._reach_receiver, owner, name, token)

    def _reach_receiver(self, owner: str, name: str, token: int) -> None:
        if self.fencing.admit(name, token):
            self.refused += 1
            return
        self.effects += 1
        if token < self.accepted.get(name, 0):
            self.fail(f"{name}: effect of {owner} with token {token} after {self.accepted[name]}")
        self.accepted[name] = token

    def check_token(self, name: str, token: int) -> None:
        held = self.tokens.setdefault(f"{name}/{token}", token)
        if held != token:
            self.fail(f"{name}: token {token} was granted twice")

    # Invariants

    def check_log_matching(self, node: Node, ready: Ready) -> None:
        """Log matching: index and term identify one entry and its predecessor (Raft, 5.3)."""
        assert node.replica is not None
        log = node.replica.raft.log
        for entry in ready.entries:
            row = (log.term_at(entry.index - 1), entry.data)
            if self.predecessors.setdefault((entry.index, entry.term), row) != row:
                self.fail(
                    f"log matching: {node.name} holds another entry {entry.index} of term {entry.term}"
                )

    def check_applied(self, node: Node, ready: Ready) -> None:
        """State-machine safety: all replicas apply the same entry at each index (Raft, 5.4.3)."""
        for entry in ready.committed_entries:
            row = (entry.term, entry.data)
            if self.committed.setdefault(entry.index, row) != row:
                self.fail(f"state-machine safety: {node.name} applied another entry {entry.index}")
        assert node.replica is not None
        state = node.replica.state
        if state.applied_index > self.checked_index:
            self.checked_index = state.applied_index
            for key, held in state.values.items():
                if held.token < self.written_tokens.get(key, 0):
                    self.fail(
                        f"{key}: a write with token {held.token} applied after {self.written_tokens[key]}"
                    )
                self.written_tokens[key] = held.token

    def _check_invariants(self) -> None:
        for node in self.nodes.values():
            raft = node.replica.raft if node.replica else None
            if (
                raft is not None
                and raft.role is Role.LEADER
                and self.leaders.get(raft.current_term) != node.name
            ):
                if set(self.plan.fault_kinds) <= {"alone"} and self.plan.loss == 0 and self.leaders:
                    self._check_deposed(raft)
                if raft.current_term in self.leaders:
                    self.fail(
                        f"election safety: {self.leaders[raft.current_term]} and {node.name} in {raft.current_term}"
                    )
                self.leaders[raft.current_term] = node.name
                self.isolated = {a for a, _ in self.cuts}
                self.elections += 1
                self._check_completeness(raft)
        for name in LEASE_NAMES:
            acting = [
                o.name for o in self.owners if not o.paused and o.holder.valid_token(name, o.now())
            ]
            if len(acting) > 1:
                self.fail(f"{name}: {' and '.join(acting)} both act within their terms")

    def _check_deposed(self, raft: RaftNode) -> None:
        """With isolated replicas as the only fault, no leader with a quorum may be deposed."""
        old = self.leaders[max(self.leaders)]
        if old not in self.isolated:
            self.fail(f"{raft.name} unseated {old}, which a quorum could reach")

    def _check_completeness(self, raft: RaftNode) -> None:
        """Leader completeness: a leader has all entries of earlier commits (Raft, 5.4.3)."""
        for index, (term, _) in self.committed.items():
            if (
                index > raft.log.base_index
                and term < raft.current_term
                and raft.log.term_at(index) != term
            ):
                self.fail(
                    f"leader completeness: {raft.name} leads {raft.current_term} without entry {index}"
                )

    def _check_final_state(self) -> None:
        """Checks unique tokens, a leader, an acknowledged write and linearizable histories."""
        tokens = [int(key.rpartition("/")[2]) for key in self.tokens]
        if len(set(tokens)) < len(tokens):
            self.fail("one token was granted for two leases")
        rafts = [n.replica.raft for n in self.nodes.values() if n.replica]
        if not any(raft.has_committed_in_term for raft in rafts):
            self.fail("no leader with a commit in its term after the faults ended")
        if not self.acknowledged:
            self.fail("no write was acknowledged")
        for key, rows in self.history.items():
            ops = [linear.Operation(b, e, bool(w), v) for b, e, w, v in rows if w != 2]
            is_linearizable = linear.is_linearizable(ops)
            self.undecided += is_linearizable is None
            if is_linearizable is False:
                self.fail(f"the history of {key} is not linearizable")


def run(plan: Plan) -> World:
    """Runs one simulation to its end. Raises InvariantViolation."""
    return World(plan).run()
