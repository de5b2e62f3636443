"""A client's request while it is open, and its attempts."""

from __future__ import annotations

from mothstall import interface as io
from mothstall.policy.backend import Backend
from mothstall.policy.traffic_profile import TrafficProfile


class Attempt:
    """One forwarding of a request to one backend.

    Attributes:
        backend: The backend that it was sent to.
        sent_ns: When it was sent; if its request body was delayed, when the last byte was written.
        is_half_open_probe: Whether it is a half-open probe of an ejected backend.
        is_open: Whether it has not ended yet.
        never_ran: Whether the backend certainly did not run it.
        was_rejected: Whether the backend rejected it unread.
        awaits_body: Whether part of the request body is still missing, so that the backend has
            not started.
    """

    __slots__ = (
        "awaits_body",
        "backend",
        "is_half_open_probe",
        "is_open",
        "never_ran",
        "sent_ns",
        "was_rejected",
    )

    def __init__(self, backend: Backend, sent_ns: int, *, is_half_open_probe: bool) -> None:
        self.backend = backend
        self.sent_ns = sent_ns
        self.is_half_open_probe = is_half_open_probe
        self.is_open = True
        self.never_ran = False
        self.was_rejected = False
        self.awaits_body = False


class Request:
    """A client's request, from its arrival to the end of its last attempt.

    Attributes:
        id: The number that the adapter assigned.
        class_index: Index of its class in the settings; `request_class` is that class.
        profile: The traffic profile that it belongs to.
        is_priority: Whether the priority group serves it.
        arrived_ns: When it arrived; if its body was delayed, when the body was forwarded.
        deadline_ns: When its client stops waiting.
        objective_ns: The latency objective of its class, at least 1.
        cost_ns: Its expected work as the client declared it; 0: not declared.
        attempts: All its attempts, in order.
        open_attempts: Number of attempts that have not ended.
        is_done: Whether its final response is determined.
        has_response_started: Whether the first bytes of a response have arrived.
        exceeds_quota: Whether it exceeds its tenant's quota or, without tenants, its class has
            less than the greatest priority weight.
        queued_until_ns: When its wait for capacity times out; 0: not queued.
        ran_on: The backend of the first attempt that may have had an effect.
        ran_at_ns: When the attempt at `ran_on` was sent.
    """

    __slots__ = (
        "arrived_ns",
        "attempts",
        "class_index",
        "cost_ns",
        "deadline_ns",
        "exceeds_quota",
        "has_response_started",
        "id",
        "is_done",
        "is_priority",
        "objective_ns",
        "open_attempts",
        "profile",
        "queued_until_ns",
        "ran_at_ns",
        "ran_on",
        "request_class",
    )

    def __init__(
        self,
        event: io.RequestArrived,
        request_class: io.RequestClass,
        profile: TrafficProfile,
        *,
        is_priority: bool,
        now_ns: int,
    ) -> None:
        self.id = event.request
        self.class_index = event.class_index
        self.request_class = request_class
        self.profile = profile
        self.is_priority = is_priority
        self.arrived_ns = now_ns
        self.deadline_ns = now_ns + event.left_ns
        self.objective_ns = max(1, request_class.objective_ns)
        self.cost_ns = event.cost_ns
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.is_done = False
        self.has_response_started = False
        self.exceeds_quota = False
        self.queued_until_ns = 0
        self.ran_on: Backend | None = None
        self.ran_at_ns = 0
