"""Rejects client input with an error, and delays or closes the connection afterwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mothstall.net import protocol
from mothstall.net.client_side import lingering_close
from mothstall.net.client_side.connection_states import DEFERS_INPUT, ConnectionState
from mothstall.net.decider_messages import PLAIN_TEXT_HEADER

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection


def reject_request(connection: Connection, status: int, reason: str) -> None:
    """Reject a request that is not well-formed with an error at once; nothing is forwarded.

    Guards against a client that repeats such requests without a pause: the next one is delayed.
    """
    frontend = connection.frontend
    frontend.counters.add("requests_bad")
    if (
        not connection.body.is_complete()
        or not connection.keeps_alive
        or frontend.phases.closes_connections
        or connection.transport is None
    ):
        reject_and_close(connection, status, reason)
        return
    connection.request = connection.body.payload = None
    body = f"{reason}\n".encode("utf-8", "replace")
    connection.transport.write(protocol.encode_response(status, PLAIN_TEXT_HEADER, body, False))
    connection.enter(ConnectionState.PENALIZED)


def reject_and_close(connection: Connection, status: int, reason: str) -> None:
    """Write an error, and close the connection so that the client can still read the error."""
    if connection.state == ConnectionState.AWAITING_RESPONSE:
        # The open request is answered first.
        lingering_close.discard_further_input(connection, status, reason)
        return
    connection.deferred_error = None
    connection.request = connection.body.payload = None
    if connection.transport is None:
        return
    body = f"{reason}\n".encode("utf-8", "replace")
    head = PLAIN_TEXT_HEADER + (connection.frontend.retry_after_head if status == 503 else b"")
    connection.transport.write(protocol.encode_response(status, head, body, True))
    lingering_close.begin(connection, ConnectionState.REJECTED)


def check_incomplete(connection: Connection) -> None:
    """Reject a request whose input so far exceeds the limits of incomplete requests.

    Guards against clients that fill the proxy's memory with requests that never end.
    """
    if connection.incomplete.is_head_too_long():
        connection.frontend.counters.add("requests_bad")
        reject_and_close(connection, 431, "the head is too long")
    elif connection.incomplete.exceeds_budget():
        connection.frontend.counters.add("requests_over_memory")
        reject_and_close(connection, 503, "no room")


def reject_pipelined(connection: Connection) -> None:
    """Discard the input behind a request, of which there is too much.

    Guards against missing that the client closes behind unread input: while a request is open
    reading goes on, and the error follows the response.
    """
    reason = "too much was sent ahead of an answer"
    connection.discard_pipelined()
    if connection.state in DEFERS_INPUT:
        lingering_close.discard_further_input(connection, 400, reason)
    else:
        reject_and_close(connection, 400, reason)
