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
class Observed:
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
        since = 0 if complete else self.snapshot.version
        delta = StateDelta(since, self.snapshot.version + 1, leases or {}, {}, {}, members or {})
        following = self.snapshot.apply(delta)
        assert following is not None
        self.stalled.apply(self.snapshot.leases, delta, self.now_ns)
        self.snapshot = following

    def live(self) -> frozenset[str]:
        return self.stalled.live(self.snapshot.proxies, self.snapshot.attached, self.now_ns)


def holder_of(backend: str) -> str:
    return assigned_prober(backend, PROXIES)


def assigned_to(proxy: str) -> list[str]:
    return [backend for backend in BACKENDS if holder_of(backend) == proxy]


def settled_fleet() -> Observed:
    """Return a state in which each backend's lease is held by the proxy it is assigned to."""
    observed = Observed()
    leases: dict[str, Lease | None] = {
        f"{PROBE_LEASE_PREFIX}{backend}": probe_lease(backend, owner_of(holder_of(backend)))
        for backend in BACKENDS
    }
    observed.apply(leases, {proxy: member(proxy) for proxy in PROXIES}, complete=True)
    assert observed.live() == frozenset(PROXIES)
    return observed


def ended(*backends: str) -> dict[str, Lease | None]:
    return {f"{PROBE_LEASE_PREFIX}{backend}": None for backend in backends}


VICTIM = next(proxy for proxy in PROXIES[1:] if assigned_to(proxy))


def test_proxy_whose_leases_ended_does_not_count_though_it_is_listed() -> None:
    observed = settled_fleet()
    observed.apply(ended(*assigned_to(VICTIM)))
    assert observed.live() == frozenset(PROXIES) - {VICTIM}


def test_leases_that_ended_while_a_complete_state_was_on_its_way_count_too() -> None:
    observed = settled_fleet()
    kept: dict[str, Lease | None] = {
        name: lease
        for name, lease in observed.snapshot.leases.items()
        if lease.owner != owner_of(VICTIM)
    }
    observed.apply(kept, dict(observed.snapshot.attached), complete=True)
    assert observed.live() == frozenset(PROXIES) - {VICTIM}


def test_proxy_that_gave_its_lease_to_a_newcomer_counts() -> None:
    """A released lease is already assigned to another proxy."""
    backends = assigned_to(VICTIM)
    others = [proxy for proxy in PROXIES if proxy != VICTIM]
    observed = Observed()
    leases = {
        f"{PROBE_LEASE_PREFIX}{backend}": probe_lease(
            backend, owner_of(assigned_prober(backend, others))
        )
        for backend in backends
    }
    observed.apply(dict(leases), {proxy: member(proxy) for proxy in others}, complete=True)
    observed.live()
    observed.apply(members={VICTIM: member(VICTIM)})
    observed.apply(ended(*backends))
    assert observed.live() == frozenset(PROXIES)


def test_proxy_that_holds_another_lease_counts_after_one_was_revoked() -> None:
    observed = settled_fleet()
    backends = assigned_to(VICTIM)
    observed.apply({f"{PROBE_LEASE_PREFIX}extra": probe_lease("extra", owner_of(VICTIM))})
    observed.apply(ended(backends[0]))
    assert observed.live() == frozenset(PROXIES)


def test_leases_that_end_one_after_the_other_are_found_with_the_last() -> None:
    observed = settled_fleet()
    observed.apply({f"{PROBE_LEASE_PREFIX}extra": probe_lease("extra", owner_of(VICTIM))})
    observed.apply(ended(*assigned_to(VICTIM)))
    assert observed.live() == frozenset(PROXIES)
    observed.now_ns += TERM_NS // 3
    observed.apply(ended("extra"))
    assert observed.live() == frozenset(PROXIES) - {VICTIM}


def stalled_fleet() -> Observed:
    observed = settled_fleet()
    observed.apply(ended(*assigned_to(VICTIM)))
    assert VICTIM not in observed.live()
    return observed


def test_stalled_proxy_counts_again_once_it_acquires_a_lease() -> None:
    observed = stalled_fleet()
    backend = assigned_to(VICTIM)[0]
    observed.apply({f"{PROBE_LEASE_PREFIX}{backend}": probe_lease(backend, owner_of(VICTIM), 2)})
    assert observed.live() == frozenset(PROXIES)


def test_stalled_proxy_counts_again_once_it_attaches_anew() -> None:
    observed = stalled_fleet()
    observed.apply(members={VICTIM: member(VICTIM, epoch=2)})
    assert observed.live() == frozenset(PROXIES)


def test_stalled_proxy_counts_again_as_a_new_process() -> None:
    observed = stalled_fleet()
    observed.apply(members={VICTIM: member(VICTIM, owner=f"{VICTIM}#bb")})
    assert observed.live() == frozenset(PROXIES)


def test_stalled_proxy_is_forgotten_after_it_would_have_been_removed() -> None:
    observed = stalled_fleet()
    observed.now_ns += FORGET_AFTER_NS - 1
    assert VICTIM not in observed.live()
    observed.now_ns += 1
    assert observed.live() == frozenset(PROXIES)


def test_proxy_never_counts_itself_as_stalled() -> None:
    observed = settled_fleet()
    observed.stalled = StalledHolders(
        owner_of(VICTIM), (PROBE_LEASE_PREFIX,), TERM_NS, FORGET_AFTER_NS
    )
    observed.apply(ended(*assigned_to(VICTIM)))
    assert observed.live() == frozenset(PROXIES)


def test_holder_of_the_failover_lease_is_found_as_well() -> None:
    observed = settled_fleet()
    leader = assigned_prober("failover", PROXIES)
    observed.stalled = StalledHolders("other#aa", ("failover",), TERM_NS, FORGET_AFTER_NS)
    observed.apply({"failover": Lease("failover", owner_of(leader), 2000, 9, {})})
    observed.apply({"failover": None})
    assert observed.live() == frozenset(PROXIES) - {leader}


def test_the_same_object_is_returned_while_nothing_changes() -> None:
    observed = stalled_fleet()
    assert observed.live() is observed.live()
