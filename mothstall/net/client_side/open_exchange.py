"""The open request of a client connection, and the single way in which it ends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from mothstall.net import protocol
from mothstall.net.decider_messages import ClientLeft, ResponseRelayed
from mothstall.net.metrics import Outcome

if TYPE_CHECKING:
    from mothstall.net.client_side.response_relay import ResponseRelay


class ExchangeEnd(Enum):
    """Why an exchange ends."""

    ANSWERED = "answered"  # its complete response is written
    RELAYED = "relayed"  # its long response is written, or another process continues it
    CUT = "cut"  # its long response was cut off, or its client stopped reading it
    WITHDRAWN = "withdrawn"  # its client has left, or sent input that cannot be forwarded


_RELAY_OUTCOME = {
    ExchangeEnd.RELAYED: Outcome.FULFILLED,
    ExchangeEnd.CUT: Outcome.FAULTED,
    ExchangeEnd.WITHDRAWN: Outcome.LEFT,
}


@dataclass(slots=True)
class OpenExchange:
    """A request, from its submission to the decider until it is answered or withdrawn.

    Attributes:
        number: The request's number in the decider.
        request: The request; its `stream` is the long body that may still be incomplete.
        relay: The long response that is being relayed, if any.
    """

    number: int
    request: protocol.ClientRequest
    relay: ResponseRelay | None = None

    def end_message(self, end: ExchangeEnd) -> ClientLeft | ResponseRelayed | None:
        """Return the message that reports the end to the decider; None if the decider caused it."""
        if self.relay is not None:
            return ResponseRelayed(self.number, _RELAY_OUTCOME[end])
        if end is ExchangeEnd.WITHDRAWN:
            return ClientLeft(self.number)
        return None

    def release_streams(self) -> None:
        """End the streams of the request and of its response, unless they have ended.

        Guards against a backend that waits for the rest of a request, or writes a response that
        nobody reads: its connection would stay open for good.
        """
        if self.request.stream is not None:
            self.request.stream.abort()
        if self.relay is not None:
            self.relay.stream.drop()
