"""Outlier detection: repeated failures eject a backend; a half-open probe readmits it."""

from __future__ import annotations

from collections.abc import Callable

from mothstall.interface import NS
from mothstall.policy.backend import MIN_EJECTION_NS, Backend
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList

EJECTION_SCORE = 2.0  # failure score that ejects; one failed connect reaches it
FAILURE_SCORE = 1.0  # score of a reset connection or a response cut short
SHARED_ERROR_FACTOR = 0.7  # score of an error response, less than that of a reset
CLASS_TIMEOUT_SCORE = 0.4  # score of a timeout if only the request's class gets no responses
SUCCESS_FACTOR = 0.5  # factor of the failure score after a successful response
NEGLIGIBLE_SCORE = 0.2  # a successful response resets scores up to this to 0
MAX_HINTED_SCORE = EJECTION_SCORE / 2  # upper bound of the score that health hints alone can reach
MAX_EJECTION_NS = 8 * NS  # upper bound of the doubling ejection time
MIN_JITTER = 0.8  # random factor of an ejection's duration: 0.8 to 1.2
JITTER_RANGE = 0.4


class OutlierDetector:
    """Ejects backends that fail.

    Attributes:
        unhealthy_count: Number of listed backends with a failure score above 0.
    """

    def __init__(
        self, context: Context, endpoints: EndpointList, on_member_ejected: Callable[[], None]
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._on_member_ejected = on_member_ejected
        self.unhealthy_count = 0

    def ejected_count(self) -> int:
        """Return the number of listed backends that are ejected or half-open."""
        return sum(b.outlier.ejected_until_ns > 0 for b in self._endpoints.by_id.values())

    def count_failure(self, backend: Backend, score: float) -> None:
        """Add to a backend's failure score, and eject it when the score is high enough.

        Guards against backends that are dead, unreachable or failing.
        """
        state = backend.outlier
        if not state.failure_score and self._endpoints.lists(backend):
            self.unhealthy_count += 1
        state.failure_score += score
        now_ns = self._context.now_ns
        if state.failure_score < EJECTION_SCORE or now_ns < state.ejected_until_ns:
            return
        jitter = MIN_JITTER + JITTER_RANGE * self._context.rng.random()
        state.ejected_until_ns = now_ns + int(state.ejection_ns * jitter)
        state.ejection_ns = min(2 * state.ejection_ns, MAX_EJECTION_NS)
        if backend.is_member:
            self._on_member_ejected()

    def count_hint(self, backend: Backend) -> None:
        """Record a health hint: raise the failure score to `MAX_HINTED_SCORE` if it is lower."""
        if backend.outlier.failure_score < MAX_HINTED_SCORE:
            self.count_failure(backend, MAX_HINTED_SCORE - backend.outlier.failure_score)

    def count_success(self, backend: Backend) -> None:
        """Record a successful response: it halves the failure score and ends an ejection."""
        state = backend.outlier
        before = state.failure_score
        state.failure_score = before * SUCCESS_FACTOR if before > NEGLIGIBLE_SCORE else 0.0
        if before > state.failure_score == 0.0 and self._endpoints.lists(backend):
            self.unhealthy_count -= 1
        state.ejected_until_ns = 0
        state.ejection_ns = max(MIN_EJECTION_NS, state.ejection_ns // 2)

    def forget(self, backend: Backend) -> None:
        """Record that a backend is no longer listed."""
        if backend.outlier.failure_score > 0:
            self.unhealthy_count -= 1

    def restore(
        self, backend: Backend, failure_score: float, ejected_until_ns: int, ejection_ns: int
    ) -> None:
        """Restore the state that the previous process of this proxy kept of a backend."""
        state = backend.outlier
        self.unhealthy_count += (failure_score > 0) - (state.failure_score > 0)
        state.failure_score = failure_score
        state.ejected_until_ns = ejected_until_ns
        state.ejection_ns = ejection_ns
