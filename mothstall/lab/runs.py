"""Runs one scenario with a policy, seed and driver; returns figures, breaches and the ledger."""

from __future__ import annotations

import gc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mothstall.interface import NS
from mothstall.lab import policies
from mothstall.lab.judge import RULES, Verdict, check_run
from mothstall.lab.ledger import Ledger, Unfinished
from mothstall.lab.scenario import Scenario
from mothstall.lab.virtual import MakePolicy, VirtualRun

# Takes a starting driver; returns the callback for each elapsed second (ns since the start).
Watch = Callable[[Any], Callable[[int], object]]

__all__ = ["Result", "Unfinished", "play", "play_made"]


@dataclass(slots=True)
class Result:
    """A run and its verdict."""

    scenario: Scenario
    policy: str
    driver: str
    seed: int
    digest: str
    verdict: Verdict
    ledger: Ledger
    notes: dict[str, Any] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        v = self.verdict
        return {
            "scenario": self.scenario.name,
            "driver": self.driver,
            "policy": self.policy,
            "seed": self.seed,
            "seconds": self.scenario.seconds,
            "digest": self.digest,
            "worth": round(v.worth, 6),
            "worst_10s": round(v.worst_10s, 6),
            "rules": v.rules,
            "breaches": [
                {
                    "kind": b.kind,
                    "rule": RULES[b.kind],
                    "at_s": round(b.at_ns / NS, 6),
                    "request": b.request,
                    "box": b.backend,
                    "proxy": b.proxy,
                    "what": b.detail,
                }
                for b in v.violations
            ],
            "excused": v.excused,
            "by_class": {k: round(x, 6) for k, x in v.by_class.items()},
            "by_tenant": {k: round(x, 6) for k, x in v.by_tenant.items()},
            "within_share": {k: round(x, 6) for k, x in v.within_share.items()},
            "wasted": v.wasted,
            "latency": v.latency,
            "recover_s": v.recover_s,
            "answers": v.answers,
            "intents": v.intents,
            "tries": v.requests,
            "attempts": v.attempts,
            **self.notes,
        }

    def text(self) -> str:
        """A readable summary."""
        v = self.verdict
        simulated = "simulated" if self.driver == "virtual" else "real proxies on loopback"
        rows = [
            f"{self.scenario.name}: {self.scenario.tries}",
            f"{self.policy}, seed {self.seed}, {self.scenario.seconds:g} s, {simulated}",
            f"digest     {self.digest}",
            f"worth      {v.worth:.3f} of what was requested; the worst 10 s {v.worst_10s:.3f}",
            "classes    " + _pairs(v.by_class),
        ]
        if v.within_share:
            rows.append("tenants    " + _pairs(v.within_share) + "  (of their share)")
        rows += [
            "latency    "
            + "; ".join(
                f"{name} p50 {q['p50']:.0f} p99 {q['p99']:.0f} ms" for name, q in v.latency.items()
            ),
            f"requests   {v.intents} wanted, {v.requests} tries, {v.attempts} attempts at backends",
            "work       " + _pairs(v.wasted),
        ]
        if v.recover_s is not None:
            rows.append(f"recovered  {v.recover_s:.1f} s after the last trouble")
        elif self.scenario.troubles:
            rows.append("recovered  not within the run")
        if self.notes.get("late"):
            rows.append(
                f"LATE       this machine ran late; {v.excused} breaches near that time do not count"
            )
        if not v.broken:
            return "\n".join([*rows, "rules      all four kept"])
        rows.append(
            "rules      BROKEN: " + ", ".join(f"{kind} {n}" for kind, n in sorted(v.rules.items()))
        )
        for b in v.violations[:20]:
            who = [f"request {b.request}"] * bool(b.request) + [f"backend {b.backend}"] * bool(
                b.backend
            )
            who += [f"proxy {b.proxy}"] * (b.proxy >= 0)
            rows.append(f"  {b.at_ns / NS:9.3f} s  {b.kind}: {', '.join(who)}: {b.detail}")
        if len(v.violations) > 20:
            rows.append(f"  and {sum(v.rules.values()) - 20} more; --json lists up to 50 of a kind")
        return "\n".join(rows)


def _pairs(rows: dict[str, float]) -> str:
    return "  ".join(f"{name} {value:.3f}" for name, value in rows.items())


def play(
    s: Scenario, policy: str, seed: int, driver: str = "virtual", watch: Watch | None = None
) -> Result:
    """Runs and judges one scenario. Raises PolicyError, Unfinished and errors of the policy."""
    if driver == "virtual":
        return play_made(s, policies.parse(policy), policy, seed, watch)
    return _sockets(s, policy, seed, watch)


def play_made(
    s: Scenario, make: MakePolicy, name: str, seed: int, watch: Watch | None = None
) -> Result:
    """Runs and judges one scenario on the virtual driver, with a policy made by the caller."""
    run = VirtualRun(s, make, seed)
    gc.collect()
    gc.freeze()  # a run makes many objects and almost no cycles, so collection would only cost time
    gc.disable()
    try:
        ledger = run.play(watch(run) if watch else None)
    finally:
        gc.enable()
        gc.unfreeze()
    return Result(s, name, "virtual", seed, ledger.digest(), check_run(s, ledger), ledger)


def _sockets(s: Scenario, policy: str, seed: int, watch: Watch | None) -> Result:
    from mothstall.lab import sockets

    if policy != "module":
        raise policies.PolicyError(
            f"policy {policy}: the sockets driver runs real proxies, which use the module"
        )
    ledger, notes = sockets.run(s, seed, watch)
    return Result(s, policy, "sockets", seed, ledger.digest(), check_run(s, ledger), ledger, notes)
