"""State that all parts of a balancer share: settings, clock, random numbers, timers, actions."""

from __future__ import annotations

import random

from mothstall import interface as io
from mothstall.policy import hashing
from mothstall.policy.timers import Timers


class Context:
    """State of one `Balancer` that its parts share; only the balancer advances the clock.

    Attributes:
        settings: The settings of the instance, which do not change.
        rng: The only source of randomness; the order of its draws must not change between runs.
        now_ns: Time of the current batch of events; negative before the first batch.
        actions: Actions of the current batch so far, in order.
        timers: Scheduled calls.
        ring_offset: Where on the hash ring this proxy's subset begins, from 0 to 1.
    """

    __slots__ = ("actions", "now_ns", "ring_offset", "rng", "settings", "timers")

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_ns = -1
        self.actions: list[io.Action] = []
        self.timers = Timers()
        self.ring_offset = hashing.ring_offset(settings.position)
