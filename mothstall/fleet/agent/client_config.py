"""Timeouts and backoff of the clients of keepers and observers. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackoffConfig:
    """An exponential backoff with jitter: a pause is 0.5 to 1.5 times its nominal length.

    Attributes:
        initial_s: Nominal length of the first pause, in seconds.
        growth: Factor from one nominal length to the next.
        max_s: Largest nominal length, in seconds.
    """

    initial_s: float
    growth: float
    max_s: float

    def next_nominal_s(self, nominal_s: float) -> float:
        """Return the nominal length that follows `nominal_s`."""
        return min(self.max_s, nominal_s * self.growth)


@dataclass(frozen=True, slots=True)
class ClientConfig:
    """Timing of one client.

    Attributes:
        connect_timeout_s: Timeout of connecting and the handshake; a peer on the same network needs
            milliseconds.
        attempt_timeout_s: Time after which a peer that has sent nothing since the attempt began is
            disconnected; a peer that has sent anything gets the same request again. Longer than the
            default election timeout (0.3 to 0.6 s), so that a keeper is not disconnected during an
            election.
        reconnect_backoff: Pauses between two attempts to connect to keepers.
        retry_backoff: Pauses after a retryable rejection.
        bounds_retry_by_deadline: Whether such a pause is limited to the time that the request had
            left when its attempt began.
    """

    connect_timeout_s: float = 1.0
    attempt_timeout_s: float = 0.7
    reconnect_backoff: BackoffConfig = BackoffConfig(initial_s=0.05, growth=1.6, max_s=3.0)
    retry_backoff: BackoffConfig = BackoffConfig(initial_s=0.05, growth=2.0, max_s=1.0)
    bounds_retry_by_deadline: bool = False


KEEPER_CLIENT_CONFIG = ClientConfig()

# All proxies of a zone share one observer, so they retry less often, at a constant interval.
OBSERVER_CLIENT_CONFIG = ClientConfig(
    retry_backoff=BackoffConfig(initial_s=0.4, growth=1.0, max_s=0.4),
    bounds_retry_by_deadline=True,
)


def jittered_s(nominal_s: float, rng: random.Random) -> float:
    """Return a random pause of 0.5 to 1.5 times `nominal_s`, in seconds."""
    return nominal_s * (0.5 + rng.random())
