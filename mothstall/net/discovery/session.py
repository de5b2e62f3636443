"""The HTTP client for calls to discovery, on aiohttp."""

from __future__ import annotations

from collections.abc import Callable
from contextvars import ContextVar
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection as ClientConnection

from mothstall.net import protocol

# Headers that aiohttp adds by default and discovery doesn't need.
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


# Called at the first byte of the response; set in the context of the task that makes the call.
first_byte_callback: ContextVar[Callable[[], None] | None] = ContextVar(
    "first_byte_callback", default=None
)


class Connection(ResponseHandler):
    """A connection that reports the first byte of a response.

    aiohttp itself reports nothing before the head is complete.
    """

    on_first_byte: Callable[[], None] | None = None

    def data_received(self, data: bytes) -> None:
        """Call `on_first_byte` once, before the bytes are parsed."""
        notify = self.on_first_byte
        self.on_first_byte = None
        if notify:
            notify()
        super().data_received(data)


class Connector(aiohttp.TCPConnector):
    """Creates connections of class `Connection`, without a connection limit or a DNS cache."""

    def __init__(self) -> None:
        super().__init__(limit=0, use_dns_cache=False, happy_eyeballs_delay=None)
        # aiohttp has no public option for the class of connections.
        make: Any = partial(Connection, loop=self._loop)
        self._factory = make

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109 - the signature of aiohttp
    ) -> ClientConnection:
        """Return a connection whose first byte is reported to the call in the current context.

        Guards against a duplicate response, received on an idle connection, that would be taken for
        the response to this call: aiohttp reuses such a connection.
        """
        connection = await super().connect(req, traces, timeout)
        while connection.protocol is not None and connection.protocol.should_close:
            connection.close()
            connection = await super().connect(req, traces, timeout)
        if isinstance(connection.protocol, Connection):
            connection.protocol.on_first_byte = first_byte_callback.get()
        return connection


def make_session() -> aiohttp.ClientSession:
    """Return a client that sends each request once, and without additional headers."""
    session = aiohttp.ClientSession(
        connector=Connector(),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        auto_decompress=False,
        trust_env=False,
        timeout=aiohttp.ClientTimeout(total=None, connect=None, sock_connect=None, sock_read=None),
    )
    # Disables aiohttp's retry on a dropped idle connection, which has no public option.
    session._retry_connection = False
    return session


async def read_complete(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a response.

    Raises:
        UnreadableMessageError: The body has no framing, or is longer than `max_bytes`.
    """
    chunked = response.headers.get("Transfer-Encoding", "").lower().endswith("chunked")
    framed = response.content_length is not None or chunked
    if not framed:
        raise protocol.UnreadableMessageError("response has neither a length nor chunks")
    if (response.content_length or 0) > max_bytes:
        raise protocol.UnreadableMessageError("response is too long")
    parts = []
    size = 0
    async for chunk in response.content.iter_any():
        parts.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise protocol.UnreadableMessageError("response is too long")
    return b"".join(parts)
