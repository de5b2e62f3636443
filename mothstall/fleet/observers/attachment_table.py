"""The proxies attached to an observer, and the membership changes that it proposes. Pure.

Timeouts of attachments run on the observer's clock and are not replicated: proxies send heartbeats
to the observer, and only joins and leaves change the replicated state, in batches under the
observer's lease. The result of a batch decides who is a member, not the request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Mapping

from mothstall.fleet.leases.holder import NO_TOKEN
from mothstall.fleet.observers.attachment import Attachment
from mothstall.fleet.observers.attachment_timings import AttachmentTimings
from mothstall.fleet.observers.departures import DepartureDetector
from mothstall.fleet.observers.membership_requests import MembershipRequests
from mothstall.fleet.observers.row_change import MemberChanges, RowChange
from mothstall.store.state.changes import MemberJoin, MemberLeave, UpdateMembers
from mothstall.store.state.limits import MAX_MEMBERSHIP_BATCH
from mothstall.store.state.rows import Member

MAX_ATTACHMENTS = 4096  # proxies at one observer; bounds its connections and memory
MAX_JOIN_BACKOFF_STEPS = 5  # each is a quarter of the disconnect grace


class AttachmentTable:
    """The proxies of one observer. Every call takes time linear in its arguments and its result."""

    def __init__(
        self,
        lease_name: str,
        timings: AttachmentTimings,
        *,
        max_attachments: int = MAX_ATTACHMENTS,
        batch_size: int = MAX_MEMBERSHIP_BATCH,
        fenced: bool = True,
    ) -> None:
        """Start without proxies and without a lease.

        Args:
            lease_name: The observer's lease.
            timings: Timeouts of proxies.
            max_attachments: Further proxies are rejected.
            batch_size: Joins and leaves in one change, at most.
            fenced: Whether membership counts only under the current token; only tests disable this.
        """
        self.lease_name = lease_name
        self.timings = timings
        self.max_attachments = max_attachments
        self.fenced = fenced
        self.lease_token = NO_TOKEN  # of this observer's lease, while it is valid
        # Ordered by `last_heartbeat_ns`, so that a check stops at the first proxy that has
        # not timed out.
        self.attachments: OrderedDict[str, Attachment] = OrderedDict()
        self._own_members: dict[str, Member] = {}  # rows of the state under this observer's lease
        self._requests = MembershipRequests(lease_name, batch_size, 2 * max_attachments)
        self._departures = DepartureDetector(timings)
        self.counts = dict.fromkeys(
            ("joined", "departed", "moved", "refused", "turned_away", "batches"), 0
        )

    @property
    def pending_count(self) -> int:
        """Joins and leaves that are not proposed yet."""
        return self._requests.pending_count

    def is_authoritative_for(self, name: str, token: int) -> bool:
        """Return whether the proxy is a member under this observer's lease.

        Args:
            name: The proxy.
            token: The token under which the observer may act now; 0: none.
        """
        attachment = self.attachments.get(name)
        if attachment is None or attachment.lease_token == NO_TOKEN:
            return False
        return attachment.lease_token == token == self.lease_token or not self.fenced

    def set_lease_token(self, token: int) -> None:
        """Set the token of this observer's lease, and queue all joins again under it; 0: none."""
        if token == self.lease_token:
            return
        self.lease_token = token
        self._requests.reset()
        if token:
            self._requests.add_joins(self.attachments)

    # Proxies

    def attach(self, name: str, owner: str, epoch: int, zone: str, now_ns: int) -> str:
        """Attach a proxy; return why it is rejected, empty if it is not."""
        existing = self.attachments.get(name)
        reason = self._attach_rejection(existing, name, owner, epoch)
        if reason:
            return reason
        token = NO_TOKEN
        if existing is not None and existing.owner != owner:
            self._request_leave_of(existing)
        elif existing is not None and existing.epoch == epoch:
            token = existing.lease_token
        self.attachments[name] = Attachment(name, owner, epoch, zone, now_ns, lease_token=token)
        self.attachments.move_to_end(name)
        if not token or token != self.lease_token:
            self._requests.add_joins([name])
        return ""

    def _attach_rejection(
        self, existing: Attachment | None, name: str, owner: str, epoch: int
    ) -> str:
        if existing is None:
            if len(self.attachments) < self.max_attachments:
                return ""
            self.counts["turned_away"] += 1
            return f"{self.max_attachments} proxies are attached already"
        if existing.owner == owner and epoch < existing.epoch:
            return f"epoch {epoch} is over, {name} is attached with epoch {existing.epoch}"
        if existing.owner != owner and existing.is_connected:
            return f"{name} is owned by {existing.owner}, which is connected"
        return ""

    def record_heartbeat(self, name: str, owner: str, epoch: int, now_ns: int) -> bool:
        """Record a heartbeat; False if the proxy is not attached here and has to attach again."""
        attachment = self._find(name, owner, epoch)
        if attachment is None:
            return False
        attachment.last_heartbeat_ns = now_ns
        self.attachments.move_to_end(name)
        return True

    def detach(self, name: str, owner: str, epoch: int) -> None:
        """Remove a proxy that shuts down."""
        attachment = self._find(name, owner, epoch)
        if attachment is not None:
            self._remove(attachment)

    def disconnected(self, name: str, owner: str, epoch: int, now_ns: int) -> None:
        """Record a lost connection: the proxy has a grace period to reconnect or to move."""
        attachment = self._find(name, owner, epoch)
        if attachment is not None and attachment.is_connected:
            attachment.is_connected = False
            self._departures.record_disconnection(attachment, now_ns)

    def tick(self, now_ns: int) -> list[str]:
        """Remove proxies that are gone, and queue due joins again; return the removed names."""
        gone: list[str] = []
        if self._departures.tick(now_ns):
            for attachment in list(self._departures.timed_out(self.attachments.values(), now_ns)):
                gone.append(attachment.name)
                self._remove(attachment)
            for attachment in self._departures.pop_expired_disconnections(now_ns):
                if self.attachments.get(attachment.name) is attachment:
                    gone.append(attachment.name)
                    self._remove(attachment)
        for name in self._requests.pop_due_joins(now_ns):
            is_member = self.is_authoritative_for(name, self.lease_token)
            if name in self.attachments and not is_member:
                self._requests.add_joins([name])
        return gone

    def _find(self, name: str, owner: str, epoch: int) -> Attachment | None:
        attachment = self.attachments.get(name)
        if attachment is None or (attachment.owner, attachment.epoch) != (owner, epoch):
            return None
        return attachment

    def _remove(self, attachment: Attachment) -> None:
        del self.attachments[attachment.name]
        self._requests.discard_join(attachment.name)
        self.counts["departed"] += 1
        self._request_leave_of(attachment)

    def _request_leave_of(self, attachment: Attachment) -> None:
        """Request the leave even if the join has no result yet: it may still be applied."""
        if self.lease_token:
            self.request_leave(
                MemberLeave(attachment.name, attachment.owner, attachment.epoch, self.lease_token)
            )
        self._request_leave_of_earlier_member(attachment)

    def _request_leave_of_earlier_member(self, attachment: Attachment) -> None:
        """Guards against a leftover row of an earlier attachment that no later join replaced."""
        member = self._own_members.get(attachment.name)
        if member is None or member.token != self.lease_token:
            return
        if (member.owner, member.epoch) != (attachment.owner, attachment.epoch):
            self.request_leave(_leave_of(member))

    # The replicated state

    def request_leave(self, leave: MemberLeave) -> None:
        """Request the removal of a member from the state."""
        self._requests.add_leave(leave)

    def next_batch(self) -> UpdateMembers | None:
        """Return the next change to propose; None without a lease, or while one is in flight."""
        if not self.lease_token:
            return None
        batch = self._requests.next_batch(self.lease_token, self._needed_join)
        if batch is not None:
            self.counts["batches"] += 1
        return batch

    def _needed_join(self, name: str) -> MemberJoin | None:
        # Guards against the removal of a live proxy's membership: a proxy whose connection here is
        # lost may be attached to an observer that has no lease yet. A join here, followed by a
        # leave, would remove the row that the other observer is about to take over.
        attachment = self.attachments.get(name)
        if attachment is None or not attachment.is_connected:
            return None
        is_needed = attachment.lease_token != self.lease_token
        return attachment.member_join if is_needed else None

    def complete_batch(
        self, batch: UpdateMembers, rejected_joins: Collection[str] | None, now_ns: int
    ) -> list[Attachment]:
        """Apply the result of a batch, and return the attachments that are members now.

        Args:
            batch: What was proposed.
            rejected_joins: Names of proxies whose joins were rejected; None: the result is unknown,
                so all changes are requested again, which has no effect on those that were applied.
            now_ns: The monotonic clock.
        """
        if not self._requests.end_batch(batch):
            return []
        if rejected_joins is None:
            for leave in batch.leaves:
                self.request_leave(leave)
            self._requests.add_joins(
                join.name for join in batch.joins if join.name in self.attachments
            )
            return []
        rejected = set(rejected_joins)
        confirmed: list[Attachment] = []
        for join in batch.joins:
            attachment = self._find(join.name, join.owner, join.epoch)
            if attachment is None:
                continue
            if join.name in rejected:
                self._retry_join(attachment, now_ns)
            else:
                attachment.lease_token = batch.token
                attachment.rejected_joins = 0
                self.counts["joined"] += 1
                confirmed.append(attachment)
        return confirmed

    def _retry_join(self, attachment: Attachment, now_ns: int) -> None:
        self.counts["refused"] += 1
        attachment.lease_token = NO_TOKEN
        attachment.rejected_joins = min(attachment.rejected_joins + 1, MAX_JOIN_BACKOFF_STEPS)
        member = self._own_members.get(attachment.name)
        if member is not None and member.owner != attachment.owner:
            self._request_leave_of_earlier_member(attachment)
        delay_ns = self.timings.disconnect_grace_ns * attachment.rejected_joins // 4
        self._requests.delay_join(attachment.name, now_ns + delay_ns)

    def apply_changes(self, changes: MemberChanges) -> list[Attachment]:
        """Apply changes of the state; return the attachments whose proxies moved elsewhere."""
        moved: list[Attachment] = []
        for name, change in changes.items():
            self._remember_own_member(name, change.after)
            attachment = self._apply_change(name, change)
            if attachment is not None:
                moved.append(attachment)
        return moved

    def apply_snapshot(self, members: Mapping[str, Member]) -> list[Attachment]:
        """Apply the complete state, once after this observer acquired its lease."""
        relevant = {
            name: RowChange(None, member)
            for name, member in members.items()
            if member.lease == self.lease_name or name in self.attachments
        }
        return self.apply_changes(relevant)

    def _remember_own_member(self, name: str, member: Member | None) -> None:
        if member is not None and member.lease == self.lease_name:
            self._own_members[name] = member
        else:
            self._own_members.pop(name, None)

    def _apply_change(self, name: str, change: RowChange[Member]) -> Attachment | None:
        """Apply one changed row; return the attachment if the proxy moved to another observer."""
        attachment = self.attachments.get(name)
        member = change.after
        if member is not None and self._is_under_current_lease(member):
            if attachment is None or attachment.owner != member.owner:
                # A join that was applied late: that process is no longer attached here.
                self.request_leave(_leave_of(member))
        elif attachment is None:
            return None
        elif member is not None and _is_later(member, attachment):
            del self.attachments[name]
            self._requests.discard_join(name)
            self.counts["moved"] += 1
            return attachment
        elif self._is_row_of(change.before, attachment):
            # The row was removed although the proxy is attached. A lagging copy of the state may
            # still report rows older than the join that made this proxy a member: those are
            # ignored.
            attachment.lease_token = NO_TOKEN
            self._requests.add_joins([name])
        return None

    def _is_under_current_lease(self, member: Member) -> bool:
        return (member.lease, member.token) == (self.lease_name, self.lease_token)

    def _is_row_of(self, member: Member | None, attachment: Attachment) -> bool:
        if member is None or attachment.lease_token != self.lease_token:
            return False
        row = (member.owner, member.epoch, member.token)
        return row == (attachment.owner, attachment.epoch, attachment.lease_token)


def _leave_of(member: Member) -> MemberLeave:
    return MemberLeave(member.name, member.owner, member.epoch, member.token)


def _is_later(member: Member, attachment: Attachment) -> bool:
    """Whether the same process has attached elsewhere since."""
    return member.owner == attachment.owner and member.epoch > attachment.epoch
