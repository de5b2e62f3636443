"""Detection of proxies that are listed as members but no longer renew their leases. Pure.

A lease ends one term after its holder's last renewal. A proxy that is attached to an observer stays
listed for longer: until the observer has missed its heartbeats for a term and a half or, if the
observer is lost as well, until the observer's members are swept. A lease that is assigned by
rendezvous hash among all listed proxies would stay assigned to the stalled proxy until then.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from mothstall.fleet.leases.names import PROBE_LEASE_PREFIX
from mothstall.fleet.probing import assignment
from mothstall.store.state.rows import Lease, Member, StateDelta

MAX_CHECKS_PER_CALL = 16  # each computes one hash for each listed proxy


class _Process(NamedTuple):
    """A process of a proxy, and the epoch of its attachment."""

    owner: str
    epoch: int


class _EndedLease(NamedTuple):
    """A lease that ended and has no new holder yet."""

    last_owner: str
    ended_at_ns: int


class _Stall(NamedTuple):
    """A stalled process, and when the stall was found."""

    process: _Process
    since_ns: int


class StalledHolders:
    """Follows the leases of the replicated state, and excludes stalled proxies from the live ones.

    A proxy is stalled if a lease that is assigned to it has ended and it holds no other lease. A
    proxy that released a lease does not match, as the lease is assigned to another proxy by then;
    nor does a proxy that holds other leases after an operator revoked one. A proxy counts as live
    again once it acquires a lease, attaches again or restarts, and in any case after
    `forget_after_ns`.
    """

    def __init__(
        self, own_owner: str, prefixes: tuple[str, ...], term_ns: int, forget_after_ns: int
    ) -> None:
        """Start without leases.

        Args:
            own_owner: Owner name of this process, which never counts itself as stalled.
            prefixes: Name prefixes of the leases that are assigned by rendezvous hash.
            term_ns: Duration of a lease. All leases of a stalled holder end within it.
            forget_after_ns: Nanoseconds after which a stall is forgotten; longer than a lost proxy
                stays listed.
        """
        self._own_owner = own_owner
        self._prefixes = prefixes
        self._term_ns = term_ns
        self._forget_after_ns = forget_after_ns
        self._held_count: Counter[str] = Counter()  # leases by owner
        self._ended: dict[str, _EndedLease] = {}
        self._stalls: dict[str, _Stall] = {}  # by the proxy's name
        self._proxies: frozenset[str] = frozenset()  # of the last call
        self._live: frozenset[str] = frozenset()

    def apply(self, previous: Mapping[str, Lease], delta: StateDelta, now_ns: int) -> None:
        """Apply one change of the state; linear in the leases that changed.

        Args:
            previous: The leases before the change.
            delta: The change; leases that are missing from a complete state have ended.
            now_ns: The time by the monotonic clock.
        """
        changes = dict(delta.leases)
        if not delta.since_version:
            changes.update(dict.fromkeys(previous.keys() - changes.keys()))
        for name, lease in changes.items():
            if name.startswith(self._prefixes):
                self._apply_lease(name, previous.get(name), lease, now_ns)

    def _apply_lease(
        self, name: str, before: Lease | None, after: Lease | None, now_ns: int
    ) -> None:
        if before is not None:
            self._held_count[before.owner] -= 1
        if after is not None:
            self._held_count[after.owner] += 1
            self._ended.pop(name, None)
        elif before is not None and before.owner != self._own_owner:
            self._ended[name] = _EndedLease(before.owner, now_ns)
        if before is not None and not self._held_count[before.owner]:
            del self._held_count[before.owner]

    @property
    def stalled_count(self) -> int:
        """Number of listed proxies that are stalled."""
        return len(self._stalls)

    def live(
        self, proxies: frozenset[str], members: Mapping[str, Member], now_ns: int
    ) -> frozenset[str]:
        """Return the proxies that are not stalled; the same object while they are unchanged.

        Args:
            proxies: All listed proxies; the same object while they are unchanged.
            members: The proxies that are attached to observers, by name.
            now_ns: The time by the monotonic clock.
        """
        stalled_before = set(self._stalls)
        self._forget_recovered(members, now_ns)
        self._find_stalled(proxies, members, now_ns)
        if proxies is not self._proxies or self._stalls.keys() != stalled_before:
            self._proxies = proxies
            self._live = proxies - self._stalls.keys() if self._stalls else proxies
        return self._live

    def _forget_recovered(self, members: Mapping[str, Member], now_ns: int) -> None:
        for name, stall in list(self._stalls.items()):
            is_over = now_ns - stall.since_ns >= self._forget_after_ns
            holds_any = self._held_count[stall.process.owner] > 0
            if is_over or holds_any or _process(name, members) != stall.process:
                del self._stalls[name]

    def _find_stalled(
        self, proxies: frozenset[str], members: Mapping[str, Member], now_ns: int
    ) -> None:
        """Find stalled holders of ended leases; linear in those that ended within the last term."""
        checks = 0
        for name, ended in list(self._ended.items()):
            if now_ns - ended.ended_at_ns > self._term_ns:
                del self._ended[name]
            if self._held_count[ended.last_owner] or checks >= MAX_CHECKS_PER_CALL:
                continue
            self._ended.pop(name, None)
            holder = ended.last_owner.partition("#")[0]
            process = _process(holder, members)
            if process is None or process.owner != ended.last_owner or holder in self._stalls:
                continue
            checks += 1
            key = name.removeprefix(PROBE_LEASE_PREFIX)
            if assignment.assigned_prober(key, proxies - self._stalls.keys()) == holder:
                self._stalls[holder] = _Stall(process, now_ns)


def _process(name: str, members: Mapping[str, Member]) -> _Process | None:
    """Return the process that is listed under a proxy's name; None if there is none."""
    member = members.get(name)
    return None if member is None else _Process(member.owner, member.epoch)
