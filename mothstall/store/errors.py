"""The exceptions that the store raises."""

from mothstall.errors import MothstallError


class StoreError(MothstallError):
    """Base of the exceptions of `mothstall.store`."""


class FrameError(StoreError, ValueError):
    """The bytes are not a valid frame of this connection, or the payload exceeds a frame.

    The message is one line. After invalid bytes the connection has to be closed, as the start of
    the next frame is unknown.
    """


class SnapshotError(StoreError, ValueError):
    """The bytes are not a valid snapshot of the replicated state."""


class StorageError(StoreError, OSError):
    """A replica's file cannot be read or written; the message is one line that names the file."""


class CommittedEntryConflictError(StoreError, AssertionError):
    """A leader sent an entry that contradicts a committed one, which violates Raft's safety."""
