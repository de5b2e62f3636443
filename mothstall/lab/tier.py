"""Seeded simulation of observers and their proxies; invariants are checked after each step.

The keepers are modelled as one ordered log and two lagging copies of the state; `replicas` has the
consensus itself. Messages are lost, duplicated, delayed and reordered; observers and proxies crash,
pause and are partitioned; proxies stop reading; the leader of the log changes. A `Breach` names the
seed and the violated invariant; equal seeds give equal runs.
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
from mothstall.lab.replicas import Breach as Breach
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
TERM_MS, MARGIN_MS, DRIFT = 600, 40, 0.02
SPANS = AttachmentTimings.from_lease_term(TERM_MS * MS)
GRACE_NS = 3_000 * MS
TICK = 50 * MS
BACK_NS = 8_000 * MS  # from the last fault until each running proxy is a member again
MAX_UNSAID = 2  # frames in flight to one subscriber
KEEPERS_SIDE = ("observer cut", "lag", "leader", "region")  # no fault at proxies or on their links
FAULTS = (
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

    turns: bool = True  # an attachment with an older epoch cannot replace a newer row
    token_on_apply: bool = True
    fenced: bool = True  # attachments count only under the observer's current lease token
    newer_only: bool = True
    bounded: bool = True
    grace: bool = True  # orphaned proxies get time to attach elsewhere before they are removed


@dataclass(slots=True, frozen=True)
class Plan:
    seed: int
    observers: int = 4
    proxies: int = 8
    seconds: float = 24.0
    quiet: float = 9.0  # seconds without faults at the end of the run
    loss: float = 0.04
    doubled: float = 0.04
    late: float = 0.04  # fraction of messages with a 300 times longer delay
    faults_every: float = 0.4
    crash_odds: float = 0.003  # probability that an observer crashes at one of its ticks
    kinds: tuple[str, ...] = FAULTS
    guards: Guards = field(default_factory=Guards)

    @property
    def proxies_sound(self) -> bool:
        """Whether the plan has no fault of proxies or of their links to observers."""
        said = self.loss or self.doubled or self.late or self.crash_odds
        return not said and set(self.kinds) <= set(KEEPERS_SIDE)


@dataclass(slots=True)
class Call:
    """A proposal of one observer, resubmitted until it is answered or times out."""

    observer: Observer
    life: int
    proposal: Proposal
    sent: int
    again: int


class Observer:
    """The pure components of one observer process, driven the way the real process drives them."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.lease = OBSERVER_LEASE_PREFIX + name
        self.rate = 1.0 + (world.rng.random() - 0.5) * DRIFT
        self.life = 0
        self.up = self.paused = False
        self.mail: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.start()

    def now(self) -> int:
        return int(self.world.now * self.rate)

    def start(self) -> None:
        guards = self.world.guards
        self.life += 1
        self.up, self.paused, self.mail = True, False, []
        self.owner = f"{self.name}#{self.life}"
        self.holder = LeaseHolder(TERM_MS, MARGIN_MS, DRIFT)
        self.presence = AttachmentTable(self.lease, SPANS, batch_size=3, fenced=guards.fenced)
        self.sweep = OrphanSweeper(self.name, GRACE_NS if guards.grace else 0)
        self.fanout = SubscriptionFanout(
            newer_only=guards.newer_only,
            bounded=guards.bounded,
            max_changes=24,
            heartbeat_ns=SPANS.observer_heartbeat_ns,
        )
        self.call: Call | None = None
        self.batch: UpdateMembers | None = None
        self.session = self.serial = 0
        self.renewed = 0
        self.heard = 0  # time of the last update from a keeper
        self.keeper = self.world.rng.randrange(len(self.world.copies))
        self.unsaid: dict[str, int] = {}
        self.world.after(self.world.rng.randrange(TICK), self._tick, self.life)

    def is_authoritative_for(self, name: str) -> bool:
        """Whether this observer has a valid lease under which the proxy is a member."""
        token = self.holder.valid_token(self.lease, self.now())
        return self.presence.is_authoritative_for(name, token)

    def crash(self) -> None:
        self.up, self.life, self.mail = False, self.life + 1, []

    def take(self, what: Callable[..., None], *args: Any) -> None:
        """Delivers an input to this process, after the pause if it is paused."""
        if not self.up:
            return
        if self.paused:
            if len(self.mail) < 10_000:
                self.mail.append((what, args))
            return
        what(*args)

    def wake(self) -> None:
        if not self.paused:
            return
        self.paused = False
        mail, self.mail = self.mail, []
        for what, args in mail:
            self.take(what, *args)

    def _tick(self, life: int) -> None:
        if life != self.life:
            return
        world = self.world
        world.after(int(TICK / self.rate), self._tick, life)
        if self.paused:
            return
        if world.faulty() and world.rng.random() < world.plan.crash_odds:
            world.restart_later(self)
            return
        now = self.now()
        self.holder.drop_expired(now)
        self.presence.set_lease_token(self.holder.valid_token(self.lease, now))
        self.presence.tick(now)
        if self.presence.lease_token:
            for leave in self.sweep.due_leaves(self.fanout.members, now):
                self.presence.request_leave(leave)
        if self.call is not None:
            self._again(now)
        else:
            self._next(now)
        world.feed(self)
        self._tell(now)

    def _again(self, now: int) -> None:
        assert self.call is not None
        if now - self.call.sent > 1500 * MS:
            # The outcome is unknown, so its serial must not be reused: a new session is opened.
            if self.batch is not None:
                self.presence.complete_batch(self.batch, None, now)
            self.call, self.batch, self.session = None, None, 0
        elif now - self.call.again > 300 * MS:
            self.call.again = now
            self.keeper = self.world.rng.randrange(len(self.world.copies))
            self.world.submit(self.call)

    def _next(self, now: int) -> None:
        token = self.holder.valid_token(self.lease, now)
        if not self.session:
            self._ask(OpenSession(self.owner), now)
        elif not token:
            held = self.fanout.leases.get(self.lease)
            if held is None or held.owner == self.owner:
                self._ask(AcquireLease(self.lease, self.owner, TERM_MS), now)
        elif now - self.renewed > TERM_MS * MS // 3:
            self.renewed = now
            self._ask(RenewLeases(self.owner, ((self.lease, token),)), now)
        elif batch := self.presence.next_batch():
            self.batch = batch
            for join in batch.joins:
                if not self.presence.attachments[join.name].is_connected:
                    self.world.breach(f"{self.name} joins {join.name}, whose connection is closed")
            self._ask(batch, now)

    def _ask(self, change: Change, now: int) -> None:
        if isinstance(change, OpenSession):
            proposal = Proposal(0, self.world.number(), change)
        else:
            self.serial += 1
            proposal = Proposal(self.session, self.serial, change)
        self.call = Call(self, self.life, proposal, now, now)
        self.world.submit(self.call)

    def answered(self, call: Call, result: ChangeResult) -> None:
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
            self.renewed = call.sent
            self.presence.set_lease_token(self.holder.valid_token(self.lease, now))
            for seat in self.presence.apply_snapshot(self.fanout.members):
                self.unsaid.pop(seat.name, None)
        elif isinstance(change, RenewLeases) and not result.rejected_reason:
            if result.lost_leases:
                self.holder.forget(self.lease)
            else:
                token = self.holder.valid_token(self.lease, now)
                self.holder.record_renewal([(self.lease, token)], call.sent, now)
        elif isinstance(change, UpdateMembers):
            if result.is_token_stale:
                self.holder.forget(self.lease)
                self.presence.set_lease_token(0)
            done = None if result.rejected_reason else result.lost_leases
            for seat in self.presence.complete_batch(batch or change, done, now):
                self.world.say(self, seat.name, "seated", seat.owner, seat.epoch)

    # State updates and their fan-out

    def told(self, delta: StateDelta) -> None:
        now = self.now()
        found = self.fanout.apply(delta)
        if found is None:
            self.world.feed(self, whole=True)
            return
        self.heard = now
        self.sweep.apply_changes(found.leases, found.members, now)
        for seat in self.presence.apply_changes(found.members):
            self.fanout.unsubscribe(seat.name)
            self.unsaid.pop(seat.name, None)

    def _tell(self, now: int) -> None:
        age = now - self.heard if self.heard else 1 << 50
        made = self.fanout.due_updates(
            now, 64, msgspec.msgpack.encode, lambda name: self.unsaid.get(name, 0)
        )
        for name, data in made:
            self.unsaid[name] = self.unsaid.get(name, 0) + 1
            self.world.say(self, name, "fed", data, age)

    # Messages of proxies

    def hear(self, proxy: Proxy, word: str, *args: Any) -> None:
        now, name = self.now(), proxy.name
        if word == "attach":
            owner, turn, sub, version = args
            if self.presence.attach(name, owner, turn, sub.zone, now):
                return
            self.unsaid[name] = 0
            self.fanout.subscribe(name, sub, version)
        elif word == "beat":
            owner, turn, version = args
            if not self.presence.record_heartbeat(name, owner, turn, now):
                self.world.say(self, name, "unknown", owner, turn)
        elif word == "again":
            owner, turn, version = args
            reader = self.fanout.subscribers.get(name)
            if reader is not None and self.presence.record_heartbeat(name, owner, turn, now):
                self.fanout.subscribe(name, reader.subscription, version)
        elif word == "end":
            owner, turn = args
            self.presence.detach(name, owner, turn)
            self.fanout.unsubscribe(name)

    def taken(self, name: str) -> None:
        """Records that a proxy has read a frame, or that its connection dropped it."""
        if name in self.unsaid:
            self.unsaid[name] = max(0, self.unsaid[name] - 1)


class Proxy:
    """A proxy's agent: attaches to an observer, sends heartbeats and applies state updates."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.rate = 1.0 + (world.rng.random() - 0.5) * DRIFT
        self.life = 0
        self.up = self.paused = self.slow = False
        self.mail: list[tuple[Any, ...]] = []
        self.start()

    def now(self) -> int:
        return int(self.world.now * self.rate)

    def start(self) -> None:
        self.life += 1
        self.up, self.paused, self.slow, self.mail = True, False, False, []
        self.owner = f"{self.name}#{self.life}"
        self.view = ClusterSnapshot()
        self.sub = Subscription(self.zone)
        self.ways = ObserverSelector(
            random.Random(self.world.rng.random()),
            observer_timeout_ns=SPANS.observer_timeout_ns,
            max_staleness_ns=500 * MS,
            home_return_delay_ns=4_000 * MS,
            max_backoff_ns=1_000 * MS,
            reconnect_jitter_ns=SPANS.reconnect_jitter_ns,
        )
        observers = list(self.world.observers.values())
        home = [o.name for o in observers if o.zone == self.zone]
        self.ways.add_endpoints(home, [o.name for o in observers if o.zone != self.zone])
        self.at = ""
        self.turn = self.due = self.seated = 0
        self.age = 0
        self.world.after(self.world.rng.randrange(100 * MS), self._tick, self.life)

    def crash(self) -> None:
        self.up, self.life, self.mail = False, self.life + 1, []

    def _tick(self, life: int) -> None:
        if life != self.life:
            return
        self.world.after(self.world.rng.randrange(60 * MS, 140 * MS), self._tick, life)
        if self.paused:
            return
        now = self.now()
        if not self.at:
            if now >= self.due:
                name, wait = self.ways.choose_next(now)
                if wait:
                    self.due = now + wait
                    return
                self.at, self.turn = name, self.ways.connected(now)
                self.world.went[(self.owner, self.turn)] = name
                self._say("attach", self.owner, self.turn, self.sub, self.view.version)
            return
        if why := self.ways.reason_to_leave(self.age, now):
            self._leave(why, now)
            return
        self._say("beat", self.owner, self.turn, self.view.version)

    def _leave(self, why: str, now: int) -> None:
        self.world.unlink(self)
        self.ways.disconnected(why, now)
        self.at, self.seated, self.age = "", 0, 0

    def _say(self, word: str, *args: Any) -> None:
        self.world.to_observer(self, word, *args)

    def take(self, sender: str, turn: int, word: str, args: tuple[Any, ...]) -> None:
        if not self.up:
            return
        if self.paused or self.slow:
            self.mail.append((sender, turn, word, args))
            if len(self.mail) > 40:
                self.world.breach(
                    f"{self.name} reads nothing, and {len(self.mail)} frames are queued for it"
                )
            return
        self._take(sender, turn, word, args)

    def _take(self, sender: str, turn: int, word: str, args: tuple[Any, ...]) -> None:
        if sender != self.at or turn != self.turn:
            return  # sent on an earlier connection
        now = self.now()
        if word == "fed":
            data, age = args
            self.age = age
            self.ways.record_update(age, now)
            self._follow(msgspec.msgpack.decode(data, type=StateDelta))
            self.world.observers[sender].taken(self.name)
        elif word == "unknown" and args == (self.owner, self.turn):
            self._leave("the observer has no attachment of this proxy", now)
        elif word == "seated":
            self.seated = self.turn

    def _follow(self, delta: StateDelta) -> None:
        before = self.view.version
        if self.world.guards.newer_only:
            fresh = self.view.apply(delta)
        else:
            fresh = (
                ClusterSnapshot().apply(delta)
                if not delta.since_version
                else self.view.apply(delta)
            )
        if fresh is None:
            self._say("again", self.owner, self.turn, self.view.version)
            return
        self.view = fresh
        if fresh.version < before:
            self.world.breach(f"{self.name} was told version {fresh.version} after {before}")
        if fresh.version != before:
            self.world.told(self)

    def wake(self) -> None:
        self.paused = self.slow = False
        mail, self.mail = self.mail, []
        for row in mail:
            if self.up:
                self._take(*row)


class World:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.guards = plan, plan.guards
        self.rng = random.Random(plan.seed)
        self.now = 0
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._count = self._number = 0
        self.steps = 0
        self.end = int(plan.seconds * 1e9)
        self.state = self._empty()
        self.grantor = LeaseExpiryTracker()
        self.expiring: set[tuple[str, int]] = set()
        self.copies = [self._empty(), self._empty()]
        self.lagging = [0, 0]
        self.log: list[bytes] = []
        self.cuts: set[tuple[str, str]] = set()  # pairs of (a proxy's name or "keepers", observer)
        self.went: dict[
            tuple[str, int], str
        ] = {}  # observer chosen by a proxy process for an epoch
        self.over: dict[tuple[str, int], int] = {}  # end of each ended observer lease
        self.images: dict[int, tuple[Any, ...]] = {0: ({}, {}, {}, {})}
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
        self.after(TICK, self._keep)
        self.after(int(self.rng.expovariate(1.0 / plan.faults_every) * 1e9), self._fault)

    def _empty(self) -> StateMachine:
        made = StateMachine()
        made.check_token_on_apply, made.check_epoch_on_apply = (
            self.guards.token_on_apply,
            self.guards.turns,
        )
        return made

    # Time

    def after(self, wait: int, what: Callable[..., Any], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + max(0, wait), self._count, what, args))

    def number(self) -> int:
        self._number += 1
        return self._number

    def faulty(self) -> bool:
        return self.now < self.end - int(self.plan.quiet * 1e9)

    def play(self) -> World:
        """Runs to the end. Raises Breach on a violation during the run or in the final state."""
        while self._heap and self._heap[0][0] <= self.end:
            self.now, _, what, args = heapq.heappop(self._heap)
            what(*args)
            self.steps += 1
            self._look()
        self._settled()
        return self

    def breach(self, what: str) -> None:
        raise Breach(f"seed {self.plan.seed} at {self.now / 1e9:.3f} s: {what}")

    # Faults

    def _fault(self) -> None:
        if not self.faulty():
            self.cuts.clear()
            self.lagging = [0, 0]
            every: list[Observer | Proxy] = [*self.observers.values(), *self.proxies.values()]
            for one in every:
                one.wake()
                if not one.up:
                    one.start()
            return
        rng = self.rng
        self.after(int(rng.expovariate(1.0 / self.plan.faults_every) * 1e9), self._fault)
        kind, lasts = rng.choice(self.plan.kinds), int(rng.uniform(0.05, 2.0) * 1e9)
        observer = rng.choice(list(self.observers.values()))
        proxy = rng.choice(list(self.proxies.values()))
        if kind == "observer":
            self.restart_later(observer)
        elif kind == "observer stalls":
            observer.paused = observer.up
            self.after(lasts, self._wake, observer, observer.life)
        elif kind == "observer cut":
            self._cut({("keepers", observer.name)}, lasts)
        elif kind == "proxy":
            if proxy.up and rng.random() < 0.3:
                proxy._say("end", proxy.owner, proxy.turn)
            self.restart_later(proxy)
        elif kind == "proxy stalls":
            proxy.paused = proxy.up
            self.after(lasts, self._wake, proxy, proxy.life)
        elif kind == "proxy cut":
            some = [o for o in self.observers if rng.random() < 0.5]
            self._cut({(proxy.name, name) for name in some}, lasts)
        elif kind == "slow reader":
            proxy.slow = proxy.up
            self.after(lasts, self._wake, proxy, proxy.life)
        elif kind == "lag":
            self.lagging[rng.randrange(len(self.copies))] = self.now + lasts
        elif kind == "leader":
            rows = [(row.name, row.token, row.duration_ms) for row in self.state.leases.values()]
            self.grantor.start_leading(rows, self.now)
            self.expiring.clear()
        else:  # "region": no observer of one zone reaches keepers, for up to twice the grace
            zone = rng.choice(("z1", "z2"))
            names = {("keepers", o.name) for o in self.observers.values() if o.zone == zone}
            self._cut(names, lasts * 3)

    def _cut(self, ways: set[tuple[str, str]], lasts: int) -> None:
        self.cuts |= ways
        self.after(lasts, self.cuts.difference_update, ways)

    def _wake(self, one: Observer | Proxy, life: int) -> None:
        if one.life == life and one.up:
            one.wake()

    def restart_later(self, one: Observer | Proxy) -> None:
        if one.up:
            self.crashes += 1
            one.crash()
            self.after(int(self.rng.uniform(0.02, 1.5) * 1e9), self._start, one)

    def _start(self, one: Observer | Proxy) -> None:
        if not one.up:
            one.start()

    def _waits(self) -> list[int]:
        """Delays of the copies of one message: none if it is lost, two if it is duplicated."""
        rng, plan = self.rng, self.plan
        if not self.faulty():
            return [int(rng.uniform(0.2, 4.0) * MS)]
        if rng.random() < plan.loss:
            return []
        found = []
        for _ in range(2 if rng.random() < plan.doubled else 1):
            slow = 300 if rng.random() < plan.late else 1
            found.append(int(rng.uniform(0.2, 4.0) * MS * slow))
        return found

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

    def _keep(self) -> None:
        """Proposes the expiry of overdue leases and lets the copies apply the new log entries."""
        self.after(TICK, self._keep)
        due = [row for row in self.grantor.expired(self.now) if row not in self.expiring]
        if due:
            self.expiring.update(due)
            self.after(
                int(self.rng.uniform(1, 20) * MS),
                self._commit,
                Proposal(0, 0, ExpireLeases(tuple(due))),
            )
        for i, copy in enumerate(self.copies):
            while copy.applied_index < len(self.log) and self.now >= self.lagging[i]:
                copy.apply(copy.applied_index + 1, self.log[copy.applied_index])

    def submit(self, call: Call) -> None:
        for wait in self._waits():
            self.after(wait, self._submitted, call)

    def _submitted(self, call: Call) -> None:
        if ("keepers", call.observer.name) in self.cuts:
            return
        self.after(int(self.rng.uniform(1, 12) * MS), self._committed, call)

    def _committed(self, call: Call) -> None:
        result = self._commit(call.proposal)
        for wait in self._waits():
            self.after(wait, self._answer, call, result)

    def _answer(self, call: Call, result: ChangeResult) -> None:
        observer = call.observer
        if ("keepers", observer.name) not in self.cuts and observer.life == call.life:
            observer.take(observer.answered, call, result)

    def _commit(self, proposal: Proposal) -> ChangeResult:
        state, data = self.state, msgspec.msgpack.encode(proposal)
        self.log.append(data)
        leases, members, version = dict(state.leases), dict(state.members), state.version
        _, result = state.apply(len(self.log), data)
        change = proposal.change
        for name, row in leases.items():
            if name.startswith(OBSERVER_LEASE_PREFIX) and state.leases.get(name) != row:
                self.over.setdefault((name, row.token), self.now)
                self.grantor.forget(name)
        if (
            isinstance(change, AcquireLease)
            and not result.rejected_reason
            and state.is_lease_current(change.name, result.token)
        ):
            self.grantor.record_grant(change.name, result.token, change.duration_ms, self.now)
        elif isinstance(change, RenewLeases):
            for name, token in change.leases:
                if state.is_lease_current(name, token):
                    self.grantor.record_grant(name, token, TERM_MS, self.now)
        elif isinstance(change, ExpireLeases):
            self.expiring.difference_update(change.leases)
        elif isinstance(change, UpdateMembers):
            self.refused += len(result.lost_leases) + bool(result.rejected_reason)
            self._attached(change, members)
        if state.version != version:
            self.images[state.version] = (
                dict(state.leases),
                dict(state.drains),
                dict(state.values),
                dict(state.members),
            )
        return result

    def _attached(self, change: UpdateMembers, before: dict[str, Member]) -> None:
        """Checks the membership rows that a batch changed against the true state of each proxy."""
        for name in sorted(
            {row.name for row in change.joins} | {row.name for row in change.leaves}
        ):
            was, row = before.get(name), self.state.members.get(name)
            if row == was:
                continue
            if was is not None and row is not None:
                gone = MemberLeave(name, was.owner, was.epoch, was.token)
                if gone in change.leaves and was.token == change.token:
                    was = None  # the same batch removed the previous row first
            if (change.lease, change.token) in self.over:
                self.breach(
                    f"{name}: a row of {change.lease} {change.token} after that lease was over"
                )
            if row is None:
                assert was is not None
                self._departed(name, was, change)
                continue
            self.joined += 1
            if was is not None and was.owner == row.owner:
                self.moved += was.lease != row.lease
                if row.epoch < was.epoch:
                    self.breach(
                        f"two observers answer for {name}: {row.lease} with epoch {row.epoch}, and {was.lease} "
                        f"with epoch {was.epoch}"
                    )
            elif was is not None and (was.lease, was.token) not in self.over:
                self.breach(
                    f"two processes count as {name}: {was.owner} at {was.lease}, and {row.owner}"
                )
            if OBSERVER_LEASE_PREFIX + self.went.get((row.owner, row.epoch), "") != row.lease:
                self.breach(f"{row.lease} answers for {name}, not attached with epoch {row.epoch}")

    def _departed(self, name: str, was: Member, change: UpdateMembers) -> None:
        if (was.lease, was.token) == (change.lease, change.token):
            proxy = self.proxies[name]
            if self.plan.proxies_sound and proxy.up and proxy.owner == was.owner:
                self.breach(
                    f"{was.lease} removed {name}, which is running, at {proxy.at or 'no observer'}"
                )
            return
        since = self.over.get((was.lease, was.token))
        if since is None:
            self.breach(f"{change.lease} removed {name}, for which {was.lease} is current")
        elif self.now - since < GRACE_NS * (1 - DRIFT):
            self.breach(
                f"{name} was taken out {(self.now - since) / 1e9:.3f} s after {was.lease} was over"
            )
        self.swept += 1

    def feed(self, observer: Observer, whole: bool = False) -> None:
        """Sends an observer the changes since its version; the copy may be older than that."""
        if ("keepers", observer.name) in self.cuts:
            return
        if self.faulty() and self.rng.random() < 0.02:
            observer.keeper = self.rng.randrange(len(self.copies))
        copy = self.copies[observer.keeper]
        since = 0 if whole else observer.fanout.version
        delta = copy.delta_since(since)
        for wait in self._waits():
            self.after(wait, self._fed, observer, observer.life, delta)

    def _fed(self, observer: Observer, life: int, delta: StateDelta) -> None:
        if observer.life == life and ("keepers", observer.name) not in self.cuts:
            observer.take(observer.told, delta)

    # Between observers and proxies

    def say(self, observer: Observer, name: str, word: str, *args: Any) -> None:
        proxy, turn = self.proxies[name], 0
        if seat := observer.presence.attachments.get(name):
            turn = seat.epoch
        if word == "unknown":
            turn = args[1]
        self.fed += word == "fed"
        for wait in self._waits():
            self.after(wait, self._said, observer, proxy, turn, word, args)

    def _said(
        self, observer: Observer, proxy: Proxy, turn: int, word: str, args: tuple[Any, ...]
    ) -> None:
        if (proxy.name, observer.name) not in self.cuts:
            proxy.take(observer.name, turn, word, args)
        elif word == "fed":
            observer.taken(proxy.name)  # the connection breaks, so its queue is gone

    def to_observer(self, proxy: Proxy, word: str, *args: Any) -> None:
        observer = self.observers.get(proxy.at)
        if observer is None:
            return
        for wait in self._waits():
            self.after(wait, self._heard, proxy, observer, word, args)

    def _heard(self, proxy: Proxy, observer: Observer, word: str, args: tuple[Any, ...]) -> None:
        if (proxy.name, observer.name) not in self.cuts:
            observer.take(observer.hear, proxy, word, *args)

    def unlink(self, proxy: Proxy) -> None:
        """Closes a proxy's connection; the observer sees the close at once, late or never."""
        observer, row = self.observers[proxy.at], (proxy.name, proxy.owner, proxy.turn)
        for wait in self._waits()[:1]:
            self.after(wait, self._unlinked, observer, row)

    def _unlinked(self, observer: Observer, row: tuple[str, str, int]) -> None:
        if (row[0], observer.name) not in self.cuts:
            observer.take(lambda: observer.presence.disconnected(*row, observer.now()))

    # Invariants

    def told(self, proxy: Proxy) -> None:
        """Checks a proxy's view against the subscribed part of the state at that version."""
        image = self.images.get(proxy.view.version)
        if image is None:
            self.breach(f"{proxy.name} holds version {proxy.view.version}, never committed")
            return
        view, sub = proxy.view, proxy.sub
        leases, drains, _, members = image
        wanted = {name: row for name, row in members.items() if row.zone == sub.zone}
        if dict(view.attached) != wanted:
            self.breach(
                f"{proxy.name} at version {view.version} holds {dict(view.attached)}, not {wanted}"
            )
        if dict(view.drains) != drains:
            self.breach(f"{proxy.name} at version {view.version} has drains unlike the log")
        if any(name.startswith(OBSERVER_LEASE_PREFIX) for name in view.leases):
            self.breach(f"{proxy.name} received observer leases, to which it has no subscription")
        plain = [(n, row) for n, row in leases.items() if n.startswith(MEMBER_LEASE_PREFIX)]
        own = {n for n, row in plain if row.info.get("zone") == sub.zone}
        if {name for name in view.leases if name.startswith(MEMBER_LEASE_PREFIX)} != own:
            self.breach(f"{proxy.name} at version {view.version} has members unlike the log")

    def _look(self) -> None:
        live = membership.attachment_by_member(self.state.members, self.state.is_lease_current)
        for name, row in self.state.members.items():
            if live[name] and (row.lease, row.token) in self.over:
                self.breach(f"{name} counts as live after {row.lease} {row.token} was over")
        for one in self.observers.values():
            if not one.up or one.paused:
                continue
            token = one.holder.valid_token(one.lease, one.now())
            for name, seat in one.presence.attachments.items():
                is_authoritative = one.presence.is_authoritative_for(name, token)
                if is_authoritative and (not token or seat.lease_token != token):
                    self.breach(
                        f"{one.name} answers for {name} under token {seat.lease_token}, it holds {token}"
                    )
            held = self.state.leases.get(one.lease)
            # A delayed acquisition of its own may renew the token; the old one then only expires.
            if token and (held is None or held.owner != one.owner):
                self.breach(f"{one.name} holds token {token} as valid, but that lease has ended")
            if one.fanout.state.history.change_count > 24 or one.presence.pending_count > 200:
                self.breach(f"{one.name} exceeds its bound of history or pending changes")
            if worst := [name for name, count in one.unsaid.items() if count > MAX_UNSAID]:
                self.breach(
                    f"a queue of {one.unsaid[worst[0]]} frames for {worst[0]} at {one.name}"
                )

    def _settled(self) -> None:
        """Checks that each running proxy ends as a member once, at the observer it uses."""
        state = self.state
        rows = dict(state.members)
        for proxy in self.proxies.values():
            row = rows.pop(proxy.name, None)
            if row is None or row.owner != proxy.owner:
                self.breach(f"{proxy.name} is running but is no member: {row}")
                return
            live = state.is_lease_current(row.lease, row.token)
            if not live or (OBSERVER_LEASE_PREFIX + proxy.at, proxy.turn) != (row.lease, row.epoch):
                self.breach(
                    f"{proxy.name} is at {proxy.at} with epoch {proxy.turn}, but the log has {row}"
                )
            observers = self.observers.values()
            answering = [one.name for one in observers if one.is_authoritative_for(proxy.name)]
            if answering != [proxy.at]:
                self.breach(f"{answering} answer for {proxy.name}, which is at {proxy.at}")
            # The observers of its zone are available again, so it must be back at one of them.
            if self.observers[proxy.at].zone != proxy.zone:
                self.breach(f"{proxy.name} of zone {proxy.zone} stayed at {proxy.at}")
        if rows:
            self.breach(f"the log has {sorted(rows)}, which are not running")
        self.snapshots = sum(one.fanout.counts["snapshots"] for one in self.observers.values())


def play(plan: Plan) -> World:
    """Runs one simulation to its end. Raises Breach."""
    return World(plan).play()
