"""Removal of members whose observer is lost and that no other observer has taken over. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from mothstall.fleet.leases.names import OBSERVER_LEASE_PREFIX
from mothstall.fleet.observers.row_change import LeaseChanges, MemberChanges
from mothstall.fleet.probing import assignment
from mothstall.store.state.changes import MemberLeave
from mothstall.store.state.rows import Member

# The name of an observer's lease and its token. A plain tuple: two are made for each changed row.
_LeaseTerm = tuple[str, int]


class OrphanSweeper:
    """Members that joined under observer leases that have ended.

    They are kept for `grace_ns` while their proxies move to other observers, then removed. The
    observer selected by rendezvous hashing removes them first; the others wait twice as long.
    """

    def __init__(self, observer: str, grace_ns: int) -> None:
        """Start without members; `observer`: the name of this observer."""
        self.grace_ns = grace_ns
        self._own_lease = OBSERVER_LEASE_PREFIX + observer
        # Dictionaries instead of sets, so that leaves are requested in the same order in every
        # process.
        self._members: dict[_LeaseTerm, dict[str, None]] = {}
        self._orphaned_since_ns: dict[_LeaseTerm, int] = {}
        self._live_tokens: dict[str, int] = {}  # by the name of an observer's lease

    def apply_changes(self, leases: LeaseChanges, members: MemberChanges, now_ns: int) -> None:
        """Apply changes of leases and members; linear in the changes."""
        touched = self._apply_leases(leases) + self._apply_members(members)
        for term in touched:
            name, token = term
            if term in self._members and self._live_tokens.get(name) != token:
                self._orphaned_since_ns.setdefault(term, now_ns)

    def _apply_leases(self, leases: LeaseChanges) -> list[_LeaseTerm]:
        touched: list[_LeaseTerm] = []
        for name, change in leases.items():
            if not name.startswith(OBSERVER_LEASE_PREFIX):
                continue
            if change.after is None:
                self._live_tokens.pop(name, None)
            else:
                self._live_tokens[name] = change.after.token
            touched += [term for term in self._members if term[0] == name]
        return touched

    def _apply_members(self, members: MemberChanges) -> list[_LeaseTerm]:
        touched: list[_LeaseTerm] = []
        for name, change in members.items():
            if change.before is not None:
                self._remove(name, (change.before.lease, change.before.token))
            if change.after is not None:
                term = (change.after.lease, change.after.token)
                self._members.setdefault(term, {})[name] = None
                touched.append(term)
        return touched

    def _remove(self, name: str, term: _LeaseTerm) -> None:
        remaining = self._members.get(term, {})
        remaining.pop(name, None)
        if not remaining:
            self._members.pop(term, None)
            self._orphaned_since_ns.pop(term, None)

    @property
    def orphan_count(self) -> int:
        """Number of proxies whose observer's lease ended and that no observer took over yet."""
        return sum(len(self._members.get(term, ())) for term in self._orphaned_since_ns)

    def due_leaves(self, members: Mapping[str, Member], now_ns: int) -> list[MemberLeave]:
        """Return the removals to request now; linear in the ended leases and their members."""
        leaves: list[MemberLeave] = []
        for term, since_ns in self._orphaned_since_ns.items():
            if now_ns - since_ns < self._grace_ns(term):
                continue
            for name in self._members.get(term, ()):
                member = members.get(name)
                if member is not None and (member.lease, member.token) == term:
                    leaves.append(
                        MemberLeave(member.name, member.owner, member.epoch, member.token)
                    )
            self._orphaned_since_ns[term] = now_ns  # members that remain are requested again later
        return leaves

    def _grace_ns(self, term: _LeaseTerm) -> int:
        """The grace at this observer: `grace_ns` if it is selected, otherwise twice as long."""
        lease, token = term
        selected = assignment.assigned_prober(f"{lease} {token}", self._live_tokens)
        return self.grace_ns if selected == self._own_lease else 2 * self.grace_ns
