"""Reads backend responses from the bytes of a connection, one at a time.

aiohttp's parser receives the head of a response separately. The framing of the response is then
known before the bytes after the head are parsed, so that bytes after a valid response do not make
the response invalid.

aiohttp parses responses leniently. Head and chunks are therefore checked here by a strict reading
first, and a body has to come out of both readings the same.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp.http_parser import HttpParser, RawResponseMessage
from aiohttp.streams import StreamReader

from mothstall.net import protocol
from mothstall.net.chunked_coding import ChunkedCodingError, ChunkedDecoder
from mothstall.net.protocol.response_heads import check_response_head, has_bare_line_feed

MAX_HEAD_BYTES = 16 * 1024  # of a response, and of the trailers behind its body
MAX_INTERIM_RESPONSES = 8  # 1xx responses ahead of the final one
HTTP_VERSION_PREFIX = b"HTTP/1."
HEAD_END = b"\r\n\r\n"
LAST_CHUNK_END = b"0\r\n\r\n"
CHUNKED_CODING = "chunked"
STATUS_OK = 200
STATUS_SWITCHING_PROTOCOLS = 101
NO_BODY_STATUSES = (204, 304)


class ResponseReader:
    """Reads one response at a time, and keeps its state while it is being received.

    Attributes:
        message: The head of the final response; None until that head is complete.
        payload: aiohttp's reader of the body, set together with `message`.
        content_length: Length of the body by its Content-Length; 0 without that header.
        received_bytes: Bytes of the body received so far.
        is_until_close: Whether the body ends with the connection.
    """

    __slots__ = (
        *(
            "_chunked_decoder",
            "_framing_bytes",
            "_head",
            "_interim_count",
            "_max_body_bytes",
            "_on_body",
        ),
        *("content_length", "is_until_close", "message", "payload", "received_bytes"),
    )

    def __init__(self, max_body_bytes: int, on_body: Callable[[bytes], None]) -> None:
        """Prepare for the first response.

        Args:
            max_body_bytes: Limit of the body of a 200 response; for others it is
                `protocol.MAX_BUFFERED_BODY_BYTES`.
            on_body: Called with each part of the body as it is received.
        """
        self._max_body_bytes = max_body_bytes
        self._on_body = on_body
        self.content_length = 0
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response."""
        self._head = b""
        self._interim_count = 0
        self._chunked_decoder: ChunkedDecoder | None = None
        self._framing_bytes = 0  # input without a part of the body since the body's last part
        self.message: RawResponseMessage | None = None
        self.payload: StreamReader | None = None
        self.received_bytes = 0
        self.is_until_close = False

    @property
    def expected_bytes(self) -> int:
        """The declared length of the body, or the bytes received if those are more."""
        return max(self.content_length, self.received_bytes)

    def feed(self, parser: HttpParser[Any], data: bytes) -> bool:
        """Read input from the backend.

        Returns:
            Whether there were bytes beyond the response.

        Raises:
            UnreadableMessageError: The response cannot be read, or is too long.
        """
        rest = data
        while self.message is None:
            self._head += rest
            head_end = self._find_head_end()
            if head_end is None:
                return False
            head = self._head[:head_end]
            rest = self._head[head_end:]
            self._head = b""
            self._read_head(parser, head)
            if self.message is None and not rest:
                return False
        if self.is_until_close:
            self._deliver(rest)
            self._check_size()
            return False
        if self.message.code in NO_BODY_STATUSES:
            return bool(rest)
        if self.message.chunked:
            return self._read_chunks(parser, rest)
        return self._read_sized_body(parser, rest)

    def handover_position(self) -> tuple[int | None, tuple[int, int, bytes] | None]:
        """Return the position at which another process continues the response.

        Returns:
            The bytes still missing, and the position in the chunked coding.
        """
        if self.is_until_close:
            return None, None
        decoder = self._chunked_decoder
        if decoder is not None:
            return None, (decoder.phase, decoder.remaining_bytes, decoder.partial_line)
        return self.content_length - self.received_bytes, None

    def _find_head_end(self) -> int | None:
        """Return the length of the buffered head with its blank line; None if it is incomplete."""
        if not self._head.startswith(HTTP_VERSION_PREFIX[: len(self._head)]):
            raise protocol.UnreadableMessageError("the response is not HTTP/1")
        position = self._head.find(HEAD_END)
        if position >= 0:
            return position + len(HEAD_END)
        if has_bare_line_feed(self._head):
            raise protocol.UnreadableMessageError("a line of the head does not end in CRLF")
        if len(self._head) > MAX_HEAD_BYTES:
            raise protocol.UnreadableMessageError("the response head is too long")
        return None

    def _read_head(self, parser: HttpParser[Any], head: bytes) -> None:
        message, payload = self._parse_head(parser, head)
        if message.code >= STATUS_OK:
            self.message = message
            self.payload = payload
            self.content_length = self._read_framing(message)
            return
        is_unexpected = message.code == STATUS_SWITCHING_PROTOCOLS
        if is_unexpected or self._interim_count >= MAX_INTERIM_RESPONSES:
            raise protocol.UnreadableMessageError(f"unexpected interim response {message.code}")
        self._interim_count += 1

    def _parse_head(
        self, parser: HttpParser[Any], head: bytes
    ) -> tuple[RawResponseMessage, StreamReader]:
        check_response_head(head)
        try:
            messages, _, _ = parser.feed_data(head)
        except Exception as error:  # the parser may raise any error for a malformed head
            raise protocol.UnreadableMessageError(
                f"malformed response head: {type(error).__name__}"
            ) from error
        if len(messages) != 1:
            raise protocol.UnreadableMessageError("the response head is not a single message")
        message, payload = messages[0]
        return message, payload

    def _read_framing(self, message: RawResponseMessage) -> int:
        """Return the length of the body by its Content-Length; 0 without that header."""
        if message.code in NO_BODY_STATUSES:
            return 0
        codings = message.headers.getall("Transfer-Encoding", [])
        if codings and [coding.lower() for coding in codings] != [CHUNKED_CODING]:
            raise protocol.UnreadableMessageError("unknown transfer coding")
        text = message.headers.get("Content-Length")
        if text is None:
            # Without Content-Length or chunks, a body extends to the end of the connection.
            self.is_until_close = not message.chunked
            return 0
        if message.chunked or not (text.isascii() and text.isdigit()):
            raise protocol.UnreadableMessageError(
                "Content-Length is malformed or conflicts with chunks"
            )
        if int(text) > self._body_limit_bytes(message):
            raise protocol.UnreadableMessageError("the response is too long")
        return int(text)

    def _read_sized_body(self, parser: HttpParser[Any], data: bytes) -> bool:
        assert self.payload is not None
        missing = self.content_length - self.payload.total_bytes if self.content_length else 0
        body = data[:missing]
        has_more = len(data) > missing
        if body:
            parser.feed_data(body)
            self._deliver(self.payload.read_nowait())
        return has_more

    def _read_chunks(self, parser: HttpParser[Any], data: bytes) -> bool:
        payload = self.payload
        assert payload is not None
        has_more = False
        part = b""
        if data and not payload.is_eof():
            part = self._decode_chunks(data)
            try:
                messages, _, _ = parser.feed_data(data)
                has_more = bool(messages) or not data.endswith(LAST_CHUNK_END)
            except Exception as error:
                # Bytes after a complete body do not invalidate the response.
                if not payload.is_eof() or payload.exception():
                    kind = type(error).__name__
                    raise protocol.UnreadableMessageError(
                        f"malformed response body: {kind}"
                    ) from error
                has_more = True
        if payload.exception():
            raise protocol.UnreadableMessageError("malformed response body")
        if payload.read_nowait() != part or payload.is_eof() != self._has_last_chunk():
            raise protocol.UnreadableMessageError("ambiguous response body")
        self._check_framing(data, part, payload.is_eof())
        self._deliver(part)
        self._check_size()
        return has_more

    def _check_framing(self, data: bytes, part: bytes, is_complete: bool) -> None:
        """Guard against trailers without end, which aiohttp's parser keeps in memory."""
        self._framing_bytes = 0 if part else self._framing_bytes + len(data)
        if self._framing_bytes > MAX_HEAD_BYTES and not is_complete:
            raise protocol.UnreadableMessageError("the trailers are too long")

    def _decode_chunks(self, data: bytes) -> bytes:
        if self._chunked_decoder is None:
            self._chunked_decoder = ChunkedDecoder()
        try:
            return b"".join(self._chunked_decoder.feed(data))
        except ChunkedCodingError as error:
            raise protocol.UnreadableMessageError(f"malformed response body: {error}") from error

    def _has_last_chunk(self) -> bool:
        return self._chunked_decoder is not None and self._chunked_decoder.has_ended

    def _deliver(self, data: bytes) -> None:
        self.received_bytes += len(data)
        self._on_body(data)

    def _check_size(self) -> None:
        assert self.message is not None
        if self.received_bytes > self._body_limit_bytes(self.message):
            raise protocol.UnreadableMessageError("the response is too long")

    def _body_limit_bytes(self, message: RawResponseMessage) -> int:
        return (
            self._max_body_bytes if message.code == STATUS_OK else protocol.MAX_BUFFERED_BODY_BYTES
        )
