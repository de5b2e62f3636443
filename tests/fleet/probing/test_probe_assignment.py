"""Rendezvous hashing of backends to probers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.probing import assignment
from mothstall.fleet.probing.assignment import ProbeAssignment

PROXIES = [f"p{i}" for i in range(12)]
BACKENDS = [f"b{i}" for i in range(30)]
SETS = st.tuples(st.frozensets(st.sampled_from(BACKENDS)), st.frozensets(st.sampled_from(PROXIES)))


def test_leaving_proxy_moves_only_its_own_backends() -> None:
    backends = [f"box-{i}" for i in range(200)]
    proxies = [f"p{i}" for i in range(10)]
    before = {backend: assignment.assigned_prober(backend, proxies) for backend in backends}
    after = {backend: assignment.assigned_prober(backend, proxies[1:]) for backend in backends}
    assert all(after[b] == before[b] for b in backends if before[b] != "p0")
    shares = [len(assignment.assigned_backends(backends, proxies, p)) for p in proxies]
    assert sum(shares) == 200 and max(shares) < 45 and min(shares) > 5
    assert assignment.assigned_prober("b", []) == ""


@given(st.lists(SETS, min_size=1, max_size=12))
def test_updated_assignment_equals_the_complete_computation(
    steps: list[tuple[frozenset[str], frozenset[str]]],
) -> None:
    probe_assignment = ProbeAssignment("p0")
    for backends, live_proxies in steps:
        expected = (
            set(assignment.assigned_backends(backends, live_proxies, "p0"))
            if "p0" in live_proxies
            else set()
        )
        assert probe_assignment.update(backends, live_proxies) == expected
        assert probe_assignment.update(backends, live_proxies) == expected


@given(st.lists(SETS, min_size=1, max_size=8))
def test_each_backend_is_assigned_to_exactly_one_live_proxy(
    steps: list[tuple[frozenset[str], frozenset[str]]],
) -> None:
    shares = {name: ProbeAssignment(name) for name in PROXIES}
    for backends, live_proxies in steps:
        assigned = [
            backend
            for name, probe_assignment in shares.items()
            for backend in probe_assignment.update(backends, live_proxies)
            if name in live_proxies
        ]
        assert sorted(assigned) == sorted(backends if live_proxies else [])


def test_update_without_a_change_computes_no_hash(monkeypatch: pytest.MonkeyPatch) -> None:
    hash_count = 0
    rendezvous_weight = assignment._rendezvous_weight

    def counting_weight(proxy: str, backend: str) -> int:
        nonlocal hash_count
        hash_count += 1
        return rendezvous_weight(proxy, backend)

    monkeypatch.setattr(assignment, "_rendezvous_weight", counting_weight)
    live_proxies = frozenset(f"p{i}" for i in range(400))
    backends = [f"b{i}" for i in range(2000)]
    probe_assignment = ProbeAssignment("p0")
    probe_assignment.update(backends, live_proxies)
    assert hash_count < 2000 * 12  # not one for each of the 2000 x 400 pairs
    hash_count = 0
    probe_assignment.update(backends, live_proxies)
    assert hash_count == 0
    probe_assignment.update(backends, live_proxies - {"p7"})
    assert hash_count < 2000
    hash_count = 0
    probe_assignment.update(backends, live_proxies | {"q"})
    assert hash_count < 2000
