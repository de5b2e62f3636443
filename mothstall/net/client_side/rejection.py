"""Rejecting what a client sent: an error, and what becomes of the connection behind it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mothstall.net import protocol
from mothstall.net.client_side import lingering_close
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.decider_messages import PLAIN_TEXT_HEADER

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection


def reject_request(connection: Connection, status: int, why: str) -> None:
    """Reject a request that is not well-formed: an error at once, nothing is forwarded.

    Guards against the same again as soon as it is rejected: the next one waits a while.
    """
    frontend = connection.frontend
    frontend.counters.add("requests_bad")
    if (
        not connection.body.is_complete()
        or not connection.keeps_alive
        or frontend.phases.closes_connections
        or connection.transport is None
    ):
        reject_and_close(connection, status, why)
        return
    connection.request = connection.body.payload = None
    body = f"{why}\n".encode("utf-8", "replace")
    connection.transport.write(protocol.encode_response(status, PLAIN_TEXT_HEADER, body, False))
    connection.enter(ConnectionState.PENALIZED)


def reject_and_close(connection: Connection, status: int, why: str) -> None:
    """Write an error and end the connection, such that the client gets to see the error."""
    if connection.state == ConnectionState.AWAITING_RESPONSE:
        # The open request is answered first.
        lingering_close.discard_further_input(connection, status, why)
        return
    connection.deferred_error = None
    connection.request = connection.body.payload = None
    if connection.transport is None:
        return
    body = f"{why}\n".encode("utf-8", "replace")
    head = PLAIN_TEXT_HEADER + (connection.frontend.retry_after_head if status == 503 else b"")
    connection.transport.write(protocol.encode_response(status, head, body, True))
    lingering_close.begin(connection, ConnectionState.REJECTED)
