"""The size that a fleet has to carry, as data: a TOML file of the operators' numbers, checked. Pure.

`decode` raises TargetError with one line that holds the key's path. `deploy/target.toml` is one such file.
"""

from __future__ import annotations

import math
import tomllib

import msgspec

DAY_S = 86_400.0


class TargetError(ValueError):
    """The target cannot be used; the message is one line and names the key at fault."""


class _Part(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    pass


class FleetPart(_Part, kw_only=True, frozen=True):
    proxies: int
    backends: int
    services: int
    routes: int
    tenants: int
    regions: int
    zones: int
    control_machines: int


class LoadPart(_Part, kw_only=True, frozen=True):
    requests_per_s: float
    added_p99_ms: float


class ControlPart(_Part, kw_only=True, frozen=True):
    """What a proxy may spend on control, and how often and how soon configuration changes."""

    changes_a_day: float
    everywhere_s: float
    proxy_cores: float
    proxy_memory_mb: float
    proxy_bytes_per_s: float


class FailuresPart(_Part, kw_only=True, frozen=True):
    machines_a_day: float
    restarts_a_day: float


class Target(_Part, kw_only=True, frozen=True):
    fleet: FleetPart
    load: LoadPart
    control: ControlPart
    failures: FailuresPart

    @property
    def requests_per_proxy(self) -> float:
        """A second, at the peak, were all proxies alike."""
        return self.load.requests_per_s / self.fleet.proxies

    @property
    def proxies_of_a_zone(self) -> int:
        """Of the largest, were zones as alike as they can be."""
        return math.ceil(self.fleet.proxies / self.fleet.zones)

    @property
    def backends_of_a_zone(self) -> int:
        return math.ceil(self.fleet.backends / self.fleet.zones)

    @property
    def proxies_of_a_region(self) -> int:
        """Of one that has as many zones as any."""
        return math.ceil(self.fleet.zones / self.fleet.regions) * self.proxies_of_a_zone

    @property
    def changes_per_s(self) -> float:
        """Over a whole day; working hours have more."""
        return self.control.changes_a_day / DAY_S

    @property
    def restarts_per_s(self) -> float:
        return (self.failures.restarts_a_day + self.failures.machines_a_day) / DAY_S


def decode(data: bytes) -> Target:
    try:
        tree = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as why:
        raise TargetError(f"target: no TOML: {why}") from why
    try:
        # A number may be written with or without a point; a text or a truth value is no number.
        found = msgspec.convert(tree, Target)
    except msgspec.ValidationError as why:
        raise TargetError(f"target: {why}") from why
    _check(found)
    return found


def _check(it: Target) -> None:
    for part, row in (
        ("fleet", it.fleet),
        ("load", it.load),
        ("control", it.control),
        ("failures", it.failures),
    ):
        for key in row.__struct_fields__:
            number = getattr(row, key)
            if not math.isfinite(number) or number < 0:
                raise TargetError(
                    f"target: $.{part}.{key} must be a number of 0 or more, not {number}"
                )
            if number == 0 and part != "failures" and key != "changes_a_day":
                raise TargetError(f"target: $.{part}.{key} must be more than 0")
    fleet = it.fleet
    for key, most, of in (
        ("zones", fleet.proxies, "proxies"),
        ("regions", fleet.zones, "zones"),
        ("services", fleet.backends, "backends"),
    ):
        if getattr(fleet, key) > most:
            raise TargetError(
                f"target: $.fleet.{key} is {getattr(fleet, key)}, more than the {most} of $.fleet.{of}"
            )
    if it.control.proxy_cores > 64:
        raise TargetError("target: $.control.proxy_cores is in cores, 64 at most")
