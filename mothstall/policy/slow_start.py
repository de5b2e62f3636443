"""Slow start: limits the rate of attempts from this proxy to backends that are warming up.

All proxies together must stay below the rate that overloads a warming backend. The rate at which a
warm backend serves this proxy shows the proxy's fraction of a backend's capacity. A warming backend
gets a fixed multiple of that rate, scaled by its warmth according to the settings, without bursts.
"""

from __future__ import annotations

from mothstall import interface as io
from mothstall.interface import NS
from mothstall.policy import hashing
from mothstall.policy.backend import Backend
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList

OVERLOAD_FRACTION = 0.45  # fraction that is used of the rate that overloads a warming backend
MAX_RECENT_RATIO = 1.25  # upper bound of `warm_rate`, as a multiple of `recent_warm_rate`
EQUAL_WEIGHT_RESPONSES = 10  # responses in a slot at which its rate gets a weight of one half
MAX_TOKENS = 1.0  # bucket size; with a single token, attempts are evenly spaced
FIRST_ATTEMPT_TOKENS = 1.5  # cost of the first attempt, which includes a handshake
_HASH_RANGE = 2**64


class SlowStart:
    """Token buckets for backends that are warming up.

    Attributes:
        warm_rate: Mean rate at which a warm member serves this proxy, in responses per second.
        recent_warm_rate: That rate averaged over a shorter time.
        has_successor: Whether another process of this proxy takes over and uses the tokens.
    """

    def __init__(self, context: Context, endpoints: EndpointList) -> None:
        self._context = context
        self._endpoints = endpoints
        self.warm_rate = 0.0
        self.recent_warm_rate = 0.0
        self.has_successor = False
        self._started_ns = 0

    def begin(self) -> None:
        """Record the start time of this process."""
        self._started_ns = self._context.now_ns

    def warmth(self, backend: Backend) -> float:
        """Return the fraction of its full capacity that a backend has at its age, up to 1."""
        settings = self._context.settings
        if not backend.started_ns:
            return 1.0
        age_ns = self._context.now_ns - backend.started_ns
        if age_ns >= settings.slow_start_ns:
            return 1.0
        warmed = (1 - settings.initial_warmth) * max(0, age_ns) / settings.slow_start_ns
        return settings.initial_warmth + warmed

    def first_tokens(self, entry: io.Endpoint, subset_size: int) -> float:
        """Return the initial tokens of a new backend, which set the time until its first attempt.

        Guards against simultaneous first attempts of many proxies, as from independent random
        draws: the hash of the backend's start and the ring offsets of the proxies spread them.
        """
        context = self._context
        widening = max(1.0, len(self._endpoints) / max(1, subset_size))
        draw = context.rng.random() / context.settings.proxies
        place = hashing.stable_hash(entry.backend + entry.started_ns) / _HASH_RANGE
        turn = (place - context.ring_offset * widening + draw) % 1.0
        # A process that started after the backend gets no initial tokens: the previous process of
        # this proxy may have just sent an attempt.
        return turn * (entry.started_ns >= self._started_ns)

    def has_token(self, backend: Backend, warmth: float) -> bool:
        """Refill the tokens of a warming backend; return whether an attempt may be sent to it.

        Guards against overload of a warming backend: attempts are evenly spaced, and unused tokens
        do not accumulate.
        """
        settings = self._context.settings
        state = backend.slow_start
        now_ns = self._context.now_ns
        rate = 0.0
        # Guards against two processes of one proxy that both use its tokens.
        if not self.has_successor:
            rate = OVERLOAD_FRACTION * settings.overload_multiple * self.warm_rate * warmth
        span_ns = min(now_ns - state.refilled_at_ns, settings.overload_window_ns)
        state.tokens = min(MAX_TOKENS, state.tokens + span_ns * rate / NS)
        state.refilled_at_ns = now_ns
        return state.tokens >= MAX_TOKENS

    @staticmethod
    def count_attempt(backend: Backend) -> None:
        """Charge an attempt to a backend, warm or not."""
        state = backend.slow_start
        state.tokens -= 1.0 if state.is_used else FIRST_ATTEMPT_TOKENS
        state.is_used = True

    def end_slot(self, members: list[Backend], span_ns: int, sent_rate: float) -> None:
        """Update the rate of warm members at the end of a slot of `span_ns`.

        Args:
            members: The subset.
            span_ns: Length of the slot.
            sent_rate: Attempts per second that this proxy sent in the slot.
        """
        warm = [
            member.throughput
            for member in members
            if self.warmth(member) >= 1 and not member.outlier.ejected_until_ns
        ]
        if warm:
            self._update_recent_rate([state.measured for state in warm], span_ns)
            mean = sum(state.filtered for state in warm) / len(warm)
            self.warm_rate = min(mean, MAX_RECENT_RATIO * self.recent_warm_rate)
        elif members:
            # Guards against an estimate that falls while no backend is warm: the tokens themselves
            # limit the sent rate, so that it may only raise the estimate.
            self.warm_rate = max(self.warm_rate, sent_rate / len(members))

    def _update_recent_rate(self, measured: list[float], span_ns: int) -> None:
        """Update `recent_warm_rate`.

        Guards against a 10 s mean that lags when many backends start and the warm ones get fewer
        requests.
        """
        responses = sum(measured) * span_ns / NS
        gain = responses / (responses + EQUAL_WEIGHT_RESPONSES) if self.recent_warm_rate else 1.0
        rate = responses * NS / span_ns / len(measured)
        self.recent_warm_rate += gain * (rate - self.recent_warm_rate)
