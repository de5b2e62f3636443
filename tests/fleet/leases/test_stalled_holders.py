"""Detection of proxies that are still listed but no longer renew their leases.

Guards against leases that stay assigned to such a proxy. A lease ends one term (2 s) after its
holder's last renewal. The assignment by rendezvous hash used the members only, and a proxy that is
attached to an observer stays listed for longer: for a term and a half if its observer runs, for five
terms and more if the observer is lost as well. So the next holder acquired the lease after 2.6 to
3.0 s, or only once the first one resumed (5.1 to 5.4 s), in 20 of 24 rounds of
`lab fleet run observer-owner --seed 1 --rounds 24 --side-by-side 6`. The logs had `leases expire`
1.7 to 2.1 s after the stop, then no event until `proxies gone`, although all live proxies were
`attached` to the other observer by then.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.leases.names import PROBE_LEASE_PREFIX
from mothstall.fleet.leases.stalled_holders import StalledHolders
from mothstall.fleet.probing.assignment import assigned_prober
from mothstall.fleet.units import NS_PER_S
from mothstall.store.state.rows import Lease, Member, StateDelta

TERM_NS = 2 * NS_PER_S
FORGET_AFTER_NS = 12 * TERM_NS
PROXIES = ("p1", "p2", "p3", "p4")
BACKENDS = tuple(f"b{number}" for number in range(1, 9))


def owner_of(proxy: str) -> str:
    return f"{proxy}#aa"


def member(proxy: str, epoch: int = 1, owner: str = "") -> Member:
    return Member(proxy, owner or owner_of(proxy), epoch, "z1", "observer/o1", 5)


def probe_lease(backend: str, owner: str, token: int = 1) -> Lease:
    return Lease(f"{PROBE_LEASE_PREFIX}{backend}", owner, 2000, token, {})


@dataclass
class ObservedState:
    """The replicated state at one proxy, and the stalled holders that it finds."""

    stalled: StalledHolders = field(
        default_factory=lambda: StalledHolders(
            owner_of("p1"), (PROBE_LEASE_PREFIX, "failover"), TERM_NS, FORGET_AFTER_NS
        )
    )
    snapshot: ClusterSnapshot = field(default_factory=ClusterSnapshot)
    now_ns: int = 100 * NS_PER_S

    def apply(
        self,
        leases: dict[str, Lease | None] | None = None,
        members: dict[str, Member | None] | None = None,
        complete: bool = False,
    ) -> None:
        since_version = 0 if complete else self.snapshot.version
        delta = StateDelta(
            since_version, self.snapshot.version + 1, leases or {}, {}, {}, members or {}
        )
        next_snapshot = self.snapshot.apply(delta)
        assert next_snapshot is not None
        self.stalled.apply(self.snapshot.leases, delta, self.now_ns)
        self.snapshot = next_snapshot

    def live(self) -> frozenset[str]:
        return self.stalled.live(self.snapshot.proxies, self.snapshot.attached, self.now_ns)


def holder_of(backend: str) -> str:
    return assigned_prober(backend, PROXIES)


def assigned_to(proxy: str) -> list[str]:
    return [backend for backend in BACKENDS if holder_of(backend) == proxy]


def fleet_with_all_leases_held() -> ObservedState:
    """Return a state in which each backend's lease is held by the proxy it is assigned to."""
    observed = ObservedState()
    leases: dict[str, Lease | None] = {
        f"{PROBE_LEASE_PREFIX}{backend}": probe_lease(backend, owner_of(holder_of(backend)))
        for backend in BACKENDS
    }
    observed.apply(leases, {proxy: member(proxy) for proxy in PROXIES}, complete=True)
    assert observed.live() == frozenset(PROXIES)
    return observed


def ended_leases(*backends: str) -> dict[str, Lease | None]:
    return {f"{PROBE_LEASE_PREFIX}{backend}": None for backend in backends}


HOLDER = next(proxy for proxy in PROXIES[1:] if assigned_to(proxy))


def test_listed_proxy_whose_leases_ended_is_not_live() -> None:
    observed = fleet_with_all_leases_held()
    observed.apply(ended_leases(*assigned_to(HOLDER)))
    assert observed.live() == frozenset(PROXIES) - {HOLDER}


def test_leases_that_are_missing_from_a_complete_state_count_as_ended() -> None:
    observed = fleet_with_all_leases_held()
    kept: dict[str, Lease | None] = {
        name: lease
        for name, lease in observed.snapshot.leases.items()
        if lease.owner != owner_of(HOLDER)
    }
    observed.apply(kept, dict(observed.snapshot.attached), complete=True)
    assert observed.live() == frozenset(PROXIES) - {HOLDER}


def test_proxy_that_released_its_lease_to_a_new_proxy_is_live() -> None:
    """A released lease is already assigned to another proxy."""
    backends = assigned_to(HOLDER)
    others = [proxy for proxy in PROXIES if proxy != HOLDER]
    observed = ObservedState()
    leases = {
        f"{PROBE_LEASE_PREFIX}{backend}": probe_lease(
            backend, owner_of(assigned_prober(backend, others))
        )
        for backend in backends
    }
    observed.apply(dict(leases), {proxy: member(proxy) for proxy in others}, complete=True)
    observed.live()
    observed.apply(members={HOLDER: member(HOLDER)})
    observed.apply(ended_leases(*backends))
    assert observed.live() == frozenset(PROXIES)


def test_proxy_that_holds_another_lease_is_live_after_one_was_revoked() -> None:
    observed = fleet_with_all_leases_held()
    backends = assigned_to(HOLDER)
    observed.apply({f"{PROBE_LEASE_PREFIX}extra": probe_lease("extra", owner_of(HOLDER))})
    observed.apply(ended_leases(backends[0]))
    assert observed.live() == frozenset(PROXIES)


def test_proxy_is_stalled_only_once_the_last_of_its_leases_ended() -> None:
    observed = fleet_with_all_leases_held()
    observed.apply({f"{PROBE_LEASE_PREFIX}extra": probe_lease("extra", owner_of(HOLDER))})
    observed.apply(ended_leases(*assigned_to(HOLDER)))
    assert observed.live() == frozenset(PROXIES)
    observed.now_ns += TERM_NS // 3
    observed.apply(ended_leases("extra"))
    assert observed.live() == frozenset(PROXIES) - {HOLDER}


def fleet_with_stalled_holder() -> ObservedState:
    observed = fleet_with_all_leases_held()
    observed.apply(ended_leases(*assigned_to(HOLDER)))
    assert HOLDER not in observed.live()
    return observed


def test_stalled_proxy_is_live_again_once_it_acquires_a_lease() -> None:
    observed = fleet_with_stalled_holder()
    backend = assigned_to(HOLDER)[0]
    observed.apply({f"{PROBE_LEASE_PREFIX}{backend}": probe_lease(backend, owner_of(HOLDER), 2)})
    assert observed.live() == frozenset(PROXIES)


def test_stalled_proxy_is_live_again_once_it_attaches_anew() -> None:
    observed = fleet_with_stalled_holder()
    observed.apply(members={HOLDER: member(HOLDER, epoch=2)})
    assert observed.live() == frozenset(PROXIES)


def test_stalled_proxy_is_live_again_as_a_new_process() -> None:
    observed = fleet_with_stalled_holder()
    observed.apply(members={HOLDER: member(HOLDER, owner=f"{HOLDER}#bb")})
    assert observed.live() == frozenset(PROXIES)


def test_stall_is_forgotten_after_the_configured_time() -> None:
    observed = fleet_with_stalled_holder()
    observed.now_ns += FORGET_AFTER_NS - 1
    assert HOLDER not in observed.live()
    observed.now_ns += 1
    assert observed.live() == frozenset(PROXIES)


def test_proxy_never_counts_itself_as_stalled() -> None:
    observed = fleet_with_all_leases_held()
    observed.stalled = StalledHolders(
        owner_of(HOLDER), (PROBE_LEASE_PREFIX,), TERM_NS, FORGET_AFTER_NS
    )
    observed.apply(ended_leases(*assigned_to(HOLDER)))
    assert observed.live() == frozenset(PROXIES)


def test_stalled_holder_of_the_failover_lease_is_found() -> None:
    observed = fleet_with_all_leases_held()
    failover_holder = assigned_prober("failover", PROXIES)
    observed.stalled = StalledHolders("other#aa", ("failover",), TERM_NS, FORGET_AFTER_NS)
    observed.apply({"failover": Lease("failover", owner_of(failover_holder), 2000, 9, {})})
    observed.apply({"failover": None})
    assert observed.live() == frozenset(PROXIES) - {failover_holder}


def test_the_same_object_is_returned_while_nothing_changes() -> None:
    observed = fleet_with_stalled_holder()
    assert observed.live() is observed.live()
