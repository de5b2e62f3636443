"""Evacuation of an unhealthy zone, and the recovery ramp back to it. Pure.

Each pair of an origin zone and a target zone has a state of its own. Traffic is moved off an
unhealthy pair at once. A pair that is healthy again gets it back in steps, each judged by the
attempts made under it; a failed recovery ramp doubles the wait before the next one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mothstall.fleet.failover.plan import FailoverPlan, ZonePairState, pair_key
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.zone_evidence import MIN_ATTEMPTS, ZoneEvidence

# Unhealthy fraction above which traffic is moved off a zone; less is noise.
UNHEALTHY_FRACTION_THRESHOLD = 0.1
# Factor on the allowed fraction with each tick that a zone stays unhealthy.
EVACUATION_FACTOR = 0.5
# A smaller allowed fraction is set to zero: the few requests would only fail.
MIN_ALLOWED_FRACTION = 0.03
# Allowed fractions of the successive recovery steps. The first is small, so that a zone that still
# fails affects only a twentieth of its traffic.
RECOVERY_STEPS = (0.05, 0.15, 0.4, 1.0)
# Failed recovery ramps from which the wait no longer doubles: 16 times the first wait.
MAX_FAILED_RECOVERIES = 5
# Overflow of an origin zone above which its recovery ramps are twice as fast, as requests that
# overflow are rejected.
FAST_RECOVERY_OVERFLOW_FRACTION = 0.05
FAST_RECOVERY_SPEEDUP = 2
# Fraction of proxies that have to follow the plan for a step to be judged.
MIN_ON_PLAN_FRACTION = 0.5
# A step with too few expected attempts to be judged lasts this many times as long instead.
UNJUDGED_STEP_FACTOR = 2
# Multiple of `MIN_ATTEMPTS` below which the attempts expected in a step are too few to judge it.
JUDGED_ATTEMPTS_FACTOR = 2
# Tolerance in the comparison of an allowed fraction with a step.
STEP_TOLERANCE = 1e-9


@dataclass(slots=True, frozen=True)
class PairObservation:
    """Measurements of one pair of zones at one tick.

    Attributes:
        unhealthy_fraction: How unhealthy the target is for the origin, 0 to 1.
        has_enough_attempts: Whether `unhealthy_fraction` rests on enough attempts.
        on_plan_fraction: Fraction of the origin's proxies that follow the current plan.
        warm_weight: Weight of the target's warm backends.
        baseline_rate: Attempts a second from the origin to the target in normal operation.
        speedup: Divisor of the durations of a recovery ramp.
    """

    unhealthy_fraction: float
    has_enough_attempts: bool
    on_plan_fraction: float
    warm_weight: float
    baseline_rate: float
    speedup: int


@dataclass(slots=True, frozen=True)
class PairUpdate:
    """The states of all pairs of zones that are, or recently were, restricted.

    Attributes:
        states: By `pair_key`.
        reasons: For operators: which pairs are unhealthy.
    """

    states: dict[str, ZonePairState]
    reasons: list[str]


def next_pair_states(
    evidence: ZoneEvidence,
    last: FailoverPlan,
    baseline: Mapping[str, Mapping[str, float]],
    policy: FailoverPolicy,
    zones: Sequence[str],
    elapsed_ms: int,
) -> PairUpdate:
    """Return the next states of all pairs of zones.

    Args:
        evidence: The assessment of the current reports.
        last: The last plan.
        baseline: Where each zone's traffic goes in normal operation.
        policy: The operator's settings.
        zones: All zones, sorted.
        elapsed_ms: Milliseconds since the last tick.
    """
    update = PairUpdate({}, [])
    healthy = ZonePairState(1.0, 0, policy.forget_after_ms)
    for origin in sorted({*evidence.request_rates, *baseline}):
        for zone in zones:
            key = pair_key(origin, zone)
            observation = _observe(origin, zone, evidence, last, baseline)
            state = next_pair_state(
                last.pair_states.get(key, healthy), observation, policy, elapsed_ms
            )
            if _is_unhealthy(observation):
                fraction = observation.unhealthy_fraction
                update.reasons.append(f"{zone} is {fraction:.0%} unhealthy from {origin}")
            if state.allowed_fraction < 1.0 or state.state_age_ms < policy.forget_after_ms:
                update.states[key] = state
    return update


def _observe(
    origin: str,
    zone: str,
    evidence: ZoneEvidence,
    last: FailoverPlan,
    baseline: Mapping[str, Mapping[str, float]],
) -> PairObservation:
    overflow_fraction = last.overflow_fractions.get(origin, 0.0)
    is_fast = overflow_fraction > FAST_RECOVERY_OVERFLOW_FRACTION
    attempt_rate = sum(evidence.attempt_rates.get(origin, {}).values())
    return PairObservation(
        unhealthy_fraction=evidence.unhealthy_fraction(origin, zone),
        has_enough_attempts=evidence.has_enough_attempts(origin, zone),
        on_plan_fraction=evidence.on_plan_fractions.get(origin, 0.0),
        warm_weight=evidence.warm_weights.get(zone, 0.0),
        baseline_rate=attempt_rate * baseline.get(origin, {}).get(zone, 0.0),
        speedup=FAST_RECOVERY_SPEEDUP if is_fast else 1,
    )


def _is_unhealthy(observation: PairObservation) -> bool:
    return observation.unhealthy_fraction > UNHEALTHY_FRACTION_THRESHOLD


def next_pair_state(
    state: ZonePairState,
    observation: PairObservation,
    policy: FailoverPolicy,
    elapsed_ms: int,
) -> ZonePairState:
    """Return the next state of one pair of zones."""
    if _is_unhealthy(observation):
        return _evacuate(state, observation.unhealthy_fraction)
    state_age_ms = state.state_age_ms + elapsed_ms
    aged = ZonePairState(
        state.allowed_fraction, state.failed_recoveries, state_age_ms, state.is_recovering
    )
    if state.allowed_fraction >= 1.0:
        return ZonePairState(
            1.0,
            state.failed_recoveries,
            min(state_age_ms, policy.forget_after_ms),
            state.is_recovering,
        )
    if state.allowed_fraction == 0.0:
        return _start_recovery(aged, observation, policy)
    return _continue_recovery(aged, observation, policy)


def _evacuate(state: ZonePairState, unhealthy_fraction: float) -> ZonePairState:
    """Move traffic off a pair: the unhealthy fraction at once, then half of the rest each tick.

    A pair that was healthy or on its recovery ramp counts one more failure; a pair that stays
    unhealthy does not.
    """
    stays_unhealthy = state.allowed_fraction < 1.0 and not state.is_recovering
    allowed_fraction = min(state.allowed_fraction, 1.0 - unhealthy_fraction)
    if stays_unhealthy:
        allowed_fraction *= EVACUATION_FACTOR
    failed_recoveries = state.failed_recoveries
    if not stays_unhealthy and state.allowed_fraction != 0.0:
        failed_recoveries = min(MAX_FAILED_RECOVERIES, failed_recoveries + 1)
    if allowed_fraction < MIN_ALLOWED_FRACTION:
        allowed_fraction = 0.0
    return ZonePairState(allowed_fraction, failed_recoveries, 0)


def _start_recovery(
    aged: ZonePairState, observation: PairObservation, policy: FailoverPolicy
) -> ZonePairState:
    """Take the first step of a recovery ramp once the backoff is over and backends are warm."""
    backoff_factor = 0
    if policy.has_recovery_backoff:
        backoff_factor = 2 ** max(0, aged.failed_recoveries - 1)
    wait_ms = policy.recovery_wait_ms * backoff_factor // observation.speedup
    if aged.state_age_ms < wait_ms or observation.warm_weight <= 0:
        return ZonePairState(0.0, aged.failed_recoveries, aged.state_age_ms)
    return ZonePairState(RECOVERY_STEPS[0], aged.failed_recoveries, 0, True)


def _continue_recovery(
    aged: ZonePairState, observation: PairObservation, policy: FailoverPolicy
) -> ZonePairState:
    """Take the next step of a recovery ramp once the last one was judged or lasted long enough."""
    step_ms = policy.recovery_step_ms // observation.speedup
    if aged.state_age_ms < step_ms or not _may_take_next_step(aged, observation, step_ms):
        return aged
    next_step = next(
        (step for step in RECOVERY_STEPS if step > aged.allowed_fraction + STEP_TOLERANCE), 1.0
    )
    return ZonePairState(next_step, aged.failed_recoveries, 0, True)


def _may_take_next_step(aged: ZonePairState, observation: PairObservation, step_ms: int) -> bool:
    """Whether a step was judged by enough attempts of proxies that follow the plan.

    A step in which too few attempts are expected only has to last longer.
    """
    is_on_plan = observation.on_plan_fraction >= MIN_ON_PLAN_FRACTION
    if observation.has_enough_attempts and is_on_plan:
        return True
    expected_attempts = aged.allowed_fraction * observation.baseline_rate * step_ms / 1000
    has_few_attempts = expected_attempts < JUDGED_ATTEMPTS_FACTOR * MIN_ATTEMPTS
    return has_few_attempts and aged.state_age_ms >= UNJUDGED_STEP_FACTOR * step_ms
