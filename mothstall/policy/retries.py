"""Retries: their token budget, and the check that a retry cannot repeat an effect."""

from __future__ import annotations

from mothstall.interface import Effect, KeyScope
from mothstall.policy.backend import Backend
from mothstall.policy.context import Context
from mothstall.policy.request import Request

TOKENS_PER_RESPONSE = 0.2  # retry tokens per successful response
MAX_BUDGET = 30.0  # upper bound of a proxy's `max_tokens`
MIN_BUDGET = 2.0  # lower bound of a proxy's `max_tokens`
BUDGET_PER_BACKEND = 10.0  # sum of `max_tokens` over all proxies, per backend, between the bounds


class RetryBudget:
    """Token budget of retries and hedged requests, refilled by successful responses.

    Attributes:
        tokens: Tokens of retries that may be sent now.
        max_tokens: Upper bound of `tokens`.
    """

    def __init__(self) -> None:
        self.tokens = MAX_BUDGET
        self.max_tokens = MAX_BUDGET

    def begin(self, context: Context, backend_count: int) -> None:
        """Set the bound by the number of backends, and draw the initial tokens at random.

        Guards against retries of all proxies at the same time.
        """
        per_proxy = BUDGET_PER_BACKEND * backend_count / context.settings.proxies
        self.max_tokens = max(MIN_BUDGET, min(MAX_BUDGET, per_proxy))
        self.tokens = self.max_tokens * context.rng.random()

    def earn(self) -> None:
        """Add the tokens that a successful response earns."""
        self.tokens = min(self.max_tokens, self.tokens + TOKENS_PER_RESPONSE)

    def has_token(self) -> bool:
        """Return whether a retry may be sent."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Remove the token of a retry."""
        self.tokens -= 1.0


def may_run_at(request: Request, backend: Backend, now_ns: int) -> bool:
    """Return whether an attempt at this backend cannot repeat an effect.

    An effect cannot be repeated if no earlier attempt may have had one, or if the request is
    idempotent. Otherwise a non-idempotent request gets no further attempt. A request that is
    idempotent by its key gets one only within the key's window, and only at backends that recognize
    the key of the attempt that may have run.
    """
    ran_on = request.ran_on
    request_class = request.request_class
    if ran_on is None or request_class.effect == Effect.IDEMPOTENT:
        return True
    is_window_over = now_ns >= request.ran_at_ns + request_class.window_ns
    if request_class.effect == Effect.NON_IDEMPOTENT or is_window_over:
        return False
    if request_class.group == KeyScope.ALL:
        return True
    if request_class.group == KeyScope.ZONE:
        return backend.zone == ran_on.zone
    return backend.cell == ran_on.cell


def is_client_retry_safe(request: Request) -> bool:
    """Return whether a client can safely send this request again after a rejection."""
    request_class = request.request_class
    if request.ran_on is None or request_class.effect == Effect.IDEMPOTENT:
        return True
    has_key = request_class.effect == Effect.IDEMPOTENT_WITH_KEY
    return has_key and request_class.group == KeyScope.ALL


def window_end_ns(request: Request) -> int:
    """Return when the writing of an attempt must be complete; 0: no limit."""
    if request.ran_on and request.request_class.effect == Effect.IDEMPOTENT_WITH_KEY:
        return request.ran_at_ns + request.request_class.window_ns
    return 0
