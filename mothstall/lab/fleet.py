"""Scenarios of a whole fleet of processes: the TOML schema for keepers, observers, proxies and faults.

A fault selects processes by name (`k1`, `o1`, `p2`, `b3`), by group (`keepers`, `observers`, `proxies`,
`boxes`), by zone (`z1`, or one group of it, `z1.boxes`; the processes of each kind are assigned to the zones
in turn), by their role when the fault begins (`leader`, `followers`, `owner:LEASE`, `others:LEASE`), at random
(`any-keeper`, `any-proxy`), or reuses the selection of an earlier fault (`@label`, with `as = "label"` there).
The message of FleetScenarioError is one line with the path of the key.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from mothstall.durations import Duration, parse_duration

SHIPPED = Path(__file__).parent / "fleets"
_SELECTOR = re.compile(
    r"[kopb][1-9]\d?|keepers|observers|proxies|boxes|z[1-9](\.(keepers|observers|proxies|boxes))?"
    r"|leader|followers"
    r"|any-(keeper|proxy|box)|(owner|others):[\w/.-]+|@[\w-]+"
)


class FleetScenarioError(ValueError):
    """A scenario is invalid; the message is one line and names the key at fault."""


class _TomlStruct(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    pass


class _Fault(_TomlStruct, tag_field="kind", kw_only=True, frozen=True):
    at: Duration
    label: str = msgspec.field(name="as", default="")


class Stop(_Fault, tag="stop", frozen=True):
    """Suspends processes (SIGSTOP) and resumes them (SIGCONT) after `duration`."""

    who: str
    duration: Duration = msgspec.field(name="lasts")


class Kill(_Fault, tag="kill", frozen=True):
    """Kills processes (SIGKILL) and starts them again after `downtime`; 0: never."""

    who: str
    downtime: Duration = msgspec.field(name="back", default=parse_duration("0s"))


class Cut(_Fault, tag="cut", kw_only=True, frozen=True):
    """A partition between two groups, in one direction or both; bytes sent meanwhile are delayed or lost."""

    who: str
    to: str
    # "there" (from `who` to `to`), "back" or "both".
    direction: str = msgspec.field(name="way", default="both")
    is_lossy: bool = msgspec.field(name="lose", default=False)
    duration: Duration = msgspec.field(name="lasts")


class Delay(_Fault, tag="delay", kw_only=True, frozen=True):
    who: str
    to: str
    delay: Duration = msgspec.field(name="by")
    jitter: Duration = parse_duration("0s")
    direction: str = msgspec.field(name="way", default="there")
    duration: Duration = msgspec.field(name="lasts")


class Throttle(_Fault, tag="throttle", kw_only=True, frozen=True):
    who: str
    to: str
    bytes_per_s: float = msgspec.field(name="rate")  # in each direction of each connection
    duration: Duration = msgspec.field(name="lasts")


class Reset(_Fault, tag="reset", kw_only=True, frozen=True):
    who: str
    to: str


class Disk(_Fault, tag="disk", kw_only=True, frozen=True):
    """Commits of keepers stall, are slow, or fail because the disk is full."""

    who: str
    mode: str = msgspec.field(name="word")  # stall, slow or full
    duration: Duration = msgspec.field(name="lasts")


class OldDisk(_Fault, tag="old-disk", kw_only=True, frozen=True):
    """A keeper is killed and restarts with a copy of its disk from `age` before."""

    who: str
    age: Duration
    downtime: Duration = msgspec.field(name="back", default=parse_duration("500ms"))


class BitFlip(_Fault, tag="flip", kw_only=True, frozen=True):
    """A keeper is killed, one bit of its newest log entry is flipped, and it restarts."""

    who: str
    downtime: Duration = msgspec.field(name="back", default=parse_duration("500ms"))


class FailingBackend(_Fault, tag="ill", kw_only=True, frozen=True):
    """Backends answer health probes and requests with status 500."""

    who: str
    duration: Duration = msgspec.field(name="lasts")


class SlowBackend(_Fault, tag="slow", kw_only=True, frozen=True):
    """Backends add latency to a fraction of their requests; health probes stay fast."""

    who: str
    added_latency: Duration = msgspec.field(name="by")
    fraction: float = msgspec.field(name="part", default=1.0)
    duration: Duration = msgspec.field(name="lasts")


class RestartBackend(_Fault, tag="restart", kw_only=True, frozen=True):
    """Backends restart cold, and the endpoint list shows their new start time."""

    who: str


class OperatorCall(_Fault, tag="say", kw_only=True, frozen=True):
    """An operator's command: drain, undrain (a backend; with `to`, at that proxy only), seize (a lease),
    transfer, remove, add (a keeper), evacuate, resume (a zone), hold (the failover plan, for a minute)."""

    verb: str = msgspec.field(name="word")
    target: str = msgspec.field(name="name_of", default="")  # backend, lease, keeper or zone
    to: str = ""
    must_fail: bool = msgspec.field(name="fails", default=False)  # rejected, or no keeper reached


Fault = (
    Stop
    | Kill
    | Cut
    | Delay
    | Throttle
    | Reset
    | Disk
    | OldDisk
    | BitFlip
    | FailingBackend
    | SlowBackend
    | RestartBackend
    | OperatorCall
)
ZONE_VERBS = ("evacuate", "resume", "hold")
OPERATOR_VERBS = ("drain", "undrain", "seize", "transfer", "remove", "add", *ZONE_VERBS)


class Expectations(_TomlStruct, frozen=True):
    """Observations that a run must contain to prove that its faults had the intended effect."""

    # Effects with an older fencing token that receivers rejected, at least.
    rejected_effects: int = msgspec.field(name="refused", default=0)
    owners: int = 0  # different senders whose effects under one lease were accepted, at least
    # Minimum fraction of the clients' requests that get a 200.
    served_fraction: float = msgspec.field(name="served", default=0.9)
    writes: int = 1  # acknowledged, at least
    # Start and end of a period without a quorum, in which no lease holder may act.
    no_effects_during: tuple[Duration, Duration] | None = msgspec.field(name="quiet", default=None)
    # Drains set at one proxy that reached the store, at least.
    forwarded_drains: int = msgspec.field(name="handed", default=0)
    # Longest time from an owner's stop or kill to the next owner's first effect; 0: any.
    replaced_within: Duration = parse_duration("0s")
    # Longest time from the first fault until the served fraction is back at its level before the fault, and
    # from the end of all faults until the cross-zone fraction is back at its level before; 0: any.
    shifted_within: Duration = parse_duration("0s")
    recovered_within: Duration = msgspec.field(name="back_within", default=parse_duration("0s"))
    plans: int = 0  # failover plans published through the store, at least
    # Plans at most; 0 where no zone is at fault.
    max_plans: int = msgspec.field(name="most_plans", default=100)
    # Connections of proxies to observers beyond the first one of each proxy, at least.
    observer_moves: int = msgspec.field(name="moves", default=0)
    # Fraction of requests that must cross zones during the faults, at least.
    crossing_fraction: float = msgspec.field(name="crossing", default=0.0)


class FleetScenario(_TomlStruct, kw_only=True, frozen=True):
    description: str = msgspec.field(name="tries")
    seconds: float = 14.0
    keepers: int = 3
    observers: int = 0  # between keepers and proxies; with at least one, no proxy may dial a keeper
    proxies: int = 3
    backends: int = msgspec.field(name="boxes", default=4)
    rate: float = 20.0  # requests a second at each proxy
    lease_term: Duration = msgspec.field(name="term", default=parse_duration("2s"))
    election: Duration = parse_duration("300ms")  # election timeout
    probe_every: Duration = parse_duration("500ms")
    probe_timeout: Duration = parse_duration("400ms")
    snapshot_every: int = 2000  # changes
    # Fraction of the connections between keepers that are reset each second, drawn by seed.
    reset_fraction: float = msgspec.field(name="loss", default=0.0)
    spares: int = 0  # configured keepers that start only when an operator adds them
    has_key: bool = msgspec.field(name="key", default=False)  # all processes share a key
    zones: int = 1
    regions: tuple[tuple[str, ...], ...] = ()  # zones that are close to each other
    failover: bool = False
    # Requests a second that a warm backend serves; 0: unlimited.
    backend_capacity: float = msgspec.field(name="bears", default=0.0)
    cross_zone_fee: float = msgspec.field(name="fee", default=0.0)  # in the proxies' settings
    is_long: bool = msgspec.field(name="long", default=False)  # left out of `all` and of CI
    faults: tuple[Fault, ...] = ()
    expects: Expectations = Expectations()
    name: str = ""


def zone_of(spec: FleetScenario, name: str) -> str:
    """The zone of a process: the processes of each kind are assigned to z1, z2, ... in turn."""
    return f"z{1 + (int(name[1:]) - 1) % spec.zones}"


def _decode_hook(kind: type, value: Any) -> Any:
    if kind is Duration:
        return parse_duration(value)
    raise NotImplementedError(kind)


def scenario_names(include_long: bool = True) -> list[str]:
    """The names of the shipped scenarios, sorted; `include_long` False leaves out the long ones."""
    found = sorted(path.stem for path in SHIPPED.glob("*.toml"))
    return [name for name in found if include_long or not load(name).is_long]


def load(which: str) -> FleetScenario:
    """A shipped scenario by name, or the file at a path that ends in .toml."""
    if not which.endswith(".toml") and which not in scenario_names():
        raise FleetScenarioError(
            f"fleet {which}: no such shipped scenario; `mothstall lab fleet list` lists them"
        )
    path = Path(which) if which.endswith(".toml") else SHIPPED / f"{which}.toml"
    try:
        tree = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise FleetScenarioError(f"fleet {which}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FleetScenarioError(f"fleet {which}: invalid TOML: {error}") from error
    return from_tree(tree, path.stem)


def from_tree(tree: dict[str, Any], name: str) -> FleetScenario:
    try:
        found = msgspec.convert({**tree, "name": name}, FleetScenario, dec_hook=_decode_hook)
    except msgspec.ValidationError as error:
        raise FleetScenarioError(f"fleet {name}: {error}") from error
    for key_path, message in _validation_errors(found):
        raise FleetScenarioError(f"fleet {name}: {key_path} {message}")
    return found


def _validation_errors(spec: FleetScenario) -> Iterator[tuple[str, str]]:
    """Yields the path of each invalid key and what is wrong with it."""
    if not 1.0 <= spec.seconds <= 600.0:
        yield "$.seconds", "must be 1 to 600"
    if spec.keepers not in (1, 3, 5):
        yield "$.keepers", "must be 1, 3 or 5"
    if not 1 <= spec.zones <= 9 or not 0 <= spec.backend_capacity <= 1e4:
        yield "$.zones", "must be 1 to 9, and bears 0 to 10000"
    zones = {f"z{i + 1}" for i in range(spec.zones)}
    for i, row in enumerate(spec.regions):
        if not row or set(row) - zones:
            yield (
                f"$.regions[{i}]",
                f"must be a non-empty list of zones among {', '.join(sorted(zones))}",
            )
    if not 0 <= spec.observers <= 9:
        yield "$.observers", "must be 0 to 9"
    if not 0 <= spec.spares <= 2:
        yield "$.spares", "must be 0 to 2"
    if not 1 <= spec.proxies <= 12 or not 1 <= spec.backends <= 24:
        yield "$.proxies", "must be 1 to 12, and boxes 1 to 24"
    if not 0 <= spec.rate <= 500 or not 0 <= spec.reset_fraction < 1:
        yield "$.rate", "must be 0 to 500, and loss 0 to 1"
    labels: set[str] = set()
    for i, fault in enumerate(spec.faults):
        at = f"$.faults[{i}]"
        if fault.at > spec.seconds * 1e9:
            yield f"{at}.at", f"is after the run's {spec.seconds:g} s"
        for key in ("who", "to"):
            who = getattr(fault, key, "")
            if who and not _SELECTOR.fullmatch(who):
                yield f"{at}.{key}", f"is not a process or group: {who!r}"
            if who.startswith("@") and who[1:] not in labels:
                yield f"{at}.{key}", f"no earlier fault has as = {who[1:]!r}"
        if isinstance(fault, Cut | Delay) and fault.direction not in ("there", "back", "both"):
            yield f"{at}.way", "must be there, back or both"
        if isinstance(fault, SlowBackend) and not 0 < fault.fraction <= 1:
            yield f"{at}.part", "must be above 0 and 1 at most"
        if isinstance(fault, Disk) and fault.mode not in ("stall", "slow", "full"):
            yield f"{at}.word", "must be stall, slow or full"
        if isinstance(fault, OperatorCall) and fault.verb not in OPERATOR_VERBS:
            yield f"{at}.word", f"must be one of {', '.join(OPERATOR_VERBS)}"
        labels.add(fault.label)
