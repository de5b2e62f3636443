"""The structs of the operator file: keepers, observers, and the proxies' part in the fleet.

They mirror the file's tables. A field whose name differs from its key gives the key by `name=`, so
that existing files stay valid. Durations are nanoseconds.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from mothstall.config import Address, parse_address
from mothstall.durations import Duration, parse_duration
from mothstall.fleet.errors import OperatorError
from mothstall.fleet.key_file import read_key


class _Section(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Base of all tables: fields by keyword, unknown keys rejected."""


class KeeperConfig(_Section, kw_only=True, frozen=True):
    """One replica of the store.

    Attributes:
        name: Unique among the keepers.
        address: Where other keepers, observers and proxies reach it.
        listen: Where it listens; `address` by default.
        data_folder: Folder of its log and snapshots, on its own machine.
        is_voter: Whether it votes at the first start; later changes are stored by the keepers.
    """

    name: str
    address: str
    listen: str | None = None
    data_folder: str | None = msgspec.field(default=None, name="data")
    is_voter: bool = msgspec.field(default=True, name="voter")

    @property
    def parsed_address(self) -> Address:
        """`address` as host and port."""
        return parse_address(self.address)


class ObserverConfig(_Section, kw_only=True, frozen=True):
    """One observer, a relay between the keepers and the proxies of a zone.

    Attributes:
        name: Unique among the observers.
        address: Where proxies reach it.
        listen: Where it listens; `address` by default.
        zone: The zone whose proxies attach to it first.
        region: The region whose proxies attach to it when their own zone's observers are lost.
    """

    name: str
    address: str
    listen: str | None = None
    zone: str = ""
    region: str = ""

    @property
    def parsed_address(self) -> Address:
        """`address` as host and port."""
        return parse_address(self.address)


class TimingConfig(_Section, kw_only=True, frozen=True):
    """Timing of Raft.

    Attributes:
        tick_ns: Interval of the keepers' periodic work.
        heartbeat_ns: Interval of the leader's heartbeats.
        election_timeout_ns: Time without a heartbeat until an election; drawn between once and
            twice this.
    """

    tick_ns: Duration = msgspec.field(default=parse_duration("20ms"), name="tick")
    heartbeat_ns: Duration = msgspec.field(default=parse_duration("60ms"), name="heartbeat")
    election_timeout_ns: Duration = msgspec.field(default=parse_duration("300ms"), name="election")


class StoreConfig(_Section, kw_only=True, frozen=True):
    """Log compaction.

    Attributes:
        snapshot_interval_entries: Applied entries between two snapshots; entries before a snapshot
            may be dropped.
    """

    snapshot_interval_entries: int = msgspec.field(default=2000, name="snapshot_every")


class LeaseConfig(_Section, kw_only=True, frozen=True):
    """Timing of leases.

    Attributes:
        term_ns: Duration of a lease.
        margin_ns: Time before the end of its term at which a holder stops acting.
        max_clock_drift: Greatest relative difference between the rates of two monotonic clocks.
        round_trip_ns: Duration of a commit, measured at a holder; a term has to contain several.
    """

    term_ns: Duration = msgspec.field(default=parse_duration("2s"), name="term")
    margin_ns: Duration = msgspec.field(default=parse_duration("150ms"), name="margin")
    max_clock_drift: float = msgspec.field(default=0.01, name="drift")
    round_trip_ns: Duration = msgspec.field(default=parse_duration("100ms"), name="round_trip")


class AgentConfig(_Section, kw_only=True, frozen=True):
    """The agent in a proxy.

    Attributes:
        data_folder: Folder of the state that survives restarts: local drains, fencing tokens.
        listen: Where it accepts local drains and commands; None: it accepts none.
        backend_prefixes: Where observers are configured, name prefixes of the backends that it
            subscribes to; "" matches all.
    """

    data_folder: str | None = msgspec.field(default=None, name="data")
    listen: str | None = None
    backend_prefixes: tuple[str, ...] = msgspec.field(default=("",), name="backends")


class ProbingConfig(_Section, kw_only=True, frozen=True):
    """Health checks that the proxies share.

    Attributes:
        is_enabled: Whether this proxy takes part.
        interval_ns: Time between two probes of one backend.
        timeout_ns: Time for one probe.
    """

    is_enabled: bool = msgspec.field(default=True, name="on")
    interval_ns: Duration = msgspec.field(default=parse_duration("1s"), name="every")
    timeout_ns: Duration = msgspec.field(default=parse_duration("500ms"), name="timeout")


class RegionConfig(_Section, kw_only=True, frozen=True):
    """A group of zones that are close to each other.

    Attributes:
        name: Unique among the regions.
        zones: Its zones; each zone belongs to one region.
        nearest_regions: Other regions, the nearest first.
    """

    name: str
    zones: tuple[str, ...]
    nearest_regions: tuple[str, ...] = msgspec.field(default=(), name="near")


class FailoverConfig(_Section, kw_only=True, frozen=True):
    """Zone failover, coordinated across the fleet.

    Attributes:
        is_enabled: Whether this proxy takes part.
        regions: All zones, by region.
        report_interval_ns: Time between two traffic reports, and between two decisions.
        report_max_age_ns: Age from which a report no longer counts.
        transition_spread_ns: Interval over which the proxies adopt a new plan.
        hold_ns: How long a proxy without contact keeps a plan unchanged.
        fade_ns: Time after `hold_ns` in which the plan fades out.
        recovery_step_ns: Time between two steps of the recovery ramp.
        recovery_wait_ns: Time before a recovery is attempted; doubles with each failed one.
        calm_ns: Time without a fault after which earlier failed recoveries are forgotten.
        capacity_reserve: Fraction of a zone's capacity that stays free of moved traffic.
        capacity_per_weight: Requests a second for one unit of weight; 0: as measured.
    """

    is_enabled: bool = msgspec.field(default=False, name="on")
    regions: tuple[RegionConfig, ...] = ()
    report_interval_ns: Duration = msgspec.field(default=parse_duration("1s"), name="every")
    report_max_age_ns: Duration = msgspec.field(default=parse_duration("5s"), name="stale")
    transition_spread_ns: Duration = msgspec.field(default=parse_duration("1s"), name="spread")
    hold_ns: Duration = msgspec.field(default=parse_duration("10s"), name="keep")
    fade_ns: Duration = msgspec.field(default=parse_duration("10s"), name="fade")
    recovery_step_ns: Duration = msgspec.field(default=parse_duration("2s"), name="step")
    recovery_wait_ns: Duration = msgspec.field(default=parse_duration("2s"), name="wait")
    calm_ns: Duration = msgspec.field(default=parse_duration("30s"), name="calm")
    capacity_reserve: float = msgspec.field(default=0.05, name="reserve")
    capacity_per_weight: float = msgspec.field(default=0.0, name="bears")


class OperatorConfig(_Section, kw_only=True, frozen=True):
    """The complete operator file.

    Attributes:
        cluster: Name of the cluster; peers of another cluster are rejected.
        keepers: The replicas of the store.
        key_file: File of the shared key; None: loopback addresses only.
        zone: The zone of the process that reads the file.
        observers: Where there are any, proxies attach to them and connect to no keeper.
        timing: Timing of Raft.
        store: Log compaction.
        leases: Timing of leases.
        agent: The agent in a proxy.
        probing: Health checks that the proxies share.
        failover: Zone failover.
    """

    cluster: str
    keepers: tuple[KeeperConfig, ...]
    key_file: str | None = None
    zone: str = ""
    observers: tuple[ObserverConfig, ...] = ()
    timing: TimingConfig = TimingConfig()
    store: StoreConfig = StoreConfig()
    leases: LeaseConfig = LeaseConfig()
    agent: AgentConfig = AgentConfig()
    probing: ProbingConfig = ProbingConfig()
    failover: FailoverConfig = FailoverConfig()

    def keeper(self, name: str) -> KeeperConfig:
        """Return the keeper of this name.

        Raises:
            OperatorError: No keeper has this name.
        """
        for keeper in self.keepers:
            if keeper.name == name:
                return keeper
        raise OperatorError(f"keepers: none is named {name!r}")

    def observer(self, name: str) -> ObserverConfig:
        """Return the observer of this name.

        Raises:
            OperatorError: No observer has this name.
        """
        for observer in self.observers:
            if observer.name == name:
                return observer
        raise OperatorError(f"observers: none is named {name!r}")

    def key(self) -> bytes:
        """Return the shared key; empty where no key file is configured.

        Raises:
            OperatorError: The key file cannot be used.
        """
        return read_key(Path(self.key_file)) if self.key_file else b""
