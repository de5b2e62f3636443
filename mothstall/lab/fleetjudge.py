"""Checks a fleet run from the records of receivers, clients and callers of the store alone. Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from mothstall.lab import zonejudge
from mothstall.lab.fleet import FleetScenario
from mothstall.lab.standins import Observations
from mothstall.lab.zonejudge import FaultPeriod

PROXY_DRAIN_S = 0.5  # time in which a drain set at a proxy takes effect there
STORE_DRAIN_S = 1.0  # added for a drain set in the store to reach connected proxies
WINDOW_S = 3.0  # length of the windows in which at most one healthy backend may be idle
PROBE_SLACK = 2  # highest allowed multiple of the planned probe rate, in any second


@dataclass(slots=True, frozen=True)
class Violation:
    """A broken rule; `at` in seconds since the begin of the run."""

    rule: str
    at: float
    description: str


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """A write under the lab's own lease; `acked` is the time of its acknowledgement, 0.0 without one."""

    value: int
    sent: float
    acked: float


@dataclass(slots=True, frozen=True)
class ReadRecord:
    value: int
    began: float
    ended: float


@dataclass(slots=True, frozen=True)
class DrainRecord:
    """An accepted drain of a backend, at one proxy or at all, with its start and end."""

    backend: str
    proxy: str  # empty: all proxies
    since: float
    until: float


@dataclass(slots=True)
class RunRecord:
    """Results that callers of the store got, and the effect of the injected faults on processes."""

    writes: list[WriteRecord] = field(default_factory=list)
    reads: list[ReadRecord] = field(default_factory=list)
    drains: list[DrainRecord] = field(default_factory=list)
    # Process, from, to: periods in which it was stopped, killed or cut off.
    exempt: list[tuple[str, float, float]] = field(default_factory=list)
    # Leases whose owner was stopped or killed, with the time of that fault.
    owner_faults: list[tuple[str, float]] = field(default_factory=list)
    forwarded_drains: int = 0  # drains set at one proxy that were then found in the store
    failing_backends: list[str] = field(default_factory=list)  # backends made to fail or to be slow
    # Backend, time of its restart.
    restarted_backends: list[tuple[str, float]] = field(default_factory=list)
    fault_period: FaultPeriod | None = None
    plan_number: int = 0  # of the newest failover plan read from the store
    # Time of a change, names of all members after it.
    membership_changes: list[tuple[float, frozenset[str]]] = field(default_factory=list)
    # Members whose lease was in force at the last read of the store's state.
    live_members: set[str] = field(default_factory=set)
    # Proxy, the keeper that it dialled.
    keeper_connections: list[tuple[str, str]] = field(default_factory=list)
    # Proxy, from, to: periods in which it may lose its membership.
    halted_proxies: list[tuple[str, float, float]] = field(default_factory=list)
    observer_moves: int = 0  # connections to observers beyond the first one of each proxy
    # Operator commands that did not have the expected result.
    command_failures: list[str] = field(default_factory=list)

    def add_fault(self, at: float, duration_s: float) -> None:
        """Extends the fault period by a fault that begins at `at` and lasts `duration_s` seconds."""
        old = self.fault_period or FaultPeriod(at, at)
        self.fault_period = FaultPeriod(min(old.since, at), max(old.until, at + duration_s))


@dataclass(slots=True)
class CheckResult:
    violations: list[Violation]
    figures: dict[str, float]


def check_run(spec: FleetScenario, observed: Observations, record: RunRecord) -> CheckResult:
    violations = [
        *_check_tokens(observed),
        *_check_drains(observed, record),
        *_check_writes(record),
        *_check_served(spec, observed, record),
        *_check_probes(spec, observed),
        *(_check_members(spec, record) if spec.observers else []),
        # A failover plan may take a whole zone out of use, so that its backends are idle.
        *([] if spec.failover else _check_idle_backends(spec, observed, record)),
        *(Violation("operators", 0.0, description) for description in record.command_failures),
        *_check_expectations(spec, observed, record),
    ]
    zone_violations, zone_figures = zonejudge.check_failover(
        spec, observed, record.fault_period, record.plan_number, dict(record.restarted_backends)
    )
    violations += [Violation(*row) for row in zone_violations]
    served = [row for row in observed.client_requests if row.status == 200]
    replacement_times = _replacement_times(observed, record)
    figures = {
        "requests": len(observed.client_requests),
        "served": round(len(served) / max(1, len(observed.client_requests)), 4),
        "effects": sum(not e.rejected_reason for e in observed.effects),
        "refused_late": sum(bool(e.rejected_reason) for e in observed.effects),
        "writes_acked": sum(w.acked > 0 for w in record.writes),
        "reads": len(record.reads),
        **(
            {"moves": record.observer_moves, "member_changes": len(record.membership_changes)}
            if spec.observers
            else {}
        ),
        "replaced_s": round(max(replacement_times), 3) if replacement_times else 0.0,
        **zone_figures,
    }
    return CheckResult(sorted(violations, key=lambda b: b.at), figures)


def _check_tokens(observed: Observations) -> list[Violation]:
    """No receiver accepts an effect with an older token, and a token belongs to one sender."""
    found = []
    highest: dict[tuple[str, str], tuple[int, str, float]] = {}
    owner: dict[tuple[str, int], str] = {}
    for e in observed.effects:
        if e.rejected_reason:
            continue
        token, sender, at = highest.get((e.receiver, e.lease), (0, "", 0.0))
        if e.token < token:
            found.append(
                Violation(
                    "token order",
                    e.at,
                    f"{e.receiver} accepted {e.lease} token {e.token} of {e.sender} at {e.at:.3f} s, "
                    f"after token {token} of {sender} at {at:.3f} s",
                )
            )
        else:
            highest[(e.receiver, e.lease)] = (e.token, e.sender, e.at)
        first_sender = owner.setdefault((e.lease, e.token), e.sender)
        if first_sender != e.sender:
            description = f"{e.lease} token {e.token} came from {first_sender} and from {e.sender}"
            found.append(Violation("one owner", e.at, description))
    return found


def _is_exempt(record: RunRecord, proxy: str, since: float, until: float) -> bool:
    return any(who == proxy and a < until and b > since for who, a, b in record.exempt)


def _check_drains(observed: Observations, record: RunRecord) -> list[Violation]:
    """No proxy sends new requests to a drained backend.

    A proxy that was stopped or cut off is bound only by drains that were set at itself.
    """
    found = []
    for d in record.drains:
        begins = d.since + PROXY_DRAIN_S + (0.0 if d.proxy else STORE_DRAIN_S)
        for row in observed.backend_requests:
            if (
                row.backend != d.backend
                or not begins < row.at < d.until
                or d.proxy not in ("", row.proxy)
            ):
                continue
            if not d.proxy and _is_exempt(record, row.proxy, d.since - 3.0, row.at):
                continue
            description = f"{row.proxy} sent to {d.backend}, drained since {d.since:.3f} s"
            found.append(Violation("drain", row.at, description))
            break
    return found


def _check_writes(record: RunRecord) -> list[Violation]:
    """A read that began after a write was acknowledged sees that write or a later one."""
    found = []
    for read in record.reads:
        acknowledged = max((w.value for w in record.writes if 0 < w.acked < read.began), default=0)
        if read.value < acknowledged:
            description = (
                f"a read at {read.began:.3f} s returned {read.value}, "
                f"though {acknowledged} was acknowledged before"
            )
            found.append(Violation("acknowledged write lost", read.began, description))
        if read.value > max((w.value for w in record.writes if w.sent < read.ended), default=0):
            description = f"a read returned {read.value}, which was never written"
            found.append(Violation("a write from nowhere", read.began, description))
    return found


def _check_served(
    spec: FleetScenario, observed: Observations, record: RunRecord
) -> list[Violation]:
    """Clients are served throughout, except at proxies that were stopped, killed or cut off."""
    seconds: dict[int, list[bool]] = defaultdict(list)
    failures: dict[int, Counter[str]] = defaultdict(Counter)
    for row in observed.client_requests:
        if row.at >= spec.seconds:
            continue  # sent while the processes shut down
        if not _is_exempt(record, row.proxy, row.at - 0.5, row.at + max(row.took_s, 0.5)):
            seconds[int(row.at)].append(row.status == 200)
            failures[int(row.at)][f"{row.status} at {row.proxy}"] += row.status != 200
    found = []
    for second, answered in sorted(seconds.items()):
        if len(answered) >= 5 and sum(answered) < spec.expects.served_fraction * len(answered):
            failure_counts = ", ".join(
                f"{count} {kind}" for kind, count in sorted(failures[second].items()) if count
            )
            description = (
                f"{sum(answered)} of {len(answered)} requests answered "
                f"in second {second} ({failure_counts})"
            )
            found.append(Violation("traffic flows", float(second), description))
    return found


def _check_members(spec: FleetScenario, record: RunRecord) -> list[Violation]:
    """Behind observers no proxy dials a keeper, and every live proxy stays a member."""
    found = [
        Violation("keepers never", 0.0, f"{proxy} dialled {keeper}")
        for proxy, keeper in record.keeper_connections
    ]
    proxies = {f"p{i + 1}" for i in range(spec.proxies)}
    for at, names in record.membership_changes:
        if lost := [name for name in sorted(proxies - names) if not _was_halted(record, name, at)]:
            found.append(
                Violation("member lost", at, f"{', '.join(lost)} out of the log at {at:.3f} s")
            )
            break
    if lost := [
        name
        for name in sorted(proxies - record.live_members)
        if not _was_halted(record, name, spec.seconds)
    ]:
        found.append(
            Violation(
                "member at the end",
                spec.seconds,
                f"{', '.join(lost)} not a member at the end",
            )
        )
    return found


def _was_halted(record: RunRecord, proxy: str, at: float) -> bool:
    """Whether the proxy may have lost its membership: stopped, killed or cut off, or just back."""
    return any(who == proxy and since <= at <= until for who, since, until in record.halted_proxies)


def _check_probes(spec: FleetScenario, observed: Observations) -> list[Violation]:
    """All proxies together probe a backend at most twice as often as planned in any second.

    Probes that a link had delayed count at the time of their arrival.
    """
    planned_rate = 1e9 / spec.probe_every
    # Plus 1: a window of one second may include a probe at each of its ends.
    max_probes = PROBE_SLACK * planned_rate + 1
    by_backend: dict[str, list[float]] = defaultdict(list)
    for e in observed.effects:
        if not e.rejected_reason:
            by_backend[e.receiver].append(e.at)
    found = []
    for backend, times in by_backend.items():
        first = 0
        for i, at in enumerate(times):
            while times[first] < at - 1.0:
                first += 1
            if i - first + 1 > max_probes:
                found.append(
                    Violation(
                        "probes",
                        at,
                        f"{backend} was probed {i - first + 1} times in one second",
                    )
                )
                break
    return found


def _check_idle_backends(
    spec: FleetScenario, observed: Observations, record: RunRecord
) -> list[Violation]:
    """Backends that neither failed nor were drained get requests in every window, from all proxies together.

    One backend may be idle: the mechanism reserves a group for its priority flow, which may hold a backend
    without using it. A single proxy at a low rate leaves two idle for 3 s now and then without any fault.
    """
    exempt = {d.backend for d in record.drains} | set(record.failing_backends)
    backends = {f"b{i + 1}" for i in range(spec.backends)} - exempt
    receivers: dict[int, set[str]] = defaultdict(set)
    senders: dict[int, set[str]] = defaultdict(set)
    for row in observed.backend_requests:
        window = int(row.at // WINDOW_S)
        if not _is_exempt(record, row.proxy, WINDOW_S * window, WINDOW_S * (window + 1)):
            receivers[window].add(row.backend)
            senders[window].add(row.proxy)
    found = []
    for window, names in sorted(receivers.items()):
        since, missing = WINDOW_S * window, backends - names
        if len(missing) > 1 and len(senders[window]) > 1 and since + WINDOW_S <= spec.seconds:
            description = (
                f"no proxy sent to {', '.join(sorted(missing))} "
                f"from {since:g} to {since + WINDOW_S:g} s"
            )
            found.append(Violation("box put out", since, description))
    return found


def _replacement_times(observed: Observations, record: RunRecord) -> list[float]:
    """Seconds from each stop or kill of an owner to the first accepted effect with a newer token."""
    replacement_times = []
    for lease, at in record.owner_faults:
        before = [
            e for e in observed.effects if e.lease == lease and e.at <= at and not e.rejected_reason
        ]
        if before:
            old = before[-1]
            rest = (
                e
                for e in observed.effects
                if e.lease == lease and e.at > at and not e.rejected_reason
            )
            replacement_times += [e.at - at for e in rest if e.token > old.token][:1]
    return replacement_times


def _check_expectations(
    spec: FleetScenario, observed: Observations, record: RunRecord
) -> list[Violation]:
    found = []
    rejected = sum(bool(e.rejected_reason) for e in observed.effects)
    if rejected < spec.expects.rejected_effects:
        found.append(
            f"{rejected} late effects were rejected, {spec.expects.rejected_effects} expected"
        )
    by_lease: dict[str, set[str]] = defaultdict(set)
    for e in observed.effects:
        if not e.rejected_reason:
            by_lease[e.lease].add(e.sender)
    owners = max((len(v) for v in by_lease.values()), default=0)
    if owners < spec.expects.owners:
        found.append(f"{owners} senders acted under one lease, {spec.expects.owners} expected")
    acked = sum(w.acked > 0 for w in record.writes)
    if acked < spec.expects.writes:
        found.append(f"{acked} writes were acknowledged, {spec.expects.writes} expected")
    if record.observer_moves < spec.expects.observer_moves:
        found.append(
            f"proxies moved to another observer {record.observer_moves} times, "
            f"{spec.expects.observer_moves} expected"
        )
    if record.forwarded_drains < spec.expects.forwarded_drains:
        found.append(
            f"{record.forwarded_drains} drains set at a proxy reached the store, "
            f"{spec.expects.forwarded_drains} expected"
        )
    if spec.expects.no_effects_during:
        since, until = (at / 1e9 for at in spec.expects.no_effects_during)
        effects = [e for e in observed.effects if since < e.at < until and not e.rejected_reason]
        if effects:
            e = effects[0]
            found.append(
                f"{e.sender} acted on {e.receiver} with {e.lease} token {e.token} at {e.at:.3f} s"
            )
    gaps, within = _replacement_times(observed, record), spec.expects.replaced_within / 1e9
    if within and (not gaps or max(gaps) > within):
        longest = f"{max(gaps):.3f} s" if gaps else "never"
        found.append(f"time to replace an owner: {longest}, at most {within:g} s expected")
    return [Violation("shown", spec.seconds, description) for description in found]
