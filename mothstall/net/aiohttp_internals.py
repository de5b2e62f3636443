"""The private parts of aiohttp that client connections rely on, checked with aiohttp 3.14.5.

A connection takes parsed requests from aiohttp's parser and writes its responses itself. This
depends on members that aiohttp doesn't document. All of them are listed here, so that an upgrade of
aiohttp has one module to check.

Of `aiohttp.web_protocol.RequestHandler` and its base `BaseProtocol`:

* `_manager`: the server that tracks the connection; its `connection_made` and `connection_lost`.
* `_parser`: the HTTP parser; its `feed_data`, `message_consumed` and `pause_reading`; `None` once
  the connection is lost.
* `_messages`: parsed requests with their bodies (`StreamReader`), oldest first.
* `_paused`: the transport's write buffer is above its high-water mark.
* `_reading_paused`: the parser is paused; `_buffer_paused`: the buffer of a body is full.
* `_pause_transport_reading`, `_resume_transport_reading`: pause and resume the transport only.
* `_force_close`: the connection is to be closed at once.

Of `aiohttp.web_server.Server`: `_connections`, the open connections with their transports.

Of asyncio's selector transport: `max_size`, the maximum number of bytes per read.

The members that are used for each request (`_messages`, `_parser`, `_paused`) are read directly by
`Connection`: a wrapper would add a function call per access.
"""

from __future__ import annotations

import asyncio
import logging

# Importing `aiohttp.web` would load the whole web framework at every start.
from aiohttp import web_server
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

# Upgrades after which aiohttp's parser takes further input for another protocol.
ALLOWED_UPGRADES = frozenset({"websocket"})

# aiohttp's own messages about connections are counted elsewhere, not logged.
_silent_log = logging.getLogger("mothstall.frontend.aiohttp")
_silent_log.setLevel(logging.CRITICAL)


class ParserConnection(RequestHandler):
    """A server connection that parses requests and leaves handling them to its subclass.

    aiohttp's handler task, request and response objects are not used: they made up a quarter of the
    cost of a request and most of the cost of a rejection, and rejecting a bad request has to be
    cheap.
    """

    __slots__ = ()

    def __init__(
        self, server: web_server.Server, loop: asyncio.AbstractEventLoop, body_buffer_bytes: int
    ) -> None:
        """Prepare a connection of `server` that buffers up to `body_buffer_bytes` of a body."""
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            logger=_silent_log,
            auto_decompress=False,
            read_bufsize=body_buffer_bytes,
        )
        # aiohttp's own parser would parse up to 32 requests ahead of the one that is open.
        self._parser = HttpRequestParser(
            self,
            loop,
            body_buffer_bytes,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server, without aiohttp's handler task."""
        BaseProtocol.connection_made(self, transport)
        assert self._manager is not None
        assert self.transport is not None
        self._manager.connection_made(self, self.transport)

    def unregister(self, exc: BaseException | None) -> bool:
        """Remove the connection from the server's table; False if it was removed before."""
        if self._manager is None:
            return False
        self._manager.connection_lost(self, exc)
        return True

    def detach(self, exc: BaseException | None) -> None:
        """Release the transport and the parser, after `unregister`."""
        BaseProtocol.connection_lost(self, exc)
        self._manager = self._parser = None

    def release_parser(self) -> None:
        """Release the parser with what it has buffered: no further input is parsed."""
        self._parser = None

    def set_max_read(self, size: int) -> None:
        """Limit the number of bytes that the transport reads at once."""
        if self.transport is not None:
            self.transport.max_size = size  # type: ignore[attr-defined]

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing.

        Guards against processing a request of a connection that either side has already closed.
        """
        return self.transport is None or self.transport.is_closing()

    def force_close(self) -> None:
        """Close the connection at once; data that was written before is still sent."""
        self._force_close = True
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def pause_reading(self) -> None:
        """Pause the parser only; called when the buffer of a body is full.

        Guards against missing that the client leaves: the transport has to go on reading.
        """
        self._reading_paused = True
        if self._parser is not None:
            self._parser.pause_reading()


def ends_http(parsed: tuple[RawRequestMessage, StreamReader]) -> bool:
    """Return whether what follows a request without a body is not HTTP: it upgrades or connects.

    The parser reports this only with the next input, as it stops behind each request.
    """
    message, payload = parsed
    is_upgrade = message.upgrade and message.headers.get("Upgrade", "").lower() in ALLOWED_UPGRADES
    return payload.is_eof() and (is_upgrade or message.method == "CONNECT")


def open_connections(
    server: web_server.Server,
) -> dict[RequestHandler, asyncio.Transport]:
    """Return the server's live table of connections.

    A closed connection stays in it until `connection_lost`.
    """
    return server._connections
