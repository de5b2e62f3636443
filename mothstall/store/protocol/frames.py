"""Encoding and decoding of the frames between processes. Pure.

A frame consists of its length, the format version, the cluster's digest, the payload, and a keyed
hash (BLAKE2b, RFC 7693) over all of these, the direction and the frame's number in that direction.
Each side first sends a greeting with a nonce that is drawn for this connection alone. The key of
all later frames is derived from both nonces, so that a frame that is replayed from another
connection, left out or out of order is detected.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from mothstall.store.errors import FrameError

FORMAT_VERSION = 1
MAX_FRAME_BYTES = 2 * 1024 * 1024  # without the header; bounds the receive buffer of a peer
NONCE_BYTES = 16
MAX_PEER_NAME_LENGTH = 100  # characters
_MAC_BYTES = 16
_CLUSTER_DIGEST_BYTES = 8
_MAX_KEY_BYTES = 64  # the longest key that BLAKE2b accepts
_HEADER = struct.Struct("!IB8s")  # number of bytes after this header, version, cluster's digest
_FROM_DIALER = b"dial"  # label of the direction, part of the hash
_FROM_ACCEPTER = b"take"


class PeerRole(StrEnum):
    """The kind of a process, sent in its greeting; the values are part of the wire format."""

    KEEPER = "keeper"
    OBSERVER = "observer"
    AGENT = "agent"  # of a proxy
    TOOL = "tool"  # of an operator


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """The payload of the first frame in each direction.

    Attributes:
        name: Name of the process that sends it.
        role: A `PeerRole`; the receiver has to reject any other value.
        nonce: Random bytes for this connection.
    """

    name: str
    role: str
    nonce: bytes


@dataclass(slots=True)
class _Direction:
    """The label and the frame count of one direction of a connection.

    Attributes:
        label: Identifies the direction in the keyed hash.
        frame_count: Number of frames so far in this direction.
    """

    label: bytes
    frame_count: int = 0


class FrameCodec:
    """Encodes and decodes the frames at one end of a connection."""

    def __init__(self, cluster: str, key: bytes, is_dialer: bool, nonce: bytes) -> None:
        """Prepares a connection.

        Args:
            cluster: The cluster's name; frames of another cluster are rejected.
            key: The cluster's secret; only the first 64 bytes are used.
            is_dialer: Whether this side opened the connection.
            nonce: Random bytes, drawn for this connection alone.
        """
        self._cluster = hashlib.blake2b(
            cluster.encode(), digest_size=_CLUSTER_DIGEST_BYTES
        ).digest()
        self._is_dialer = is_dialer
        self._nonce = nonce
        self._greeting_key = key[:_MAX_KEY_BYTES]
        self._session_key = self._greeting_key
        self._outgoing = _Direction(_FROM_DIALER if is_dialer else _FROM_ACCEPTER)
        self._incoming = _Direction(_FROM_ACCEPTER if is_dialer else _FROM_DIALER)
        self._buffer = bytearray()
        self.peer: Greeting | None = None

    def encode_greeting(self, name: str, role: str) -> bytes:
        """Returns the first frame, to be sent before any other."""
        return self.encode_frame(msgspec.msgpack.encode(Greeting(name, role, self._nonce)))

    def encode_frame(self, payload: bytes) -> bytes:
        """Returns the next frame of this side.

        Raises:
            FrameError: The payload is too large; the connection can still be used.
        """
        size = len(payload) + _MAC_BYTES
        if size > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {size} bytes is more than the limit of {MAX_FRAME_BYTES}")
        header = _HEADER.pack(size, FORMAT_VERSION, self._cluster)
        mac = self._mac(self._outgoing, header, payload)
        self._outgoing.frame_count += 1
        return header + payload + mac

    def receive_data(self, data: bytes) -> list[bytes]:
        """Returns the payloads that these bytes complete; the greeting is stored in `peer` instead.

        Raises:
            FrameError: The bytes are not a valid frame of this connection, which has to be closed.
        """
        self._buffer += data
        payloads: list[bytes] = []
        while True:
            payload = self._next_payload()
            if payload is None:
                return payloads
            if self.peer is None:
                self._accept_greeting(payload)
            else:
                payloads.append(payload)

    def _next_payload(self) -> bytes | None:
        """Removes and verifies the next frame; returns its payload, or None if it is incomplete."""
        if len(self._buffer) < _HEADER.size:
            return None
        header = bytes(self._buffer[: _HEADER.size])
        frame_end = _HEADER.size + self._checked_size(header)
        if len(self._buffer) < frame_end:
            return None
        mac_start = frame_end - _MAC_BYTES
        payload = bytes(self._buffer[_HEADER.size : mac_start])
        mac = bytes(self._buffer[mac_start:frame_end])
        del self._buffer[:frame_end]
        if not hmac.compare_digest(mac, self._mac(self._incoming, header, payload)):
            raise FrameError(
                f"frame {self._incoming.frame_count}: the keyed hash does not match: "
                "another key, number or connection"
            )
        self._incoming.frame_count += 1
        return payload

    def _checked_size(self, header: bytes) -> int:
        """Checks a header, and returns the number of bytes that follow it."""
        size: int
        size, version, cluster = _HEADER.unpack(header)
        if version != FORMAT_VERSION:
            raise FrameError(f"frame format version {version} instead of {FORMAT_VERSION}")
        if cluster != self._cluster:
            raise FrameError("frame of another cluster")
        if not _MAC_BYTES <= size <= MAX_FRAME_BYTES:
            raise FrameError(f"frame header claims {size} bytes")
        return size

    def _mac(self, direction: _Direction, header: bytes, payload: bytes) -> bytes:
        """Returns the keyed hash of the next frame in a direction."""
        is_greeting = direction.frame_count == 0
        key = self._greeting_key if is_greeting else self._session_key
        digest = hashlib.blake2b(key=key, digest_size=_MAC_BYTES, person=direction.label)
        digest.update(direction.frame_count.to_bytes(8, "big"))
        digest.update(header)
        digest.update(payload)
        return digest.digest()

    def _accept_greeting(self, payload: bytes) -> None:
        """Stores the peer's greeting, and derives the key of all later frames from both nonces."""
        try:
            peer = msgspec.msgpack.decode(payload, type=Greeting)
        except (msgspec.DecodeError, ValueError) as error:
            raise FrameError("greeting cannot be decoded") from error
        if len(peer.nonce) != NONCE_BYTES or len(peer.name) > MAX_PEER_NAME_LENGTH:
            raise FrameError("greeting has a nonce of wrong length or too long a name")
        nonces = self._nonce + peer.nonce if self._is_dialer else peer.nonce + self._nonce
        self._session_key = hashlib.blake2b(nonces, key=self._greeting_key).digest()
        self.peer = peer
