"""Traffic profiles: request rates, choice of the priority profile, this proxy's traffic fraction.

A profile is the traffic of one tenant if the settings name tenants, else of one class.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

from mothstall.interface import NS
from mothstall.policy.context import Context
from mothstall.policy.slots import OBSERVATION_NS

if TYPE_CHECKING:
    from mothstall.policy.request import Request

MIN_WEIGHT = 1e-6  # lower bound of a weight in the fair queue, and of a quota used as divisor
MIN_TRAFFIC_FRACTION = 1e-3  # lower bound of a profile's traffic fraction, a divisor of its claim
PRIORITY_MARGIN = 1.25  # a new priority profile's claim must exceed this multiple of the current
PRIOR_REQUESTS = 6.0  # weight, in requests, of the assumption that all proxies get equal traffic
MANY_PROFILES = 1000  # number of active profiles above which `EARLY_INACTIVE_BELOW` applies
EARLY_INACTIVE_BELOW = 0.5  # bound of the counts of inactive profiles if many are active
INACTIVE_BELOW = 1e-16  # that bound otherwise; both bounds scale with a total below 1
_RATE_GAIN = 0.5  # smoothing factor of a profile's rate, per slot


class TrafficProfile:
    """The requests of one tenant, or of one class.

    Attributes:
        index: Its index in the settings.
        weight: Its weight in the fair queue.
        quota: Requests per second that it is entitled to; without tenants the class's priority
            weight.
        queue: Its requests that wait for capacity, in order of arrival.
        served_in_slot: Requests admitted in this slot.
        virtual_finish: Its virtual finish time in the fair queue.
        rate: Smoothed rate of admitted requests per second.
        arrivals: Exponentially decayed count of requests.
        completions: Exponentially decayed count of successful responses.
        quota_tokens: Requests that it may send now within its quota.
        quota_refilled_at_ns: When these tokens were last refilled.
    """

    __slots__ = (
        "arrivals",
        "completions",
        "index",
        "queue",
        "quota",
        "quota_refilled_at_ns",
        "quota_tokens",
        "rate",
        "served_in_slot",
        "virtual_finish",
        "weight",
    )

    def __init__(self, index: int, weight: float, quota: float, quota_tokens: float) -> None:
        self.index = index
        self.weight = max(weight, MIN_WEIGHT)
        self.quota = quota
        self.queue: list[Request] = []
        self.served_in_slot = 0
        self.virtual_finish = 0.0
        self.rate = 0.0
        self.arrivals = 0.0
        self.completions = 0.0
        self.quota_tokens = quota_tokens
        self.quota_refilled_at_ns = 0


class TrafficProfiles:
    """All profiles; the work at the end of a slot depends only on the number of active ones.

    Attributes:
        all: All profiles, by index.
        by_quota: Indexes by descending quota; `quota_rank` is each profile's rank in that order.
        active: Profiles with recent requests, by index; all others have rates and counts of 0.
        arrivals: Exponentially decayed count of requests of all profiles.
        priority: Index of the profile with priority, which the priority group serves.
        is_single: Whether there is only one profile, which all members serve.
        traffic_fraction: This proxy's fraction of all traffic, estimated by the median profile.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        settings = context.settings
        # Drawn at random: guards against initial tokens that all proxies use at the same time.
        quota_tokens = context.rng.random()
        rows = [(tenant.share, tenant.quota_per_s) for tenant in settings.tenants]
        if not rows:
            rows = [(row.priority_weight, row.priority_weight) for row in settings.classes]
        self.all = [
            TrafficProfile(index, weight, quota, quota_tokens)
            for index, (weight, quota) in enumerate(rows)
        ]
        self.is_single = len(self.all) == 1
        self.total_weight = sum(profile.weight for profile in self.all)
        self.active: dict[int, TrafficProfile] = {}
        self.arrivals = 0.0
        self._inactive_arrivals = 0.0
        self._observed_ns = 0.0
        self._initial_priority = max(
            range(len(rows)), key=lambda index: (self.claim(index), -index)
        )
        self.priority = self._initial_priority
        self.by_quota = list(range(len(rows)))
        self.by_quota.sort(key=lambda index: -self.all[index].quota)
        self.quota_rank = sorted(range(len(rows)), key=self.by_quota.__getitem__)
        self.traffic_fraction = 1.0 / settings.proxies

    def of_request(self, index: int) -> TrafficProfile:
        """Return the profile of a tenant or class; an unknown index gets the first profile."""
        return self.all[index if index < len(self.all) else 0]

    def count_arrival(self, profile: TrafficProfile) -> None:
        """Count a request."""
        profile.arrivals += 1
        self.arrivals += 1
        self.active[profile.index] = profile

    def count_completion(self, profile: TrafficProfile) -> None:
        """Count a successful response."""
        profile.completions += 1.0
        self.active[profile.index] = profile

    def priority_fraction(self) -> float:
        """Return the priority profile's fraction of this proxy's requests, 0 to 1."""
        profile = self.all[self.priority]
        if self.arrivals > 0:
            return profile.arrivals / self.arrivals
        return profile.weight / self.total_weight

    def claim(self, index: int) -> float:
        """Return a profile's claim to priority.

        The claim is its quota over its traffic fraction; without tenants, its priority weight.
        """
        profile = self.all[index]
        if not self._context.settings.tenants:
            return profile.quota
        part = profile.arrivals / self.arrivals if self.arrivals > 0 else profile.weight
        return profile.quota / max(part, MIN_TRAFFIC_FRACTION)

    def close_slot(self, span_ns: int) -> None:
        """Update rates, decayed counts and `traffic_fraction` at the end of a slot of `span_ns`."""
        keep = math.exp(-span_ns / (3 * OBSERVATION_NS))
        threshold = EARLY_INACTIVE_BELOW if len(self.active) > MANY_PROFILES else INACTIVE_BELOW
        threshold *= min(1.0, self.arrivals)
        # Guards against work for every profile at the end of a slot: only active ones are visited.
        profiles = [self.active[index] for index in sorted(self.active)]
        self.active = {}
        self._inactive_arrivals *= keep
        self._observed_ns = self._observed_ns * keep + span_ns
        for profile in profiles:
            profile.rate += _RATE_GAIN * (profile.served_in_slot * NS / span_ns - profile.rate)
            profile.served_in_slot = 0
            profile.arrivals *= keep
            profile.completions *= keep
            if profile.arrivals >= threshold or profile.completions >= threshold or profile.queue:
                self.active[profile.index] = profile
            else:
                self._deactivate(profile)
        self.arrivals = self._inactive_arrivals + sum(
            profile.arrivals for profile in self.active.values()
        )
        self.traffic_fraction = self._median_relative_rate()

    def _deactivate(self, profile: TrafficProfile) -> None:
        self._inactive_arrivals += profile.arrivals
        profile.rate = 0.0
        profile.arrivals = 0.0
        profile.completions = 0.0

    def choose_priority(self, *, is_first_slot: bool) -> None:
        """Give priority to the profile with the greatest claim.

        Guards against priority that alternates between profiles with nearly equal claims.
        """
        # Among profiles below `MIN_TRAFFIC_FRACTION`, the greatest quota has the greatest claim.
        large = {
            index
            for index, profile in self.active.items()
            if profile.arrivals >= MIN_TRAFFIC_FRACTION * self.arrivals
        }
        small = next(
            (index for index in self.by_quota if index not in large), self._initial_priority
        )
        best = max(
            [self._initial_priority, small, *large], key=lambda index: (self.claim(index), -index)
        )
        if is_first_slot or self.claim(best) > PRIORITY_MARGIN * self.claim(self.priority):
            self.priority = best

    def _median_relative_rate(self) -> float:
        """Return the lower median, over all profiles, of completions over expected completions.

        Guards against an estimate inflated by client retries (only completions count) or distorted
        by few requests (the prior has a weight of `PRIOR_REQUESTS`). Apart from a sort of the
        active profiles, the time is linear in their number and logarithmic in the number of all
        profiles: relative rates of inactive profiles ascend along `by_quota`, so that a binary
        search finds the median.
        """
        prior_divisor = PRIOR_REQUESTS * self._context.settings.proxies
        observed_ns = self._observed_ns
        count = len(self.all)
        ranks = sorted([self.quota_rank[index] for index in self.active])
        relative_rates = sorted(
            [
                (profile.completions + PRIOR_REQUESTS)
                / (max(profile.quota, MIN_WEIGHT) * observed_ns / NS + prior_divisor)
                for profile in self.active.values()
            ]
        )

        def inactive_relative_rate(rank: int) -> float:
            quota = max(self.all[self.by_quota[rank]].quota, MIN_WEIGHT)
            return PRIOR_REQUESTS / (quota * observed_ns / NS + prior_divisor)

        def count_up_to(rank: int) -> int:
            inactive = rank + 1 - bisect_right(ranks, rank)
            return inactive + bisect_right(relative_rates, inactive_relative_rate(rank))

        median_rank = (count + 1) // 2
        rank = bisect_left(range(count), median_rank, key=count_up_to)
        rest = median_rank - (rank - bisect_left(ranks, rank))
        return min(
            inactive_relative_rate(rank) if rank < count else math.inf,
            relative_rates[rest - 1] if rest <= len(relative_rates) else math.inf,
        )
