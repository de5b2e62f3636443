"""The plan of a soak run, drawn from its seed. Pure: the same seed gives the same plan."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

TRAFFIC_S = 2.5  # first phase of traffic; the second lasts half as long before the ending
MAX_HANGUPS = 6  # maximum of SIGHUPs in the first phase
CROWD_PROBABILITY = 0.3
DRAINS_PROBABILITY = 0.6
CROWD_CLIENTS = 260  # idle connections: more than a crowded run has descriptors for
DESCRIPTORS = 512
CROWDED_DESCRIPTORS = 160


class Ending(Enum):
    """How the proxy is ended while its clients continue."""

    TERMINATE = "SIGTERM"
    TERMINATE_TWICE = "SIGTERM twice"
    HANGUPS_THEN_TERMINATE = "SIGHUPs, SIGTERM among them"
    DRAIN_THEN_TERMINATE = "a drain, a SIGHUP during it, SIGTERM"
    UPGRADE = "a successor takes over, SIGTERM"
    UPGRADE_WITH_HANGUP = "a successor takes over, a SIGHUP beside it, SIGTERM"


@dataclass(frozen=True)
class SoakPlan:
    """The plan of one run.

    Attributes:
        seed: Seed of all random choices.
        ending: How the proxy ends.
        hangup_times_s: Times of the SIGHUPs of the first phase, in seconds since its begin.
        is_crowded: Whether idle clients use up the descriptors.
        descriptors: Descriptor limit of the proxy.
        silent_watch_at_s: When the open watches fall silent; None: never.
        drain_backend_at_s: When one backend begins to drain, soon after the watches fall silent if
            they do; None: never.
        start_and_terminate_after_s: Time from the start of a second process to its SIGTERM; None:
            no such process.
    """

    seed: int
    ending: Ending
    hangup_times_s: tuple[float, ...]
    is_crowded: bool
    descriptors: int
    silent_watch_at_s: float | None
    drain_backend_at_s: float | None
    start_and_terminate_after_s: float | None


def plan_for(seed: int) -> SoakPlan:
    """Return the plan of a seed."""
    rng = random.Random(seed)
    endings = list(Ending)
    is_crowded = rng.random() < CROWD_PROBABILITY
    hangups = tuple(sorted(rng.uniform(0.0, TRAFFIC_S) for _ in range(rng.randint(0, MAX_HANGUPS))))
    watch_at = rng.uniform(0.2, 1.0) if rng.random() < DRAINS_PROBABILITY else None
    drain_at = None
    if rng.random() < DRAINS_PROBABILITY:
        drain_at = (watch_at or rng.uniform(0.2, 1.0)) + rng.uniform(0.01, 0.2)
    terminate_after = rng.uniform(0.0, 0.6) if rng.random() < 0.5 else None
    return SoakPlan(
        seed=seed,
        ending=endings[seed % len(endings)],
        hangup_times_s=hangups,
        is_crowded=is_crowded,
        descriptors=CROWDED_DESCRIPTORS if is_crowded else DESCRIPTORS,
        silent_watch_at_s=watch_at,
        drain_backend_at_s=drain_at,
        start_and_terminate_after_s=terminate_after,
    )
