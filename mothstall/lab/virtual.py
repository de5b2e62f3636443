"""The virtual driver: an event loop in virtual time without sockets, for any policy.

The same scenario, policy and seed give the same ledger in every process. A virtual proxy executes
its policy's actions without checks, also those that a real proxy would refuse, so that the checker
sees the mistakes of the policy.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from mothstall import interface as io
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.interface import NS, AttemptResult, Health, UpdateScope
from mothstall.lab.box import Box, Job
from mothstall.lab.clients import SLACK_NS
from mothstall.lab.commons import Commons
from mothstall.lab.directory import Word
from mothstall.lab.ledger import Answer, Arrival, Fate, Ledger, Try
from mothstall.lab.scenario import Scenario, settings
from mothstall.lab.timeline import Heap
from mothstall.lab.world import World

BASE_NS = 1_000_000 * NS  # reading of the proxies' clocks at the start of the run
CALL_NS = 2 * NS  # timeout of a proxy's call to discovery
BOOT_NS = 600_000_000  # start time of a proxy process
PAUSE_NS = NS  # delay before a failed watch is renewed
KEEP = 0.6  # part of the backends' idle timeout for which a proxy reuses a connection
_RESULTS = {
    Fate.SERVED: AttemptResult.OK,
    Fate.REPEAT: AttemptResult.OK,
    Fate.TURNED_AWAY: AttemptResult.REJECTED,
    Fate.ERROR: AttemptResult.ERROR,
    Fate.SPOILT: AttemptResult.ERROR,
    Fate.RESET: AttemptResult.RESET,
    Fate.LOST: AttemptResult.RESET,
}


class Policy(Protocol):
    """A policy: the interface of mothstall.policy."""

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]: ...


MakePolicy = Callable[[io.Settings, int], Policy]


class Out:
    """One attempt of a request."""

    __slots__ = ("box", "dropped", "fresh", "held", "job", "life", "number", "over", "sent", "way")

    def __init__(self, held: Held, number: int, box: int, sent: int, way: int) -> None:
        self.held, self.number, self.box, self.sent, self.way = held, number, box, sent, way
        self.job: Job | None = None
        self.life: object = None
        self.over = self.dropped = self.fresh = False


class Held:
    """One client request at a proxy, with its attempts."""

    __slots__ = ("answered", "attempts", "out", "row")

    def __init__(self, row: Try) -> None:
        self.row, self.answered, self.out = row, False, 0
        self.attempts: list[Out] = []


class Proxy:
    def __init__(self, run: Virtual, number: int) -> None:
        self.run, self.number, self.zone = run, number, number % len(run.s.zones)
        self.life = 0
        self.up = False
        self.held: dict[int, Held] = {}
        self.idle: dict[int, list[tuple[int, object]]] = {}
        self.used: dict[int, int] = {}  # connections with a request on them
        self.version = 0
        self.asking = False
        self._news_due = 0

    # Start and stop

    def boot(self) -> None:
        run = self.run
        self.up, self.life = True, self.life + 1
        self.held, self.idle, self.used, self.asking = {}, {}, {}, False
        config = settings(run.s, self.number)
        self.policy = run.make(config, run.world.seed * 1009 + self.number * 31 + self.life)
        known = run.world.directory.as_of(run.time.now - run.s.proxies.known_age)
        self.version = known.version
        run.world.directory.note(self.number, known)
        self.feed(io.EndpointUpdate(UpdateScope.CACHED, known.version, list(known.entries)))
        if config.discovery_push:
            self.subscribe()

    def die(self, silent: bool) -> None:
        """Stop the process; its connections break, or with `silent` stop without a reset."""
        self.up = False
        self.life += 1
        run, now = self.run, self.run.time.now
        run.world.directory.watch(self.number, None)
        for held in self.held.values():
            if not held.answered:
                held.row.excused = True
                if not silent:
                    run.time.at(
                        now + run.delay(self.zone, held.row.intent.zone),
                        run.answer,
                        held.row,
                        Answer.BROKEN,
                    )
            for out in held.attempts:
                if not out.over and not silent:
                    out.over = True
                    if out.job:
                        run.time.at(now + out.way, run.withdraw, out)
        boxes = run.world.boxes
        for number, idle in self.idle.items():
            for _, life in idle:
                if boxes[number].life is life:
                    boxes[number].disconnect()

    # Policy events and actions

    def feed(self, event: io.Event) -> None:
        self.act(self.policy.handle(BASE_NS + self.run.time.now, [event]))

    def timer(self, life: int, token: int) -> None:
        if life == self.life:
            self.feed(io.TimerFired(token))

    def act(self, actions: list[io.Action]) -> None:
        run = self.run
        for action in actions:
            kind = type(action)
            if kind is io.SendAttempt:
                self.send(action.request, action.backend, action.timeout_ns)  # type: ignore[union-attr]
            elif kind is io.SetTimer:
                due, token = action.at_ns, action.token  # type: ignore[union-attr]
                run.time.at(due - BASE_NS, self.timer, self.life, token)
            elif isinstance(action, io.CancelAttempt):
                self.cancel(action.request, action.attempt)
            elif isinstance(action, io.Reject):
                if run.commons:
                    run.commons.refused(self.number)
                self.final(action.request, Answer.REFUSED, action.retry_after_ns)
            elif isinstance(action, io.FailRequest):
                self.final(action.request, Answer.FAILED, 0)
            elif isinstance(action, io.CloseIdleConnections):
                for _, life in self.idle.pop(action.backend, ()):
                    box = run.world.boxes[action.backend]
                    if box.life is life:
                        box.disconnect()
            elif isinstance(action, io.WatchEndpoints):
                if action.is_on:
                    self.subscribe()
            elif isinstance(action, io.PollEndpoints):
                self.call()
            elif isinstance(action, io.ProbeLoad):
                run.time.at(run.time.now, self.probed, self.life, action.backend)

    def probed(self, life: int, backend: int) -> None:
        """Scenarios do not allow load probes: each one fails."""
        if life == self.life:
            self.feed(io.LoadProbeEnded(backend, AttemptResult.ERROR, 0, ()))

    # Requests

    def arrive(self, row: Try, repeated: bool) -> None:
        run, now = self.run, self.run.time.now
        if not self.up:
            if self.number not in run.silent:
                run.time.at(
                    now + run.delay(self.zone, row.intent.zone), run.answer, row, Answer.UNREACHED
                )
            return
        if run.commons:
            run.commons.asked(self.number)
        row.taken = now
        self.held[row.txn] = Held(row)
        intent = row.intent
        left = max(0, row.deadline - now)
        self.feed(
            io.RequestArrived(row.txn, intent.cls, intent.tenant, intent.subject, left, 0, repeated)
        )

    def left(self, row: Try) -> None:
        held = self.held.get(row.txn)
        if held and not held.answered:
            held.answered = True
            self.feed(io.ClientLeft(row.txn))
            self.forget(held)

    def final(self, request: int, answer: Answer, after_ns: int) -> None:
        held = self.held.get(request) or self.past(request)
        held.answered = True
        self.tell(held, answer, after_ns)
        self.forget(held)

    def past(self, request: int) -> Held:
        """A finished request. Late actions of a policy on it are carried out, for the checker."""
        held = Held(self.run.ledger.tries[request - 1])
        held.answered = True
        return held

    def tell(self, held: Held, answer: Answer, after_ns: int = 0) -> None:
        run = self.run
        due = run.time.now + run.delay(self.zone, held.row.intent.zone)
        run.time.at(due, self.flushed, self.life, held.row, answer, after_ns)

    def flushed(self, life: int, row: Try, answer: Answer, after_ns: int) -> None:
        """Deliver a response; it arrives incomplete if its proxy died in the meantime."""
        if life != self.life:
            row.excused, answer = True, Answer.BROKEN
        self.run.world.clients.answered(row, answer, after_ns)

    def forget(self, held: Held) -> None:
        if held.answered and not held.out:
            self.held.pop(held.row.txn, None)

    # Attempts

    def send(self, request: int, backend: int, timeout_ns: int) -> None:
        run, now = self.run, self.run.time.now
        held = self.held.get(request)
        if held is None:
            held = self.held[request] = self.past(request)
        box = run.world.boxes.get(backend)
        way = run.delay(self.zone, box.zone if box else self.zone)
        out = Out(held, len(held.attempts), backend, now, way)
        held.attempts.append(out)
        held.out += 1
        if box is None:
            run.time.at(now, self.ended, self.life, out, AttemptResult.NOT_SENT, ())
            return
        out.fresh = not self.reuse(box, now)
        run.time.at(now + (3 * way if out.fresh else way), self.reach, out, box)
        if timeout_ns:
            run.time.at(now + timeout_ns, self.timed_out, self.life, out)

    def reuse(self, box: Box, now: int) -> bool:
        """Take the latest idle connection to the backend's current process, if there is one."""
        idle = self.idle.get(box.id)
        while idle:
            since, life = idle.pop()
            if life is not box.life:
                continue
            if now - since < KEEP * box.group.idle:
                return True
            box.disconnect()
        return False

    def reach(self, out: Out, box: Box) -> None:
        """The request's last byte arrives at the backend, if the backend is reachable."""
        run, now = self.run, self.run.time.now
        gone = box.silent or box.cut_in or (out.fresh and box.cut_out)
        if gone:
            if out.fresh and not out.over:
                due = out.sent + run.s.rules.connect_timeout
                run.time.at(due, self.ended, self.life, out, AttemptResult.CONNECT_FAILED, ())
            return
        if out.dropped and out.fresh:
            return  # abandoned before the connection was set up: the request was never written
        if not box.up or (out.fresh and not box.connect()):
            result = AttemptResult.CONNECT_FAILED if out.fresh else AttemptResult.RESET
            run.time.at(now + out.way, self.ended, self.life, out, result, ())
            return
        out.life = box.life
        row = out.held.row
        arrival = Arrival(row.txn, self.number, box.id, now, row.intent.work)
        job = out.job = Job(
            arrival, row.intent, run.s.classes[row.intent.cls], row.intent.work, run.replied
        )
        job.carry = (self, out)
        box.offer(job, out.fresh)
        if out.dropped:
            run.withdraw(out)

    def ended(self, life: int, out: Out, result: AttemptResult, load: tuple[float, ...]) -> None:
        if life != self.life or out.over:
            return
        run, held = self.run, out.held
        out.over = True
        held.out -= 1
        if out.life is not None:
            self.keep(out, result)
        if result == AttemptResult.OK and not held.answered:
            held.answered = True
            self.tell(held, Answer.SERVED)
        spent = run.time.now - out.sent
        if run.commons:
            util = load[run.util] if 0 <= run.util < len(load) else -1.0
            run.commons.ended(self.number, out.box, held.row.intent.cls, result, spent, util)
        self.feed(
            io.AttemptEnded(held.row.txn, out.number, out.box, result, spent, held.answered, load)
        )
        self.forget(held)

    def keep(self, out: Out, result: AttemptResult) -> None:
        """Keep the connection after a response; close it after any other result."""
        box = self.run.world.boxes[out.box]
        if box.life is not out.life:
            return
        if result in (AttemptResult.OK, AttemptResult.REJECTED):
            self.idle.setdefault(box.id, []).append((self.run.time.now, out.life))
        else:
            box.disconnect()

    def timed_out(self, life: int, out: Out) -> None:
        if life == self.life and not out.over:
            self.drop(out, AttemptResult.TIMEOUT)

    def cancel(self, request: int, attempt: int) -> None:
        held = self.held.get(request)
        if held and attempt < len(held.attempts) and not held.attempts[attempt].over:
            # Deferred: a policy gets no event while it handles another one.
            self.run.time.at(self.run.time.now, self.cancelled, self.life, held.attempts[attempt])

    def cancelled(self, life: int, out: Out) -> None:
        if life == self.life and not out.over:
            self.drop(out, AttemptResult.CANCELLED)

    def drop(self, out: Out, result: AttemptResult) -> None:
        """Abandon an attempt by closing its connection."""
        out.dropped = True
        self.run.time.at(self.run.time.now + out.way, self.run.withdraw, out)
        self.ended(self.life, out, result, ())

    # Discovery

    def subscribe(self) -> None:
        if not self.asking:
            self.asking = True
            self.call()

    def call(self) -> None:
        run = self.run
        run.time.at(run.time.now + run.delay(self.zone, 0), self._asked, self.life)

    def _asked(self, life: int) -> None:
        if life != self.life:
            return
        run = self.run
        due = run.world.directory.ask(self.number)
        if due < 0 or due - run.time.now > CALL_NS:
            run.time.at(run.time.now + CALL_NS, self._told, life, None)
        else:
            self._news_due = max(self._news_due, due + run.delay(self.zone, 0))
            run.time.at(self._news_due, self._answered, life)

    def _answered(self, life: int) -> None:
        directory = self.run.world.directory
        if life != self.life:
            return
        if directory.down:
            self._told(life, None)
            return
        directory.watch(self.number, lambda word: self._news(life, word))
        self._told(life, directory.since(self.version), first=True)

    def _news(self, life: int, word: Word | None) -> None:
        # Guards against reordered updates: a watch is one connection.
        run = self.run
        self._news_due = max(self._news_due, run.time.now + run.delay(self.zone, 0))
        run.time.at(self._news_due, self._told, life, word)

    def _told(self, life: int, word: Word | None, first: bool = False) -> None:
        run = self.run
        if life != self.life:
            return
        self.asking = False
        if word is None:
            self.feed(io.EndpointUpdate(UpdateScope.FAILED, self.version, []))
            if run.s.discovery.mode == "watch":
                run.time.at(run.time.now + PAUSE_NS, self._again, life)
            return
        if word.version < self.version or (not word.entries and not word.full and not first):
            return
        self.version = word.version
        run.world.directory.note(self.number, word)
        scope = UpdateScope.FULL if word.full else UpdateScope.DELTA
        self.feed(io.EndpointUpdate(scope, word.version, list(word.entries)))

    def _again(self, life: int) -> None:
        if life == self.life:
            self.subscribe()


class Ground:
    """The fleet interface of the simulated failover, implemented on a virtual run."""

    def __init__(self, run: Virtual) -> None:
        self.run = run
        self._listed: tuple[int, dict[str, float]] = (-NS, {})

    def zones(self) -> list[str]:
        return list(self.run.s.zones)

    def zone_of_box(self, number: int) -> str:
        return self.run.s.zones[self.run.world.boxes[number].zone]

    def zone_of_proxy(self, proxy: int) -> str:
        return self.run.s.zones[proxy % len(self.run.s.zones)]

    def up(self, proxy: int) -> bool:
        return self.run.proxies[proxy].up

    def apart(self, zone: str) -> bool:
        return any(self.zone_of_proxy(proxy) == zone for proxy in self.run.silent)

    def lost(self, zone: str) -> bool:
        boxes = [b for b in self.run.world.boxes.values() if self.run.s.zones[b.zone] == zone]
        gone = sum(b.silent or b.cut_in or b.cut_out or not b.up for b in boxes)
        return 2 * gone > len(boxes)

    def warm(self, proxy: int) -> Mapping[str, float]:
        """Warm weight of each zone by the endpoint list, cached for half a second."""
        run, now = self.run, self.run.time.now
        if now - self._listed[0] >= NS // 2:
            rules, found = run.s.rules, dict.fromkeys(run.s.zones, 0.0)
            for entry in run.world.directory.as_of(now).entries:
                if entry.health == Health.READY:
                    age = BASE_NS + now - entry.started_ns if entry.started_ns else rules.cold
                    part = rules.cold_from + (1 - rules.cold_from) * min(
                        1.0, max(0, age) / rules.cold
                    )
                    found[run.s.zones[entry.zone]] += part * entry.weight
            self._listed = (now, found)
        return self._listed[1]

    def later(self, wait_ns: int, what: Callable[..., object], *args: Any) -> None:
        self.run.time.at(self.run.time.now + wait_ns, what, *args)

    def feed(self, proxy: int, event: io.Event) -> None:
        self.run.proxies[proxy].feed(event)

    def now(self) -> int:
        return BASE_NS + self.run.time.now


class Virtual:
    """One run; `play` returns its ledger. Failover is simulated if the policy asks for it."""

    def __init__(self, s: Scenario, make: MakePolicy, seed: int) -> None:
        self.s, self.make = s, make
        self.commons: Commons | None = None
        self.util = s.rules.reports.index("util") if "util" in s.rules.reports else -1
        self.time = Heap()
        self.world = World(s, seed, self.time, self, BASE_NS)
        self.ledger: Ledger = self.world.ledger
        self.silent: set[int] = set()  # proxies of a lost zone, which send no resets
        self.proxies = [Proxy(self, number) for number in range(s.proxies.count)]
        self._luck = self.world.rng("network").random
        self._near, self._far = float(s.network.near), float(s.network.far)
        self._jitter = s.network.jitter
        if how := getattr(make, "commons", ""):
            kinds = [k.name for k in s.classes], [int(k.aim) for k in s.classes]
            self.commons = Commons(
                Ground(self), s.proxies.count, *kinds, FailoverPolicy(), seed, truth=how == "truth"
            )

    def play(self, watch: Callable[[int], object] | None = None) -> Ledger:
        """Plays the whole scenario. `watch` is called with the time after each simulated second."""
        self.world.prepare()
        self.world.begin()
        for proxy in self.proxies:
            proxy.boot()
        if self.commons:
            self.commons.begin()
        rest = max(k.deadline for k in self.s.classes) + 2 * SLACK_NS
        end = self.s.total_ns + rest
        for second in range(NS, end + NS, NS):
            self.time.run(min(second, end))
            if watch:
                watch(self.time.now)
        return self.ledger

    def delay(self, one: int, other: int) -> int:
        """One-way delay between two zones, ns."""
        base = self._near if one == other else self._far
        return int(base * (1.0 + self._jitter * self._luck()))

    # Request transport

    def ask(self, row: Try, repeated: bool) -> None:
        proxy = self.proxies[row.proxy]
        way = self.delay(row.intent.zone, proxy.zone)
        self.time.at(self.time.now + way, proxy.arrive, row, repeated)

    def leave(self, row: Try) -> None:
        proxy = self.proxies[row.proxy]
        self.time.at(self.time.now + self.delay(row.intent.zone, proxy.zone), proxy.left, row)

    def answer(self, row: Try, answer: Answer) -> None:
        if answer == Answer.BROKEN:
            row.excused = True
        self.world.clients.answered(row, answer)

    def replied(self, job: Job, fate: Fate) -> None:
        """Pass a backend's response, or the end of its connection, to the proxy."""
        proxy, out = job.carry
        box = self.world.boxes[out.box]
        if box.silent or box.cut_out:
            return
        load = box.report() if fate not in (Fate.RESET, Fate.LOST) else ()
        self.time.at(self.time.now + out.way, proxy.ended, proxy.life, out, _RESULTS[fate], load)

    def withdraw(self, out: Out) -> None:
        if out.job:
            self.world.boxes[out.box].withdraw(out.job)

    def box_up(self, box: Box) -> None:
        pass  # senders check the state of the backend at each attempt

    def box_changed(self, box: Box) -> None:
        pass

    def proxy_down(self, proxy: int, silent: bool) -> None:
        if silent:
            self.silent.add(proxy)
        self.proxies[proxy].die(silent)

    def proxy_up(self, proxy: int, ready: Callable[[], object]) -> None:
        self.time.at(self.time.now + BOOT_NS, self._boot, proxy, ready)

    def _boot(self, proxy: int, ready: Callable[[], object]) -> None:
        self.silent.discard(proxy)
        self.proxies[proxy].boot()
        ready()
