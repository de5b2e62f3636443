"""Proxies that are listed as members and have let their leases end. Pure.

A lease ends one term after its holder's last renewal. A proxy behind an observer is listed for
longer: until its observer has missed heartbeats for a term and a half, or until the members of an
observer that is lost itself are swept. Assigned by rendezvous hash among all that are listed, the
lease would wait for a holder that does not renew it.
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
    """A proxy's process with one of its attachments."""

    owner: str
    epoch: int


class _EndedLease(NamedTuple):
    """A lease that nobody holds."""

    last_owner: str
    ended_at_ns: int


class _Stall(NamedTuple):
    """Which process stalled, and when that was found."""

    process: _Process
    since_ns: int


class StalledHolders:
    """Follows the leases of the replicated state, and leaves stalled proxies out of its members.

    A proxy is stalled once a lease ended that is assigned to it, and it holds no other one. A lease
    that its holder gave back is assigned to somebody else by then; one that an operator revoked
    leaves its holder with others. A proxy counts again once it acquires a lease, attaches anew or
    restarts, and in any case after `forget_after_ns`.
    """

    def __init__(
        self, own_owner: str, prefixes: tuple[str, ...], term_ns: int, forget_after_ns: int
    ) -> None:
        """Start without leases.

        Args:
            own_owner: This process as an owner of leases; it never counts itself as stalled.
            prefixes: Beginnings of the names of leases that are assigned by rendezvous hash.
            term_ns: Duration of a lease. All leases of a stalled holder end within it.
            forget_after_ns: Longer than the state lists a proxy that is gone.
        """
        self._own_owner = own_owner
        self._prefixes = prefixes
        self._term_ns = term_ns
        self._forget_after_ns = forget_after_ns
        self._held_count: Counter[str] = Counter()  # leases by owner
        self._ended: dict[str, _EndedLease] = {}
        self._stalls: dict[str, _Stall] = {}  # by the proxy's name
        self._proxies: frozenset[str] = frozenset()  # as last given
        self._live: frozenset[str] = frozenset()

    def apply(self, previous: Mapping[str, Lease], delta: StateDelta, now_ns: int) -> None:
        """Follow one step of the state; linear in the leases that changed.

        Args:
            previous: The leases before.
            delta: What led from them to the present ones; in a complete state the others ended.
            now_ns: The steady clock.
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
        """How many listed proxies are stalled."""
        return len(self._stalls)

    def live(
        self, proxies: frozenset[str], members: Mapping[str, Member], now_ns: int
    ) -> frozenset[str]:
        """Return the proxies that are not stalled; the same object while they are the same.

        Args:
            proxies: All that are listed; the same object while they are unchanged.
            members: Those that are attached to observers, by name.
            now_ns: The steady clock.
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
        """Look at the leases that ended; linear in those of the last term."""
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
    """Return the process that is listed under a proxy's name; None where none is."""
    member = members.get(name)
    return None if member is None else _Process(member.owner, member.epoch)
