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
from mothstall.lab.box import Backend, Job
from mothstall.lab.clients import DEADLINE_SLACK_NS
from mothstall.lab.commons import VirtualFailover
from mothstall.lab.directory import ListUpdate
from mothstall.lab.ledger import Arrival, AttemptOutcome, ClientRequest, Ledger, Outcome
from mothstall.lab.scenario import Scenario, settings
from mothstall.lab.timeline import VirtualClock
from mothstall.lab.world import World

BASE_NS = 1_000_000 * NS  # reading of the proxies' clocks at the start of the run
CALL_TIMEOUT_NS = 2 * NS  # timeout of a proxy's call to discovery
PROXY_START_NS = 600_000_000  # start time of a proxy process
WATCH_RETRY_NS = NS  # delay before a failed watch is renewed
REUSE_PART = 0.6  # part of the backends' idle timeout for which a proxy reuses a connection
_RESULTS = {
    AttemptOutcome.SERVED: AttemptResult.OK,
    AttemptOutcome.DUPLICATE: AttemptResult.OK,
    AttemptOutcome.REJECTED: AttemptResult.REJECTED,
    AttemptOutcome.ERROR: AttemptResult.ERROR,
    AttemptOutcome.UNREADABLE: AttemptResult.ERROR,
    AttemptOutcome.RESET: AttemptResult.RESET,
    AttemptOutcome.LOST: AttemptResult.RESET,
}


class Policy(Protocol):
    """A policy: the interface of mothstall.policy."""

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]: ...


MakePolicy = Callable[[io.Settings, int], Policy]


class Attempt:
    """One attempt of a request; `peer` is the backend's incarnation that it reached."""

    __slots__ = ("backend", "closed", "done", "index", "job", "lag", "new", "owner", "peer", "sent")

    def __init__(self, owner: Pending, index: int, backend: int, sent: int, lag: int) -> None:
        self.owner, self.index, self.backend, self.sent, self.lag = owner, index, backend, sent, lag
        self.job: Job | None = None
        self.peer: object = None
        self.done = self.closed = self.new = False  # new: needs a new connection


class Pending:
    """One client request at a proxy, with its attempts."""

    __slots__ = ("attempts", "done", "in_flight", "row")

    def __init__(self, row: ClientRequest) -> None:
        self.row, self.done, self.in_flight = row, False, 0
        self.attempts: list[Attempt] = []


class Proxy:
    def __init__(self, run: VirtualRun, number: int) -> None:
        self.run, self.number, self.zone = run, number, number % len(run.s.zones)
        self.epoch = 0
        self.up = False
        self.requests: dict[int, Pending] = {}
        self.idle: dict[int, list[tuple[int, object]]] = {}
        self.used: dict[int, int] = {}  # connections with a request on them
        self.version = 0
        self.subscribing = False
        self._update_due = 0

    def start(self) -> None:
        run = self.run
        self.up, self.epoch = True, self.epoch + 1
        self.requests, self.idle, self.used, self.subscribing = {}, {}, {}, False
        config = settings(run.s, self.number)
        self.policy = run.make(config, run.world.seed * 1009 + self.number * 31 + self.epoch)
        known = run.world.discovery.as_of(run.time.now - run.s.proxies.known_age)
        self.version = known.version
        run.world.discovery.record_delivery(self.number, known)
        self.feed(io.EndpointUpdate(UpdateScope.CACHED, known.version, list(known.entries)))
        if config.discovery_push:
            self.subscribe()

    def stop(self, silent: bool) -> None:
        """Stop the process; clients and backends of open requests see a reset unless `silent`."""
        self.up = False
        self.epoch += 1
        run, now = self.run, self.run.time.now
        run.world.discovery.watch(self.number, None)
        for request in self.requests.values():
            if not request.done:
                request.row.excused = True
                if not silent:
                    run.time.at(
                        now + run.delay(self.zone, request.row.intent.zone),
                        run.deliver,
                        request.row,
                        Outcome.BROKEN,
                    )
            for attempt in request.attempts:
                if not attempt.done and not silent:
                    attempt.done = True
                    if attempt.job:
                        run.time.at(now + attempt.lag, run.cancel_job, attempt)
        backends = run.world.backends
        for number, idle in self.idle.items():
            for _, incarnation in idle:
                if backends[number].incarnation is incarnation:
                    backends[number].disconnect()

    def feed(self, event: io.Event) -> None:
        self.execute(self.policy.handle(BASE_NS + self.run.time.now, [event]))

    def timer(self, epoch: int, token: int) -> None:
        if epoch == self.epoch:
            self.feed(io.TimerFired(token))

    def execute(self, actions: list[io.Action]) -> None:
        run = self.run
        for action in actions:
            kind = type(action)
            if kind is io.SendAttempt:
                self.send(action.request, action.backend, action.timeout_ns)  # type: ignore[union-attr]
            elif kind is io.SetTimer:
                due, token = action.at_ns, action.token  # type: ignore[union-attr]
                run.time.at(due - BASE_NS, self.timer, self.epoch, token)
            elif isinstance(action, io.CancelAttempt):
                self.cancel(action.request, action.attempt)
            elif isinstance(action, io.Reject):
                if run.failover:
                    run.failover.request_rejected(self.number)
                self.finish(action.request, Outcome.REFUSED, action.retry_after_ns)
            elif isinstance(action, io.FailRequest):
                self.finish(action.request, Outcome.FAILED, 0)
            elif isinstance(action, io.CloseIdleConnections):
                for _, incarnation in self.idle.pop(action.backend, ()):
                    backend = run.world.backends[action.backend]
                    if backend.incarnation is incarnation:
                        backend.disconnect()
            elif isinstance(action, io.WatchEndpoints):
                if action.is_on:
                    self.subscribe()
            elif isinstance(action, io.PollEndpoints):
                self.call_discovery()
            elif isinstance(action, io.ProbeLoad):
                run.time.at(run.time.now, self.probe_ended, self.epoch, action.backend)

    def probe_ended(self, epoch: int, backend: int) -> None:
        """Scenarios do not allow load probes: each one fails."""
        if epoch == self.epoch:
            self.feed(io.LoadProbeEnded(backend, AttemptResult.ERROR, 0, ()))

    def arrive(self, row: ClientRequest, is_retry: bool) -> None:
        run, now = self.run, self.run.time.now
        if not self.up:
            if self.number not in run.silent:
                run.time.at(
                    now + run.delay(self.zone, row.intent.zone), run.deliver, row, Outcome.UNREACHED
                )
            return
        if run.failover:
            run.failover.request_arrived(self.number)
        row.accepted = now
        self.requests[row.txn] = Pending(row)
        intent = row.intent
        left = max(0, row.deadline - now)
        self.feed(
            io.RequestArrived(row.txn, intent.cls, intent.tenant, intent.subject, left, 0, is_retry)
        )

    def leave(self, row: ClientRequest) -> None:
        request = self.requests.get(row.txn)
        if request and not request.done:
            request.done = True
            self.feed(io.ClientLeft(row.txn))
            self.forget(request)

    def finish(self, txn: int, outcome: Outcome, after_ns: int) -> None:
        request = self.requests.get(txn) or self.finished_request(txn)
        request.done = True
        self.respond(request, outcome, after_ns)
        self.forget(request)

    def finished_request(self, txn: int) -> Pending:
        """A finished request. Late actions of a policy on it are carried out, for the checker."""
        request = Pending(self.run.ledger.requests[txn - 1])
        request.done = True
        return request

    def respond(self, request: Pending, outcome: Outcome, after_ns: int = 0) -> None:
        run = self.run
        due = run.time.now + run.delay(self.zone, request.row.intent.zone)
        run.time.at(due, self.responded, self.epoch, request.row, outcome, after_ns)

    def responded(self, epoch: int, row: ClientRequest, outcome: Outcome, after_ns: int) -> None:
        """Deliver a response; it arrives incomplete if its proxy died in the meantime."""
        if epoch != self.epoch:
            row.excused, outcome = True, Outcome.BROKEN
        self.run.world.clients.record_outcome(row, outcome, after_ns)

    def forget(self, request: Pending) -> None:
        if request.done and not request.in_flight:
            self.requests.pop(request.row.txn, None)

    def send(self, txn: int, number: int, timeout_ns: int) -> None:
        run, now = self.run, self.run.time.now
        request = self.requests.get(txn)
        if request is None:
            request = self.requests[txn] = self.finished_request(txn)
        backend = run.world.backends.get(number)
        delay = run.delay(self.zone, backend.zone if backend else self.zone)
        attempt = Attempt(request, len(request.attempts), number, now, delay)
        request.attempts.append(attempt)
        request.in_flight += 1
        if backend is None:
            run.time.at(now, self.ended, self.epoch, attempt, AttemptResult.NOT_SENT, ())
            return
        attempt.new = not self.reuse(backend, now)
        run.time.at(now + (3 * delay if attempt.new else delay), self.reach, attempt, backend)
        if timeout_ns:
            run.time.at(now + timeout_ns, self.timed_out, self.epoch, attempt)

    def reuse(self, backend: Backend, now: int) -> bool:
        """Take the latest idle connection to the backend's current process, if there is one."""
        idle = self.idle.get(backend.id)
        while idle:
            since, incarnation = idle.pop()
            if incarnation is not backend.incarnation:
                continue
            if now - since < REUSE_PART * backend.group.idle:
                return True
            backend.disconnect()
        return False

    def reach(self, attempt: Attempt, backend: Backend) -> None:
        """The request's last byte arrives at the backend, if the backend is reachable."""
        run, now = self.run, self.run.time.now
        unreachable = backend.silent or backend.cut_in or (attempt.new and backend.cut_out)
        if unreachable:
            if attempt.new and not attempt.done:
                due = attempt.sent + run.s.rules.connect_timeout
                run.time.at(due, self.ended, self.epoch, attempt, AttemptResult.CONNECT_FAILED, ())
            return
        if attempt.closed and attempt.new:
            return  # abandoned before the connection was set up: the request was never written
        if not backend.up or (attempt.new and not backend.connect()):
            result = AttemptResult.CONNECT_FAILED if attempt.new else AttemptResult.RESET
            run.time.at(now + attempt.lag, self.ended, self.epoch, attempt, result, ())
            return
        attempt.peer = backend.incarnation
        row = attempt.owner.row
        record = Arrival(row.txn, self.number, backend.id, now, row.intent.work)
        job = attempt.job = Job(
            record, row.intent, run.s.classes[row.intent.cls], row.intent.work, run.backend_replied
        )
        job.context = (self, attempt)
        backend.receive(job, attempt.new)
        if attempt.closed:
            run.cancel_job(attempt)

    def ended(
        self, epoch: int, attempt: Attempt, result: AttemptResult, load: tuple[float, ...]
    ) -> None:
        if epoch != self.epoch or attempt.done:
            return
        run, request = self.run, attempt.owner
        attempt.done = True
        request.in_flight -= 1
        if attempt.peer is not None:
            self.release_connection(attempt, result)
        if result == AttemptResult.OK and not request.done:
            request.done = True
            self.respond(request, Outcome.SERVED)
        spent = run.time.now - attempt.sent
        if run.failover:
            util = load[run.util_index] if 0 <= run.util_index < len(load) else -1.0
            run.failover.attempt_ended(
                self.number, attempt.backend, request.row.intent.cls, result, spent, util
            )
        self.feed(
            io.AttemptEnded(
                request.row.txn, attempt.index, attempt.backend, result, spent, request.done, load
            )
        )
        self.forget(request)

    def release_connection(self, attempt: Attempt, result: AttemptResult) -> None:
        """Keep the connection after a response; close it after any other result."""
        backend = self.run.world.backends[attempt.backend]
        if backend.incarnation is not attempt.peer:
            return
        if result in (AttemptResult.OK, AttemptResult.REJECTED):
            self.idle.setdefault(backend.id, []).append((self.run.time.now, attempt.peer))
        else:
            backend.disconnect()

    def timed_out(self, epoch: int, attempt: Attempt) -> None:
        if epoch == self.epoch and not attempt.done:
            self.abandon(attempt, AttemptResult.TIMEOUT)

    def cancel(self, txn: int, index: int) -> None:
        request = self.requests.get(txn)
        if request and index < len(request.attempts) and not request.attempts[index].done:
            # Deferred: a policy gets no event while it handles another one.
            self.run.time.at(self.run.time.now, self.cancelled, self.epoch, request.attempts[index])

    def cancelled(self, epoch: int, attempt: Attempt) -> None:
        if epoch == self.epoch and not attempt.done:
            self.abandon(attempt, AttemptResult.CANCELLED)

    def abandon(self, attempt: Attempt, result: AttemptResult) -> None:
        """Abandon an attempt by closing its connection."""
        attempt.closed = True
        self.run.time.at(self.run.time.now + attempt.lag, self.run.cancel_job, attempt)
        self.ended(self.epoch, attempt, result, ())

    # Discovery

    def subscribe(self) -> None:
        if not self.subscribing:
            self.subscribing = True
            self.call_discovery()

    def call_discovery(self) -> None:
        run = self.run
        run.time.at(run.time.now + run.delay(self.zone, 0), self._call_received, self.epoch)

    def _call_received(self, epoch: int) -> None:
        if epoch != self.epoch:
            return
        run = self.run
        due = run.world.discovery.accept_call(self.number)
        if due < 0 or due - run.time.now > CALL_TIMEOUT_NS:
            run.time.at(run.time.now + CALL_TIMEOUT_NS, self._update_received, epoch, None)
        else:
            self._update_due = max(self._update_due, due + run.delay(self.zone, 0))
            run.time.at(self._update_due, self._response_due, epoch)

    def _response_due(self, epoch: int) -> None:
        discovery = self.run.world.discovery
        if epoch != self.epoch:
            return
        if discovery.down:
            self._update_received(epoch, None)
            return
        discovery.watch(self.number, lambda update: self._watch_update(epoch, update))
        self._update_received(epoch, discovery.updates_since(self.version), first=True)

    def _watch_update(self, epoch: int, update: ListUpdate | None) -> None:
        # Guards against reordered updates: a watch is one connection.
        run = self.run
        self._update_due = max(self._update_due, run.time.now + run.delay(self.zone, 0))
        run.time.at(self._update_due, self._update_received, epoch, update)

    def _update_received(self, epoch: int, update: ListUpdate | None, first: bool = False) -> None:
        run = self.run
        if epoch != self.epoch:
            return
        self.subscribing = False
        if update is None:
            self.feed(io.EndpointUpdate(UpdateScope.FAILED, self.version, []))
            if run.s.discovery.mode == "watch":
                run.time.at(run.time.now + WATCH_RETRY_NS, self._renew_watch, epoch)
            return
        if update.version < self.version or (not update.entries and not update.full and not first):
            return
        self.version = update.version
        run.world.discovery.record_delivery(self.number, update)
        scope = UpdateScope.FULL if update.full else UpdateScope.DELTA
        self.feed(io.EndpointUpdate(scope, update.version, list(update.entries)))

    def _renew_watch(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.subscribe()


class Fleet:
    """The fleet interface of the simulated failover, implemented on a virtual run."""

    def __init__(self, run: VirtualRun) -> None:
        self.run = run
        self._listed: tuple[int, dict[str, float]] = (-NS, {})

    def zones(self) -> list[str]:
        return list(self.run.s.zones)

    def zone_of_backend(self, number: int) -> str:
        return self.run.s.zones[self.run.world.backends[number].zone]

    def zone_of_proxy(self, proxy: int) -> str:
        return self.run.s.zones[proxy % len(self.run.s.zones)]

    def is_up(self, proxy: int) -> bool:
        return self.run.proxies[proxy].up

    def is_cut_off(self, zone: str) -> bool:
        return any(self.zone_of_proxy(proxy) == zone for proxy in self.run.silent)

    def is_lost(self, zone: str) -> bool:
        backends = [b for b in self.run.world.backends.values() if self.run.s.zones[b.zone] == zone]
        gone = sum(b.silent or b.cut_in or b.cut_out or not b.up for b in backends)
        return 2 * gone > len(backends)

    def warm_weights(self, proxy: int) -> Mapping[str, float]:
        """Warm weight of each zone by the endpoint list, cached for half a second."""
        run, now = self.run, self.run.time.now
        if now - self._listed[0] >= NS // 2:
            rules, weights = run.s.rules, dict.fromkeys(run.s.zones, 0.0)
            for entry in run.world.discovery.as_of(now).entries:
                if entry.health == Health.READY:
                    age = BASE_NS + now - entry.started_ns if entry.started_ns else rules.cold
                    part = rules.cold_from + (1 - rules.cold_from) * min(
                        1.0, max(0, age) / rules.cold
                    )
                    weights[run.s.zones[entry.zone]] += part * entry.weight
            self._listed = (now, weights)
        return self._listed[1]

    def call_later(self, wait_ns: int, callback: Callable[..., object], *args: Any) -> None:
        self.run.time.at(self.run.time.now + wait_ns, callback, *args)

    def feed(self, proxy: int, event: io.Event) -> None:
        self.run.proxies[proxy].feed(event)

    def now(self) -> int:
        return BASE_NS + self.run.time.now


class VirtualRun:
    """One run; `play` returns its ledger. Failover is simulated if the policy asks for it."""

    def __init__(self, s: Scenario, make: MakePolicy, seed: int) -> None:
        self.s, self.make = s, make
        self.failover: VirtualFailover | None = None
        self.util_index = s.rules.reports.index("util") if "util" in s.rules.reports else -1
        self.time = VirtualClock()
        self.world = World(s, seed, self.time, self, BASE_NS)
        self.ledger: Ledger = self.world.ledger
        self.silent: set[int] = set()  # proxies of a lost zone, which send no resets
        self.proxies = [Proxy(self, number) for number in range(s.proxies.count)]
        self._random = self.world.rng("network").random
        self._near, self._far = float(s.network.near), float(s.network.far)
        self._jitter = s.network.jitter
        if mode := getattr(make, "failover_mode", ""):
            names = [k.name for k in s.classes], [int(k.aim) for k in s.classes]
            self.failover = VirtualFailover(
                Fleet(self), s.proxies.count, *names, FailoverPolicy(), seed, truth=mode == "truth"
            )

    def play(self, watch: Callable[[int], object] | None = None) -> Ledger:
        """Plays the whole scenario. `watch` is called with the time after each simulated second."""
        self.world.prepare()
        self.world.begin()
        for proxy in self.proxies:
            proxy.start()
        if self.failover:
            self.failover.begin()
        grace_ns = max(k.deadline for k in self.s.classes) + 2 * DEADLINE_SLACK_NS
        end = self.s.total_ns + grace_ns
        for second in range(NS, end + NS, NS):
            self.time.run(min(second, end))
            if watch:
                watch(self.time.now)
        return self.ledger

    def delay(self, one: int, other: int) -> int:
        """One-way delay between two zones, ns."""
        base = self._near if one == other else self._far
        return int(base * (1.0 + self._jitter * self._random()))

    def send_request(self, row: ClientRequest, is_retry: bool) -> None:
        proxy = self.proxies[row.proxy]
        delay = self.delay(row.intent.zone, proxy.zone)
        self.time.at(self.time.now + delay, proxy.arrive, row, is_retry)

    def abandon_request(self, row: ClientRequest) -> None:
        proxy = self.proxies[row.proxy]
        self.time.at(self.time.now + self.delay(row.intent.zone, proxy.zone), proxy.leave, row)

    def deliver(self, row: ClientRequest, outcome: Outcome) -> None:
        if outcome == Outcome.BROKEN:
            row.excused = True
        self.world.clients.record_outcome(row, outcome)

    def backend_replied(self, job: Job, result: AttemptOutcome) -> None:
        """Pass a backend's response, or the end of its connection, to the proxy."""
        proxy, attempt = job.context
        backend = self.world.backends[attempt.backend]
        if backend.silent or backend.cut_out:
            return
        load = backend.report() if result not in (AttemptOutcome.RESET, AttemptOutcome.LOST) else ()
        self.time.at(
            self.time.now + attempt.lag, proxy.ended, proxy.epoch, attempt, _RESULTS[result], load
        )

    def cancel_job(self, attempt: Attempt) -> None:
        if attempt.job:
            self.world.backends[attempt.backend].cancel(attempt.job)

    def backend_up(self, backend: Backend) -> None:
        pass  # senders check the state of the backend at each attempt

    def backend_changed(self, backend: Backend) -> None:
        pass

    def proxy_down(self, proxy: int, silent: bool) -> None:
        if silent:
            self.silent.add(proxy)
        self.proxies[proxy].stop(silent)

    def proxy_up(self, proxy: int, ready: Callable[[], object]) -> None:
        self.time.at(self.time.now + PROXY_START_NS, self._start, proxy, ready)

    def _start(self, proxy: int, ready: Callable[[], object]) -> None:
        self.silent.discard(proxy)
        self.proxies[proxy].start()
        ready()
