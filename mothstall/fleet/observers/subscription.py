"""The part of the replicated state that a proxy receives. Pure."""

from __future__ import annotations

import msgspec

from mothstall.fleet.errors import InvalidSubscriptionError
from mothstall.fleet.failover.plan import FAILOVER_LEASE, OVERRIDES_VALUE_NAME, PLAN_VALUE_NAME
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX, PROBE_LEASE_PREFIX
from mothstall.fleet.probing.health_hint import HEALTH_HINT_PREFIX
from mothstall.store.state.rows import DrainKind, StateSection

MAX_PREFIXES = 64  # each is compared with every changed row
MAX_NAME_LENGTH = 100  # of a zone and of a prefix

# Rows that every proxy receives.
SHARED_KEYS = frozenset((FAILOVER_LEASE, PLAN_VALUE_NAME, OVERRIDES_VALUE_NAME))

# Looked up once: access to enumeration members is slow, and `includes` runs for each changed row
# and each distinct subscription.
_MEMBERS = StateSection.MEMBERS
_DRAINS = StateSection.DRAINS
_BACKEND_DRAIN = DrainKind.BACKEND


class Subscription(msgspec.Struct, frozen=True, array_like=True):
    """A part of the state; proxies with equal subscriptions share one encoding.

    Attributes:
        zone: The zone whose proxies are included.
        backends: Prefixes of the names of the included backends; "" includes all.
    """

    zone: str = ""
    backends: tuple[str, ...] = ("",)

    def includes(self, section: StateSection, key: str, zone: str) -> bool:
        """Return whether a row belongs to this part.

        Args:
            section: The row's table.
            key: The row's key in it.
            zone: The zone of the proxy that the row describes; empty for other rows.
        """
        if section is _MEMBERS or key.startswith(MEMBER_LEASE_PREFIX):
            return zone == self.zone
        if section is _DRAINS:
            kind, _, name = key.partition(":")
            return kind != _BACKEND_DRAIN or name.startswith(self.backends)
        for prefix in (PROBE_LEASE_PREFIX, HEALTH_HINT_PREFIX):
            if key.startswith(prefix):
                return key[len(prefix) :].startswith(self.backends)
        return key in SHARED_KEYS


def checked_subscription(zone: str, backends: tuple[str, ...]) -> Subscription:
    """Make the subscription that a proxy requests.

    Raises:
        InvalidSubscriptionError: There are too many prefixes or too long names.
    """
    if len(zone) > MAX_NAME_LENGTH or not 1 <= len(backends) <= MAX_PREFIXES:
        raise InvalidSubscriptionError(
            f"a subscription names a zone and 1 to {MAX_PREFIXES} prefixes"
        )
    if any(len(prefix) > MAX_NAME_LENGTH for prefix in backends):
        raise InvalidSubscriptionError(f"a prefix has {MAX_NAME_LENGTH} characters at most")
    return Subscription(zone, tuple(sorted(set(backends))))
