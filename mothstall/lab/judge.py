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
from mothstall.lab.clients import SLACK_NS
from mothstall.lab.ledger import Answer, Arrival, BoxLife, Fate, Intent, Ledger, Try
from mothstall.lab.scenario import Kind, Scenario

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
TIMED = frozenset(("lost", "sent-after-answer", "drain", "tipped", "repeat"))
TOLD_PART = 2 / 3  # of the work that overloaded a backend: from proxies notified of its start
WORST_NS = 10 * NS
STEP_NS = NS // 2
RECOVERED = 0.97  # part of the worth before the first fault
RECOVER_NS = 2 * NS
MAX_BREACHES = 50  # listed of each kind; all are counted
LATENESS_NS = 200_000_000  # margin around a late span within which violations are excused
TOP_US = 60_000_000


@dataclass(slots=True, frozen=True)
class Breach:
    kind: str
    at_ns: int
    request: int  # 0: no single request
    box: int  # 0: no single backend
    proxy: int  # -1: no single proxy
    what: str


@dataclass(slots=True)
class Verdict:
    """Violations and figures of one run. Worth is a part of the worth of all intents."""

    worth: float = 0.0
    worst_10s: float = 0.0
    by_class: dict[str, float] = field(default_factory=dict)
    by_tenant: dict[str, float] = field(default_factory=dict)
    within_share: dict[str, float] = field(default_factory=dict)
    wasted: dict[str, float] = field(default_factory=dict)  # parts of all work done, by use
    latency: dict[str, dict[str, float]] = field(
        default_factory=dict
    )  # ms, from the scheduled arrival
    recover_s: float | None = None  # s after the last fault's end; None: not recovered, or no fault
    answers: dict[str, int] = field(default_factory=dict)
    rules: dict[str, int] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    excused: int = 0
    intents: int = 0
    tries: int = 0
    attempts: int = 0
    worth_by_time: list[tuple[float, float, float]] = field(
        default_factory=list
    )  # s, worth of the intents, worth earned
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)

    @property
    def broken(self) -> bool:
        return bool(self.rules)


def judge(s: Scenario, ledger: Ledger) -> Verdict:
    """Check one run against the rules and measure its service."""
    verdict = Verdict(
        intents=len(ledger.intents), tries=len(ledger.tries), attempts=len(ledger.arrivals)
    )
    late = _Late(ledger.late)
    shown: Counter[str] = Counter()
    for breach in sorted(_breaches(s, ledger), key=lambda b: (b.at_ns, b.request)):
        if breach.kind in TIMED and late.near(breach.at_ns):
            verdict.excused += 1
            continue
        verdict.rules[breach.kind] = verdict.rules.get(breach.kind, 0) + 1
        shown[breach.kind] += 1
        if shown[breach.kind] <= MAX_BREACHES:
            verdict.breaches.append(breach)
    _serve(s, ledger, verdict)
    _waste(ledger, verdict)
    verdict.answers = dict(sorted(Counter(t.answer.name.lower() for t in ledger.tries).items()))
    return verdict


class _Late:
    """Spans in which the driver ran late, with a margin on both sides."""

    def __init__(self, spans: Sequence[tuple[int, int]]) -> None:
        self.starts = [a - LATENESS_NS for a, _ in sorted(spans)]
        self.ends = [b + LATENESS_NS for _, b in sorted(spans)]

    def near(self, at: int) -> bool:
        i = bisect.bisect(self.starts, at)
        return any(end >= at for end in self.ends[max(0, i - 8) : i])


# The rules


def _breaches(s: Scenario, ledger: Ledger) -> Iterator[Breach]:
    arrivals: dict[int, list[Arrival]] = defaultdict(list)
    for row in ledger.arrivals:
        arrivals[row.txn].append(row)
    lives: dict[int, list[BoxLife]] = defaultdict(list)
    for life in ledger.lives:
        lives[life.box].append(life)
    for t in ledger.tries:
        yield from _answer_breaches(s, t, arrivals.get(t.txn, ()))
        yield from _repeat_breaches(s.classes[t.intent.cls], t, arrivals.get(t.txn, ()), lives)
    for intent in ledger.intents:
        yield from _effect_breaches(s.classes[intent.cls], intent)
    yield from _drain_breaches(s, ledger)
    yield from _tip_breaches(ledger)


def _answer_breaches(s: Scenario, t: Try, arrivals: Sequence[Arrival]) -> Iterator[Breach]:
    if t.taken >= 0 and not t.excused:
        if t.answer == Answer.SILENT:
            yield Breach("lost", t.at, t.txn, 0, t.proxy, "no answer by its deadline")
        elif t.answer == Answer.BROKEN:
            yield Breach(
                "lost", t.at, t.txn, 0, t.proxy, "the connection ended without a whole answer"
            )
    if t.answers > 1:
        yield Breach("double", t.at, t.txn, 0, t.proxy, f"{t.answers} final answers")
    if t.answer in (Answer.SERVED, Answer.REFUSED, Answer.FAILED):
        for row in arrivals:
            # Attempts in transit when the response was sent may still arrive.
            if row.at > t.at + SLACK_NS:
                yield Breach(
                    "sent-after-answer", row.at, t.txn, row.box, t.proxy, "sent on after its answer"
                )


def _repeat_breaches(
    kind: Kind, t: Try, arrivals: Sequence[Arrival], lives: dict[int, list[BoxLife]]
) -> Iterator[Breach]:
    """Check the attempts of one request, in the order of arrival, against its class."""
    if kind.effect == "safe":
        return
    first: Arrival | None = None  # first attempt that may have run
    for row in arrivals:
        if row.fate == Fate.TURNED_AWAY:
            continue
        if first is None:
            first = row
            continue
        if kind.effect == "unsafe":
            what = f"sent again, though an attempt at box {first.box} may have run"
            yield Breach("repeat", row.at, t.txn, row.box, t.proxy, what)
        elif row.at > first.at + kind.window + SLACK_NS:
            what = f"{(row.at - first.at) / 1e6:.0f} ms after the first, window {kind.window / 1e6:.0f} ms"
            yield Breach("repeat", row.at, t.txn, row.box, t.proxy, what)
        elif _place(kind, lives[row.box][0]) != _place(kind, lives[first.box][0]):
            what = f"outside the group of box {first.box}"
            yield Breach("repeat", row.at, t.txn, row.box, t.proxy, what)
    harmless = kind.effect == "keyed" and kind.group == "all"
    if first and t.answer == Answer.REFUSED and not harmless:
        what = "refused as harmless to repeat, but may have run"
        yield Breach("false-refusal", t.at, t.txn, first.box, t.proxy, what)


def _place(kind: Kind, life: BoxLife) -> int:
    return {"all": 0, "zone": life.zone, "cell": life.cell}[kind.group]


def _effect_breaches(kind: Kind, intent: Intent) -> Iterator[Breach]:
    if len(intent.effects) > 1:
        at, box = intent.effects[1]
        what = f"intent {intent.id} of {kind.name} took effect {len(intent.effects)} times"
        yield Breach("effect-twice", at, 0, box, -1, what)


def _drain_breaches(s: Scenario, ledger: Ledger) -> Iterator[Breach]:
    # The rule is about the time of sending: arrival is later by a connection set-up at most.
    way = 3 * int(max(s.network.near, s.network.far) * (1 + s.network.jitter)) + SLACK_NS
    for row in ledger.arrivals:
        for told, until in ledger.told_out.get((row.proxy, row.box), ()):
            last = row.at if until < 0 else min(row.at, until)
            if last > told + s.rules.drain_grace + way and (until < 0 or row.at < until):
                what = f"{(row.at - told) / 1e6:.0f} ms after it was told"
                yield Breach("drain", row.at, row.txn, row.box, row.proxy, what)


def _tip_breaches(ledger: Ledger) -> Iterator[Breach]:
    for tip in ledger.tips:
        start = max(x.started for x in ledger.lives if x.box == tip.box and x.started <= tip.at)
        whole = sum(tip.sent.values())
        knew = {
            proxy: work
            for proxy, work in tip.sent.items()
            if ledger.told_start.get((proxy, tip.box, start), tip.at + 1) <= tip.at
        }
        if sum(knew.values()) >= TOLD_PART * whole:
            most = max(knew, key=lambda p: (knew[p], -p))
            what = (
                f"{whole / 1e9:.2f} s of work in {tip.window_ns / 1e9:g} s from {len(tip.sent)} proxies, "
                f"most from {most}"
            )
            yield Breach("tipped", tip.at, 0, tip.box, most, what)


# Quality of service


def gain(kind: Kind, intent: Intent) -> float:
    """The worth that an intent's response earned."""
    if intent.served_at < 0:
        return 0.0
    latency = intent.served_at - intent.start
    if latency <= kind.aim:
        return kind.worth
    return kind.worth * kind.late_value if latency <= kind.deadline else 0.0


def _serve(s: Scenario, ledger: Ledger, verdict: Verdict) -> None:
    steps = int(s.total_ns // STEP_NS) + 1
    asked, got = [0.0] * steps, [0.0] * steps
    by_class = {k.name: [0.0, 0.0] for k in s.classes}
    by_tenant = {t.name: [0.0, 0.0] for t in s.tenants}
    histograms = {k.name: HdrHistogram(1, TOP_US, 3) for k in s.classes}
    for intent in ledger.intents:
        kind = s.classes[intent.cls]
        gained = gain(kind, intent)
        step = intent.start // STEP_NS
        asked[step] += kind.worth
        got[step] += gained
        rows = [by_class[kind.name]]
        if s.tenants:
            rows.append(by_tenant[s.tenants[intent.tenant].name])
        for row in rows:
            row[0] += kind.worth
            row[1] += gained
        if intent.served_at >= 0:
            histograms[kind.name].record_value(
                max(1, min(TOP_US, (intent.served_at - intent.start) // 1000))
            )
    verdict.worth = _part(sum(got), sum(asked))
    verdict.by_class = {name: _part(g, a) for name, (a, g) in by_class.items() if a}
    verdict.by_tenant = {name: _part(g, a) for name, (a, g) in by_tenant.items() if a}
    verdict.within_share = _within_share(s, by_tenant)
    verdict.worst_10s = _worst(asked, got)
    verdict.recover_s = _recovery(s, ledger.marks, asked, got)
    verdict.histograms = histograms
    verdict.latency = {
        name: {f"p{q:g}": h.get_value_at_percentile(q) / 1000 for q in (50, 90, 99, 99.9)}
        for name, h in histograms.items()
        if h.get_total_count()
    }
    verdict.worth_by_time = [
        (i * STEP_NS / NS, a, g) for i, (a, g) in enumerate(zip(asked, got, strict=True)) if a
    ]


def _within_share(s: Scenario, by_tenant: dict[str, list[float]]) -> dict[str, float]:
    """Worth earned by each tenant over its share of capacity, or over its demand if less."""
    parts = sum(k.part for k in s.classes)
    worth = sum(k.part * k.worth for k in s.classes) / parts
    work = sum(k.part * k.work for k in s.classes) / parts
    able = s.capacity * NS / work * worth * s.seconds
    shares = sum(t.share for t in s.tenants) or 1.0
    return {
        t.name: min(
            1.0, _part(by_tenant[t.name][1], min(by_tenant[t.name][0], able * t.share / shares))
        )
        for t in s.tenants
        if by_tenant[t.name][0]
    }


def _part(some: float, whole: float) -> float:
    return some / whole if whole else 1.0


def _worst(asked: Sequence[float], got: Sequence[float]) -> float:
    wide = min(len(asked), WORST_NS // STEP_NS)
    return min(
        _part(sum(got[i : i + wide]), sum(asked[i : i + wide]))
        for i in range(max(1, len(asked) - wide))
    )


def _recovery(
    s: Scenario, marks: Sequence[tuple[int, int, str]], asked: Sequence[float], got: Sequence[float]
) -> float | None:
    """Seconds from the last fault's end until the worth is lastingly as before the first."""
    if not marks:
        return None
    first, last = min(a for a, _, _ in marks), max(b for _, b, _ in marks)
    if last >= s.total_ns:
        return None
    wide = RECOVER_NS // STEP_NS
    early = first // STEP_NS
    before = _part(sum(got[:early]), sum(asked[:early])) if first >= RECOVER_NS else 1.0
    end = last // STEP_NS
    found: float | None = None
    for i in range(len(asked) - wide, end - 1, -1):
        if _part(sum(got[i : i + wide]), sum(asked[i : i + wide])) < RECOVERED * before:
            break
        found = max(0.0, (i * STEP_NS - last) / NS)
    return found


def _waste(ledger: Ledger, verdict: Verdict) -> None:
    """Work by the outcome of its attempt and request, as parts of all work done."""
    tries = ledger.tries
    work: Counter[str] = Counter()
    used: set[int] = set()
    for row in ledger.arrivals:
        t = tries[row.txn - 1]
        if row.fate == Fate.REPEAT:
            name = "repeat_dropped"
        elif row.fate == Fate.CANCELLED:
            name = "cancelled"
        elif row.fate != Fate.SERVED:
            name = "failed"
        elif t.answer == Answer.SERVED:
            # With two successful attempts of one request the later one is wasted.
            name = "spare_copy" if row.txn in used else "served"
            used.add(row.txn)
        else:
            name = "client_gone" if t.answer in (Answer.LEFT, Answer.SILENT) else "unused"
        work[name] += row.done
    whole = sum(work.values()) or 1
    verdict.wasted = {name: round(done / whole, 6) for name, done in sorted(work.items()) if done}
