"""Incremental decoder of the chunked transfer coding; its state can be handed over. Pure.

The decoder is strict (RFC 9112, section 7.1): each line ends in CRLF, and a chunk ends where its
size says. A lenient one would take a part of the framing for a part of the body.
"""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.net.errors import NetError
from mothstall.net.protocol.response_heads import is_field_line

MAX_LINE_BYTES = 8 * 1024  # of a chunk size with its extensions, or of a trailer
MAX_SIZE_DIGITS = 15  # of a chunk size, which then fits into a signed 64-bit number
LINE_END = b"\r\n"
HEX_DIGITS = b"0123456789abcdefABCDEF"
# Phases, by the element expected next: a chunk size, chunk data, the line end after the data, a
# trailer, or nothing more.
SIZE, DATA, CHUNK_END, TRAILER, END = range(5)


class ChunkedCodingError(NetError, ValueError):
    """The bytes are not a valid chunked body."""


@dataclass(slots=True)
class ChunkedDecoder:
    """The decoder state of one chunked body.

    Attributes:
        phase: The expected element: SIZE, DATA, CHUNK_END, TRAILER or END.
        remaining_bytes: Bytes of the current chunk that were not received yet.
        partial_line: The received part of an incomplete line.
    """

    phase: int = SIZE
    remaining_bytes: int = 0
    partial_line: bytes = b""

    @property
    def has_ended(self) -> bool:
        """Whether the last chunk and the trailers were received."""
        return self.phase == END

    def feed(self, raw: bytes) -> list[bytes]:
        """Return the body data in `raw`; bytes after the end of the body are ignored.

        Raises:
            ChunkedCodingError: The bytes are not a valid chunked body.
        """
        found: list[bytes] = []
        position = 0
        while position < len(raw) and self.phase != END:
            if self.phase == DATA:
                part = raw[position : position + self.remaining_bytes]
                found.append(part)
                position += len(part)
                self.remaining_bytes -= len(part)
                if not self.remaining_bytes:
                    self.phase = CHUNK_END
                continue
            end = raw.find(b"\n", position)
            self.partial_line += raw[position:] if end < 0 else raw[position : end + 1]
            if len(self.partial_line) > MAX_LINE_BYTES:
                raise ChunkedCodingError("a line is too long")
            if end < 0:
                break
            position = end + 1
            line = self.partial_line
            self.partial_line = b""
            self._read_line(line)
        return found

    def _read_line(self, line: bytes) -> None:
        """Read a line with its line end."""
        if self.phase == SIZE:
            self.remaining_bytes = _parse_chunk_size(line)
            self.phase = DATA if self.remaining_bytes else TRAILER
        elif self.phase == CHUNK_END:
            if line != LINE_END:
                raise ChunkedCodingError("chunk data does not end where its size says")
            self.phase = SIZE
        elif line == LINE_END:
            self.phase = END
        elif not is_field_line(line):
            raise ChunkedCodingError("a trailer is no field")


def _parse_chunk_size(line: bytes) -> int:
    size, separator, extensions = line.partition(b";")
    last = extensions if separator else size
    if not last.endswith(LINE_END) or b"\r" in line[: -len(LINE_END)]:
        raise ChunkedCodingError("the line of a chunk size does not end in CRLF")
    digits = size.rstrip(b" \t" if separator else b" \t\r\n")
    if not digits or len(digits) > MAX_SIZE_DIGITS or digits.strip(HEX_DIGITS):
        raise ChunkedCodingError("invalid chunk size")
    return int(digits, 16)
