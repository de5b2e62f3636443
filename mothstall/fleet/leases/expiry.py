"""Expiry of leases at the leading keeper. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mothstall.fleet.units import NS_PER_MS

MAX_EXPIRED_PER_CALL = 1024  # bounds one change of the log; the others expire at the next tick


@dataclass(slots=True, frozen=True)
class _Term:
    token: int
    ends_at_ns: int


class LeaseExpiryTracker:
    """Tracks the ends of all lease terms at the leading keeper.

    `fresh_terms` guards against a new leader that expires leases which its predecessor renewed;
    only tests disable it.
    """

    def __init__(self, fresh_terms: bool = True) -> None:
        """Start without leases."""
        self.fresh_terms = fresh_terms
        self._terms: dict[str, _Term] = {}
        # Lower bound for the end of all terms. Renewals do not raise it; a check after it does.
        self._earliest_end_ns: float = math.inf

    def start_leading(self, leases: Iterable[tuple[str, int, int]], now_ns: int) -> None:
        """Give each lease one complete term, as this keeper has become the leader.

        Args:
            leases: Name, token and duration in milliseconds of each lease.
            now_ns: The time by the monotonic clock.
        """
        self._terms = {
            name: _Term(token, now_ns + duration_ms * NS_PER_MS * self.fresh_terms)
            for name, token, duration_ms in leases
        }
        self._earliest_end_ns = min(
            (term.ends_at_ns for term in self._terms.values()), default=math.inf
        )

    def stop_leading(self) -> None:
        """Discard all terms: they are valid only while this keeper leads."""
        self._terms = {}

    def record_grant(self, name: str, token: int, duration_ms: int, now_ns: int) -> None:
        """Start a term for a grant or a renewal that has just been applied."""
        ends_at_ns = now_ns + duration_ms * NS_PER_MS
        self._terms[name] = _Term(token, ends_at_ns)
        self._earliest_end_ns = min(self._earliest_end_ns, ends_at_ns)

    def forget(self, name: str) -> None:
        """Stop tracking a lease that was released, revoked or expired."""
        self._terms.pop(name, None)

    def expired(
        self, now_ns: int, limit: int = MAX_EXPIRED_PER_CALL
    ) -> tuple[tuple[str, int], ...]:
        """Return name and token of leases whose terms have ended, `limit` at most.

        Constant time until the earliest term may have ended, linear in the leases after that.
        """
        if now_ns < self._earliest_end_ns:
            return ()
        found = [
            (name, term.token) for name, term in self._terms.items() if term.ends_at_ns <= now_ns
        ]
        if found:
            self._earliest_end_ns = now_ns
        else:
            self._earliest_end_ns = min(
                (term.ends_at_ns for term in self._terms.values()), default=math.inf
            )
        return tuple(found[:limit])

    def remaining_ns(self, name: str, now_ns: int) -> int | None:
        """Return the time that is left of a lease's term; None for a lease that is not tracked."""
        term = self._terms.get(name)
        return None if term is None else term.ends_at_ns - now_ns
