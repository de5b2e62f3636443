"""Parses the settings of an instance, from the simulator's text or from nested JSON.

Only this module defines the defaults and maps the keys of the settings, which are documented for
operators, to the attributes of `interface.Settings`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypeVar

from mothstall.errors import MothstallError
from mothstall.interface import Effect, KeyScope, RequestClass, Settings, Tenant


class SettingsError(MothstallError, ValueError):
    """A setting is missing or invalid; the message names its key."""


T = TypeVar("T")

_EFFECTS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.IDEMPOTENT_WITH_KEY,
    "side_effect": Effect.NON_IDEMPOTENT,
}
_KEY_SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
_FLAGS = {"true": True, "false": False}
# Whether load is reported only to probes, by the values of `telemetry.source`.
_LOAD_BY_PROBES = {"answers": False, "probe": True, "none": False}


MAX_NUMBER = 1e12  # numbers must be less
MAX_FEE = 1e6  # points; fees must be less
MIN_TIMER_NS = 1_000_000  # shorter timers would keep the event loop busy


def _number(text: str) -> float:
    """Parse a finite, non-negative number; ValueError for anything else."""
    number = float(text)
    if not 0 <= number < MAX_NUMBER:
        raise ValueError(text)
    return number


def _fraction(text: str) -> float:
    fraction = _number(text)
    if fraction > 1:
        raise ValueError(text)
    return fraction


def _fee(text: str) -> float:
    fee = _number(text)
    if fee >= MAX_FEE:
        raise ValueError(text)
    return fee


def count(text: str) -> int:
    """Parse a non-negative integer.

    Raises:
        ValueError: The text is not a non-negative integer.
    """
    number = int(text)
    if number < 0:
        raise ValueError(text)
    return number


def _positive(text: str) -> int:
    number = count(text)
    if number < 1:
        raise ValueError(text)
    return number


def timer_ns(text: str) -> int:
    """Parse a duration in nanoseconds, at least `MIN_TIMER_NS`.

    Raises:
        ValueError: The text is not an integer, or the duration is too short.
    """
    duration_ns = count(text)
    if duration_ns < MIN_TIMER_NS:
        raise ValueError(text)
    return duration_ns


class _Pairs:
    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def get(self, path: str, read: Callable[[str], T], default: T | None = None) -> T:
        raw = self.values.get(path)
        if raw is None:
            if default is None:
                raise SettingsError(f"setting {path} is missing")
            return default
        try:
            return read(raw)
        except (KeyError, ValueError) as why:
            raise SettingsError(f"setting {path} cannot be read: {raw[:60]!r}") from why


def parse(text: str) -> Settings:
    """Parse settings from `path=value` lines.

    Raises:
        SettingsError: A key is missing or unreadable.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, sep, value = line.partition("=")
        if sep:
            values[path.strip()] = value.strip()
    return _settings(values)


def from_json(tree: Mapping[str, object]) -> Settings:
    """Convert settings from nested JSON with the keys and units of the `path=value` lines.

    Raises:
        SettingsError: A key is missing or unreadable.
    """
    values: dict[str, str] = {}
    for key, value in tree.items():
        _flatten(key, value, values)
    return _settings(values)


def _flatten(path: str, value: object, into: dict[str, str]) -> None:
    if isinstance(value, Mapping):
        for key, inner in value.items():
            _flatten(f"{path}.{key}", inner, into)
    elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        into[f"{path}.count"] = str(len(value))
        for i, item in enumerate(value):
            _flatten(f"{path}.{i}", item, into)
    elif isinstance(value, list):
        into[path] = ",".join(str(item).replace(",", "_") for item in value)
        if not value:  # an empty list may be a list of objects, which need a count
            into[f"{path}.count"] = "0"
    elif isinstance(value, bool):
        into[path] = "true" if value else "false"
    elif isinstance(value, float) and value.is_integer():
        into[path] = str(int(value))
    elif value is not None:
        into[path] = str(value)


def _classes(pairs: _Pairs) -> tuple[RequestClass, ...]:
    get = pairs.get
    classes = []
    for index in range(get("classes.count", int)):
        prefix = f"classes.{index}."
        classes.append(
            RequestClass(
                objective_ns=get(prefix + "aim-ns", timer_ns),
                deadline_ns=get(prefix + "deadline-ns", timer_ns),
                priority_weight=get(prefix + "worth", _number),
                late_weight=get(prefix + "late-value", _number, 0.0),
                effect=get(prefix + "effect", _EFFECTS.__getitem__),
                group=get(prefix + "group", _KEY_SCOPES.__getitem__, KeyScope.ALL),
                window_ns=get(prefix + "window-ns", count, 0),
                streaming=get(prefix + "streaming", _FLAGS.__getitem__, False),
            )
        )
    if not classes:
        raise SettingsError("setting classes.count must be 1 or more")
    return tuple(classes)


def _tenants(pairs: _Pairs) -> tuple[Tenant, ...]:
    get = pairs.get
    return tuple(
        Tenant(
            share=get(f"customers.{index}.share", _number),
            quota_per_s=get(f"customers.{index}.allowance-per-s", _number, 0.0),
        )
        for index in range(get("customers.count", int, 0))
    )


def _settings(values: Mapping[str, str]) -> Settings:
    pairs = _Pairs(values)
    get = pairs.get
    classes = _classes(pairs)
    tenants = _tenants(pairs)
    names = get("telemetry.names", str, "")
    return Settings(
        classes=classes,
        tenants=tenants,
        zone=get("zone", int),
        position=get("position", int, 0),
        proxies=max(1, get("replicas-of-me", int)),
        discovery_push=get("discovery", {"push": True, "ask": False}.__getitem__),
        poll_within_ns=get("contract.ask-within-ns", timer_ns, 10_000_000_000),
        drain_grace_ns=get("contract.stop-sending-within-ns", count),
        initial_warmth=get("contract.cold-from", _fraction),
        slow_start_ns=get("contract.cold-ns", count),
        overload_multiple=get("contract.fall-multiple", _number),
        overload_window_ns=get("contract.fall-ns", count),
        max_attempts=get("limits.max-attempts", _positive),
        may_hedge=get("limits.parallel-tries", _FLAGS.__getitem__),
        may_cancel=get("limits.cancelling", _FLAGS.__getitem__),
        may_probe=get("limits.probes", _FLAGS.__getitem__),
        retry_after=get("limits.retry-after", _FLAGS.__getitem__, False),
        max_retry_after_ns=get("limits.max-retry-after-ns", count, 0),
        connect_timeout_ns=get("limits.connect-timeout-ns", timer_ns, 250_000_000),
        tick_ns=max(1, get("round-ns", int)),
        cross_zone_fee=get("fees.cross-zone", _fee, 0.0),
        probe_fee=get("fees.probe", _fee, 0.0),
        warm_keys=get("extra.warm-keys", _FLAGS.__getitem__, False),
        load_names=tuple(name for name in names.split(",") if name),
        load_by_probes=get("telemetry.source", _LOAD_BY_PROBES.__getitem__, False),
    )


def integer_setting(
    tree: Mapping[str, object], path: str, default: int, read: Callable[[str], int] = count
) -> int:
    """Return an integer setting that only the network proxy uses, not the policy."""
    values: dict[str, str] = {}
    head = path.partition(".")[0]
    _flatten(head, tree.get(head), values)
    return _Pairs(values).get(path, read, default)
