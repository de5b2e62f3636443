"""The exceptions that the store raises."""

from mothstall.errors import MothstallError


class StoreError(MothstallError):
    """Base of the exceptions of `mothstall.store`."""


class FrameError(StoreError, ValueError):
    """Bytes that are not a valid frame of this connection, or a payload too large for a frame.

    The message is one line. After invalid bytes the connection has to be closed, as the start of
    the next frame is unknown.
    """


class SnapshotError(StoreError, ValueError):
    """Bytes that are not a valid snapshot of the replicated state."""


class StorageError(StoreError, OSError):
    """The file of a replica cannot be read or written; the message is one line that names it."""


class CommittedEntryConflictError(StoreError, AssertionError):
    """A leader sent an entry that conflicts with a committed one, which violates Raft's safety."""
