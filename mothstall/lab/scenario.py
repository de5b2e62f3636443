"""Scenario files: the TOML schema of a fleet, its load and its faults, with validation.

Durations are text with a unit (`250us`, `40ms`, `1.5s`, `2m`) and become whole nanoseconds. An
unknown key, a wrong unit or an impossible value raises ScenarioError: one line with the key's path.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, Literal

import msgspec

from mothstall import interface as io
from mothstall.durations import Duration, parse_duration
from mothstall.settings import from_json

SHIPPED = Path(__file__).parent / "scenarios"
NS = io.NS
_EFFECTS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
ANSWER_SLACK_NS = 20_000_000
REPORT_NAMES = ("inflight", "queue", "util")


class ScenarioError(ValueError):
    """The scenario is invalid; the message is one line and names the key at fault."""


class _Part(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    pass


class Boxes(_Part, kw_only=True, frozen=True):
    """A group of identical backends; without a zone they are assigned to all zones in rotation."""

    count: int = 6
    zone: str | None = None
    cores: int = 2
    speed: float = 1.0
    queue: int = 40  # most requests that wait for a core; more are rejected
    connections: int = 160
    handshake: Duration = parse_duration("4ms")  # work that a new connection adds
    idle: Duration = parse_duration("20s")  # idle timeout of a connection
    runs_on: bool = False  # work continues after its request is cancelled
    contention: float = 0.0  # slowdown of each request per request queued or running
    cell: int = 0


class Proxies(_Part, frozen=True):
    count: int = 3
    known_age: Duration = parse_duration("0s")  # age of the cached endpoint list at a proxy's start


class Rules(_Part, kw_only=True, frozen=True):
    """The contract and limits in the settings of every proxy."""

    drain_grace: Duration = parse_duration("600ms")
    cold_from: float = 0.2
    cold: Duration = parse_duration("12s")
    warm_shape: float = 1.0  # exponent of capacity over age; above 1 is slower than linear
    fall_multiple: float = 2.5
    fall: Duration = parse_duration("2s")
    max_attempts: int = 4
    second_copies: bool = True
    cancelling: bool = True
    retry_after: bool = True
    max_retry_after: Duration = parse_duration("1500ms")
    connect_timeout: Duration = parse_duration("150ms")
    reports: tuple[str, ...] = ("util", "queue")
    report_age: Duration = parse_duration("0s")
    cross_zone_fee: float = 0.0
    tick: Duration = parse_duration("5ms")


class Kind(_Part, kw_only=True, frozen=True):
    """A request class."""

    name: str
    part: float  # of all traffic
    work: Duration  # on one core of speed 1, warm
    spread: float = 0.35  # sigma of the lognormal distribution of its work
    waits: Duration = parse_duration("0s")  # time on a dependency, without a core
    aim: Duration = parse_duration("300ms")
    deadline: Duration = parse_duration("1500ms")
    worth: float = 1.0
    late_value: float = 0.3
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window: Duration = parse_duration("0s")


class Tenant(_Part, kw_only=True, frozen=True):
    name: str
    part: float  # of all traffic
    share: float  # of the fleet's capacity; sets the quota
    told: bool = True


class Clients(_Part, frozen=True):
    """The clients: an open arrival process, and their retries after an unsuccessful request."""

    fill: float = 0.55  # work of the arrivals over the capacity of the warm fleet
    rate: float = 0.0  # arrivals a second; takes precedence over fill
    tries: int = 3
    at_once: float = 0.2  # part that retries without a wait
    wait: Duration = parse_duration("250ms")  # mean wait of the others
    obeys: float = 1.0  # part that obeys Retry-After
    marks: bool = True  # whether retries are marked as retries
    hurried: float = 0.0  # part that leaves at `leaves` of the deadline that it sent
    leaves: float = 0.4
    endures: float = 1.0  # limit of all retries together, in deadlines from the first request
    keys: int = 0  # number of distinct subjects (cache keys) of requests; 0: none
    zipf: float = 1.1
    miss_cost: float = (
        0.0  # relative extra work where the subject is not among a backend's last `warm`
    )
    warm: int = 200


class Network(_Part, frozen=True):
    near: Duration = parse_duration("400us")  # one way within a zone
    far: Duration = parse_duration("4ms")
    jitter: float = 0.3
    notice: Duration = parse_duration("2s")  # until clients avoid a dead proxy


class Discovery(_Part, frozen=True):
    mode: Literal["watch", "ask"] = "ask"
    lag: Duration = parse_duration("800ms")  # from a change to its publication in the list
    ask_within: Duration = parse_duration("10s")
    service: Duration = parse_duration("4ms")  # time per call; calls are served in sequence


class _Trouble(_Part, tag_field="kind", kw_only=True, frozen=True):
    at: Duration
    lasts: Duration = parse_duration("5s")


class _OnBoxes(_Trouble, frozen=True):
    boxes: int = 0  # number of backends, drawn by seed; 0: use part
    part: float = 0.0
    zone: str | None = None


class Slow(_OnBoxes, tag="slow", frozen=True):
    """Another program takes most of the machine, in phases of `on` and `off`."""

    factor: float = 6.0
    on: Duration = parse_duration("0s")  # 0: permanently
    off: Duration = parse_duration("0s")


class Hang(_OnBoxes, tag="hang", frozen=True):
    """Accepts requests and never responds; requests in flight at its end are reset."""


class Pause(_OnBoxes, tag="pause", frozen=True):
    """The process is stopped, then continues where it was."""


class Crash(_OnBoxes, tag="crash", frozen=True):
    """The process dies and restarts cold under the same id."""


class Failing(_OnBoxes, tag="failing", frozen=True):
    """Immediate error responses to a part of the requests."""

    odds: float = 1.0


class Resets(_OnBoxes, tag="resets", frozen=True):
    """Connections break after the request arrived; half of these requests have run."""

    odds: float = 0.5


class Spoilt(_OnBoxes, tag="spoilt", frozen=True):
    """Unreadable responses to requests that have run."""

    odds: float = 0.5


class Cut(_OnBoxes, tag="cut", frozen=True):
    """The network loses all packets in one direction, or in both."""

    way: Literal["in", "out", "both"] = "out"


class ZoneLost(_Trouble, tag="zone-lost", kw_only=True, frozen=True):
    """A zone's backends and proxies vanish without a reset; the backends restart cold."""

    zone: str


class Deploy(_Trouble, tag="deploy", frozen=True):
    """Backends are replaced in batches: drained, stopped, then a cold successor with a new id."""

    batch: float = 0.2
    every: Duration = parse_duration("3s")
    drain: Duration = parse_duration("1500ms")
    only: float = 1.0  # part of the fleet that is replaced


class DiscoveryDown(_Trouble, tag="discovery-down", frozen=True):
    pass


class DiscoveryStale(_Trouble, tag="discovery-stale", frozen=True):
    """The service responds, but publishes no changes."""


class ProxyKilled(_Trouble, tag="proxy-killed", frozen=True):
    proxies: int = 1


class ProxyHot(_Trouble, tag="proxy-hot", frozen=True):
    factor: float = 4.0


class Dependency(_Trouble, tag="dependency", kw_only=True, frozen=True):
    """The dependency of one class is down: its requests hang, fail or slow down everywhere."""

    cls: str
    how: Literal["hang", "fail", "slow"] = "hang"
    factor: float = 8.0


class Burst(_Trouble, tag="burst", frozen=True):
    factor: float = 2.0
    tenant: str | None = None
    cls: str | None = None


Fault = (
    Slow
    | Hang
    | Pause
    | Crash
    | Failing
    | Resets
    | Spoilt
    | Cut
    | ZoneLost
    | Deploy
    | DiscoveryDown
    | DiscoveryStale
    | ProxyKilled
    | ProxyHot
    | Dependency
    | Burst
)
BackendFault = Slow | Hang | Pause | Crash | Failing | Resets | Spoilt | Cut

_KINDS = (
    Kind(name="search", part=0.55, work=parse_duration("25ms")),
    Kind(
        name="read",
        part=0.25,
        work=parse_duration("35ms"),
        waits=parse_duration("10ms"),
        aim=parse_duration("400ms"),
    ),
    Kind(
        name="file",
        part=0.14,
        work=parse_duration("40ms"),
        aim=parse_duration("400ms"),
        worth=2.0,
        effect="keyed",
        window=parse_duration("1800ms"),
    ),
    Kind(
        name="sign",
        part=0.06,
        work=parse_duration("45ms"),
        aim=parse_duration("400ms"),
        worth=4.0,
        effect="unsafe",
    ),
)
_TENANTS = (
    Tenant(name="north", part=0.5, share=0.35),
    Tenant(name="south", part=0.2, share=0.25),
    Tenant(name="shore", part=0.2, share=0.25),
    Tenant(name="hills", part=0.1, share=0.15),
)


class Scenario(_Part, kw_only=True, frozen=True):
    tries: str  # one sentence: what the scenario tests
    name: str = ""
    seconds: float = 40.0
    zones: tuple[str, ...] = ("east", "west")
    traffic: tuple[float, ...] = ()  # share of the clients in each zone; empty: even
    boxes: tuple[Boxes, ...] = (Boxes(),)
    proxies: Proxies = Proxies()
    rules: Rules = Rules()
    classes: tuple[Kind, ...] = _KINDS
    tenants: tuple[Tenant, ...] = _TENANTS
    clients: Clients = Clients()
    network: Network = Network()
    discovery: Discovery = Discovery()
    troubles: tuple[Fault, ...] = ()

    @property
    def total_ns(self) -> int:
        return int(self.seconds * NS)

    @property
    def backend_count(self) -> int:
        return sum(group.count for group in self.boxes)

    @property
    def capacity(self) -> float:
        """Capacity of the warm fleet in cores of speed 1: seconds of work per second."""
        return sum(group.count * group.cores * group.speed for group in self.boxes)

    @property
    def rate(self) -> float:
        """First requests per second, without bursts and retries."""
        if self.clients.rate:
            return self.clients.rate
        parts = sum(kind.part for kind in self.classes)
        work = sum(kind.part * kind.work for kind in self.classes) / parts
        return self.clients.fill * self.capacity * NS / work


def _hook(kind: type, value: object) -> object:
    if kind is Duration:
        return parse_duration(value)
    raise NotImplementedError(f"{kind} cannot be read")  # pragma: no cover


def from_tree(tree: dict[str, Any], name: str) -> Scenario:
    """Convert and validate a parsed TOML document. Raises ScenarioError."""
    try:
        read = msgspec.convert({**tree, "name": name}, Scenario, dec_hook=_hook)
    except msgspec.ValidationError as error:
        text = " ".join(str(error).split())
        raise ScenarioError(f"scenario {name}: {text}") from error
    for path, problem in _defects(read):
        raise ScenarioError(f"scenario {name}: {problem} - at `$.{path}`")
    return read


def _defects(s: Scenario) -> Iterator[tuple[str, str]]:
    """Find values that the types allow but that are out of range or inconsistent."""
    if not 1 <= s.seconds <= 3600:
        yield "seconds", "must be 1 to 3600"
    if not s.zones or len(set(s.zones)) < len(s.zones):
        yield "zones", "must hold at least one name, and each name once"
    if s.traffic and (len(s.traffic) != len(s.zones) or min(s.traffic) < 0 or not sum(s.traffic)):
        yield "traffic", "must hold a share for each zone, none negative, not all 0"
    if not 1 <= s.backend_count <= 2000:
        yield "boxes", "must be 1 to 2000 in all"
    for i, group in enumerate(s.boxes):
        if group.zone is not None and group.zone not in s.zones:
            yield f"boxes[{i}].zone", f"no zone is named {group.zone!r}"
        if group.count < 1 or group.cores < 1 or group.speed <= 0 or group.connections < 1:
            yield f"boxes[{i}]", "count, cores, speed and connections must be above 0"
        if group.queue < 0 or group.contention < 0:
            yield f"boxes[{i}]", "queue and contention must not be negative"
    if not 1 <= s.proxies.count <= 1000:
        yield "proxies.count", "must be 1 to 1000"
    if not s.classes:
        yield "classes", "must hold at least one class"
    lists: tuple[tuple[str, Sequence[Kind | Tenant]], ...] = (
        ("classes", s.classes),
        ("tenants", s.tenants),
    )
    for label, rows in lists:
        names = [row.name for row in rows]
        if len(set(names)) < len(names):
            yield label, "must not hold a name twice"
        for i, row in enumerate(rows):
            if row.part < 0 or not row.name:
                yield f"{label}[{i}]", "needs a name, and a part of 0 or more"
        if rows and not sum(row.part for row in rows):
            yield label, "parts must not all be 0"
    for i, kind in enumerate(s.classes):
        if not 0 < kind.aim <= kind.deadline or kind.work <= 0:
            yield f"classes[{i}]", "needs work, and an aim of at most the deadline"
        if kind.effect == "keyed" and not kind.window:
            yield f"classes[{i}].window", "a keyed class needs a window"
    yield from _rule_defects(s)
    for i, fault in enumerate(s.troubles):
        yield from _fault_defects(s, f"troubles[{i}]", fault)


def _rule_defects(s: Scenario) -> Iterator[tuple[str, str]]:
    if not 0 < s.rules.cold_from <= 1 or s.rules.fall_multiple <= 1:
        yield "rules", "cold_from must be 0 to 1, fall_multiple above 1"
    if not 0 < s.rules.warm_shape <= 1:
        yield (
            "rules.warm_shape",
            "must be above 0 and at most 1, else a backend is colder than the settings state",
        )
    if s.rules.max_attempts < 1:
        yield "rules.max_attempts", "must be 1 or more"
    for name in s.rules.reports:
        if name not in REPORT_NAMES:
            yield "rules.reports", f"must be of {', '.join(REPORT_NAMES)}, not {name!r}"
    c = s.clients
    if c.rate < 0 or c.fill <= 0 or c.tries < 1 or not 0 < c.leaves <= 1 or c.endures <= 0:
        yield "clients", "fill, tries, leaves, endures must be above 0, rate not negative"
    for name in ("at_once", "obeys", "hurried"):
        if not 0 <= getattr(c, name) <= 1:
            yield f"clients.{name}", "must be 0 to 1"
    if s.rate > 100_000:
        yield "clients.rate", f"comes to {s.rate:.0f} a second, more than 100000"


def _fault_defects(s: Scenario, path: str, t: Fault) -> Iterator[tuple[str, str]]:
    if t.at >= s.total_ns:
        yield f"{path}.at", f"begins after the run's end at {s.seconds:g} s"
    if t.lasts <= 0:
        yield f"{path}.lasts", "must be above 0"
    if isinstance(t, BackendFault):
        if not 0 <= t.part <= 1 or not 0 <= t.boxes <= s.backend_count or not (t.part or t.boxes):
            yield path, f"needs boxes (at most {s.backend_count}) or a part of 0 to 1"
        if isinstance(t, Slow) and bool(t.on) != bool(t.off):
            yield f"{path}.on", "must be set together with `off`"
    if isinstance(t, BackendFault | ZoneLost) and t.zone is not None and t.zone not in s.zones:
        yield f"{path}.zone", f"no zone is named {t.zone!r}"
    if isinstance(t, Failing | Resets | Spoilt) and not 0 < t.odds <= 1:
        yield f"{path}.odds", "must be above 0, at most 1"
    if isinstance(t, Slow | ProxyHot | Burst | Dependency) and t.factor <= 0:
        yield f"{path}.factor", "must be above 0"
    if isinstance(t, ProxyKilled) and not 1 <= t.proxies <= s.proxies.count:
        yield f"{path}.proxies", f"must be 1 to {s.proxies.count}"
    if isinstance(t, Deploy) and (not 0 < t.batch <= 1 or not 0 < t.only <= 1 or t.every <= 0):
        yield path, "batch and only must be above 0, at most 1; every above 0"
    if (
        isinstance(t, Dependency | Burst)
        and t.cls is not None
        and t.cls not in [k.name for k in s.classes]
    ):
        yield f"{path}.cls", f"no class is named {t.cls!r}"
    if (
        isinstance(t, Burst)
        and t.tenant is not None
        and t.tenant not in [x.name for x in s.tenants]
    ):
        yield f"{path}.tenant", f"no tenant is named {t.tenant!r}"


def names() -> list[str]:
    """Names of the shipped scenarios, sorted."""
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


def load(source: str) -> Scenario:
    """Read a shipped scenario by name, or the file at a .toml path. Raises ScenarioError."""
    path = Path(source) if source.endswith(".toml") else SHIPPED / f"{source}.toml"
    if not source.endswith(".toml") and source not in names():
        raise ScenarioError(
            f"scenario {source}: not shipped; `mothstall lab list` shows the shipped ones"
        )
    try:
        tree = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(f"scenario {source}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"scenario {source}: not TOML: {error}") from error
    return from_tree(tree, path.stem)


def settings_tree(s: Scenario, position: int) -> dict[str, Any]:
    """The settings of the proxy at a position, as the nested tables of its configuration."""
    total = sum(t.share for t in s.tenants) or 1.0
    total_rate = s.rate / max(s.clients.fill, 0.05) if not s.clients.rate else s.rate * 1.5
    return {
        "classes": [
            {
                "name": k.name,
                "aim-ns": int(k.aim),
                "deadline-ns": int(k.deadline),
                "worth": k.worth,
                "late-value": k.late_value,
                "effect": _EFFECTS[k.effect],
                "group": k.group,
                "window-ns": int(k.window),
                "streaming": False,
            }
            for k in s.classes
        ],
        "customers": [
            {
                "name": t.name,
                "share": t.share / total,
                "allowance-per-s": round(total_rate * t.share / total, 6),
            }
            for t in s.tenants
        ],
        "contract": {
            "answer-slack-ns": ANSWER_SLACK_NS,
            "ask-within-ns": int(s.discovery.ask_within),
            "stop-sending-within-ns": int(s.rules.drain_grace),
            "cold-from": s.rules.cold_from,
            "cold-ns": int(s.rules.cold),
            "fall-multiple": s.rules.fall_multiple,
            "fall-ns": int(s.rules.fall),
        },
        "limits": {
            "max-attempts": s.rules.max_attempts,
            "parallel-tries": s.rules.second_copies,
            "cancelling": s.rules.cancelling,
            "probes": False,
            "retry-after": s.rules.retry_after,
            "max-retry-after-ns": int(s.rules.max_retry_after),
            "connect-timeout-ns": int(s.rules.connect_timeout),
            "keepalive-ns": min(int(group.idle) for group in s.boxes),
        },
        "discovery": "push" if s.discovery.mode == "watch" else "ask",
        "fees": {"cross-zone": s.rules.cross_zone_fee},
        "extra": {"warm-keys": s.clients.keys > 0},
        "telemetry": {"names": list(s.rules.reports)},
        "zones": list(s.zones),
        "zone": position % len(s.zones),
        "kinds": ["box"],
        "position": position,
        "replicas-of-me": s.proxies.count,
        "round-ns": int(s.rules.tick),
    }


def settings(s: Scenario, position: int) -> io.Settings:
    """The settings as the policy gets them, read with the parser of real proxies."""
    return from_json(settings_tree(s, position))


def with_duration(s: Scenario, seconds: float) -> Scenario:
    """The scenario with another duration, without later faults. Raises ScenarioError."""
    kept = tuple(t for t in s.troubles if t.at < seconds * NS)
    changed = msgspec.structs.replace(s, seconds=seconds, troubles=kept)
    for path, problem in _defects(changed):
        raise ScenarioError(f"scenario {s.name}: {problem} - at `$.{path}`")
    return changed
