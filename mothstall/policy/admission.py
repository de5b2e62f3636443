"""Admission control: tenant quotas, and a fair queue for requests that wait for capacity."""

from __future__ import annotations

from collections.abc import Iterable

from mothstall.interface import NS
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.request import Request
from mothstall.policy.traffic_profile import TrafficProfile, TrafficProfiles

QUOTA_SLACK = 1.35  # a proxy's part of a quota, as a multiple of its traffic fraction
BURST_TOKENS = 2.0  # additional bucket size, in requests, if there are few backends per proxy


class Quotas:
    """Token buckets that enforce this proxy's fraction of each tenant's quota."""

    def __init__(
        self, context: Context, endpoints: EndpointList, profiles: TrafficProfiles
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._profiles = profiles
        self._max_priority_weight = max(row.priority_weight for row in context.settings.classes)

    def exceeds(self, profile: TrafficProfile) -> bool:
        """Count a request; return whether it exceeds its tenant's quota.

        Without tenants, return whether its class has less than the greatest priority weight.
        """
        settings = self._context.settings
        if not settings.tenants:
            return profile.quota < self._max_priority_weight
        fraction = max(QUOTA_SLACK * self._profiles.traffic_fraction, 1.0 / settings.proxies)
        rate = fraction * profile.quota
        now_ns = self._context.now_ns
        refilled = profile.quota_tokens + (now_ns - profile.quota_refilled_at_ns) * rate / NS
        max_tokens = max(1.0 + BURST_TOKENS * self._endpoints.is_sparse, rate)
        profile.quota_tokens = min(max_tokens, refilled)
        profile.quota_refilled_at_ns = now_ns
        if profile.quota_tokens < 1.0:
            return True
        profile.quota_tokens -= 1
        return False


class FairQueue:
    """Queue of requests that wait for capacity, served in proportion to the weights of profiles.

    Start-time fair queueing (Goyal, Vin and Cheng, 1997); every request has a cost of 1.

    Attributes:
        count: Number of queued requests.
        queued: By index, profiles that have queued requests or had some in the current slot.
    """

    def __init__(self) -> None:
        self.count = 0
        self.queued: dict[int, TrafficProfile] = {}
        self._virtual_time = 0.0

    def put(self, request: Request, until_ns: int) -> None:
        """Queue a request; `until_ns` is when its wait times out."""
        request.profile.queue.append(request)
        self.queued[request.profile.index] = request.profile
        request.queued_until_ns = until_ns
        self.count += 1

    def remove(self, request: Request) -> None:
        """Remove a request from the queue."""
        request.queued_until_ns = 0
        self.count -= 1
        request.profile.queue.remove(request)

    def is_next(self, profile: TrafficProfile) -> bool:
        """Return whether a profile is due before all queued ones; update its virtual time first."""
        profile.virtual_finish = max(profile.virtual_finish, self._virtual_time)
        if not self.count:
            return True
        return profile.virtual_finish <= min(row.virtual_finish for row in self._waiting())

    def in_order(self) -> list[TrafficProfile]:
        """Return the profiles with queued requests by ascending virtual finish time."""
        return sorted(self._waiting(), key=lambda row: (row.virtual_finish, row.index))

    def admit(self, request: Request) -> None:
        """Charge the first attempt of a request to its profile; retries are not charged."""
        profile = request.profile
        self._virtual_time = max(self._virtual_time, profile.virtual_finish)
        if not request.attempts:
            profile.virtual_finish += 1.0 / profile.weight
            profile.served_in_slot += 1

    def end_slot(self) -> None:
        """Drop profiles that have no queued requests."""
        self.queued = {index: row for index, row in self.queued.items() if row.queue}

    def _waiting(self) -> Iterable[TrafficProfile]:
        return (row for row in self.queued.values() if row.queue)
