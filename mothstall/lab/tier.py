"""Seeded simulation of observers and their proxies; invariants are checked after each step.

The keepers are modelled as one ordered log and two lagging copies of the state; `replicas` has the
consensus itself. Messages are lost, duplicated, delayed and reordered; observers and proxies crash,
pause and are partitioned; proxies stop reading; the leader of the log changes. An `InvariantViolation`
names the seed and the violated invariant; equal seeds give equal runs.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.leases.expiry import LeaseExpiryTracker
from mothstall.fleet.leases.holder import LeaseHolder
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX, OBSERVER_LEASE_PREFIX
from mothstall.fleet.observers.attachment_table import AttachmentTable
from mothstall.fleet.observers.attachment_timings import AttachmentTimings
from mothstall.fleet.observers.observer_selector import ObserverSelector
from mothstall.fleet.observers.orphan_sweeper import OrphanSweeper
from mothstall.fleet.observers.subscription import Subscription
from mothstall.fleet.observers.subscription_fanout import SubscriptionFanout
from mothstall.lab.replicas import InvariantViolation as InvariantViolation
from mothstall.store.state import membership
from mothstall.store.state.changes import (
    AcquireLease,
    Change,
    ChangeResult,
    ExpireLeases,
    MemberLeave,
    OpenSession,
    Proposal,
    PutDrain,
    RemoveDrain,
    RenewLeases,
    UpdateMembers,
)
from mothstall.store.state.machine import StateMachine
from mothstall.store.state.rows import Drain, DrainKind, Member, StateDelta

MS = 1_000_000
LEASE_MS, MARGIN_MS, MAX_DRIFT = 600, 40, 0.02
TIMINGS = AttachmentTimings.from_lease_term(LEASE_MS * MS)
ORPHAN_GRACE_NS = 3_000 * MS
TICK_NS = 50 * MS
RECOVERY_NS = 8_000 * MS  # from the last fault until each running proxy is a member again
MAX_IN_FLIGHT = 2  # frames in flight to one subscriber
KEEPER_FAULTS = ("observer cut", "lag", "leader", "region")  # no fault at proxies or on their links
FAULT_KINDS = (
    "observer",
    "observer stalls",
    "observer cut",
    "proxy",
    "proxy stalls",
    "proxy cut",
    "slow reader",
    "lag",
    "leader",
    "region",
)


@dataclass(slots=True, frozen=True)
class Guards:
    """Safeguards that a test turns off to show that the invariants detect their absence."""

    check_epoch_on_apply: bool = True  # an older epoch cannot replace a newer row
    check_token_on_apply: bool = True
    fenced: bool = True  # attachments count only under the observer's current lease token
    newer_only: bool = True
    bounded: bool = True
    orphan_grace: bool = True  # orphans get time to attach elsewhere before removal


@dataclass(slots=True, frozen=True)
class Plan:
    seed: int
    observers: int = 4
    proxies: int = 8
    seconds: float = 24.0
    quiet_seconds: float = 9.0  # seconds without faults at the end of the run
    loss: float = 0.04
    duplication: float = 0.04
    delayed: float = 0.04  # fraction of messages with a 300 times longer delay
    fault_interval: float = 0.4
    crash_probability: float = 0.003  # probability that an observer crashes at one of its ticks
    fault_kinds: tuple[str, ...] = FAULT_KINDS
    guards: Guards = field(default_factory=Guards)

    @property
    def proxies_are_faultless(self) -> bool:
        """Whether the plan has no fault of proxies or of their links to observers."""
        link_faults = self.loss or self.duplication or self.delayed or self.crash_probability
        return not link_faults and set(self.fault_kinds) <= set(KEEPER_FAULTS)


@dataclass(slots=True)
class Call:
    """A proposal of one observer, resubmitted until it is answered or times out."""

    observer: Observer
    incarnation: int
    proposal: Proposal
    sent: int
    resubmitted_at: int


class Observer:
    """The pure components of one observer process, driven the way the real process drives them."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.lease = OBSERVER_LEASE_PREFIX + name
        self.clock_rate = 1.0 + (world.rng.random() - 0.5) * MAX_DRIFT
        self.incarnation = 0
        self.up = self.paused = False
        self.inbox: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.start()

    def now(self) -> int:
        return int(self.world.now * self.clock_rate)

    def start(self) -> None:
        guards = self.world.guards
        self.incarnation += 1
        self.up, self.paused, self.inbox = True, False, []
        self.owner = f"{self.name}#{self.incarnation}"
        self.holder = LeaseHolder(LEASE_MS, MARGIN_MS, MAX_DRIFT)
        self.table = AttachmentTable(self.lease, TIMINGS, batch_size=3, fenced=guards.fenced)
        self.sweeper = OrphanSweeper(self.name, ORPHAN_GRACE_NS if guards.orphan_grace else 0)
        self.fanout = SubscriptionFanout(
            newer_only=guards.newer_only,
            bounded=guards.bounded,
            max_changes=24,
            heartbeat_ns=TIMINGS.observer_heartbeat_ns,
        )
        self.call: Call | None = None
        self.batch: UpdateMembers | None = None
        self.session = self.serial = 0
        self.renewed_at = 0
        self.last_update = 0  # time of the last update from a keeper
        self.keeper = self.world.rng.randrange(len(self.world.copies))
        self.in_flight: dict[str, int] = {}
        self.world.after(self.world.rng.randrange(TICK_NS), self._tick, self.incarnation)

    def is_authoritative_for(self, name: str) -> bool:
        """Whether this observer has a valid lease under which the proxy is a member."""
        token = self.holder.valid_token(self.lease, self.now())
        return self.table.is_authoritative_for(name, token)

    def crash(self) -> None:
        self.up, self.incarnation, self.inbox = False, self.incarnation + 1, []

    def deliver(self, action: Callable[..., None], *args: Any) -> None:
        """Delivers an input to this process, after the pause if it is paused."""
        if not self.up:
            return
        if self.paused:
            if len(self.inbox) < 10_000:
                self.inbox.append((action, args))
            return
        action(*args)

    def resume(self) -> None:
        if not self.paused:
            return
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for action, args in inbox:
            self.deliver(action, *args)

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        world = self.world
        world.after(int(TICK_NS / self.clock_rate), self._tick, incarnation)
        if self.paused:
            return
        if world.faults_are_on() and world.rng.random() < world.plan.crash_probability:
            world.restart_later(self)
            return
        now = self.now()
        self.holder.drop_expired(now)
        self.table.set_lease_token(self.holder.valid_token(self.lease, now))
        self.table.tick(now)
        if self.table.lease_token:
            for leave in self.sweeper.due_leaves(self.fanout.members, now):
                self.table.request_leave(leave)
        if self.call is not None:
            self._check_call(now)
        else:
            self._propose_next(now)
        world.send_delta(self)
        self._send_updates(now)

    def _check_call(self, now: int) -> None:
        assert self.call is not None
        if now - self.call.sent > 1500 * MS:
            # The outcome is unknown, so its serial must not be reused: a new session is opened.
            if self.batch is not None:
                self.table.complete_batch(self.batch, None, now)
            self.call, self.batch, self.session = None, None, 0
        elif now - self.call.resubmitted_at > 300 * MS:
            self.call.resubmitted_at = now
            self.keeper = self.world.rng.randrange(len(self.world.copies))
            self.world.submit(self.call)

    def _propose_next(self, now: int) -> None:
        token = self.holder.valid_token(self.lease, now)
        if not self.session:
            self._propose(OpenSession(self.owner), now)
        elif not token:
            held = self.fanout.leases.get(self.lease)
            if held is None or held.owner == self.owner:
                self._propose(AcquireLease(self.lease, self.owner, LEASE_MS), now)
        elif now - self.renewed_at > LEASE_MS * MS // 3:
            self.renewed_at = now
            self._propose(RenewLeases(self.owner, ((self.lease, token),)), now)
        elif batch := self.table.next_batch():
            self.batch = batch
            for join in batch.joins:
                if not self.table.attachments[join.name].is_connected:
                    self.world.fail(f"{self.name} joins {join.name}, whose connection is closed")
            self._propose(batch, now)

    def _propose(self, change: Change, now: int) -> None:
        if isinstance(change, OpenSession):
            proposal = Proposal(0, self.world.next_number(), change)
        else:
            self.serial += 1
            proposal = Proposal(self.session, self.serial, change)
        self.call = Call(self, self.incarnation, proposal, now, now)
        self.world.submit(self.call)

    def handle_result(self, call: Call, result: ChangeResult) -> None:
        if self.call is not call:
            return
        now, change = self.now(), call.proposal.change
        self.call = None
        batch, self.batch = self.batch, None
        if isinstance(change, OpenSession):
            self.session, self.serial = result.token, 0
            return
        if result.is_session_unknown:
            self.session = 0
        if isinstance(change, AcquireLease) and not result.rejected_reason:
            self.holder.record_grant(self.lease, result.token, call.sent, now)
            self.renewed_at = call.sent
            self.table.set_lease_token(self.holder.valid_token(self.lease, now))
            for attachment in self.table.apply_snapshot(self.fanout.members):
                self.in_flight.pop(attachment.name, None)
        elif isinstance(change, RenewLeases) and not result.rejected_reason:
            if result.lost_leases:
                self.holder.forget(self.lease)
            else:
                token = self.holder.valid_token(self.lease, now)
                self.holder.record_renewal([(self.lease, token)], call.sent, now)
        elif isinstance(change, UpdateMembers):
            if result.is_token_stale:
                self.holder.forget(self.lease)
                self.table.set_lease_token(0)
            done = None if result.rejected_reason else result.lost_leases
            for attachment in self.table.complete_batch(batch or change, done, now):
                self.world.send_to_proxy(
                    self, attachment.name, "seated", attachment.owner, attachment.epoch
                )

    # State updates and their fan-out

    def apply_delta(self, delta: StateDelta) -> None:
        now = self.now()
        changes = self.fanout.apply(delta)
        if changes is None:
            self.world.send_delta(self, full=True)
            return
        self.last_update = now
        self.sweeper.apply_changes(changes.leases, changes.members, now)
        for attachment in self.table.apply_changes(changes.members):
            self.fanout.unsubscribe(attachment.name)
            self.in_flight.pop(attachment.name, None)

    def _send_updates(self, now: int) -> None:
        age = now - self.last_update if self.last_update else 1 << 50
        updates = self.fanout.due_updates(
            now, 64, msgspec.msgpack.encode, lambda name: self.in_flight.get(name, 0)
        )
        for name, data in updates:
            self.in_flight[name] = self.in_flight.get(name, 0) + 1
            self.world.send_to_proxy(self, name, "fed", data, age)

    # Messages of proxies

    def receive(self, proxy: Proxy, kind: str, *args: Any) -> None:
        now, name = self.now(), proxy.name
        if kind == "attach":
            owner, epoch, subscription, version = args
            if self.table.attach(name, owner, epoch, subscription.zone, now):
                return
            self.in_flight[name] = 0
            self.fanout.subscribe(name, subscription, version)
        elif kind == "beat":
            owner, epoch, version = args
            if not self.table.record_heartbeat(name, owner, epoch, now):
                self.world.send_to_proxy(self, name, "unknown", owner, epoch)
        elif kind == "again":
            owner, epoch, version = args
            reader = self.fanout.subscribers.get(name)
            if reader is not None and self.table.record_heartbeat(name, owner, epoch, now):
                self.fanout.subscribe(name, reader.subscription, version)
        elif kind == "end":
            owner, epoch = args
            self.table.detach(name, owner, epoch)
            self.fanout.unsubscribe(name)

    def frame_read(self, name: str) -> None:
        """Records that a proxy has read a frame, or that its connection dropped it."""
        if name in self.in_flight:
            self.in_flight[name] = max(0, self.in_flight[name] - 1)


class Proxy:
    """A proxy's agent: attaches to an observer, sends heartbeats and applies state updates."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.clock_rate = 1.0 + (world.rng.random() - 0.5) * MAX_DRIFT
        self.incarnation = 0
        self.up = self.paused = self.reads_nothing = False
        self.inbox: list[tuple[Any, ...]] = []
        self.start()

    def now(self) -> int:
        return int(self.world.now * self.clock_rate)

    def start(self) -> None:
        self.incarnation += 1
        self.up, self.paused, self.reads_nothing, self.inbox = True, False, False, []
        self.owner = f"{self.name}#{self.incarnation}"
        self.view = ClusterSnapshot()
        self.subscription = Subscription(self.zone)
        self.selector = ObserverSelector(
            random.Random(self.world.rng.random()),
            observer_timeout_ns=TIMINGS.observer_timeout_ns,
            max_staleness_ns=500 * MS,
            home_return_delay_ns=4_000 * MS,
            max_backoff_ns=1_000 * MS,
            reconnect_jitter_ns=TIMINGS.reconnect_jitter_ns,
        )
        observers = list(self.world.observers.values())
        home = [o.name for o in observers if o.zone == self.zone]
        self.selector.add_endpoints(home, [o.name for o in observers if o.zone != self.zone])
        self.observer = ""
        self.epoch = self.retry_at = self.attached_epoch = 0
        self.age = 0
        self.world.after(self.world.rng.randrange(100 * MS), self._tick, self.incarnation)

    def crash(self) -> None:
        self.up, self.incarnation, self.inbox = False, self.incarnation + 1, []

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.world.after(self.world.rng.randrange(60 * MS, 140 * MS), self._tick, incarnation)
        if self.paused:
            return
        now = self.now()
        if not self.observer:
            if now >= self.retry_at:
                name, delay = self.selector.choose_next(now)
                if delay:
                    self.retry_at = now + delay
                    return
                self.observer, self.epoch = name, self.selector.connected(now)
                self.world.targets[(self.owner, self.epoch)] = name
                self._send("attach", self.owner, self.epoch, self.subscription, self.view.version)
            return
        if reason := self.selector.reason_to_leave(self.age, now):
            self._leave(reason, now)
            return
        self._send("beat", self.owner, self.epoch, self.view.version)

    def _leave(self, reason: str, now: int) -> None:
        self.world.close_connection(self)
        self.selector.disconnected(reason, now)
        self.observer, self.attached_epoch, self.age = "", 0, 0

    def _send(self, kind: str, *args: Any) -> None:
        self.world.send_to_observer(self, kind, *args)

    def deliver(self, sender: str, epoch: int, kind: str, args: tuple[Any, ...]) -> None:
        if not self.up:
            return
        if self.paused or self.reads_nothing:
            self.inbox.append((sender, epoch, kind, args))
            if len(self.inbox) > 40:
                self.world.fail(f"{self.name} reads nothing, {len(self.inbox)} frames are queued")
            return
        self._process(sender, epoch, kind, args)

    def _process(self, sender: str, epoch: int, kind: str, args: tuple[Any, ...]) -> None:
        if sender != self.observer or epoch != self.epoch:
            return  # sent on an earlier connection
        now = self.now()
        if kind == "fed":
            data, age = args
            self.age = age
            self.selector.record_update(age, now)
            self._apply_delta(msgspec.msgpack.decode(data, type=StateDelta))
            self.world.observers[sender].frame_read(self.name)
        elif kind == "unknown" and args == (self.owner, self.epoch):
            self._leave("the observer has no attachment of this proxy", now)
        elif kind == "seated":
            self.attached_epoch = self.epoch

    def _apply_delta(self, delta: StateDelta) -> None:
        before = self.view.version
        if self.world.guards.newer_only:
            updated = self.view.apply(delta)
        else:
            updated = (
                ClusterSnapshot().apply(delta)
                if not delta.since_version
                else self.view.apply(delta)
            )
        if updated is None:
            self._send("again", self.owner, self.epoch, self.view.version)
            return
        self.view = updated
        if updated.version < before:
            self.world.fail(f"{self.name} was told version {updated.version} after {before}")
        if updated.version != before:
            self.world.check_view(self)

    def resume(self) -> None:
        self.paused = self.reads_nothing = False
        inbox, self.inbox = self.inbox, []
        for row in inbox:
            if self.up:
                self._process(*row)


class World:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.guards = plan, plan.guards
        self.rng = random.Random(plan.seed)
        self.now = 0
        self._events: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._event_count = self._number = 0
        self.steps = 0
        self.end = int(plan.seconds * 1e9)
        self.state = self._empty()
        self.lease_tracker = LeaseExpiryTracker()
        self.expiring: set[tuple[str, int]] = set()
        self.copies = [self._empty(), self._empty()]
        self.lagging_until = [0, 0]
        self.log: list[bytes] = []
        self.cuts: set[tuple[str, str]] = set()  # pairs of (a proxy's name or "keepers", observer)
        self.targets: dict[tuple[str, int], str] = {}  # observer chosen for an epoch
        self.ended_leases: dict[tuple[str, int], int] = {}  # end of each ended observer lease
        self.state_by_version: dict[int, tuple[Any, ...]] = {0: ({}, {}, {}, {})}
        self.joined = self.moved = self.swept = self.refused = self.fed = self.snapshots = (
            self.crashes
        ) = 0
        self.observers: dict[str, Observer] = {}
        for i in range(plan.observers):
            self.observers[f"o{i + 1}"] = Observer(self, f"o{i + 1}", f"z{i % 2 + 1}")
        self.proxies = {
            f"p{i + 1}": Proxy(self, f"p{i + 1}", f"z{i % 2 + 1}") for i in range(plan.proxies)
        }
        self._drain = 0
        self.after(500 * MS, self._operator)
        self.after(TICK_NS, self._tick_keepers)
        self.after(int(self.rng.expovariate(1.0 / plan.fault_interval) * 1e9), self._inject_fault)

    def _empty(self) -> StateMachine:
        machine = StateMachine()
        machine.check_token_on_apply, machine.check_epoch_on_apply = (
            self.guards.check_token_on_apply,
            self.guards.check_epoch_on_apply,
        )
        return machine

    def after(self, delay: int, action: Callable[..., Any], *args: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + max(0, delay), self._event_count, action, args))

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def faults_are_on(self) -> bool:
        return self.now < self.end - int(self.plan.quiet_seconds * 1e9)

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
        if not self.faults_are_on():
            self.cuts.clear()
            self.lagging_until = [0, 0]
            every: list[Observer | Proxy] = [*self.observers.values(), *self.proxies.values()]
            for node in every:
                node.resume()
                if not node.up:
                    node.start()
            return
        rng = self.rng
        self.after(int(rng.expovariate(1.0 / self.plan.fault_interval) * 1e9), self._inject_fault)
        kind, duration = rng.choice(self.plan.fault_kinds), int(rng.uniform(0.05, 2.0) * 1e9)
        observer = rng.choice(list(self.observers.values()))
        proxy = rng.choice(list(self.proxies.values()))
        if kind == "observer":
            self.restart_later(observer)
        elif kind == "observer stalls":
            observer.paused = observer.up
            self.after(duration, self._resume, observer, observer.incarnation)
        elif kind == "observer cut":
            self._cut_links({("keepers", observer.name)}, duration)
        elif kind == "proxy":
            if proxy.up and rng.random() < 0.3:
                proxy._send("end", proxy.owner, proxy.epoch)
            self.restart_later(proxy)
        elif kind == "proxy stalls":
            proxy.paused = proxy.up
            self.after(duration, self._resume, proxy, proxy.incarnation)
        elif kind == "proxy cut":
            some = [o for o in self.observers if rng.random() < 0.5]
            self._cut_links({(proxy.name, name) for name in some}, duration)
        elif kind == "slow reader":
            proxy.reads_nothing = proxy.up
            self.after(duration, self._resume, proxy, proxy.incarnation)
        elif kind == "lag":
            self.lagging_until[rng.randrange(len(self.copies))] = self.now + duration
        elif kind == "leader":
            rows = [(row.name, row.token, row.duration_ms) for row in self.state.leases.values()]
            self.lease_tracker.start_leading(rows, self.now)
            self.expiring.clear()
        else:  # "region": no observer of one zone reaches keepers, for up to twice the grace
            zone = rng.choice(("z1", "z2"))
            names = {("keepers", o.name) for o in self.observers.values() if o.zone == zone}
            self._cut_links(names, duration * 3)

    def _cut_links(self, links: set[tuple[str, str]], duration: int) -> None:
        self.cuts |= links
        self.after(duration, self.cuts.difference_update, links)

    def _resume(self, node: Observer | Proxy, incarnation: int) -> None:
        if node.incarnation == incarnation and node.up:
            node.resume()

    def restart_later(self, node: Observer | Proxy) -> None:
        if node.up:
            self.crashes += 1
            node.crash()
            self.after(int(self.rng.uniform(0.02, 1.5) * 1e9), self._start, node)

    def _start(self, node: Observer | Proxy) -> None:
        if not node.up:
            node.start()

    def _delays(self) -> list[int]:
        """Delays of the copies of one message: none if it is lost, two if it is duplicated."""
        rng, plan = self.rng, self.plan
        if not self.faults_are_on():
            return [int(rng.uniform(0.2, 4.0) * MS)]
        if rng.random() < plan.loss:
            return []
        delays = []
        for _ in range(2 if rng.random() < plan.duplication else 1):
            factor = 300 if rng.random() < plan.delayed else 1
            delays.append(int(rng.uniform(0.2, 4.0) * MS * factor))
        return delays

    # The log and the lagging copies of the state

    def _operator(self) -> None:
        """Drains and undrains backends, under no lease, to produce state changes to fan out."""
        self.after(int(self.rng.uniform(0.05, 0.6) * 1e9), self._operator)
        self._drain += 1
        name = f"b{self._drain % 7}"
        change: Change = PutDrain(Drain(DrainKind.BACKEND, name, "lab", "", f"{self._drain}"))
        if f"box:{name}" in self.state.drains and self.rng.random() < 0.5:
            change = RemoveDrain(DrainKind.BACKEND, name, "lab")
        self._commit(Proposal(self._session(), self._drain, change))

    def _session(self) -> int:
        if not self.log:
            self._commit(Proposal(0, 1, OpenSession("lab")))
        return 1

    def _tick_keepers(self) -> None:
        """Proposes the expiry of overdue leases and lets the copies apply the new log entries."""
        self.after(TICK_NS, self._tick_keepers)
        due = [row for row in self.lease_tracker.expired(self.now) if row not in self.expiring]
        if due:
            self.expiring.update(due)
            self.after(
                int(self.rng.uniform(1, 20) * MS),
                self._commit,
                Proposal(0, 0, ExpireLeases(tuple(due))),
            )
        for i, copy in enumerate(self.copies):
            while copy.applied_index < len(self.log) and self.now >= self.lagging_until[i]:
                copy.apply(copy.applied_index + 1, self.log[copy.applied_index])

    def submit(self, call: Call) -> None:
        for delay in self._delays():
            self.after(delay, self._reach_keeper, call)

    def _reach_keeper(self, call: Call) -> None:
        if ("keepers", call.observer.name) in self.cuts:
            return
        self.after(int(self.rng.uniform(1, 12) * MS), self._commit_call, call)

    def _commit_call(self, call: Call) -> None:
        result = self._commit(call.proposal)
        for delay in self._delays():
            self.after(delay, self._deliver_result, call, result)

    def _deliver_result(self, call: Call, result: ChangeResult) -> None:
        observer = call.observer
        if ("keepers", observer.name) not in self.cuts and observer.incarnation == call.incarnation:
            observer.deliver(observer.handle_result, call, result)

    def _commit(self, proposal: Proposal) -> ChangeResult:
        state, data = self.state, msgspec.msgpack.encode(proposal)
        self.log.append(data)
        leases, members, version = dict(state.leases), dict(state.members), state.version
        _, result = state.apply(len(self.log), data)
        change = proposal.change
        for name, row in leases.items():
            if name.startswith(OBSERVER_LEASE_PREFIX) and state.leases.get(name) != row:
                self.ended_leases.setdefault((name, row.token), self.now)
                self.lease_tracker.forget(name)
        if (
            isinstance(change, AcquireLease)
            and not result.rejected_reason
            and state.is_lease_current(change.name, result.token)
        ):
            self.lease_tracker.record_grant(change.name, result.token, change.duration_ms, self.now)
        elif isinstance(change, RenewLeases):
            for name, token in change.leases:
                if state.is_lease_current(name, token):
                    self.lease_tracker.record_grant(name, token, LEASE_MS, self.now)
        elif isinstance(change, ExpireLeases):
            self.expiring.difference_update(change.leases)
        elif isinstance(change, UpdateMembers):
            self.refused += len(result.lost_leases) + bool(result.rejected_reason)
            self._check_rows(change, members)
        if state.version != version:
            self.state_by_version[state.version] = (
                dict(state.leases),
                dict(state.drains),
                dict(state.values),
                dict(state.members),
            )
        return result

    def _check_rows(self, change: UpdateMembers, before: dict[str, Member]) -> None:
        """Checks the membership rows that a batch changed against the true state of each proxy."""
        for name in sorted(
            {row.name for row in change.joins} | {row.name for row in change.leaves}
        ):
            prior, row = before.get(name), self.state.members.get(name)
            if row == prior:
                continue
            if prior is not None and row is not None:
                gone = MemberLeave(name, prior.owner, prior.epoch, prior.token)
                if gone in change.leaves and prior.token == change.token:
                    prior = None  # the same batch removed the previous row first
            if (change.lease, change.token) in self.ended_leases:
                self.fail(f"{name}: row of {change.lease} {change.token} after that lease was over")
            if row is None:
                assert prior is not None
                self._check_removal(name, prior, change)
                continue
            self.joined += 1
            if prior is not None and prior.owner == row.owner:
                self.moved += prior.lease != row.lease
                if row.epoch < prior.epoch:
                    self.fail(
                        f"two observers answer for {name}: {row.lease} with epoch {row.epoch}, and {prior.lease} "
                        f"with epoch {prior.epoch}"
                    )
            elif prior is not None and (prior.lease, prior.token) not in self.ended_leases:
                self.fail(f"two owners of {name}: {prior.owner} at {prior.lease}, {row.owner}")
            if OBSERVER_LEASE_PREFIX + self.targets.get((row.owner, row.epoch), "") != row.lease:
                self.fail(f"{row.lease} answers for {name}, not attached with epoch {row.epoch}")

    def _check_removal(self, name: str, prior: Member, change: UpdateMembers) -> None:
        if (prior.lease, prior.token) == (change.lease, change.token):
            proxy = self.proxies[name]
            if self.plan.proxies_are_faultless and proxy.up and proxy.owner == prior.owner:
                self.fail(
                    f"{prior.lease} removed {name}, which is running, at {proxy.observer or 'no observer'}"
                )
            return
        since = self.ended_leases.get((prior.lease, prior.token))
        if since is None:
            self.fail(f"{change.lease} removed {name}, for which {prior.lease} is current")
        elif self.now - since < ORPHAN_GRACE_NS * (1 - MAX_DRIFT):
            self.fail(
                f"{name} was taken out {(self.now - since) / 1e9:.3f} s after {prior.lease} was over"
            )
        self.swept += 1

    def send_delta(self, observer: Observer, full: bool = False) -> None:
        """Sends an observer the changes since its version; the copy may be older than that."""
        if ("keepers", observer.name) in self.cuts:
            return
        if self.faults_are_on() and self.rng.random() < 0.02:
            observer.keeper = self.rng.randrange(len(self.copies))
        copy = self.copies[observer.keeper]
        since = 0 if full else observer.fanout.version
        delta = copy.delta_since(since)
        for delay in self._delays():
            self.after(delay, self._reach_fanout, observer, observer.incarnation, delta)

    def _reach_fanout(self, observer: Observer, incarnation: int, delta: StateDelta) -> None:
        if observer.incarnation == incarnation and ("keepers", observer.name) not in self.cuts:
            observer.deliver(observer.apply_delta, delta)

    # Between observers and proxies

    def send_to_proxy(self, observer: Observer, name: str, kind: str, *args: Any) -> None:
        proxy, epoch = self.proxies[name], 0
        if attachment := observer.table.attachments.get(name):
            epoch = attachment.epoch
        if kind == "unknown":
            epoch = args[1]
        self.fed += kind == "fed"
        for delay in self._delays():
            self.after(delay, self._reach_proxy, observer, proxy, epoch, kind, args)

    def _reach_proxy(
        self, observer: Observer, proxy: Proxy, epoch: int, kind: str, args: tuple[Any, ...]
    ) -> None:
        if (proxy.name, observer.name) not in self.cuts:
            proxy.deliver(observer.name, epoch, kind, args)
        elif kind == "fed":
            observer.frame_read(proxy.name)  # the connection breaks, so its queue is gone

    def send_to_observer(self, proxy: Proxy, kind: str, *args: Any) -> None:
        observer = self.observers.get(proxy.observer)
        if observer is None:
            return
        for delay in self._delays():
            self.after(delay, self._reach_observer, proxy, observer, kind, args)

    def _reach_observer(
        self, proxy: Proxy, observer: Observer, kind: str, args: tuple[Any, ...]
    ) -> None:
        if (proxy.name, observer.name) not in self.cuts:
            observer.deliver(observer.receive, proxy, kind, *args)

    def close_connection(self, proxy: Proxy) -> None:
        """Closes a proxy's connection; the observer sees the close at once, late or never."""
        observer, row = self.observers[proxy.observer], (proxy.name, proxy.owner, proxy.epoch)
        for delay in self._delays()[:1]:
            self.after(delay, self._connection_closed, observer, row)

    def _connection_closed(self, observer: Observer, row: tuple[str, str, int]) -> None:
        if (row[0], observer.name) not in self.cuts:
            observer.deliver(lambda: observer.table.disconnected(*row, observer.now()))

    # Invariants

    def check_view(self, proxy: Proxy) -> None:
        """Checks a proxy's view against the subscribed part of the state at that version."""
        state = self.state_by_version.get(proxy.view.version)
        if state is None:
            self.fail(f"{proxy.name} holds version {proxy.view.version}, never committed")
            return
        view, subscription = proxy.view, proxy.subscription
        leases, drains, _, members = state
        wanted = {name: row for name, row in members.items() if row.zone == subscription.zone}
        if dict(view.attached) != wanted:
            self.fail(
                f"{proxy.name} at version {view.version} holds {dict(view.attached)}, not {wanted}"
            )
        if dict(view.drains) != drains:
            self.fail(f"{proxy.name} at version {view.version} has drains unlike the log")
        if any(name.startswith(OBSERVER_LEASE_PREFIX) for name in view.leases):
            self.fail(f"{proxy.name} received observer leases, to which it has no subscription")
        member_leases = [(n, row) for n, row in leases.items() if n.startswith(MEMBER_LEASE_PREFIX)]
        expected = {n for n, row in member_leases if row.info.get("zone") == subscription.zone}
        if {name for name in view.leases if name.startswith(MEMBER_LEASE_PREFIX)} != expected:
            self.fail(f"{proxy.name} at version {view.version} has members unlike the log")

    def _check_invariants(self) -> None:
        live = membership.attachment_by_member(self.state.members, self.state.is_lease_current)
        for name, row in self.state.members.items():
            if live[name] and (row.lease, row.token) in self.ended_leases:
                self.fail(f"{name} counts as live after {row.lease} {row.token} was over")
        for node in self.observers.values():
            if not node.up or node.paused:
                continue
            token = node.holder.valid_token(node.lease, node.now())
            for name, attachment in node.table.attachments.items():
                is_authoritative = node.table.is_authoritative_for(name, token)
                if is_authoritative and (not token or attachment.lease_token != token):
                    self.fail(
                        f"{node.name} answers for {name} under token {attachment.lease_token}, it holds {token}"
                    )
            held = self.state.leases.get(node.lease)
            # A delayed acquisition of its own may renew the token; the old one then only expires.
            if token and (held is None or held.owner != node.owner):
                self.fail(f"{node.name} holds token {token} as valid, but that lease has ended")
            if node.fanout.state.history.change_count > 24 or node.table.pending_count > 200:
                self.fail(f"{node.name} exceeds its bound of history or pending changes")
            if overfull := [
                name for name, count in node.in_flight.items() if count > MAX_IN_FLIGHT
            ]:
                self.fail(
                    f"a queue of {node.in_flight[overfull[0]]} frames for {overfull[0]} at {node.name}"
                )

    def _check_final_state(self) -> None:
        """Checks that each running proxy ends as a member once, at the observer it uses."""
        state = self.state
        rows = dict(state.members)
        for proxy in self.proxies.values():
            row = rows.pop(proxy.name, None)
            if row is None or row.owner != proxy.owner:
                self.fail(f"{proxy.name} is running but is no member: {row}")
                return
            live = state.is_lease_current(row.lease, row.token)
            if not live or (OBSERVER_LEASE_PREFIX + proxy.observer, proxy.epoch) != (
                row.lease,
                row.epoch,
            ):
                self.fail(
                    f"{proxy.name} is at {proxy.observer} with epoch {proxy.epoch}, but the log has {row}"
                )
            observers = self.observers.values()
            answering = [node.name for node in observers if node.is_authoritative_for(proxy.name)]
            if answering != [proxy.observer]:
                self.fail(f"{answering} answer for {proxy.name}, which is at {proxy.observer}")
            # The observers of its zone are available again, so it must be back at one of them.
            if self.observers[proxy.observer].zone != proxy.zone:
                self.fail(f"{proxy.name} of zone {proxy.zone} stayed at {proxy.observer}")
        if rows:
            self.fail(f"the log has {sorted(rows)}, which are not running")
        self.snapshots = sum(node.fanout.counts["snapshots"] for node in self.observers.values())


def run(plan: Plan) -> World:
    """Runs one simulation to its end. Raises InvariantViolation."""
    return World(plan).run()
