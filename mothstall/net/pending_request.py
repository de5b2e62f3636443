"""A request that has no response yet, or whose long response is being relayed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from mothstall.net.backend_side.backend import Backend
from mothstall.net.decider_messages import RequestArrived


@dataclass(slots=True)
class PendingRequest:
    """One open request.

    Attributes:
        arrived: The request.
        deadline_ns: Unix time by which the request has to be answered.
        submitted_ns: Unix time at which the decider received the request.
        backstop: Timer that fails the request after its deadline.
        attempts: The backend actor of each attempt; None for an attempt that was never sent.
        in_flight: Number of attempts that have not ended.
        is_answered: The final response, or its head, was passed on, or the client has left.
        has_timed_out: The attempt that ended last had timed out.
        is_relaying: A long response is being relayed.
    """

    arrived: RequestArrived
    deadline_ns: int
    submitted_ns: int
    backstop: asyncio.TimerHandle | None = None
    attempts: list[Backend | None] = field(default_factory=list)
    in_flight: int = 0
    is_answered: bool = False
    has_timed_out: bool = False
    is_relaying: bool = False

    def completed_ns(self) -> int | None:
        """Unix time at which the whole request had been received; None while it is incomplete."""
        arrival = self.arrived.client_request.body_arrival
        return self.submitted_ns if arrival is None else arrival.completed_ns
