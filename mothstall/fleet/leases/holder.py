"""Validity of leases at their holder. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from mothstall.fleet.units import NS_PER_MS

NO_TOKEN = 0  # tokens start at 1


@dataclass(slots=True)
class HeldLease:
    """One lease and the end of its validity at the holder."""

    token: int
    valid_until_ns: int


@dataclass(slots=True)
class LeaseHolder:
    """The leases of one holder.

    Attributes:
        term_ms: Duration of a lease.
        margin_ms: Milliseconds before the end of the term at which the holder stops acting.
        drift: Greatest relative difference between the rates of two clocks.
        counts_from_response: Starts terms at the response instead of the request, which is
            unsafe; only tests set it.
        held: The leases by name.
    """

    term_ms: int
    margin_ms: int
    drift: float
    counts_from_response: bool = False
    held: dict[str, HeldLease] = field(default_factory=dict)

    def record_grant(self, name: str, token: int, sent_ns: int, now_ns: int) -> None:
        """Hold a lease that the store granted; `sent_ns`: the latest time the request was sent."""
        self.held[name] = HeldLease(token, self._valid_until_ns(sent_ns, now_ns))

    def record_renewal(self, renewed: Iterable[tuple[str, int]], sent_ns: int, now_ns: int) -> None:
        """Extend leases, given by name and token; a lease with another token is not extended."""
        for name, token in renewed:
            lease = self.held.get(name)
            if lease and lease.token == token:
                valid_until_ns = self._valid_until_ns(sent_ns, now_ns)
                lease.valid_until_ns = max(lease.valid_until_ns, valid_until_ns)

    def _valid_until_ns(self, sent_ns: int, now_ns: int) -> int:
        duration_ns = int(self.term_ms * NS_PER_MS * (1.0 - self.drift))
        start_ns = now_ns if self.counts_from_response else sent_ns
        return start_ns + duration_ns - self.margin_ms * NS_PER_MS

    def forget(self, name: str) -> None:
        """Drop a lease that was lost or is being released."""
        self.held.pop(name, None)

    def valid_token(self, name: str, now_ns: int) -> int:
        """Return the token to act under now; `NO_TOKEN` if the holder must not act."""
        lease = self.held.get(name)
        return lease.token if lease and now_ns < lease.valid_until_ns else NO_TOKEN

    def remaining_ns(self, name: str, now_ns: int) -> int:
        """Return how long the holder may still act without a renewal; 0 if it must not act."""
        lease = self.held.get(name)
        return max(0, lease.valid_until_ns - now_ns) if lease else 0

    def drop_expired(self, now_ns: int) -> list[str]:
        """Drop the leases that have ended by this holder's clock, and return their names."""
        expired = [name for name, lease in self.held.items() if lease.valid_until_ns <= now_ns]
        for name in expired:
            del self.held[name]
        return expired
