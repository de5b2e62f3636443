"""Checks of an operator file that go beyond the types of its values."""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence

from mothstall.config import parse_address
from mothstall.fleet.errors import OperatorError
from mothstall.fleet.failover.reports import MAX_ZONES
from mothstall.fleet.operator_config import (
    AgentConfig,
    FailoverConfig,
    KeeperConfig,
    LeaseConfig,
    ObserverConfig,
    OperatorConfig,
    ProbingConfig,
    RegionConfig,
    TimingConfig,
)
from mothstall.fleet.units import NS_PER_MS

MAX_KEEPERS = (
    9  # more replicas slow down commits and elections, and add tolerance of unlikely faults only
)
MAX_OBSERVERS = 256  # each is a subscriber of the keepers
MAX_NAME_LENGTH = 100  # of a cluster, a keeper, a zone, a region or a prefix
MAX_OBSERVER_NAME_LENGTH = 90  # the name of its lease adds a prefix
MAX_BACKEND_PREFIXES = 64  # each is compared with every changed row
MIN_TICK_NS = 1 * NS_PER_MS
MIN_HEARTBEATS_PER_ELECTION = 3  # so that one lost heartbeat starts no election
MAX_CLOCK_DRIFT = 0.2
MIN_ROUND_TRIPS_PER_TERM = 4  # a renewal, its retry, and as much again for a change of leader
MIN_ELECTIONS_PER_TERM = 2
MIN_SNAPSHOT_INTERVAL = 10  # entries
MAX_SNAPSHOT_INTERVAL = 100_000  # entries
MIN_PROBE_INTERVAL_NS = 10 * NS_PER_MS
MIN_REPORT_INTERVAL_NS = 100 * NS_PER_MS
MIN_FAILOVER_DURATION_NS = 1 * NS_PER_MS
MAX_CAPACITY_PER_WEIGHT = 1e6  # requests a second


def check_operator_config(config: OperatorConfig) -> None:
    """Check that a configuration can be used.

    Raises:
        OperatorError: It cannot; the message is one line and names the key's path.
    """
    has_key_file = config.key_file is not None
    if not 1 <= len(config.cluster) <= MAX_NAME_LENGTH:
        raise _config_error("$.cluster", f"must have 1 to {MAX_NAME_LENGTH} characters")
    _check_keepers(config.keepers, has_key_file)
    _check_observers(config.observers, has_key_file)
    _check_agent(config.agent, has_key_file)
    _check_timing(config.timing)
    if not MIN_SNAPSHOT_INTERVAL <= config.store.snapshot_interval_entries <= MAX_SNAPSHOT_INTERVAL:
        raise _config_error(
            "$.store.snapshot_every", f"must be {MIN_SNAPSHOT_INTERVAL} to {MAX_SNAPSHOT_INTERVAL}"
        )
    _check_leases(config.leases, config.timing)
    _check_failover(config.failover, config.zone)
    _check_probing(config.probing)


def _config_error(path: str, reason: str) -> OperatorError:
    return OperatorError(f"operator file: {path} {reason}")


def _check_keepers(keepers: Sequence[KeeperConfig], has_key_file: bool) -> None:
    if not 1 <= len(keepers) <= MAX_KEEPERS:
        raise _config_error("$.keepers", f"must name 1 to {MAX_KEEPERS} keepers, usually 3 or 5")
    if not any(keeper.is_voter for keeper in keepers):
        raise _config_error("$.keepers:", "at least one keeper must be a voter")
    names = [keeper.name for keeper in keepers]
    for index, keeper in enumerate(keepers):
        path = f"$.keepers[{index}]"
        if not 1 <= len(keeper.name) <= MAX_NAME_LENGTH or names.index(keeper.name) != index:
            raise _config_error(f"{path}.name", "must be a unique name of valid length")
        _check_addresses(path, keeper, has_key_file)


def _check_observers(observers: Sequence[ObserverConfig], has_key_file: bool) -> None:
    if len(observers) > MAX_OBSERVERS:
        raise _config_error("$.observers:", f"more than {MAX_OBSERVERS}")
    names = [observer.name for observer in observers]
    region_of_zone: dict[str, str] = {}
    for index, observer in enumerate(observers):
        path = f"$.observers[{index}]"
        has_valid_length = 1 <= len(observer.name) <= MAX_OBSERVER_NAME_LENGTH
        if not has_valid_length or names.index(observer.name) != index:
            raise _config_error(
                f"{path}.name",
                f"must be a unique name of 1 to {MAX_OBSERVER_NAME_LENGTH} characters",
            )
        for key, value in (("zone", observer.zone), ("region", observer.region)):
            if len(value) > MAX_NAME_LENGTH:
                raise _config_error(
                    f"{path}.{key}", f"must have at most {MAX_NAME_LENGTH} characters"
                )
        region = region_of_zone.setdefault(observer.zone, observer.region)
        if region != observer.region:
            raise _config_error(
                f"{path}.region:", f"zone {observer.zone!r} is already in region {region!r}"
            )
        _check_addresses(path, observer, has_key_file)


def _check_agent(agent: AgentConfig, has_key_file: bool) -> None:
    prefixes = agent.backend_prefixes
    has_long_prefix = any(len(prefix) > MAX_NAME_LENGTH for prefix in prefixes)
    if not 1 <= len(prefixes) <= MAX_BACKEND_PREFIXES or has_long_prefix:
        raise _config_error(
            "$.agent.backends",
            f"must be 1 to {MAX_BACKEND_PREFIXES} prefixes of at most {MAX_NAME_LENGTH} characters",
        )
    if agent.listen is not None:
        _check_address("$.agent.listen", agent.listen, has_key_file)


def _check_timing(timing: TimingConfig) -> None:
    min_election_timeout_ns = MIN_HEARTBEATS_PER_ELECTION * timing.heartbeat_ns
    if (
        timing.tick_ns < MIN_TICK_NS
        or timing.heartbeat_ns < timing.tick_ns
        or timing.election_timeout_ns < min_election_timeout_ns
    ):
        raise _config_error(
            "$.timing:", "tick must be at least 1ms, heartbeat a tick, election three heartbeats"
        )


def _check_leases(leases: LeaseConfig, timing: TimingConfig) -> None:
    drift = leases.max_clock_drift
    if not 0.0 <= drift <= MAX_CLOCK_DRIFT:
        raise _config_error("$.leases.drift", f"must be 0 to {MAX_CLOCK_DRIFT}, not {drift}")
    usable_ns = leases.term_ns * (1.0 - drift) - leases.margin_ns
    required_ns = MIN_ROUND_TRIPS_PER_TERM * leases.round_trip_ns
    if usable_ns < required_ns:
        raise _config_error(
            "$.leases.term",
            "leaves a holder no time: less margin and drift it must be at least four round_trip, "
            f"{required_ns / NS_PER_MS:.0f}ms, and is {usable_ns / NS_PER_MS:.0f}ms",
        )
    if leases.term_ns < MIN_ELECTIONS_PER_TERM * timing.election_timeout_ns:
        raise _config_error("$.leases.term", "must be at least two elections")


def _check_probing(probing: ProbingConfig) -> None:
    if probing.interval_ns < MIN_PROBE_INTERVAL_NS or probing.timeout_ns > probing.interval_ns:
        raise _config_error("$.probing.every", "must be at least 10ms, and no less than timeout")


def _check_failover(failover: FailoverConfig, zone: str) -> None:
    _check_regions(failover.regions)
    if failover.is_enabled and not zone:
        raise _config_error("$.zone:", "failover requires the zone of this proxy")
    _check_failover_durations(failover)
    has_valid_reserve = 0.0 <= failover.capacity_reserve < 1.0
    if not has_valid_reserve or not 0.0 <= failover.capacity_per_weight <= MAX_CAPACITY_PER_WEIGHT:
        raise _config_error("$.failover:", "reserve must be 0 to below 1, bears 0 to 1000000")


def _check_failover_durations(failover: FailoverConfig) -> None:
    interval_ns = failover.report_interval_ns
    if interval_ns < MIN_REPORT_INTERVAL_NS or failover.report_max_age_ns < 2 * interval_ns:
        raise _config_error(
            "$.failover:", "every must be at least 100ms, stale at least twice every"
        )
    shortest_ns = min(
        failover.transition_spread_ns,
        failover.fade_ns,
        failover.recovery_step_ns,
        failover.recovery_wait_ns,
        failover.calm_ns,
    )
    is_spread_too_long = failover.transition_spread_ns > failover.hold_ns
    if is_spread_too_long or shortest_ns < MIN_FAILOVER_DURATION_NS:
        raise _config_error(
            "$.failover:", "durations must be at least 1ms, keep no less than spread"
        )


def _check_regions(regions: Sequence[RegionConfig]) -> None:
    names = [region.name for region in regions]
    known_zones: set[str] = set()
    for index, region in enumerate(regions):
        path = f"$.failover.regions[{index}]"
        if not region.name or names.index(region.name) != index:
            raise _config_error(f"{path}.name", "must be a unique, non-empty name")
        zones = set(region.zones)
        if not zones or zones & known_zones or len(zones) < len(region.zones):
            raise _config_error(
                f"{path}.zones:", "a zone must be in one region only, and a region must have a zone"
            )
        for neighbor in region.nearest_regions:
            if neighbor not in names or neighbor == region.name:
                raise _config_error(f"{path}.near:", f"{neighbor!r} is not another region")
        known_zones |= zones
    if len(known_zones) > MAX_ZONES:
        raise _config_error("$.failover.regions:", f"more than {MAX_ZONES} zones")


def _check_addresses(path: str, peer: KeeperConfig | ObserverConfig, has_key_file: bool) -> None:
    _check_address(f"{path}.address", peer.address, has_key_file)
    if peer.listen is not None:
        _check_address(f"{path}.listen", peer.listen, has_key_file)


def _check_address(path: str, text: str, has_key_file: bool) -> None:
    """Guards against a control plane that is open to a network without authentication."""
    try:
        address = parse_address(text)
    except ValueError as error:
        raise _config_error(f"{path}:", str(error)) from error
    if not has_key_file and not _is_loopback(address.host):
        raise _config_error(f"{path}:", "without key_file only loopback addresses are accepted")


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"
