"""Timeouts of a client connection, checked periodically."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mothstall.net.client_side import lingering_close, rejection, request_body
from mothstall.net.client_side.connection_states import STATE_TIMEOUT_S, ConnectionState
from mothstall.net.lifecycle import SILENT_S
from mothstall.net.listener import has_peer_hung_up

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection

UNREAD_RESPONSE_TIMEOUT_S = 5.0  # a client may leave the end of a response unread for this time
PENALTY_S = 1.0  # delay between a rejected request and the next one of its connection


def check(connection: Connection, now: float) -> None:
    """Apply the timeouts of a connection's state.

    Guards against clients that never complete a request or never read a response.
    """
    state = connection.state
    if state == ConnectionState.AWAITING_RESPONSE:
        return
    if state == ConnectionState.RELAYING:
        if connection.relay is not None:
            connection.relay.check_progress(now)
    elif state in (ConnectionState.UPLOADING, ConnectionState.DISCARDING_BODY):
        _check_upload(connection, now)
    elif state == ConnectionState.PENALIZED:
        if now - connection.state_since_s >= PENALTY_S:
            _end_penalty(connection)
    else:
        _check_timeout(connection, now)


def _check_upload(connection: Connection, now: float) -> None:
    stream = connection.body.stream
    if stream is not None and stream.is_paused:
        connection.state_since_s = now
        if has_peer_hung_up(connection.transport):
            # Guards against missing a close by the client: a blocked body is not read.
            connection.force_close()
    elif now - connection.state_since_s >= request_body.UPLOAD_PROGRESS_TIMEOUT_S:
        connection.frontend.counters.add("connections_overdue")
        request_body.abandon(connection, 408, "the request did not come")


def _end_penalty(connection: Connection) -> None:
    connection.enter(ConnectionState.IDLE)
    if connection.deferred_error is not None:
        rejection.reject_and_close(connection, *connection.deferred_error)
    else:
        connection.start_next_request()


def _check_timeout(connection: Connection, now: float) -> None:
    state = connection.state
    age_s = now - connection.state_since_s
    transport = connection.transport
    if transport is None or age_s < STATE_TIMEOUT_S[state]:
        return
    is_ending = state in (ConnectionState.LINGERING, ConnectionState.REJECTED)
    if age_s < UNREAD_RESPONSE_TIMEOUT_S and _has_unread(connection, transport, is_ending):
        return
    if is_ending:
        transport.abort()
        return
    connection.frontend.counters.add("connections_overdue")
    if state in (ConnectionState.READING_HEAD, ConnectionState.READING_BODY):
        rejection.reject_and_close(connection, 408, "the request did not come")
    elif connection.writing_paused:
        transport.abort()
    else:
        lingering_close.begin(connection)


def _has_unread(connection: Connection, transport: asyncio.Transport, is_ending: bool) -> bool:
    return connection.writing_paused or (is_ending and transport.get_write_buffer_size() > 0)


def check_at_process_end(connection: Connection) -> None:
    """Reject incomplete requests as the process ends; no backend can have executed them."""
    if connection.state == ConnectionState.UPLOADING:
        request_body.abandon(connection, 503, "the proxy ends")
    elif connection.state in (ConnectionState.READING_HEAD, ConnectionState.READING_BODY):
        rejection.reject_and_close(connection, 503, "the proxy ends")
    elif connection.state in (ConnectionState.DISCARDING_BODY, ConnectionState.REJECTED):
        connection.force_close()  # the response is written


def check_drained(connection: Connection, now: float) -> None:
    """Close an idle connection of a drained proxy, or any without a complete request if overdue.

    Guards against connections that outlive a drain, idle or with an incomplete request.
    """
    state = connection.state
    phases = connection.frontend.phases
    if state == ConnectionState.UPLOADING:
        if phases.rejects_uploads(now):
            # No backend can have executed it.
            request_body.abandon(connection, 503, "the proxy drains")
        return
    is_silent = now - connection.state_since_s >= SILENT_S
    if state == ConnectionState.IDLE or (state == ConnectionState.NEW and is_silent):
        lingering_close.begin(connection)
        return
    if not phases.is_drain_overdue(now):
        return
    if state in (ConnectionState.READING_HEAD, ConnectionState.READING_BODY):
        rejection.reject_and_close(connection, 408, "the proxy drains")
    elif state in (ConnectionState.NEW, ConnectionState.PENALIZED):
        # A complete request may be there unread: a retry of it is harmless.
        rejection.reject_and_close(connection, 503, "the proxy drains")
    elif state == ConnectionState.DISCARDING_BODY:
        lingering_close.begin(connection)  # the response is written
    elif state in (ConnectionState.LINGERING, ConnectionState.REJECTED):
        transport = connection.transport
        if transport and is_silent and not transport.get_write_buffer_size():
            transport.abort()
