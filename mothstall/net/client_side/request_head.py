"""Handles the head of a request: serves local pages, rejects invalid heads, begins the body."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import HttpVersion11
from aiohttp.streams import StreamReader

from mothstall.net import protocol
from mothstall.net.client_side import rejection, request_body
from mothstall.net.client_side.connection_states import ConnectionState

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection

LOCAL_PAGES = ("/ready", "/counters")  # answered by the proxy itself unless they have a request id


def handle_head(connection: Connection, message: RawRequestMessage, payload: StreamReader) -> None:
    """Answer a local page, reject an invalid head, or begin to read the request's body."""
    frontend = connection.frontend
    connection.keeps_alive = not message.should_close
    connection.body.payload = payload
    connection.is_http11 = message.version >= HttpVersion11
    if message.path in LOCAL_PAGES and "X-Txn" not in message.headers and payload.is_eof():
        connection.write_response(frontend.local_page(message.path))
        return
    try:
        request = protocol.parse_request(
            message.method, message.path, message.raw_headers, b"", frontend.names
        )
    except protocol.UnreadableMessageError as error:
        rejection.reject_request(connection, 400, str(error))
        return
    length = message.headers.get("Content-Length", "0")
    if not (length.isascii() and length.isdigit()):
        rejection.reject_request(connection, 400, "Content-Length is unreadable")
        return
    if int(length) > frontend.max_body_bytes:
        rejection.reject_request(connection, 413, "the body is too long")
        return
    connection.request = request
    connection.body.parts = []
    connection.body.received_bytes = 0
    if payload.is_eof() and payload.total_bytes <= protocol.MAX_BUFFERED_BODY_BYTES:
        request_body.on_data(connection)
    else:
        _begin_body(connection, message, int(length))


def _begin_body(connection: Connection, message: RawRequestMessage, length: int) -> None:
    """Begin to read a body that is incomplete or long."""
    connection.enter(ConnectionState.READING_BODY)
    expects_continue = message.headers.get("Expect", "").lower() == "100-continue"
    if expects_continue and connection.transport is not None:
        connection.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    if length > protocol.MAX_BUFFERED_BODY_BYTES and not request_body.begin_stream(
        connection, length
    ):
        return
    request_body.on_data(connection)
