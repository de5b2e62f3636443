"""The failover plan and operators' overrides, as the store keeps them. Pure."""

from __future__ import annotations

import math
from typing import TypeVar

import msgspec

from mothstall.fleet.failover.reports import MAX_ZONES

# The lease whose holder makes the plan.
FAILOVER_LEASE = "failover"
# Name of the store's value that holds the plan.
PLAN_VALUE_NAME = "zones/plan"
# Name of the store's value that holds operators' overrides.
OVERRIDES_VALUE_NAME = "zones/orders"
# Maximum bytes of an encoded plan or of encoded overrides.
MAX_PLAN_BYTES = 16 * 1024
# Smallest change of a weight for which traffic is moved and, small weights aside, a plan is
# published; see `plan_checks.MIN_WEIGHT_RATIO`.
MIN_WEIGHT_CHANGE = 0.02
# Tolerance within which a zone's weights and its overflow fraction add up to one.
MAX_SUM_ERROR = 1e-6

_Stored = TypeVar("_Stored", bound=msgspec.Struct)


class ZonePairState(msgspec.Struct, frozen=True, array_like=True):
    """How much of its baseline traffic one zone may send to another, and since when.

    Attributes:
        allowed_fraction: Fraction of the baseline traffic that may be sent, 0 to 1.
        failed_recoveries: Times that the pair became unhealthy, failed recovery ramps included,
            since its state was last discarded.
        state_age_ms: Milliseconds since `allowed_fraction` last changed.
        is_recovering: Whether the pair is on its recovery ramp.
    """

    allowed_fraction: float
    failed_recoveries: int
    state_age_ms: int
    is_recovering: bool = False


class FailoverPlan(msgspec.Struct, frozen=True, array_like=True):
    """A complete plan: where the traffic of each zone goes, and the state for the next plan.

    Attributes:
        number: Grows with each published plan.
        weights: Locality weights by origin zone, in which traffic arrives, and serving zone. An
            origin without a row routes freely, as in normal operation.
        overflow_fractions: By origin zone, the fraction of traffic for which no zone has capacity.
        pair_states: Pairs of zones that are, or recently were, restricted; by `pair_key`.
        baseline_weights: Where each zone's traffic goes in normal operation.
        capacity_per_weight: By zone, the measured requests a second that it serves for one unit of
            warm backend weight.
        planned_load: Requests a second that the plan puts on each zone.
        capacities: Requests a second that each zone can serve.
        reasons: For operators: why traffic is moved.
        hold_remaining_ms: Milliseconds that are left of an operator's hold on the plan.
        overrides_number: Number of the newest overrides that the plan takes into account.
    """

    number: int = 0
    weights: dict[str, dict[str, float]] = {}
    overflow_fractions: dict[str, float] = {}
    pair_states: dict[str, ZonePairState] = {}
    baseline_weights: dict[str, dict[str, float]] = {}
    capacity_per_weight: dict[str, float] = {}
    planned_load: dict[str, float] = {}
    capacities: dict[str, float] = {}
    reasons: tuple[str, ...] = ()
    hold_remaining_ms: int = 0
    overrides_number: int = 0


class OperatorOverrides(msgspec.Struct, frozen=True, array_like=True):
    """The operators' overrides of the plan.

    Attributes:
        evacuated_fractions: By zone, the fraction of its traffic to move away; 1 evacuates it.
        hold_ms: Milliseconds for which the plan is held, from when these overrides are first read.
        number: Grows with each change of the overrides.
        operator: Name of the operator who made the last change.
        reason: The operator's reason for it.
    """

    evacuated_fractions: dict[str, float] = {}
    hold_ms: int = 0
    number: int = 0
    operator: str = ""
    reason: str = ""


def pair_key(origin: str, zone: str) -> str:
    """Return the key of a pair of zones in `FailoverPlan.pair_states`."""
    return f"{origin}>{zone}"


def decode_plan(data: bytes) -> FailoverPlan | None:
    """Decode a stored plan; None if the bytes are not a plan, or the plan has a defect."""
    plan = _decode(data, FailoverPlan)
    return None if plan is None or plan_defect(plan) else plan


def decode_overrides(data: bytes) -> OperatorOverrides | None:
    """Decode stored overrides; None if the bytes are not overrides, or a fraction is invalid."""
    overrides = _decode(data, OperatorOverrides)
    if overrides is None:
        return None
    if not all(0 <= fraction <= 1 for fraction in overrides.evacuated_fractions.values()):
        return None
    return overrides


def plan_defect(plan: FailoverPlan) -> str:
    """Return why the weights of a plan are invalid; empty if they are valid."""
    if len(plan.weights) > MAX_ZONES:
        return f"more than {MAX_ZONES} zones"
    for origin, row in plan.weights.items():
        fractions = [*row.values(), plan.overflow_fractions.get(origin, 0.0)]
        if len(row) > MAX_ZONES or not all(math.isfinite(x) and x >= 0 for x in fractions):
            return f"{origin}: a weight that is none"
        if abs(sum(fractions) - 1.0) > MAX_SUM_ERROR:
            return f"{origin}: weights add up to {sum(fractions):.6f}"
    return ""


def _decode(data: bytes, kind: type[_Stored]) -> _Stored | None:
    if len(data) > MAX_PLAN_BYTES:
        return None
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, ValueError):
        return None
