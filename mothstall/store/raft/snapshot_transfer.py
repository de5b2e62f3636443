"""Transfer of snapshots to followers that lag behind the log, in chunks (Raft, 7). Pure."""

from __future__ import annotations

from mothstall.store.raft.log import RaftLog
from mothstall.store.raft.messages import InstallSnapshot, InstallSnapshotResponse, Snapshot
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.persistence import Persistence
from mothstall.store.raft.progress import NO_SNAPSHOT, Progress, ProgressTracker
from mothstall.store.raft.replica_state import ReplicaState

MAX_CHUNK_BYTES = 256 * 1024  # of a snapshot in one message; takes a few ms on a slow link
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024  # bounds the memory of a follower that receives a snapshot
NO_SNAPSHOT_RECEIVED = (0, 0)  # index and term that stand for no snapshot


class SnapshotSender:
    """Sends a leader's snapshot to each follower, with one chunk in flight at a time."""

    def __init__(self, state: ReplicaState, outbox: Outbox, progress: ProgressTracker) -> None:
        self._state = state
        self._outbox = outbox
        self._progress = progress

    def send_chunk(self, name: str, offset: int) -> None:
        """Send the chunk of the newest snapshot that begins at `offset` bytes."""
        snapshot = self._state.log.snapshot
        offset = min(offset, len(snapshot.data))
        self._progress.replicas[name].snapshot_offset = offset
        self._outbox.send(
            InstallSnapshot(
                sender=self._state.name,
                recipient=name,
                term=self._state.current_term,
                last_included_index=snapshot.last_included_index,
                last_included_term=snapshot.last_included_term,
                configuration=snapshot.configuration,
                offset=offset,
                total_bytes=len(snapshot.data),
                data=snapshot.data[offset : offset + MAX_CHUNK_BYTES],
            )
        )

    def handle_response(self, response: InstallSnapshotResponse, progress: Progress) -> bool:
        """Send the next chunk, or the first one of a newer snapshot.

        Returns:
            Whether the follower has just received the complete snapshot.
        """
        snapshot = self._state.log.snapshot
        if progress.snapshot_offset == NO_SNAPSHOT:
            return False
        if response.last_included_index != snapshot.last_included_index:
            self.send_chunk(response.sender, 0)
        elif response.received_bytes >= len(snapshot.data):
            progress.snapshot_offset = NO_SNAPSHOT
            progress.match_index = max(progress.match_index, snapshot.last_included_index)
            progress.next_index = progress.match_index + 1
            progress.is_streaming = True
            return True
        elif response.received_bytes > progress.snapshot_offset or progress.snapshot_offset == 0:
            self.send_chunk(response.sender, response.received_bytes)
        return False


class SnapshotReceiver:
    """Collects the chunks of a leader's snapshot, then replaces the follower's log by it."""

    def __init__(self, state: ReplicaState, outbox: Outbox, persistence: Persistence) -> None:
        self._state = state
        self._outbox = outbox
        self._persistence = persistence
        self._received = bytearray()
        self._received_identity = NO_SNAPSHOT_RECEIVED

    def handle(self, request: InstallSnapshot) -> None:
        """Store a chunk of a snapshot that goes beyond the commit index, and respond."""
        identity = (request.last_included_index, request.last_included_term)
        if identity != self._received_identity or request.offset == 0:
            self._received = bytearray()
            self._received_identity = identity
        if request.offset == len(self._received):
            self._received += request.data
        received_bytes = len(self._received)
        if received_bytes >= request.total_bytes:
            self._install(request)
        self._outbox.send(
            InstallSnapshotResponse(
                sender=self._state.name,
                recipient=request.sender,
                term=self._state.current_term,
                last_included_index=request.last_included_index,
                received_bytes=received_bytes,
                recovery_status=self._state.recovery_status,
            )
        )

    def _install(self, request: InstallSnapshot) -> None:
        snapshot = Snapshot(
            request.last_included_index,
            request.last_included_term,
            request.configuration,
            bytes(self._received),
        )
        self._received = bytearray()
        self._received_identity = NO_SNAPSHOT_RECEIVED
        self._state.log = RaftLog(snapshot)
        self._state.commit_index = snapshot.last_included_index
        self._state.last_applied = snapshot.last_included_index
        self._persistence.snapshot_received(snapshot)
