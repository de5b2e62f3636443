"""What a fleet of the target's size asks of each role, from kept slopes: tables for docs/CAPACITY.md. Pure.

A line holds one measured slope, or one bound that stands in the code, against one limit at one size. Sizes
are functions of the target and of a part of it: at part 0.5 there are half of the proxies, backends, changes.
The part at which a line crosses its limit ranks it. What counts at a size is `Slope.worst`.
"""

from __future__ import annotations

import math
import re
import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from mothstall.fleet.failover.report_window import MAX_TRACKED_PROXIES
from mothstall.fleet.failover.reports import MAX_ZONES
from mothstall.fleet.observers.attachment_table import MAX_ATTACHMENTS
from mothstall.fleet.operator_checks import MAX_OBSERVERS
from mothstall.keeper.limits import MAX_CONNECTIONS
from mothstall.lab.scale import fit
from mothstall.lab.scale.fit import FitError, Slope
from mothstall.lab.scale.points import Point
from mothstall.lab.scale.target import Target
from mothstall.net.discovery.discovery import MAX_LIST
from mothstall.store.protocol.frames import MAX_FRAME_BYTES
from mothstall.store.state.limits import MAX_MEMBERS, MAX_ROWS, MAX_SESSIONS

BUSY = 10.0  # the busiest hour against the mean of a day, for changes and restarts: our assumption
TERM_S = (
    1.83  # what an owner may count on of a term of 2 s, less drift and margin: deploy/operator.toml
)
KEEP_S = 10.0  # a plan holds so long without contact: deploy/operator.toml
ELECTION_S = 0.3  # a keeper that computes for longer is taken for dead: deploy/operator.toml
LINK = 125e6  # bytes a second: one Gbit/s
KEEPERS = 3  # that were played
VOTERS = 5  # of the machines for control
OBSERVERS = 2  # a zone, as they were played
PLAYED = 100  # proxies, where changes were played
PLAYED_TIER = 800  # the same behind observers
CLASSES = 32  # of requests, at every proxy: the target has no such number, this one is ours
LOOKS = 10  # of an agent, a second

Size = Callable[[Target, float], float]
Limit = Callable[[Target], float]
Times = float | Callable[[Target, float], float]

GONE = "no tier between keepers and proxies"


def proxies(t: Target, part: float) -> float:
    return part * t.fleet.proxies


def state_rows(t: Target, part: float) -> float:
    """A lease for each member and for each probed backend."""
    return part * (t.fleet.proxies + t.fleet.backends)


def pairs(t: Target, part: float) -> float:
    return part * part * t.fleet.proxies * t.fleet.backends


def changes(t: Target, part: float) -> float:
    """Of configuration, and two of a member's lease for each restart, in the busiest hour."""
    return part * BUSY * (t.changes_per_s + 2 * t.restarts_per_s)


def pushes(t: Target, part: float) -> float:
    """The changes a second that would make as many pushes at the 100 proxies that were played."""
    return changes(t, part) * proxies(t, part) / PLAYED


def tier_pushes(t: Target, part: float) -> float:
    return changes(t, part) * proxies(t, part) / PLAYED_TIER


def moves(t: Target, part: float) -> float:
    """Joins and departures a second, in the busiest hour."""
    return part * BUSY * 2 * t.restarts_per_s


def observers(t: Target) -> int:
    return OBSERVERS * t.fleet.zones


@dataclass(slots=True, frozen=True)
class Line:
    """`series` empty: the value is the size itself, a count that stands against a bound in the code.

    `nothing` and `unmeasured` say that there is no mechanism, or no play, and why; both stand for a verdict.
    """

    role: str
    what: str
    unit: str
    limit: Limit
    why: str  # whose limit
    carried: str  # the mechanism that carries it, or what is missing
    series: str = ""
    axis: str = "proxies"
    values: tuple[str, ...] = ()  # added up
    size: Size = proxies
    times: Times = 1.0
    before: tuple[str, ...] = ()  # the value of the same meaning in points of the text before
    most_of: tuple[str, str] | None = (
        None  # the limit is the most that this value of a series ever reached
    )
    gave_up: tuple[str, str] | None = (
        None  # a size of this series with this value did not come to its end
    )
    nothing: str = ""
    unmeasured: str = ""

    def scale(self, t: Target, part: float) -> float:
        return self.times(t, part) if callable(self.times) else self.times


@dataclass(slots=True, frozen=True)
class Held:
    """A line worked out: `size`, `value` at the target, and the proxies at which it crosses (inf: never)."""

    line: Line
    size: float
    value: float  # by the worst of the forms that are not told apart
    best: float  # by the best form
    limit: float
    crosses: float
    slopes: tuple[Slope, ...]
    missing: str = ""
    ended: str = ""  # the size from which on a play did not come to its end, in words

    @property
    def far(self) -> bool:
        return any(slope.far(self.size) for slope in self.slopes)

    @property
    def verdict(self) -> str:
        if self.line.nothing:
            return f"**carried by nothing**: {self.line.nothing}"
        if self.ended:
            return f"**over: {self.ended}**"
        if self.missing:
            return f"not measured: {self.missing}"
        if self.best <= self.limit < self.value:
            forms = sorted({form.name for slope in self.slopes for form in slope.alike})
            return (
                f"**open**: {', '.join(forms)} not told apart, over by the worst, fits by the best"
            )
        if self.value <= self.limit:
            spare = f"{_times(self.limit / self.value)} to spare" if self.value else "nothing of it"
            return f"fits, {spare}"
        return f"**over, {_times(self.value / self.limit, up=True)}**"


def backends(t: Target, part: float) -> float:
    """Of the whole list, as a proxy has it today: it knows no services."""
    return part * t.fleet.backends


def tenants(t: Target, part: float) -> float:
    return part * t.fleet.tenants


def classes(t: Target, part: float) -> float:
    return float(CLASSES)


def voters_of_a_region(t: Target) -> float:
    voters = [machine.region for machine in placement(t) if machine.keeper]
    return float(max(map(voters.count, voters)))


def added(t: Target) -> float:
    """ms: what holds the loop for longer is added to every request that comes meanwhile."""
    return t.load.added_p99_ms


PATH = "proxy's request path"
LONE = "operators: added for 99 in 100"
TIER, TIER_BY = "behind observers, two a zone", "observers"

LINES: tuple[Line, ...] = (
    Line(
        PATH,
        "added for 99 in 100 at 70 a second, by backends",
        "ms",
        added,
        LONE,
        "members, not the list",
        "request/backends/70",
        "backends",
        ("added_p99",),
        backends,
        0.001,
    ),
    Line(
        PATH,
        "added for 99 in 100 at 210 a second, by backends",
        "ms",
        added,
        LONE,
        "members, not the list",
        "request/backends/210",
        "backends",
        ("added_p99",),
        backends,
        0.001,
    ),
    Line(
        PATH,
        "added for 99 in 100 at 70 a second, by tenants",
        "ms",
        added,
        LONE,
        "turns by tenant",
        "request/tenants/70",
        "tenants",
        ("added_p99",),
        tenants,
        0.001,
    ),
    Line(
        PATH,
        "added for 99 in 100 at 210 a second, by tenants",
        "ms",
        added,
        LONE,
        "turns by tenant",
        "request/tenants/210",
        "tenants",
        ("added_p99",),
        tenants,
        0.001,
    ),
    Line(
        PATH,
        "added for 99 in 100 at 70 a second, by classes",
        "ms",
        added,
        LONE,
        "classes by index",
        "request/classes/70",
        "classes",
        ("added_p99",),
        classes,
        0.001,
    ),
    Line(
        PATH,
        "added for 99 in 100 at 210 a second, by classes",
        "ms",
        added,
        LONE,
        "classes by index",
        "request/classes/210",
        "classes",
        ("added_p99",),
        classes,
        0.001,
    ),
    Line(
        PATH,
        "processor time of its requests, at 70 a second",
        "cores",
        lambda t: 1.0,
        "one thread",
        "one process a proxy",
        "request/backends/70",
        "backends",
        ("cpu_request",),
        backends,
        lambda t, part: 1e-6 * t.requests_per_proxy,
    ),
    Line(
        PATH,
        "processor time of its requests, at 210 a second",
        "cores",
        lambda t: 1.0,
        "one thread",
        "one process a proxy",
        "request/backends/210",
        "backends",
        ("cpu_request",),
        backends,
        lambda t, part: 3e-6 * t.requests_per_proxy,
    ),
    Line(
        PATH,
        "a slot's end, by tenants",
        "ms",
        added,
        LONE,
        "the tenants that asked lately",
        "turn/tenants",
        "tenants",
        ("slot",),
        tenants,
    ),
    Line(
        PATH,
        "a slot's end, by backends",
        "ms",
        added,
        LONE,
        "members, not the list",
        "turn/backends",
        "backends",
        ("slot",),
        backends,
    ),
    Line(
        PATH,
        "a slot's end, by classes",
        "ms",
        added,
        LONE,
        "classes by index",
        "turn/classes",
        "classes",
        ("slot",),
        classes,
    ),
    Line(
        PATH,
        "a request's decisions, by classes",
        "us",
        lambda t: 1e3 * added(t),
        LONE,
        "classes by index",
        "turn/classes",
        "classes",
        ("request",),
        classes,
    ),
    Line(
        PATH,
        "a request's decisions, by tenants",
        "us",
        lambda t: 1e3 * added(t),
        LONE,
        "those that wait",
        "turn/tenants",
        "tenants",
        ("request",),
        tenants,
    ),
    Line(
        PATH,
        "one row that changes",
        "ms",
        added,
        LONE,
        "its place in the ring",
        "list/backends/1",
        "backends",
        ("back_stall",),
        backends,
    ),
    Line(
        PATH,
        "a rack comes back, 170 rows",
        "ms",
        added,
        LONE,
        "missing: a list taken in by parts",
        "list/backends/170",
        "backends",
        ("back_stall",),
        backends,
    ),
    Line(
        PATH,
        "a zone comes back, 8,450 rows",
        "ms",
        added,
        LONE,
        "missing: a list taken in by parts",
        "list/backends/8450",
        "backends",
        ("back_stall",),
        backends,
    ),
    Line(
        PATH,
        "the whole list once more",
        "ms",
        added,
        LONE,
        "missing: services; a list by parts",
        "list/backends/whole",
        "backends",
        ("stall",),
        backends,
    ),
    Line(
        PATH,
        "the whole list, bytes",
        "MB",
        lambda t: MAX_LIST / 1e6,
        "`MAX_LIST`",
        "missing: services",
        "list/backends/whole",
        "backends",
        ("size",),
        backends,
    ),
    Line(
        PATH,
        "processor time of rows that go and come, busiest hour",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators, of control",
        "its place in the ring",
        "list/backends/1",
        "backends",
        ("gone_cpu", "back_cpu"),
        backends,
        lambda t, part: 0.001 * part * BUSY * t.restarts_per_s,
    ),
    Line(
        PATH,
        "memory after a start, by backends",
        "MB",
        lambda t: t.control.proxy_memory_mb,
        "operators, of control; the whole process is held to it",
        "missing: services",
        "start/backends",
        "backends",
        ("memory",),
        backends,
    ),
    Line(
        PATH,
        "the most memory of a start, by backends",
        "MB",
        lambda t: t.control.proxy_memory_mb,
        "operators, of control; the whole process is held to it",
        "missing: services; a list by parts",
        "start/backends",
        "backends",
        ("memory_most",),
        backends,
    ),
    Line(
        PATH,
        "memory after a start, by tenants",
        "MB",
        lambda t: t.control.proxy_memory_mb,
        "operators, of control; the whole process is held to it",
        "missing: tenants of those alone that ask",
        "start/tenants",
        "tenants",
        ("memory",),
        tenants,
    ),
    Line(
        PATH,
        "time to ready, by backends",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        "missing: services",
        "start/backends",
        "backends",
        ("ready",),
        backends,
    ),
    Line(
        PATH,
        "time to ready, by tenants",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        "missing: tenants of those alone that ask",
        "start/tenants",
        "tenants",
        ("ready",),
        tenants,
    ),
    Line(
        PATH,
        "services: the backends of those alone that a proxy serves",
        "1",
        lambda t: 0.0,
        "none",
        "missing: services",
        size=lambda t, part: part * t.fleet.services,
        nothing="a proxy knows no services and asks for the whole list",
    ),
    Line(
        PATH,
        "routes",
        "1",
        lambda t: 0.0,
        "none",
        "missing: a table of routes",
        size=lambda t, part: part * t.fleet.routes,
        nothing="a class is told by a header alone",
    ),
    Line(
        "changes",
        "of settings: classes, tenants, shares",
        "1",
        lambda t: 0.0,
        "none",
        "missing: settings through the keepers",
        size=lambda t, part: part * t.control.changes_a_day,
        nothing="each proxy's own file and SIGHUP; the log carries drains, orders and plans",
    ),
    Line(
        "discovery",
        "watch calls that wait at it",
        "1",
        lambda t: 0.0,
        "its own",
        "each proxy asks for itself",
        unmeasured="its bound is not ours to know",
    ),
    Line(
        "discovery",
        "all proxies start anew: the list to each, within a change's time",
        "B/s",
        lambda t: LINK,
        "one Gbit/s, of one discovery",
        "missing: services; one proxy that asks for a zone",
        "list/backends/whole",
        "backends",
        ("size",),
        backends,
        lambda t, part: 1e6 * part * t.fleet.proxies / t.control.everywhere_s,
    ),
    Line(
        "discovery",
        "rows that go and come to each proxy, busiest hour",
        "B/s",
        lambda t: LINK,
        "one Gbit/s, of one discovery",
        "a delta to each",
        "list/backends/whole",
        "backends",
        ("size",),
        backends,
        lambda t, part: 1e6 * moves(t, part) * part * t.fleet.proxies / (part * t.fleet.backends),
    ),
    Line(
        "proxy's control",
        "bytes of rows that go and come, busiest hour",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators",
        "a delta to each",
        "list/backends/whole",
        "backends",
        ("size",),
        backends,
        lambda t, part: 1e6 * moves(t, part) / (part * t.fleet.backends),
    ),
    Line(
        "proxy's control",
        "processor time, quiet",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        "looks ten times a second at what is held",
        "control/proxies",
        "proxies",
        ("agent_cpu",),
    ),
    Line(
        "proxy's control",
        "processor time with reports, quiet",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        "sums each second",
        "control/reports",
        "proxies",
        ("agent_cpu",),
    ),
    Line(
        "proxy's control",
        "processor time, by changes in the busiest hour",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        "everybody is sent everything",
        "control/changes",
        "changes_per_s",
        ("agent_cpu",),
        changes,
    ),
    Line(
        "proxy's control",
        "bytes, quiet",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators",
        "heartbeats, renewals",
        "control/proxies",
        "proxies",
        ("agent_in", "agent_out"),
    ),
    Line(
        "proxy's control",
        "bytes with reports, quiet",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators",
        "a report a second",
        "control/reports",
        "proxies",
        ("agent_in", "agent_out"),
    ),
    Line(
        "proxy's control",
        "bytes, by changes in the busiest hour",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators",
        "everybody is sent everything",
        "control/changes",
        "changes_per_s",
        ("agent_in", "agent_out"),
        changes,
    ),
    Line(
        "proxy's control",
        "memory, by rows in the state",
        "MB",
        lambda t: t.control.proxy_memory_mb,
        "operators",
        "a snapshot of everything",
        "control/rows",
        "rows",
        ("agent_memory",),
        state_rows,
    ),
    Line(
        "probers",
        "who probes what, at each look",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        "kept up as proxies and backends change",
        "pure/duties",
        "pairs",
        ("look_cpu",),
        pairs,
        LOOKS / 1000,
        ("mine_cpu",),
    ),
    Line(
        "probers",
        "who probes what, one proxy going and one coming a second",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        "a witness for each backend",
        "pure/duties",
        "pairs",
        ("change_cpu",),
        pairs,
        0.001,
        ("mine_cpu",),
    ),
    Line(
        "probers",
        "who probes what, at a start",
        "ms",
        lambda t: t.control.everywhere_s * 1000,
        "operators: as for a change",
        "a witness for each backend",
        "pure/duties",
        "pairs",
        ("first_cpu",),
        pairs,
        1.0,
        ("mine_cpu",),
    ),
    Line(
        "probers",
        "a proxy's whole control with its own backends' probes, by these",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        "a probe a second, a lease each",
        "probe/backends",
        "backends",
        ("idle_cpu", "probing_cpu"),
        lambda t, part: t.fleet.backends / t.fleet.proxies,
    ),
    Line(
        "probers",
        "leases of probes and members",
        "1",
        lambda t: MAX_ROWS,
        "`MAX_ROWS`",
        "missing: a lease for many backends",
        size=state_rows,
    ),
    Line(
        "keeper",
        "processor time of the busiest, quiet",
        "cores",
        lambda t: 1.0,
        "one thread",
        f"renewals through the log: {GONE}",
        "control/proxies",
        "proxies",
        ("keeper_cpu_most",),
    ),
    Line(
        "keeper",
        "processor time of the busiest, with reports",
        "cores",
        lambda t: 1.0,
        "one thread",
        f"each report to each listener: {GONE}",
        "control/reports",
        "proxies",
        ("keeper_cpu_most",),
    ),
    Line(
        "keeper",
        "processor time, pushes in the busiest hour",
        "cores",
        lambda t: 1.0,
        "one thread",
        f"each change to each watcher: {GONE}",
        "control/changes",
        "changes_per_s",
        ("keeper_cpu_most",),
        pushes,
    ),
    Line(
        "keeper",
        "bytes out of the busiest, quiet",
        "B/s",
        lambda t: LINK,
        "one Gbit/s",
        GONE,
        "control/proxies",
        "proxies",
        ("keeper_out_most",),
    ),
    Line(
        "keeper",
        "commits",
        "1/s",
        lambda t: 0.0,
        "the most that were measured, by callers at once",
        f"a lease each through the log: {GONE}",
        "control/proxies",
        "proxies",
        ("commits",),
        most_of=("control/commits", "rate"),
    ),
    Line(
        "keeper",
        "memory, by proxies",
        "MB",
        lambda t: 1024.0,
        "ours: one GB",
        "connections, sessions",
        "control/proxies",
        "proxies",
        ("keeper_memory",),
    ),
    Line(
        "keeper",
        "memory, by rows in the state",
        "MB",
        lambda t: 1024.0,
        "ours: one GB",
        "state, log",
        "control/rows",
        "rows",
        ("keeper_memory",),
        state_rows,
    ),
    Line(
        "keeper",
        "connections, all keepers there",
        "1",
        lambda t: MAX_CONNECTIONS,
        "`MAX_CONNECTIONS`",
        GONE,
        size=lambda t, part: proxies(t, part) / KEEPERS,
    ),
    Line(
        "keeper",
        "connections, one keeper lost",
        "1",
        lambda t: MAX_CONNECTIONS,
        "`MAX_CONNECTIONS`",
        GONE,
        size=lambda t, part: proxies(t, part) / (KEEPERS - 1),
    ),
    Line(
        "keeper",
        "sessions",
        "1",
        lambda t: MAX_SESSIONS,
        "`MAX_SESSIONS`",
        f"one for each proxy: {GONE}",
    ),
    Line(
        "keeper",
        "one snapshot made, while nothing else is done",
        "ms",
        lambda t: ELECTION_S * 1000,
        "an election's time",
        "missing: snapshots off the loop",
        "pure/snapshot",
        "rows",
        ("snapshot_made",),
        state_rows,
    ),
    Line(
        "keeper",
        "one snapshot loaded",
        "ms",
        lambda t: ELECTION_S * 1000,
        "an election's time",
        "missing: snapshots off the loop",
        "pure/snapshot",
        "rows",
        ("snapshot_loaded",),
        state_rows,
    ),
    Line(
        "keeper",
        "all of the state in one frame, to whoever comes anew",
        "MB",
        lambda t: MAX_FRAME_BYTES / 1e6,
        "`MAX_FRAME_BYTES`",
        "missing: a snapshot in pieces; who subscribes to what",
        "pure/snapshot",
        "rows",
        ("snapshot",),
        state_rows,
    ),
    Line(
        "keeper",
        "a change's delta, made",
        "us",
        lambda t: 1000.0,
        "ours: one ms",
        "kept changes",
        "pure/view",
        "rows",
        ("delta_one_cpu",),
        state_rows,
    ),
    Line(
        "proxy's control",
        "one row that changes, taken in",
        "ms",
        lambda t: 1000 * t.control.proxy_cores,
        "operators, at one a second",
        "a copy of the view",
        "pure/view",
        "rows",
        ("after_one_cpu",),
        state_rows,
        0.001,
    ),
    Line(
        "owner of plans",
        "processor time: reports read, a look a second",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators: an owner is a proxy",
        "straight at keepers: each proxy's own report",
        "pure/owner",
        "proxies",
        ("owner_cpu",),
    ),
    Line(
        "owner of plans",
        "bytes of reports",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators: an owner is a proxy",
        "straight at keepers: each proxy's own report",
        "pure/owner",
        "proxies",
        ("owner_in",),
    ),
    Line(
        "owner of plans",
        "proxies whose reports it weighs",
        "1",
        lambda t: MAX_TRACKED_PROXIES,
        "`MAX_PROXIES`",
        "straight at keepers: each proxy's own report",
    ),
    Line(
        "owner of plans",
        "zones of one plan",
        "1",
        lambda t: MAX_ZONES,
        "`MAX_ZONES`",
        "one plan",
        size=lambda t, part: t.fleet.zones,
    ),
    Line(
        "changes",
        "until the last proxy has one",
        "s",
        lambda t: t.control.everywhere_s,
        "operators",
        "pushes, 64 in a turn",
        "control/proxies",
        "proxies",
        ("change_last",),
    ),
    Line(
        TIER,
        "proxy's processor time, quiet",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("agent_cpu",),
    ),
    Line(
        TIER,
        "proxy's processor time with reports",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        TIER_BY,
        "tier/reports",
        "proxies",
        ("agent_cpu",),
    ),
    Line(
        TIER,
        "proxy's bytes, quiet",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("agent_in", "agent_out"),
    ),
    Line(
        TIER,
        "proxy's bytes with reports",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators",
        TIER_BY,
        "tier/reports",
        "proxies",
        ("agent_in", "agent_out"),
    ),
    Line(
        TIER,
        "processor time of the busiest keeper",
        "cores",
        lambda t: 1.0,
        "one thread",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("keeper_cpu_most",),
    ),
    Line(
        TIER,
        "processor time of the busiest keeper, with reports",
        "cores",
        lambda t: 1.0,
        "one thread",
        "sums by zone",
        "tier/reports",
        "proxies",
        ("keeper_cpu_most",),
    ),
    Line(
        TIER,
        "commits",
        "1/s",
        lambda t: 0.0,
        "the most that were measured, by callers at once",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("commits",),
        most_of=("control/commits", "rate"),
    ),
    Line(
        TIER,
        "processor time of the busiest observer",
        "cores",
        lambda t: 1.0,
        "one thread",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("observer_cpu_most",),
    ),
    Line(
        TIER,
        "processor time of the busiest observer, with reports",
        "cores",
        lambda t: 1.0,
        "one thread",
        "sums by zone",
        "tier/reports",
        "proxies",
        ("observer_cpu_most",),
    ),
    Line(
        TIER,
        "an observer that adds reports up",
        "cores",
        lambda t: 1.0,
        "one thread",
        "sums by zone",
        "pure/sums",
        "proxies",
        ("observer_cpu",),
    ),
    Line(
        TIER,
        "owner's processor time: sums read, a look a second",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators: an owner is a proxy",
        "sums by zone",
        "pure/sums",
        "proxies",
        ("owner_cpu",),
    ),
    Line(
        TIER,
        "owner's bytes of sums",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators: an owner is a proxy",
        "sums by zone",
        "pure/sums",
        "proxies",
        ("owner_in",),
    ),
    Line(
        TIER,
        "sums that an owner weighs",
        "1",
        lambda t: MAX_TRACKED_PROXIES,
        "`MAX_PROXIES`",
        "sums by zone",
        size=lambda t, part: observers(t),
    ),
    Line(
        TIER,
        "proxy's processor time, by changes in the busiest hour",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        TIER_BY,
        "tier/changes",
        "changes_per_s",
        ("agent_cpu",),
        changes,
    ),
    Line(
        TIER,
        "proxy's bytes, by changes in the busiest hour",
        "B/s",
        lambda t: t.control.proxy_bytes_per_s,
        "operators",
        TIER_BY,
        "tier/changes",
        "changes_per_s",
        ("agent_in", "agent_out"),
        changes,
    ),
    Line(
        TIER,
        "processor time of the busiest observer, pushes in the busiest hour",
        "cores",
        lambda t: 1.0,
        "one thread",
        TIER_BY,
        "tier/changes",
        "changes_per_s",
        ("observer_cpu_most",),
        tier_pushes,
    ),
    Line(
        TIER,
        "processor time of the busiest keeper, changes in the busiest hour",
        "cores",
        lambda t: 1.0,
        "one thread",
        TIER_BY,
        "tier/changes",
        "changes_per_s",
        ("keeper_cpu_most",),
        changes,
    ),
    Line(
        TIER,
        "keepers and observers together",
        "cores",
        lambda t: t.fleet.control_machines,
        "ours: a core of each machine for control",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("keepers_cpu", "observers_cpu"),
    ),
    Line(
        TIER,
        "bytes out of the busiest keeper",
        "B/s",
        lambda t: LINK,
        "one Gbit/s",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("keeper_out_most",),
    ),
    Line(
        TIER,
        "connections of a keeper, all but one lost",
        "1",
        lambda t: MAX_CONNECTIONS,
        "`MAX_CONNECTIONS`",
        TIER_BY,
        size=lambda t, part: observers(t),
    ),
    Line(
        TIER,
        "observers",
        "1",
        lambda t: MAX_OBSERVERS,
        "`MAX_OBSERVERS`",
        TIER_BY,
        size=lambda t, part: observers(t),
    ),
    Line(
        TIER,
        "members",
        "1",
        lambda t: MAX_MEMBERS,
        "`MAX_MEMBERS`",
        "rows under an observer's lease",
    ),
    Line(
        TIER,
        "sessions, once each proxy owns a probe's lease",
        "1",
        lambda t: MAX_SESSIONS,
        "`MAX_SESSIONS`",
        "missing: one session for an observer's proxies",
    ),
    Line(
        TIER,
        "proxies of an observer, the other one of its zone lost",
        "1",
        lambda t: MAX_ATTACHMENTS,
        "`MAX_SEATS`",
        TIER_BY,
        size=lambda t, part: part * t.proxies_of_a_zone,
    ),
    Line(
        TIER,
        "proxies of an observer, all others of its region lost",
        "1",
        lambda t: MAX_ATTACHMENTS,
        "`MAX_SEATS`",
        TIER_BY,
        size=lambda t, part: part * t.proxies_of_a_region,
    ),
    Line(
        TIER,
        "joins and departures, busiest hour",
        "1/s",
        lambda t: 0.0,
        "the most commits that were measured, were each one of its own",
        "batches",
        size=moves,
        most_of=("control/commits", "rate"),
    ),
    Line(
        TIER,
        "a region's proxies return while the others work",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        TIER_BY,
        unmeasured="no play has it; all at once is above",
    ),
    Line(
        TIER,
        "a real proxy's clients, 99th at 70 a second, with its agent over without",
        "1",
        lambda t: 1.05,
        "ours: within 5%",
        TIER_BY,
        "tier/real",
        "proxies",
        ("p99_ratio_70",),
        lambda t, part: part * t.proxies_of_a_zone,
    ),
    Line(
        TIER,
        "a real proxy's clients, 99th at 210 a second, with its agent over without",
        "1",
        lambda t: 1.05,
        "ours: within 5%",
        TIER_BY,
        "tier/real",
        "proxies",
        ("p99_ratio_210",),
        lambda t, part: part * t.proxies_of_a_zone,
    ),
    Line(
        TIER,
        "a real proxy's agent beside its requests at 70 a second",
        "cores",
        lambda t: t.control.proxy_cores,
        "operators",
        TIER_BY,
        "tier/real",
        "proxies",
        ("agent_cpu_70",),
        lambda t, part: part * t.proxies_of_a_zone,
    ),
    Line(
        TIER,
        "an observer's memory",
        "MB",
        lambda t: 1024.0,
        "ours: one GB",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("observer_memory",),
    ),
    Line(
        TIER,
        "until the last proxy has a change",
        "s",
        lambda t: t.control.everywhere_s,
        "operators",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("change_last",),
    ),
    Line(
        TIER,
        "all proxies start anew, until the last is a member",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("join_last",),
    ),
    Line(
        TIER,
        "an observer is lost, until its proxies are members again",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("observer_kill_last",),
    ),
    Line(
        TIER,
        "the leading keeper is lost: longest silence of a proxy",
        "s",
        lambda t: TERM_S,
        "what a term leaves an owner",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("kill_silence_last",),
    ),
    Line(
        TIER,
        "all keepers start anew: longest silence of a proxy",
        "s",
        lambda t: KEEP_S,
        "a plan holds so long",
        TIER_BY,
        "tier/proxies",
        "proxies",
        ("restart_silence_last",),
    ),
    Line(
        "operators' tools",
        "all of the state read, in one frame",
        "MB",
        lambda t: MAX_FRAME_BYTES / 1e6,
        "`MAX_FRAME_BYTES`",
        "missing: reads of a part",
        "pure/snapshot",
        "rows",
        ("snapshot",),
        state_rows,
    ),
    Line(
        "peak: a zone's proxies come at one instant",
        "until the last is a member",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        "sessions and leases of their own",
        "control/proxies",
        "proxies",
        ("join_last",),
        lambda t, part: part * t.proxies_of_a_zone,
        gave_up=("control/join", "join_gave_up"),
    ),
    Line(
        "peak: a region's proxies return",
        "until the last is a member",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        "sessions and leases of their own",
        "control/proxies",
        "proxies",
        ("join_last",),
        lambda t, part: part * t.proxies_of_a_region,
        gave_up=("control/join", "join_gave_up"),
    ),
    Line(
        "peak: all proxies start anew",
        "until the last is a member",
        "s",
        lambda t: t.control.everywhere_s,
        "operators: as for a change",
        "sessions and leases of their own",
        "control/proxies",
        "proxies",
        ("join_last",),
        gave_up=("control/join", "join_gave_up"),
    ),
    Line(
        "peak: a region is lost",
        "voters lost with it, at most",
        "1",
        lambda t: (VOTERS - 1) // 2,
        "what five keepers bear",
        "voters over regions in turn",
        size=lambda t, part: voters_of_a_region(t),
    ),
    Line(
        "peak: the leading keeper is lost",
        "longest silence of an agent",
        "s",
        lambda t: TERM_S,
        "what a term leaves an owner",
        "another keeper is turned to",
        "control/proxies",
        "proxies",
        ("kill_silence_last",),
    ),
    Line(
        "peak: all keepers start anew",
        "longest silence of an agent",
        "s",
        lambda t: KEEP_S,
        "a plan holds so long",
        "the last snapshot serves on",
        "control/proxies",
        "proxies",
        ("restart_silence_last",),
    ),
)


def slope_of(points: Sequence[Point], line: Line) -> tuple[Slope, ...]:
    """Of the sizes below the first at which a play did not come to its end. Raises FitError."""
    values, below = _values(points, line), _gave_up(points, line)
    rows = [point for point in points if point.axes.get(line.axis, 0.0) < below]
    return tuple(fit.of_points(rows, line.series, line.axis, value) for value in values)


def _gave_up(points: Sequence[Point], line: Line) -> float:
    """The smallest size at which a play of the line's did not come to its end; inf: all did."""
    series, value = line.gave_up or ("", "")
    return min(
        (p.axes[line.axis] for p in points if p.series == series and value in p.values),
        default=math.inf,
    )


def _short_of(points: Sequence[Point], line: Line, size: float) -> str:
    series, value = line.gave_up or ("", "")
    here = [p for p in points if p.series == series and p.axes[line.axis] == size]
    late = [p.values[value] for p in here if value in p.values]
    limit, unit = max(late)
    return f"at {size:,.0f} not within {limit:g} {unit}, {len(late)} of {len(here)}"


def _values(points: Sequence[Point], line: Line) -> tuple[str, ...]:
    there = {value for point in points if point.series == line.series for value in point.values}
    return line.before if line.before and not there.issuperset(line.values) else line.values


def hold(points: Sequence[Point], target: Target, lines: Sequence[Line] = LINES) -> list[Held]:
    found = []
    for line in lines:
        size, limit = line.size(target, 1.0), line.limit(target)
        slopes: tuple[Slope, ...] = ()
        missing = ""
        if line.most_of:
            limit = _most(points, *line.most_of)
            missing = "" if limit else f"{line.most_of[0]} has no {line.most_of[1]}"
        if line.series:
            try:
                slopes = slope_of(points, line)
            except FitError as why:
                missing = str(why)

        def value(part: float, line: Line = line, slopes: tuple[Slope, ...] = slopes) -> float:
            at = line.size(target, part)
            return (
                line.scale(target, part) * sum(slope.worst(at) for slope in slopes)
                if line.series
                else at
            )

        missing = line.unmeasured or missing
        crosses = math.inf if missing else _crossing(value, limit) * target.fleet.proxies
        top = 0.0 if missing else value(1.0)
        best = (
            line.scale(target, 1.0) * sum(slope.best.at(size) for slope in slopes)
            if slopes
            else top
        )
        ended = ""
        if (at := _gave_up(points, line)) <= size:
            ended = _short_of(points, line, at)
            part = _crossing(lambda part, line=line: line.size(target, part), at)  # type: ignore[misc]
            crosses = min(crosses, part * target.fleet.proxies)
        if line.nothing:
            crosses = 0.0
        found.append(Held(line, size, top, best, limit, crosses, slopes, missing, ended))
    return found


def _most(points: Sequence[Point], series: str, value: str) -> float:
    """The highest median over repeats of any size; 0: it was never measured."""
    by: dict[tuple[tuple[str, float], ...], list[float]] = {}
    for point in points:
        if point.series == series and value in point.values:
            by.setdefault(tuple(sorted(point.axes.items())), []).append(point.values[value][0])
    return max((statistics.median(rows) for rows in by.values()), default=0.0)


def _crossing(value: Callable[[float], float], limit: float, most: float = 1000.0) -> float:
    """The part of the target from which on it is over; inf beyond `most` of it. Values grow with the part."""
    if value(most) <= limit:
        return math.inf
    low, high = 0.0, most
    for _ in range(100):
        middle = (low + high) / 2
        low, high = (low, middle) if value(middle) > limit else (middle, high)
    return low


# Text. Numbers that decide are never rounded towards the limit.


def _times(ratio: float, up: bool = False) -> str:
    """A factor of two digits, rounded against us: down where it is to spare, up where it is over."""
    scale = 10.0 ** (math.floor(math.log10(ratio)) - 1) if ratio >= 1 else 0.1
    rounded = (math.ceil if up else math.floor)(round(ratio / scale, 9)) * scale
    return f"{rounded:,.0f} times" if ratio >= 10 else f"{rounded:.1f} times"


def number(value: float) -> str:
    if not math.isfinite(value):
        return "-"
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _up(value: float) -> float:
    """Three digits, never less than it is."""
    if not math.isfinite(value) or value <= 0:
        return value
    scale = 10.0 ** (math.floor(math.log10(value)) - 2)
    return math.ceil(round(value / scale, 6)) * scale


def _amount(value: float, unit: str) -> str:
    if unit == "B/s" and value >= 1000:
        return f"{number(value / 1e6)} MB/s" if value >= 1e6 else f"{number(value / 1000)} kB/s"
    return number(value) if unit == "1" else f"{number(value)} {unit}"


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    return "\n".join([*lines, *(f"| {' | '.join(row)} |" for row in rows)])


def roles_table(held: Sequence[Held]) -> str:
    rows = []
    for row in held:
        line = row.line
        value = "-" if row.missing else _amount(_up(row.value), line.unit)
        if row.best < row.value:
            value = f"{_amount(_up(row.best), line.unit)}; worst {value}"
        run = f"`{line.series}`" if line.series else "none" if line.unmeasured else "counted"
        mark = " (far)" if row.far else ""
        rows.append(
            [
                line.role,
                line.what,
                value + mark,
                f"{_limit(row)} ({line.why})",
                row.verdict,
                line.carried,
                run,
            ]
        )
    return _table(("role", "what", "at the target", "limit", "verdict", "carried by", "run"), rows)


def _limit(row: Held) -> str:
    return _amount(row.limit, row.line.unit) if row.limit else "-"


def ranking_table(held: Sequence[Held], target: Target) -> str:
    broken = sorted(
        (row for row in held if math.isfinite(row.crosses)), key=lambda row: row.crosses
    )
    rows = []
    for row in broken:
        if row.crosses >= 10 * target.fleet.proxies:
            continue
        at = math.floor(row.crosses)
        rows.append(
            [
                number(at) + (" (below all sizes played)" if _below(row, target) else ""),
                f"{row.line.role}: {row.line.what}",
                _limit(row),
                row.verdict,
                row.line.carried,
            ]
        )
    return _table(
        ("proxies at which it breaks", "what", "limit", "at the target", "carried by"), rows
    )


def _below(row: Held, target: Target) -> bool:
    part = row.crosses / target.fleet.proxies
    return bool(row.slopes) and row.line.size(target, part) < row.slopes[0].sizes[0]


def slopes_table(points: Sequence[Point], held: Sequence[Held]) -> str:
    rows, seen = [], set()
    for row in held:
        for value, slope in zip(_values(points, row.line), row.slopes, strict=False):
            key = (row.line.series, row.line.axis, value)
            if key in seen:
                continue
            seen.add(key)
            best = slope.best
            unit = next(
                p.values[value][1] for p in points if p.series == key[0] and value in p.values
            )
            forms = " or ".join(form.name for form in slope.alike)
            coefficient = (
                "-" if best.name == "none" else f"{best.b:.3g} [{best.low:.3g}, {best.high:.3g}]"
            )
            rows.append(
                [
                    f"`{row.line.series}` {value}, {unit}",
                    row.line.axis,
                    " ".join(f"{size:,.0f}" for size in slope.sizes),
                    str(slope.repeats),
                    forms,
                    f"{best.a:.3g}",
                    coefficient,
                    f"{100 * best.residual:.1f}%",
                    f"{row.size / slope.largest:.1f}" + (" **far**" if slope.far(row.size) else ""),
                ]
            )
    head = (
        "value",
        "axis",
        "sizes",
        "repeats",
        "form (not told apart)",
        "a",
        "b [95%]",
        "residual",
        "target over largest",
    )
    return _table(head, rows)


def points_table(points: Sequence[Point], series: str, axis: str, values: Mapping[str, str]) -> str:
    """Medians over repeats as measured, with how many of them have the value."""
    sizes = sorted({point.axes[axis] for point in points if point.series == series})
    rows = []
    for size in sizes:
        here = [point for point in points if point.series == series and point.axes[axis] == size]
        row = [f"{size:,.0f}", str(len(here))]
        for value in values:
            found = [point.values[value][0] for point in here if value in point.values]
            row.append(
                number(statistics.median(found)) + _of(len(found), len(here)) if found else "-"
            )
        rows.append(row)
    return _table((axis, "repeats", *values.values()), rows)


def _of(some: int, all_: int) -> str:
    return "" if some == all_ else f" ({some} of {all_})"


def target_table(target: Target) -> str:
    fleet, control = target.fleet, target.control
    rows = [
        [
            "proxies, backends, services",
            f"{fleet.proxies:,}, {fleet.backends:,}, {fleet.services:,}",
        ],
        ["routes, tenants", f"{fleet.routes:,}, {fleet.tenants:,}"],
        [
            "regions, zones, machines for control",
            f"{fleet.regions}, {fleet.zones}, {fleet.control_machines}",
        ],
        ["requests a second", f"{target.load.requests_per_s:,.0f}"],
        ["requests a second of a proxy", f"{target.requests_per_proxy:.1f}"],
        ["proxies of a zone", f"{target.proxies_of_a_zone:,}"],
        ["proxies of a region, at most", f"{target.proxies_of_a_region:,}"],
        ["backends of a zone", f"{target.backends_of_a_zone:,}"],
        [
            "changes a day; a second; in the busiest hour",
            (
                f"{control.changes_a_day:,.0f}; {target.changes_per_s:.3f}; {BUSY * target.changes_per_s:.2f}"
            ),
        ],
        [
            "restarts and failures a day; a second; in the busiest hour",
            (
                f"{target.failures.restarts_a_day + target.failures.machines_a_day:,.0f}; "
                f"{target.restarts_per_s:.3f}; {BUSY * target.restarts_per_s:.2f}"
            ),
        ],
    ]
    return _table(("what", "number"), rows)


@dataclass(slots=True, frozen=True)
class Machine:
    name: str
    region: int
    zone: int
    keeper: bool


def placement(target: Target, voters: int = VOTERS) -> list[Machine]:
    """Machines over zones in turn, regions in turn within that; voters over regions in turn."""
    fleet = target.fleet
    zones = [(zone % fleet.regions, zone) for zone in range(fleet.zones)]
    given = [zones[i % len(zones)] for i in range(fleet.control_machines)]
    count = min(voters, fleet.control_machines)
    count -= 1 - count % 2  # an even number bears no more than the odd one below it
    order = sorted(
        range(len(given)), key=lambda i: (sum(g[0] == given[i][0] for g in given[:i]), given[i][0])
    )
    chosen = set(order[:count])
    return [Machine(f"c{i + 1}", r, z, i in chosen) for i, (r, z) in enumerate(given)]


def observed(target: Target, each: int = OBSERVERS) -> dict[str, list[int]]:
    """Zones whose observers each machine runs: of its own zone, and of others of its region for the rest.

    So two observers of one zone stand on two machines wherever a region has two.
    """
    machines = placement(target)
    found: dict[str, list[int]] = {machine.name: [] for machine in machines}
    for zone in range(target.fleet.zones):
        near = [m for m in machines if m.region == zone % target.fleet.regions]
        first = next((i for i, m in enumerate(near) if m.zone == zone), 0)
        for i in range(each if near else 0):
            found[near[(first + i) % len(near)].name].append(zone)
    return found


def placement_table(target: Target) -> str:
    machines = placement(target)
    voters = [m for m in machines if m.keeper]
    quorum = len(voters) // 2 + 1
    rows = []
    for region in range(target.fleet.regions):
        here = [m for m in machines if m.region == region]
        left = sum(m.region != region for m in voters)
        zones = sorted({m.zone for m in here})
        of = observed(target)
        seen = [zone for m in here for zone in of[m.name]]
        least = min(
            (seen.count(z) - of[m.name].count(z) for m in here for z in of[m.name]), default=0
        )
        worst = min((sum(m.zone != zone for m in voters) for zone in zones), default=len(voters))
        rows.append(
            [
                f"region {region + 1}",
                ", ".join(f"zone {zone + 1}" for zone in zones) or "none",
                ", ".join(m.name + (" (keeper)" if m.keeper else "") for m in here) or "none",
                "; ".join(f"{m.name}: {', '.join(str(z + 1) for z in of[m.name])}" for m in here)
                or "none",
                f"{len(voters) - 1} of {len(voters)}",
                _left(worst, len(voters), quorum),
                _left(left, len(voters), quorum),
                f"{least} of {OBSERVERS}",
            ]
        )
    head = (
        "where",
        "zones",
        "machines",
        "observers of zones",
        "keepers left when one machine goes",
        "a zone",
        "the region",
        "observers left to a zone when one machine goes",
    )
    return _table(head, rows)


def _left(left: int, of: int, quorum: int) -> str:
    return f"{left} of {of}, {'a quorum' if left >= quorum else '**no quorum**'}"


def runs_table(points: Sequence[Point]) -> str:
    """What was run, of which text, on which machine, beside what."""
    rows: dict[tuple[str, ...], list[Point]] = {}
    for point in points:
        key = (point.series, point.revision, str(point.cores), point.beside)
        rows.setdefault(key, []).append(point)
    found = []
    for (series, revision, cores, beside), here in rows.items():
        seeds = sorted({point.seed for point in here})
        found.append(
            [
                f"`{series}`",
                str(len(here)),
                f"{seeds[0]} to {seeds[-1]}",
                f"`{revision}`",
                cores,
                beside,
            ]
        )
    return _table(("series", "points", "seeds", "text", "cores", "beside"), found)


@dataclass(slots=True)
class Sets:
    """Points of now, and of the text before where there are some."""

    now: list[Point]
    before: list[Point] = field(default_factory=list)


JOINING = {
    "joined": "members",
    "join_last": "the last after, s",
    "join_gave_up": "given up after, s",
    "join_commits": "commits a proxy",
    "join_calls": "calls a proxy",
}


FAULTS = {
    "rack_gone": "a rack's are no members, s",
    "rack_back": "are back, s",
    "zone_gone": "a zone's are no members, s",
    "zone_back": "are back, s",
    "rolling": "settled after restarts, s",
    "rolling_leases_lost": "leases lost by them",
    "cut_back": "settled after a region's cut, s",
    "majority_back": "after the majority's loss, s",
    "wrong": "wrong",
}


REPORTS = {
    "joined": "members",
    "join_last": "the last after, s",
    "join_gave_up": "given up after, s",
    "join_commits": "commits a proxy",
    "agent_cpu": "a proxy, cores",
    "observer_cpu_most": "busiest observer",
    "keeper_cpu_most": "busiest keeper",
    "change_last": "a change, the last, s",
    "observer_kill_last": "an observer lost, s",
}


STARTS = {
    "ready": "ready, s",
    "cpu": "processor time, s",
    "memory": "memory, MB",
    "memory_most": "at most, MB",
}


CATCH_UP = {"keeper_start": "listens after, s", "caught_up": "has all after, s"}


COMMITS = {
    "rate": "commits a second",
    "took_median": "median, s",
    "took_p99": "99th, s",
    "keeper_cpu_most": "busiest keeper, cores",
}


TIER_FAULTS = {
    "rack_gone": "a rack's are no members, s",
    "rack_back": "are back, s",
    "zone_gone": "a zone's with its observers, s",
    "zone_back": "are back, s",
    "observer_moved": "a killed observer's are another's, s",
    "rolling": "settled after restarts, s",
    "rolling_leases_lost": "leases lost by them",
    "cut_back": "settled after a region's cut, s",
    "majority_back": "after the majority's loss, s",
    "wrong": "wrong",
}


SPANS = ("rack", "zone", "rolling", "cut", "majority", "observer", "after")
CLIENTS = {
    "before_p99": "99th before, ms",
    **{f"{span}_p99_ratio": f"{span}, over before" for span in SPANS},
    **{f"{span}_served": f"{span}, served" for span in SPANS},
}


REAL = {
    f"{key}_{rate}": f"{words}, {rate} a second"
    for rate in (70, 210)
    for key, words in (
        ("p99_off", "99th without, us"),
        ("p99_on", "99th with, us"),
        ("p99_ratio", "with over without"),
        ("p99_ratio_low", "at least"),
        ("p99_ratio_high", "at most"),
        ("agent_cpu", "agent, cores"),
        ("bad_on", "not served with"),
        ("bad_off", "without"),
    )
}


PROBING = {
    "idle_cpu": "agent without, cores",
    "probing_cpu": "probing, cores",
    "probes": "probes a second",
    "commits": "commits a second",
}


REQUESTS = {
    "straight_p50": "straight p50, us",
    "straight_p99": "straight p99, us",
    "added_p50": "added p50, us",
    "added_p99": "added p99, us",
    "cpu_request": "processor time a request, us",
    "memory": "memory, MB",
    "bad": "not served",
}


def request_table(points: Sequence[Point], axis: str) -> str:
    """Medians over repeats at both rates."""
    names = sorted(
        {p.series for p in points if p.series.startswith(f"request/{axis}/")},
        key=lambda name: int(name.rpartition("/")[2]),
    )
    rows = []
    for series in names:
        for line in points_table(points, series, axis, REQUESTS).splitlines()[2:]:
            rows.append([series.rpartition("/")[2], *line.strip("| ").split(" | ")])
    return _table(("requests a second", axis, "repeats", *REQUESTS.values()), rows)


def pooled_table(points: Sequence[Point]) -> str:
    """All points of `tier/real` as one: the geometric mean of what is with over without, and its interval."""
    rows = []
    for rate in (70, 210):
        for key in ("p50", "p99", "cpu"):
            logs = [
                math.log(point.values[f"{key}_ratio_{rate}"][0])
                for point in points
                if point.series == "tier/real" and f"{key}_ratio_{rate}" in point.values
            ]
            if len(logs) < 2:
                continue
            middle = statistics.fmean(logs)
            half = fit.student(len(logs) - 1) * statistics.stdev(logs) / math.sqrt(len(logs))
            cells = [f"{math.exp(value):.3f}" for value in (middle, middle - half, middle + half)]
            what = "processor time a request" if key == "cpu" else key
            rows.append([str(rate), what, str(len(logs)), *cells])
    return _table(
        ("requests a second", "what", "points", "with over without", "at least", "at most"), rows
    )


def tables(sets: Sets, target: Target) -> dict[str, str]:
    """By the name of their markers."""
    held = hold(sets.now, target)
    found = {
        "target": target_table(target),
        "roles": roles_table(held),
        "ranking": ranking_table(held, target),
        "slopes": slopes_table(sets.now, held),
        "joining": points_table(sets.now, "control/join", "proxies", JOINING),
        "faults": points_table(sets.now, "control/faults", "proxies", FAULTS),
        "placement": placement_table(target),
        "runs": runs_table(sets.now),
        **{
            f"request-{axis}": request_table(sets.now, axis)
            for axis in ("backends", "tenants", "classes")
        },
        "starts": "\n\n".join(
            points_table(sets.now, f"start/{axis}", axis, STARTS)
            for axis in ("backends", "tenants")
        ),
        "tier-reports": points_table(sets.now, "tier/reports", "proxies", REPORTS),
        "catch-up": points_table(sets.now, "control/catch-up", "changes", CATCH_UP),
        "commits": points_table(sets.now, "control/commits", "callers", COMMITS),
        "tier-faults": points_table(sets.now, "tier/faults", "proxies", TIER_FAULTS),
        "tier-clients": points_table(sets.now, "tier/faults", "proxies", CLIENTS),
        "tier-real": points_table(sets.now, "tier/real", "proxies", REAL),
        "tier-real-pooled": pooled_table(sets.now),
        "probing": points_table(sets.now, "probe/backends", "backends", PROBING),
    }
    if sets.before:
        found["before"] = before_table(sets, target)
        found["mechanism"] = mechanism_table(sets, target)
        found["joining-before"] = points_table(sets.before, "control/join", "proxies", JOINING)
        found["runs-before"] = runs_table(sets.before)
    return found


def before_table(sets: Sets, target: Target) -> str:
    """Lines whose slopes are there of both texts, side by side."""
    rows = []
    for old, new in zip(hold(sets.before, target), hold(sets.now, target), strict=True):
        if not old.line.series or not (old.slopes or new.slopes):
            continue
        unit = old.line.unit
        rows.append(
            [
                f"{old.line.role}: {old.line.what}",
                "-" if old.missing else _amount(_up(old.value), unit),
                number(math.floor(old.crosses)) if math.isfinite(old.crosses) else "-",
                "-" if new.missing else _amount(_up(new.value), unit),
                number(math.floor(new.crosses)) if math.isfinite(new.crosses) else "-",
            ]
        )
    head = (
        "what",
        "before, at the target",
        "breaks at, proxies",
        "now, at the target",
        "breaks at, proxies",
    )
    return _table(head, rows)


WAYS = (
    ("straight, before", "control/proxies"),
    ("straight, now", "control/proxies"),
    ("observers", "tier/proxies"),
)
OF_THE_TIER: tuple[tuple[str, str, tuple[str, ...], Limit], ...] = (
    ("busiest keeper's processor time", "cores", ("keeper_cpu_most",), lambda t: 1.0),
    ("commits a second, of the most measured", "1/s", ("commits",), lambda t: 0.0),
    ("bytes out of the busiest keeper", "B/s", ("keeper_out_most",), lambda t: LINK),
    ("joining at one instant, the last", "s", ("join_last",), lambda t: t.control.everywhere_s),
    ("a change, the last", "s", ("change_last",), lambda t: t.control.everywhere_s),
    ("leading keeper lost, longest silence", "s", ("kill_silence_last",), lambda t: TERM_S),
    ("all keepers anew, longest silence", "s", ("restart_silence_last",), lambda t: KEEP_S),
    ("a proxy's processor time", "cores", ("agent_cpu",), lambda t: t.control.proxy_cores),
    (
        "a proxy's bytes in and out",
        "B/s",
        ("agent_in", "agent_out"),
        lambda t: t.control.proxy_bytes_per_s,
    ),
)


def mechanism_table(sets: Sets, target: Target) -> str:
    """Medians as measured at each size: straight at keepers before and now, and behind observers."""
    kept = (sets.before, sets.now, sets.now)
    sizes = sorted(
        {p.axes["proxies"] for p in (*sets.before, *sets.now) if p.series in dict(WAYS).values()}
    )
    rows = []
    for what, unit, values, limit in OF_THE_TIER:
        for (way, series), points in zip(WAYS, kept, strict=True):
            if not (bound := limit(target)):
                bound = _most(sets.now, "control/commits", "rate") or math.inf
            line = Line(
                "",
                what,
                unit,
                lambda t, most=bound: most,  # type: ignore[misc]
                "",
                "",
                series,
                "proxies",
                values,
            )
            (held,) = hold(points, target, (line,))
            forms = [" or ".join(form.name for form in slope.alike) for slope in held.slopes]
            best, worst = _amount(_up(held.best), unit), _amount(_up(held.value), unit)
            at = "-" if held.missing else f"{best}; worst {worst}"
            breaks = number(math.floor(held.crosses)) if math.isfinite(held.crosses) else "-"
            cells = [_median_at(points, series, values, size, unit) for size in sizes]
            rows.append([what, way, *cells, "; ".join(forms), at, breaks])
    head = (
        "what",
        "way",
        *(f"{size:,.0f}" for size in sizes),
        "form",
        "at the target",
        "breaks at, proxies",
    )
    return _table(head, rows)


def _median_at(
    points: Sequence[Point], series: str, values: Sequence[str], size: float, unit: str
) -> str:
    here = [p.values for p in points if p.series == series and p.axes["proxies"] == size]
    there = [sum(row[value][0] for value in values) for row in here if set(values) <= set(row)]
    return _amount(statistics.median(there), unit) if there else "-"


_MARK = re.compile(r"(<!-- table: ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


class PageError(ValueError):
    """The page's markers do not fit; the message is one line."""


def written(page: str, found: Mapping[str, str]) -> str:
    """The page with its tables made anew. Raises PageError."""
    named = [match[2] for match in _MARK.finditer(page)]
    if page.count("<!-- table: ") != len(named):
        raise PageError("a table's marker has no end")
    if unknown := [name for name in named if name not in found]:
        raise PageError(f"no table {unknown[0]!r}: {', '.join(found)}")
    return _MARK.sub(lambda match: f"{match[1]}{found[match[2]]}\n{match[3]}", page)
