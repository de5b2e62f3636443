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
ASK_NS = 2 * NS  # a baseline's delay after a failed call to discovery
COLD_RATE = 0.35  # part of the overload multiple that a baseline sends to a cold backend
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


class InCommon:
    """The policy with simulated failover, planned from reports or from the true state."""

    def __init__(self, commons: str) -> None:
        self.commons = commons

    def __call__(self, settings: io.Settings, seed: int) -> Policy:
        return Balancer(settings, seed)


class PolicyError(ValueError):
    """The policy does not exist or is invalid; the message is one line."""


class _Request:
    __slots__ = ("attempts", "cls", "deadline", "done", "id", "out", "ran")

    def __init__(self, ev: io.RequestArrived, cls: io.RequestClass, now: int) -> None:
        self.id, self.cls, self.deadline = ev.request, cls, now + ev.left_ns
        self.attempts: list[int] = []
        self.out, self.done = 0, False
        self.ran: dict[
            int, tuple[io.Endpoint, int]
        ] = {}  # attempts that may have run: backend, and time of sending

    def first_ran(self) -> tuple[io.Endpoint, int] | None:
        return next(iter(self.ran.values()), None)


class Baseline:
    """Keeps the endpoint list, and retries where the class allows it; subclasses choose."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.cfg, self.rng = settings, random.Random(seed)
        self.boxes: dict[int, io.Endpoint] = {}
        self.order: list[io.Endpoint] = []
        self.in_flight: dict[int, int] = {}
        self.cold_due: dict[int, int] = {}
        self.requests: dict[int, _Request] = {}
        self.acts: list[io.Action] = []
        self.now, self.version, self.sent, self.began = 0, -1, 0, -1
        self.heap: list[tuple[int, int, Callable[[], object]]] = []
        self.seq = 0

    def choose(self, able: list[io.Endpoint]) -> io.Endpoint:
        raise NotImplementedError

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        self.acts, self.now = [], now
        if self.began < 0:
            self.began = now
            if not self.cfg.discovery_push:
                self.acts.append(io.WatchEndpoints(True))
        for ev in events:
            if isinstance(ev, io.RequestArrived):
                self.arrived(ev)
            elif isinstance(ev, io.AttemptEnded):
                self.ended(ev)
            elif isinstance(ev, io.EndpointUpdate):
                self.listed(ev)
            elif isinstance(ev, io.ClientLeft):
                self.left(ev)
        while self.heap and self.heap[0][0] <= now:
            heapq.heappop(self.heap)[2]()
        return self.acts

    def later(self, due: int, what: Callable[[], object]) -> None:
        self.seq += 1
        heapq.heappush(self.heap, (due, self.seq, what))
        self.acts.append(io.SetTimer(self.seq, due))

    def listed(self, ev: io.EndpointUpdate) -> None:
        if ev.scope == UpdateScope.FAILED:
            self.later(self.now + ASK_NS, lambda: self.acts.append(io.WatchEndpoints(True)))
            return
        if ev.version < self.version:
            return
        self.version = ev.version
        if ev.scope != UpdateScope.DELTA:
            self.boxes.clear()
        for entry in ev.entries:
            if entry.health == Health.READY:
                self.boxes[entry.backend] = entry
            else:
                self.boxes.pop(entry.backend, None)
        self.order = sorted(self.boxes.values(), key=lambda e: e.backend)

    def warm(self, entry: io.Endpoint) -> bool:
        """Whether the backend may get a request now; a cold one gets a limited rate."""
        age = self.now - entry.started_ns
        if not entry.started_ns or age >= self.cfg.slow_start_ns:
            return True
        if self.now < self.cold_due.get(entry.backend, 0):
            return False
        warmth = (
            self.cfg.initial_warmth
            + (1 - self.cfg.initial_warmth) * max(0, age) / self.cfg.slow_start_ns
        )
        pace = (
            self.sent / max(1, self.now - self.began) / max(1, len(self.boxes))
        )  # mean rate of one backend, per ns
        rate = COLD_RATE * self.cfg.overload_multiple * warmth * pace
        self.cold_due[entry.backend] = self.now + (int(1 / rate) if rate > 0 else NS)
        return True

    def able(self, req: _Request) -> list[io.Endpoint]:
        """The backends that this request may be sent to now."""
        rows = [e for e in self.order if e.backend not in req.attempts]
        first, cls = req.first_ran(), req.cls
        if first is not None and cls.effect != Effect.IDEMPOTENT:
            ran, at = first
            if cls.effect == Effect.NON_IDEMPOTENT or self.now >= at + cls.window_ns:
                return []
            if cls.group == KeyScope.ZONE:
                rows = [e for e in rows if e.zone == ran.zone]
            elif cls.group == KeyScope.CELL:
                rows = [e for e in rows if e.cell == ran.cell]
        return rows

    def arrived(self, ev: io.RequestArrived) -> None:
        req = self.requests[ev.request] = _Request(ev, self.cfg.classes[ev.class_index], self.now)
        self.send(req)

    def send(self, req: _Request) -> None:
        rows = (
            self.able(req)
            if len(req.attempts) < self.cfg.max_attempts and self.now < req.deadline
            else []
        )
        warm = [
            e for e in rows if not e.started_ns or self.now - e.started_ns >= self.cfg.slow_start_ns
        ]
        while rows:
            entry = self.choose(rows)
            if self.warm(entry):
                self.go(req, entry)
                return
            rows = warm or [e for e in rows if e is not entry]
        self.give_up(req)

    def go(self, req: _Request, entry: io.Endpoint) -> None:
        req.ran[len(req.attempts)] = (entry, self.now)
        req.attempts.append(entry.backend)
        req.out += 1
        self.sent += 1
        self.in_flight[entry.backend] = self.in_flight.get(entry.backend, 0) + 1
        self.acts.append(io.SendAttempt(req.id, entry.backend, max(1, req.deadline - self.now)))

    def ended(self, ev: io.AttemptEnded) -> None:
        self.in_flight[ev.backend] = self.in_flight.get(ev.backend, 1) - 1
        req = self.requests.get(ev.request)
        if req is None:
            return
        req.out -= 1
        if ev.result in io.NEVER_RAN:
            req.ran.pop(ev.attempt, None)
        if ev.result == AttemptResult.OK or req.done:
            req.done = True
            if not req.out:
                del self.requests[ev.request]
            return
        self.send(req)

    def give_up(self, req: _Request) -> None:
        harmless = not req.ran or req.cls.effect == Effect.IDEMPOTENT
        if harmless or (
            req.cls.effect == Effect.IDEMPOTENT_WITH_KEY and req.cls.group == KeyScope.ALL
        ):
            self.acts.append(io.Reject(req.id, 0))
        else:
            self.acts.append(io.FailRequest(req.id))
        self.requests.pop(req.id, None)

    def left(self, ev: io.ClientLeft) -> None:
        req = self.requests.get(ev.request)
        if req:
            req.done = True
            if self.cfg.may_cancel:
                self.acts += [io.CancelAttempt(req.id, i) for i in range(len(req.attempts))]


class Random(Baseline):
    """A random backend."""

    def choose(self, able: list[io.Endpoint]) -> io.Endpoint:
        return able[self.rng.randrange(len(able))]


class RoundRobin(Baseline):
    """The next backend in order."""

    turn = -1

    def choose(self, able: list[io.Endpoint]) -> io.Endpoint:
        found = next((e for e in able if e.backend > self.turn), able[0])
        self.turn = found.backend
        return found


class LeastInFlight(Baseline):
    """The backend with the fewest requests in flight of this proxy; ties at random."""

    def choose(self, able: list[io.Endpoint]) -> io.Endpoint:
        least = min(self.in_flight.get(e.backend, 0) for e in able)
        few = [e for e in able if self.in_flight.get(e.backend, 0) == least]
        return few[self.rng.randrange(len(few))]


class TwoChoices(Baseline):
    """The less loaded of two random backends."""

    def choose(self, able: list[io.Endpoint]) -> io.Endpoint:
        one, other = (able[self.rng.randrange(len(able))] for _ in range(2))
        return min(one, other, key=lambda e: self.in_flight.get(e.backend, 0))


class Careless(Baseline):
    """Breaks every rule on purpose, to test the checker. Not for production."""

    def listed(self, ev: io.EndpointUpdate) -> None:
        gone = dict(self.boxes)
        super().listed(ev)
        for number, entry in gone.items():  # draining backends are kept
            self.boxes.setdefault(number, entry)
        self.order = sorted(self.boxes.values(), key=lambda e: e.backend)

    def choose(self, able: list[io.Endpoint]) -> io.Endpoint:
        newest = max(able, key=lambda e: (e.started_ns, -self.in_flight.get(e.backend, 0)))
        return newest if newest.started_ns and self.rng.random() < 0.8 else self.rng.choice(able)

    def warm(self, entry: io.Endpoint) -> bool:
        return True

    def able(self, req: _Request) -> list[io.Endpoint]:
        return self.order

    def arrived(self, ev: io.RequestArrived) -> None:
        if ev.request % 199 == 0:
            return  # never answered
        super().arrived(ev)
        if ev.request % 101 == 0 and (req := self.requests.get(ev.request)) and self.order:
            self.go(
                req, self.rng.choice(self.order)
            )  # a second copy, also where the class forbids it

    def ended(self, ev: io.AttemptEnded) -> None:
        req = self.requests.get(ev.request)
        if req and ev.result == AttemptResult.OK and ev.request % 67 == 0:
            self.acts.append(io.FailRequest(req.id))  # a second response
        if req and ev.result == AttemptResult.OK and ev.request % 71 == 0:
            # An attempt long after the response.
            self.later(
                self.now + NS // 5, lambda: self.acts.append(io.SendAttempt(req.id, ev.backend, NS))
            )
        super().ended(ev)

    def give_up(self, req: _Request) -> None:
        self.acts.append(io.Reject(req.id, 0))
        self.requests.pop(req.id, None)


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
    listed = _git(revision, "ls-tree", "--name-only", revision, f"{PACKAGE_PATH}/")
    texts = {
        Path(name).name: _git(revision, "show", f"{revision}:{name}")
        for name in listed.splitlines()
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


def parse(word: str) -> MakePolicy:
    """Make a policy from `NAME[,setting=value...]`: one of NAMES, `rev:REVISION` or `file:PATH`.

    Settings are fields of interface.Settings with a number or true/false. Raises PolicyError.
    """
    name, *changes = word.split(",")
    make: Callable[[io.Settings, int], Any]
    if name == "module":
        make = Balancer
    elif name in ("plan", "truth"):
        make = InCommon(name)
    elif name in BASELINES:
        make = BASELINES[name]
    elif name.startswith("rev:"):
        make = at_revision(name[4:])
    elif name.startswith("file:"):
        try:
            make = policy_source.from_path(Path(name[5:]))
        except (OSError, SyntaxError) as why:
            raise PolicyError(f"policy {name}: {why}") from why
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
    word, sep, text = change.partition("=")
    key = FORMER_SETTINGS.get(word, word)
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
