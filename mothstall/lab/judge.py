"""The checker: the four rules and the quality of service, from the ledger alone.

Violations, by name:

- `lost`: a request that a running proxy accepted has no complete response by its deadline, and its
  client did not leave.
- `double`: more than one final response.
- `sent-after-answer`: an attempt reached a backend after the client had its response.
- `repeat`: a retry that the class forbids after an attempt that may have run: any (unsafe), or one
  outside the group or the window (keyed).
- `effect-twice`: an intent took effect more than once.
- `false-refusal`: a rejection that promises a safe retry, though an attempt may have run and the
  class forbids the retry.
- `drain`: an attempt at a backend after the drain grace, which starts when the proxy is notified
  that the backend drains or is gone.
- `tipped`: a cold backend failed by overload, two thirds of it from proxies notified of its start.

Violations that depend on timing are excused near spans in which the driver ran late
(`Ledger.late_spans`).
"""

from __future__ import annotations

import bisect
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from mothstall.interface import NS
from mothstall.lab.clients import DEADLINE_SLACK_NS
from mothstall.lab.ledger import (
    Arrival,
    AttemptOutcome,
    BackendIncarnation,
    ClientRequest,
    Intent,
    Ledger,
    Outcome,
)
from mothstall.lab.scenario import Kind, Scenario

# The rule that each kind of violation breaks.
RULES = {
    "lost": "one final answer in time",
    "double": "one final answer in time",
    "sent-after-answer": "one final answer in time",
    "repeat": "no effect twice",
    "effect-twice": "no effect twice",
    "false-refusal": "no effect twice",
    "drain": "drains kept",
    "tipped": "cold boxes not pushed over",
}
TIMING_RULES = frozenset(("lost", "sent-after-answer", "drain", "tipped", "repeat"))
NOTIFIED_PART = 2 / 3  # of the work that overloaded a backend: from proxies notified of its start
WORST_WINDOW_NS = 10 * NS
STEP_NS = NS // 2
RECOVERED_PART = 0.97  # part of the worth before the first fault
RECOVERY_WINDOW_NS = 2 * NS
MAX_LISTED_VIOLATIONS = 50  # listed of each kind; all are counted
LATE_MARGIN_NS = 200_000_000  # margin around a late span within which violations are excused
MAX_LATENCY_US = 60_000_000


@dataclass(slots=True, frozen=True)
class Violation:
    kind: str
    at_ns: int
    request: int  # 0: no single request
    backend: int  # 0: no single backend
    proxy: int  # -1: no single proxy
    detail: str


@dataclass(slots=True)
class Verdict:
    """Violations and figures of one run; `worth` is relative to the worth of all intents."""

    worth: float = 0.0
    worst_10s: float = 0.0
    by_class: dict[str, float] = field(default_factory=dict)
    by_tenant: dict[str, float] = field(default_factory=dict)
    within_share: dict[str, float] = field(default_factory=dict)
    wasted: dict[str, float] = field(default_factory=dict)  # parts of all work done, by use
    # Percentiles in ms by class, measured from the scheduled arrival.
    latency: dict[str, dict[str, float]] = field(default_factory=dict)
    recover_s: float | None = None  # s after the last fault's end; None: not recovered, or no fault
    answers: dict[str, int] = field(default_factory=dict)
    rules: dict[str, int] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
    excused: int = 0
    intents: int = 0
    requests: int = 0
    attempts: int = 0
    # Time in s, worth of the intents, worth earned.
    worth_by_time: list[tuple[float, float, float]] = field(default_factory=list)
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)

    @property
    def broken(self) -> bool:
        return bool(self.rules)


def check_run(s: Scenario, ledger: Ledger) -> Verdict:
    """Check one run against the rules and measure its service."""
    verdict = Verdict(
        intents=len(ledger.intents), requests=len(ledger.requests), attempts=len(ledger.attempts)
    )
    late_spans = _LateSpans(ledger.late_spans)
    listed: Counter[str] = Counter()
    for violation in sorted(_violations(s, ledger), key=lambda b: (b.at_ns, b.request)):
        if violation.kind in TIMING_RULES and late_spans.covers(violation.at_ns):
            verdict.excused += 1
            continue
        verdict.rules[violation.kind] = verdict.rules.get(violation.kind, 0) + 1
        listed[violation.kind] += 1
        if listed[violation.kind] <= MAX_LISTED_VIOLATIONS:
            verdict.violations.append(violation)
    _measure_service(s, ledger, verdict)
    _measure_waste(ledger, verdict)
    verdict.answers = dict(sorted(Counter(t.outcome.name.lower() for t in ledger.requests).items()))
    return verdict


class _LateSpans:
    """Spans in which the driver ran late, with a margin on both sides."""

    def __init__(self, spans: Sequence[tuple[int, int]]) -> None:
        self.starts = [a - LATE_MARGIN_NS for a, _ in sorted(spans)]
        self.ends = [b + LATE_MARGIN_NS for _, b in sorted(spans)]

    def covers(self, at: int) -> bool:
        i = bisect.bisect(self.starts, at)
        return any(end >= at for end in self.ends[max(0, i - 8) : i])


# The rules


def _violations(s: Scenario, ledger: Ledger) -> Iterator[Violation]:
    attempts: dict[int, list[Arrival]] = defaultdict(list)
    for attempt in ledger.attempts:
        attempts[attempt.txn].append(attempt)
    incarnations: dict[int, list[BackendIncarnation]] = defaultdict(list)
    for incarnation in ledger.incarnations:
        incarnations[incarnation.backend].append(incarnation)
    for request in ledger.requests:
        yield from _response_violations(s, request, attempts.get(request.txn, ()))
        yield from _retry_violations(
            s.classes[request.intent.cls], request, attempts.get(request.txn, ()), incarnations
        )
    for intent in ledger.intents:
        yield from _effect_violations(s.classes[intent.cls], intent)
    yield from _drain_violations(s, ledger)
    yield from _cold_overload_violations(ledger)


def _response_violations(
    s: Scenario, request: ClientRequest, attempts: Sequence[Arrival]
) -> Iterator[Violation]:
    if request.accepted >= 0 and not request.excused:
        if request.outcome == Outcome.SILENT:
            yield Violation(
                "lost", request.at, request.txn, 0, request.proxy, "no response by its deadline"
            )
        elif request.outcome == Outcome.BROKEN:
            yield Violation(
                "lost",
                request.at,
                request.txn,
                0,
                request.proxy,
                "the connection ended without a complete response",
            )
    if request.response_count > 1:
        yield Violation(
            "double",
            request.at,
            request.txn,
            0,
            request.proxy,
            f"{request.response_count} final responses",
        )
    if request.outcome in (Outcome.SERVED, Outcome.REFUSED, Outcome.FAILED):
        for attempt in attempts:
            # Attempts in transit when the response was sent may still arrive.
            if attempt.at > request.at + DEADLINE_SLACK_NS:
                yield Violation(
                    "sent-after-answer",
                    attempt.at,
                    request.txn,
                    attempt.backend,
                    request.proxy,
                    "attempt sent after the response",
                )


def _retry_violations(
    kind: Kind,
    request: ClientRequest,
    attempts: Sequence[Arrival],
    incarnations: dict[int, list[BackendIncarnation]],
) -> Iterator[Violation]:
    """Check the attempts of one request, in the order of arrival, against its class."""
    if kind.effect == "safe":
        return
    first: Arrival | None = None  # first attempt that may have run
    for attempt in attempts:
        if attempt.outcome == AttemptOutcome.REJECTED:
            continue
        if first is None:
            first = attempt
            continue
        if kind.effect == "unsafe":
            detail = f"retried, though an attempt at box {first.backend} may have run"
            yield Violation(
                "repeat", attempt.at, request.txn, attempt.backend, request.proxy, detail
            )
        elif attempt.at > first.at + kind.window + DEADLINE_SLACK_NS:
            detail = f"{(attempt.at - first.at) / 1e6:.0f} ms after the first, window {kind.window / 1e6:.0f} ms"
            yield Violation(
                "repeat", attempt.at, request.txn, attempt.backend, request.proxy, detail
            )
        elif _group_index(kind, incarnations[attempt.backend][0]) != _group_index(
            kind, incarnations[first.backend][0]
        ):
            detail = f"outside the group of box {first.backend}"
            yield Violation(
                "repeat", attempt.at, request.txn, attempt.backend, request.proxy, detail
            )
    is_safe = kind.effect == "keyed" and kind.group == "all"
    if first and request.outcome == Outcome.REFUSED and not is_safe:
        detail = "rejected as safe to retry, though an attempt may have run"
        yield Violation(
            "false-refusal", request.at, request.txn, first.backend, request.proxy, detail
        )


def _group_index(kind: Kind, incarnation: BackendIncarnation) -> int:
    return {"all": 0, "zone": incarnation.zone, "cell": incarnation.cell}[kind.group]


def _effect_violations(kind: Kind, intent: Intent) -> Iterator[Violation]:
    if len(intent.effects) > 1:
        at, backend = intent.effects[1]
        detail = f"intent {intent.id} of {kind.name} took effect {len(intent.effects)} times"
        yield Violation("effect-twice", at, 0, backend, -1, detail)


def _drain_violations(s: Scenario, ledger: Ledger) -> Iterator[Violation]:
    # The rule is about the time of sending: arrival is later by a connection set-up at most.
    delay = 3 * int(max(s.network.near, s.network.far) * (1 + s.network.jitter)) + DEADLINE_SLACK_NS
    for attempt in ledger.attempts:
        for notified_at, until in ledger.notified_unavailable.get(
            (attempt.proxy, attempt.backend), ()
        ):
            last = attempt.at if until < 0 else min(attempt.at, until)
            if last > notified_at + s.rules.drain_grace + delay and (
                until < 0 or attempt.at < until
            ):
                detail = f"{(attempt.at - notified_at) / 1e6:.0f} ms after the proxy was notified"
                yield Violation(
                    "drain", attempt.at, attempt.txn, attempt.backend, attempt.proxy, detail
                )


def _cold_overload_violations(ledger: Ledger) -> Iterator[Violation]:
    for overload in ledger.cold_overloads:
        start = max(
            x.started
            for x in ledger.incarnations
            if x.backend == overload.backend and x.started <= overload.at
        )
        total = sum(overload.sent.values())
        notified = {
            proxy: work
            for proxy, work in overload.sent.items()
            if ledger.notified_start.get((proxy, overload.backend, start), overload.at + 1)
            <= overload.at
        }
        if sum(notified.values()) >= NOTIFIED_PART * total:
            main_sender = max(notified, key=lambda p: (notified[p], -p))
            detail = (
                f"{total / 1e9:.2f} s of work in {overload.window_ns / 1e9:g} s from {len(overload.sent)} proxies, "
                f"most from {main_sender}"
            )
            yield Violation("tipped", overload.at, 0, overload.backend, main_sender, detail)


# Quality of service


def earned_worth(kind: Kind, intent: Intent) -> float:
    """The worth that an intent's response earned."""
    if intent.served_at < 0:
        return 0.0
    latency = intent.served_at - intent.start
    if latency <= kind.aim:
        return kind.worth
    return kind.worth * kind.late_value if latency <= kind.deadline else 0.0


def _measure_service(s: Scenario, ledger: Ledger, verdict: Verdict) -> None:
    steps = int(s.total_ns // STEP_NS) + 1
    offered, earned = [0.0] * steps, [0.0] * steps
    by_class = {k.name: [0.0, 0.0] for k in s.classes}
    by_tenant = {t.name: [0.0, 0.0] for t in s.tenants}
    histograms = {k.name: HdrHistogram(1, MAX_LATENCY_US, 3) for k in s.classes}
    for intent in ledger.intents:
        kind = s.classes[intent.cls]
        worth = earned_worth(kind, intent)
        step = intent.start // STEP_NS
        offered[step] += kind.worth
        earned[step] += worth
        rows = [by_class[kind.name]]
        if s.tenants:
            rows.append(by_tenant[s.tenants[intent.tenant].name])
        for row in rows:
            row[0] += kind.worth
            row[1] += worth
        if intent.served_at >= 0:
            histograms[kind.name].record_value(
                max(1, min(MAX_LATENCY_US, (intent.served_at - intent.start) // 1000))
            )
    verdict.worth = _fraction(sum(earned), sum(offered))
    verdict.by_class = {name: _fraction(g, a) for name, (a, g) in by_class.items() if a}
    verdict.by_tenant = {name: _fraction(g, a) for name, (a, g) in by_tenant.items() if a}
    verdict.within_share = _within_share(s, by_tenant)
    verdict.worst_10s = _worst_window(offered, earned)
    verdict.recover_s = _recovery(s, ledger.fault_spans, offered, earned)
    verdict.histograms = histograms
    verdict.latency = {
        name: {f"p{q:g}": h.get_value_at_percentile(q) / 1000 for q in (50, 90, 99, 99.9)}
        for name, h in histograms.items()
        if h.get_total_count()
    }
    verdict.worth_by_time = [
        (i * STEP_NS / NS, a, g) for i, (a, g) in enumerate(zip(offered, earned, strict=True)) if a
    ]


def _within_share(s: Scenario, by_tenant: dict[str, list[float]]) -> dict[str, float]:
    """Worth earned by each tenant over its share of capacity, or over its demand if less."""
    parts = sum(k.part for k in s.classes)
    worth = sum(k.part * k.worth for k in s.classes) / parts
    work = sum(k.part * k.work for k in s.classes) / parts
    capacity = s.capacity * NS / work * worth * s.seconds
    shares = sum(t.share for t in s.tenants) or 1.0
    return {
        t.name: min(
            1.0,
            _fraction(by_tenant[t.name][1], min(by_tenant[t.name][0], capacity * t.share / shares)),
        )
        for t in s.tenants
        if by_tenant[t.name][0]
    }


def _fraction(part: float, total: float) -> float:
    return part / total if total else 1.0


def _worst_window(offered: Sequence[float], earned: Sequence[float]) -> float:
    width = min(len(offered), WORST_WINDOW_NS // STEP_NS)
    return min(
        _fraction(sum(earned[i : i + width]), sum(offered[i : i + width]))
        for i in range(max(1, len(offered) - width))
    )


def _recovery(
    s: Scenario,
    fault_spans: Sequence[tuple[int, int, str]],
    offered: Sequence[float],
    earned: Sequence[float],
) -> float | None:
    """Seconds from the last fault's end until the worth is lastingly as before the first."""
    if not fault_spans:
        return None
    first, last = min(a for a, _, _ in fault_spans), max(b for _, b, _ in fault_spans)
    if last >= s.total_ns:
        return None
    width = RECOVERY_WINDOW_NS // STEP_NS
    early = first // STEP_NS
    before = (
        _fraction(sum(earned[:early]), sum(offered[:early])) if first >= RECOVERY_WINDOW_NS else 1.0
    )
    end = last // STEP_NS
    found: float | None = None
    for i in range(len(offered) - width, end - 1, -1):
        if (
            _fraction(sum(earned[i : i + width]), sum(offered[i : i + width]))
            < RECOVERED_PART * before
        ):
            break
        found = max(0.0, (i * STEP_NS - last) / NS)
    return found


def _measure_waste(ledger: Ledger, verdict: Verdict) -> None:
    """Work by the outcome of its attempt and request, as parts of all work done."""
    requests = ledger.requests
    work: Counter[str] = Counter()
    used: set[int] = set()
    for attempt in ledger.attempts:
        request = requests[attempt.txn - 1]
        if attempt.outcome == AttemptOutcome.DUPLICATE:
            name = "repeat_dropped"
        elif attempt.outcome == AttemptOutcome.CANCELLED:
            name = "cancelled"
        elif attempt.outcome != AttemptOutcome.SERVED:
            name = "failed"
        elif request.outcome == Outcome.SERVED:
            # With two successful attempts of one request the later one is wasted.
            name = "spare_copy" if attempt.txn in used else "served"
            used.add(attempt.txn)
        else:
            name = "client_gone" if request.outcome in (Outcome.LEFT, Outcome.SILENT) else "unused"
        work[name] += attempt.done
    total = sum(work.values()) or 1
    verdict.wasted = {name: round(done / total, 6) for name, done in sorted(work.items()) if done}
