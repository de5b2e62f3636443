"""Policies by name: the project's own, its earlier revisions, and baselines for comparison.

Baselines keep the four rules by simple means, and each chooses backends by one simple method.
`careless` breaks every rule on purpose, to show that the checker detects it.
"""

from __future__ import annotations

import heapq
import random
import re
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult, Effect, Health, KeyScope, UpdateScope
from mothstall.lab import policy_source
from mothstall.lab.virtual import MakePolicy, Policy
from mothstall.policy import Balancer

ROOT = Path(__file__).parents[2]
PACKAGE_PATH = "mothstall/policy"
WATCH_RETRY_NS = 2 * NS  # a baseline's delay after a failed call to discovery
COLD_RATE_PART = 0.35  # part of the overload multiple that a baseline sends to a cold backend
# Former names of fields of interface.Settings, still accepted.
FORMER_SETTINGS = {
    "ask_within_ns": "poll_within_ns",
    "cold_from": "initial_warmth",
    "cold_ns": "slow_start_ns",
    "fall_multiple": "overload_multiple",
    "fall_ns": "overload_window_ns",
    "parallel_attempts": "may_hedge",
}
_REVISION = re.compile(r"[0-9A-Za-z_./~^-]{1,80}")


class WithSimulatedFailover:
    """The policy with simulated failover, planned from reports or from the true state."""

    def __init__(self, failover_mode: str) -> None:
        self.failover_mode = failover_mode

    def __call__(self, settings: io.Settings, seed: int) -> Policy:
        return Balancer(settings, seed)


class PolicyError(ValueError):
    """The policy does not exist or is invalid; the message is one line."""


class _Request:
    __slots__ = ("attempts", "cls", "deadline", "done", "id", "in_flight", "may_have_run")

    def __init__(self, event: io.RequestArrived, cls: io.RequestClass, now: int) -> None:
        self.id, self.cls, self.deadline = event.request, cls, now + event.left_ns
        self.attempts: list[int] = []
        self.in_flight, self.done = 0, False
        # Attempts that may have run: backend, and time of sending.
        self.may_have_run: dict[int, tuple[io.Endpoint, int]] = {}

    def first_that_may_have_run(self) -> tuple[io.Endpoint, int] | None:
        return next(iter(self.may_have_run.values()), None)


class Baseline:
    """Keeps the endpoint list, and retries where the class allows it; subclasses choose."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.backends: dict[int, io.Endpoint] = {}
        self.sorted_backends: list[io.Endpoint] = []
        self.in_flight: dict[int, int] = {}
        self.next_cold_ns: dict[int, int] = {}
        self.requests: dict[int, _Request] = {}
        self.actions: list[io.Action] = []
        self.now, self.version, self.sent, self.started_ns = 0, -1, 0, -1
        self.heap: list[tuple[int, int, Callable[[], object]]] = []
        self.seq = 0

    def choose(self, eligible: list[io.Endpoint]) -> io.Endpoint:
        raise NotImplementedError

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        self.actions, self.now = [], now
        if self.started_ns < 0:
            self.started_ns = now
            if not self.settings.discovery_push:
                self.actions.append(io.WatchEndpoints(True))
        for event in events:
            if isinstance(event, io.RequestArrived):
                self.request_arrived(event)
            elif isinstance(event, io.AttemptEnded):
                self.attempt_ended(event)
            elif isinstance(event, io.EndpointUpdate):
                self.update_endpoints(event)
            elif isinstance(event, io.ClientLeft):
                self.client_left(event)
        while self.heap and self.heap[0][0] <= now:
            heapq.heappop(self.heap)[2]()
        return self.actions

    def call_at(self, due: int, callback: Callable[[], object]) -> None:
        self.seq += 1
        heapq.heappush(self.heap, (due, self.seq, callback))
        self.actions.append(io.SetTimer(self.seq, due))

    def update_endpoints(self, event: io.EndpointUpdate) -> None:
        if event.scope == UpdateScope.FAILED:
            self.call_at(
                self.now + WATCH_RETRY_NS, lambda: self.actions.append(io.WatchEndpoints(True))
            )
            return
        if event.version < self.version:
            return
        self.version = event.version
        if event.scope != UpdateScope.DELTA:
            self.backends.clear()
        for entry in event.entries:
            if entry.health == Health.READY:
                self.backends[entry.backend] = entry
            else:
                self.backends.pop(entry.backend, None)
        self.sorted_backends = sorted(self.backends.values(), key=lambda e: e.backend)

    def may_send(self, entry: io.Endpoint) -> bool:
        """Whether the backend may get a request now; a cold one gets a limited rate."""
        age = self.now - entry.started_ns
        if not entry.started_ns or age >= self.settings.slow_start_ns:
            return True
        if self.now < self.next_cold_ns.get(entry.backend, 0):
            return False
        warmth = (
            self.settings.initial_warmth
            + (1 - self.settings.initial_warmth) * max(0, age) / self.settings.slow_start_ns
        )
        # Mean rate of one backend, per ns.
        backend_rate = self.sent / max(1, self.now - self.started_ns) / max(1, len(self.backends))
        rate = COLD_RATE_PART * self.settings.overload_multiple * warmth * backend_rate
        self.next_cold_ns[entry.backend] = self.now + (int(1 / rate) if rate > 0 else NS)
        return True

    def eligible(self, request: _Request) -> list[io.Endpoint]:
        """The backends that this request may be sent to now."""
        rows = [e for e in self.sorted_backends if e.backend not in request.attempts]
        first, cls = request.first_that_may_have_run(), request.cls
        if first is not None and cls.effect != Effect.IDEMPOTENT:
            backend, at = first
            if cls.effect == Effect.NON_IDEMPOTENT or self.now >= at + cls.window_ns:
                return []
            if cls.group == KeyScope.ZONE:
                rows = [e for e in rows if e.zone == backend.zone]
            elif cls.group == KeyScope.CELL:
                rows = [e for e in rows if e.cell == backend.cell]
        return rows

    def request_arrived(self, event: io.RequestArrived) -> None:
        request = self.requests[event.request] = _Request(
            event, self.settings.classes[event.class_index], self.now
        )
        self.send(request)

    def send(self, request: _Request) -> None:
        rows = (
            self.eligible(request)
            if len(request.attempts) < self.settings.max_attempts and self.now < request.deadline
            else []
        )
        warm = [
            e
            for e in rows
            if not e.started_ns or self.now - e.started_ns >= self.settings.slow_start_ns
        ]
        while rows:
            entry = self.choose(rows)
            if self.may_send(entry):
                self.send_attempt(request, entry)
                return
            rows = warm or [e for e in rows if e is not entry]
        self.reject(request)

    def send_attempt(self, request: _Request, entry: io.Endpoint) -> None:
        request.may_have_run[len(request.attempts)] = (entry, self.now)
        request.attempts.append(entry.backend)
        request.in_flight += 1
        self.sent += 1
        self.in_flight[entry.backend] = self.in_flight.get(entry.backend, 0) + 1
        self.actions.append(
            io.SendAttempt(request.id, entry.backend, max(1, request.deadline - self.now))
        )

    def attempt_ended(self, event: io.AttemptEnded) -> None:
        self.in_flight[event.backend] = self.in_flight.get(event.backend, 1) - 1
        request = self.requests.get(event.request)
        if request is None:
            return
        request.in_flight -= 1
        if event.result in io.NEVER_RAN:
            request.may_have_run.pop(event.attempt, None)
        if event.result == AttemptResult.OK or request.done:
            request.done = True
            if not request.in_flight:
                del self.requests[event.request]
            return
        self.send(request)

    def reject(self, request: _Request) -> None:
        is_safe = not request.may_have_run or request.cls.effect == Effect.IDEMPOTENT
        if is_safe or (
            request.cls.effect == Effect.IDEMPOTENT_WITH_KEY and request.cls.group == KeyScope.ALL
        ):
            self.actions.append(io.Reject(request.id, 0))
        else:
            self.actions.append(io.FailRequest(request.id))
        self.requests.pop(request.id, None)

    def client_left(self, event: io.ClientLeft) -> None:
        request = self.requests.get(event.request)
        if request:
            request.done = True
            if self.settings.may_cancel:
                self.actions += [
                    io.CancelAttempt(request.id, i) for i in range(len(request.attempts))
                ]


class Random(Baseline):
    """A random backend."""

    def choose(self, eligible: list[io.Endpoint]) -> io.Endpoint:
        return eligible[self.rng.randrange(len(eligible))]


class RoundRobin(Baseline):
    """The next backend in order."""

    last_backend = -1

    def choose(self, eligible: list[io.Endpoint]) -> io.Endpoint:
        found = next((e for e in eligible if e.backend > self.last_backend), eligible[0])
        self.last_backend = found.backend
        return found


class LeastInFlight(Baseline):
    """The backend with the fewest requests in flight of this proxy; ties at random."""

    def choose(self, eligible: list[io.Endpoint]) -> io.Endpoint:
        least = min(self.in_flight.get(e.backend, 0) for e in eligible)
        least_loaded = [e for e in eligible if self.in_flight.get(e.backend, 0) == least]
        return least_loaded[self.rng.randrange(len(least_loaded))]


class TwoChoices(Baseline):
    """The less loaded of two random backends."""

    def choose(self, eligible: list[io.Endpoint]) -> io.Endpoint:
        one, other = (eligible[self.rng.randrange(len(eligible))] for _ in range(2))
        return min(one, other, key=lambda e: self.in_flight.get(e.backend, 0))


class Careless(Baseline):
    """Breaks every rule on purpose, to test the checker. Not for production."""

    def update_endpoints(self, event: io.EndpointUpdate) -> None:
        previous = dict(self.backends)
        super().update_endpoints(event)
        for number, entry in previous.items():  # draining backends are kept
            self.backends.setdefault(number, entry)
        self.sorted_backends = sorted(self.backends.values(), key=lambda e: e.backend)

    def choose(self, eligible: list[io.Endpoint]) -> io.Endpoint:
        newest = max(eligible, key=lambda e: (e.started_ns, -self.in_flight.get(e.backend, 0)))
        return (
            newest if newest.started_ns and self.rng.random() < 0.8 else self.rng.choice(eligible)
        )

    def may_send(self, entry: io.Endpoint) -> bool:
        return True

    def eligible(self, request: _Request) -> list[io.Endpoint]:
        return self.sorted_backends

    def request_arrived(self, event: io.RequestArrived) -> None:
        if event.request % 199 == 0:
            return  # never answered
        super().request_arrived(event)
        if (
            event.request % 101 == 0
            and (request := self.requests.get(event.request))
            and self.sorted_backends
        ):
            # A second attempt, even if the request's class forbids it.
            self.send_attempt(request, self.rng.choice(self.sorted_backends))

    def attempt_ended(self, event: io.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request and event.result == AttemptResult.OK and event.request % 67 == 0:
            self.actions.append(io.FailRequest(request.id))  # a second response
        if request and event.result == AttemptResult.OK and event.request % 71 == 0:
            # An attempt long after the response.
            self.call_at(
                self.now + NS // 5,
                lambda: self.actions.append(io.SendAttempt(request.id, event.backend, NS)),
            )
        super().attempt_ended(event)

    def reject(self, request: _Request) -> None:
        self.actions.append(io.Reject(request.id, 0))
        self.requests.pop(request.id, None)


BASELINES: dict[str, type[Baseline]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
    "careless": Careless,
}
NAMES = ("module", "plan", "truth", *BASELINES)


def at_revision(revision: str) -> Callable[[io.Settings, int], Policy]:
    """The policy of a revision of this repository, adapted to the present interface."""
    if not _REVISION.fullmatch(revision) or revision.startswith("-"):
        raise PolicyError(f"policy rev:{revision[:60]}: not a revision")
    module_paths = _git(revision, "ls-tree", "--name-only", revision, f"{PACKAGE_PATH}/")
    texts = {
        Path(name).name: _git(revision, "show", f"{revision}:{name}")
        for name in module_paths.splitlines()
        if name.endswith(".py")
    }
    if texts:
        return policy_source.from_package(texts)
    # Revisions before the package hold the policy in a single file.
    text = _git(revision, "show", f"{revision}:mothstall/choice.py")
    return policy_source.from_text(text, f"choice at {revision}")


def _git(revision: str, *words: str) -> str:
    """Run a git command on a revision and return its output."""
    done = subprocess.run(
        ["git", "-C", str(ROOT), *words],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    if done.returncode:
        raise PolicyError(f"policy rev:{revision}: {done.stderr.strip().splitlines()[0][:120]}")
    return done.stdout


def parse(spec: str) -> MakePolicy:
    """Make a policy from `NAME[,setting=value...]`: one of NAMES, `rev:REVISION` or `file:PATH`.

    Settings are fields of interface.Settings with a number or true/false. Raises PolicyError.
    """
    name, *changes = spec.split(",")
    make: Callable[[io.Settings, int], Any]
    if name == "module":
        make = Balancer
    elif name in ("plan", "truth"):
        make = WithSimulatedFailover(name)
    elif name in BASELINES:
        make = BASELINES[name]
    elif name.startswith("rev:"):
        make = at_revision(name[4:])
    elif name.startswith("file:"):
        try:
            make = policy_source.from_path(Path(name[5:]))
        except (OSError, SyntaxError) as error:
            raise PolicyError(f"policy {name}: {error}") from error
    else:
        raise PolicyError(
            f"policy {name[:60]!r}: not one of {', '.join(NAMES)}, rev:REVISION, file:PATH"
        )
    if not changes:
        return make
    fields = dict(_setting(name, change) for change in changes)

    def changed(settings: io.Settings, seed: int) -> Policy:
        made: Policy = make(_replace(settings, fields), seed)
        return made

    return changed


def _replace(settings: io.Settings, fields: dict[str, Any]) -> io.Settings:
    rows = {name: getattr(settings, name) for name in io.Settings.__slots__}
    return io.Settings(**{**rows, **fields})


def _setting(name: str, change: str) -> tuple[str, Any]:
    spec, sep, text = change.partition("=")
    key = FORMER_SETTINGS.get(spec, spec)
    kind = io.Settings.__annotations__.get(key)
    if not sep or kind not in ("int", "float", "bool"):
        raise PolicyError(
            f"policy {name}: {change[:60]!r} is not setting=value with a number or true/false"
        )
    try:
        value = {"true": True, "false": False}[text] if kind == "bool" else float(text)
    except (KeyError, ValueError):
        raise PolicyError(f"policy {name}: {key} cannot be {text[:40]!r}") from None
    return key, int(value) if kind == "int" else value
