"""The encoding of the replicated state as the data of a snapshot."""

from __future__ import annotations

import msgspec

from mothstall.store.errors import SnapshotError
from mothstall.store.state.changes import ChangeResult
from mothstall.store.state.rows import Drain, Lease, Member, StoredValue


class Session(msgspec.Struct, array_like=True):
    """The last change of a session: if it is repeated, the stored result is returned again.

    Attributes:
        sequence_number: Number of the last change that was applied; 0 before the first.
        result: The result of that change.
    """

    sequence_number: int
    result: ChangeResult


class StateImage(msgspec.Struct, array_like=True):
    """The complete state; the order of the fields is the format.

    Attributes:
        applied_index: Index of the last log entry that the state contains.
        version: Version of the state that readers see.
        last_token: The greatest fencing token that was issued.
        sessions: Number and state of each session, the longest idle one first.
        leases: All leases.
        drains: All drains.
        values: All values.
        members: All attached proxies; absent in snapshots of versions that had no observers.
    """

    applied_index: int
    version: int
    last_token: int
    sessions: list[tuple[int, Session]]
    leases: list[Lease]
    drains: list[Drain]
    values: list[StoredValue]
    members: list[Member] = []


def encode_image(image: StateImage) -> bytes:
    """Returns the bytes of a snapshot."""
    return msgspec.msgpack.encode(image)


def decode_image(data: bytes) -> StateImage:
    """Reads the bytes of a snapshot.

    Raises:
        SnapshotError: The bytes are not a valid snapshot.
    """
    try:
        return msgspec.msgpack.decode(data, type=StateImage)
    except (msgspec.DecodeError, ValueError) as error:
        raise SnapshotError(str(error)) from error
