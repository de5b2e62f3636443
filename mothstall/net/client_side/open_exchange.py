"""The request that a client connection has open with the decisions, and its one way to end."""

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
    RELAYED = "relayed"  # its long response is written, or another process goes on with it
    CUT = "cut"  # its long response broke off, or its client takes nothing more of it
    WITHDRAWN = "withdrawn"  # its client has gone, or sent what cannot be forwarded


_RELAY_OUTCOME = {
    ExchangeEnd.RELAYED: Outcome.FULFILLED,
    ExchangeEnd.CUT: Outcome.FAULTED,
    ExchangeEnd.WITHDRAWN: Outcome.LEFT,
}


@dataclass(slots=True)
class OpenExchange:
    """A request from when the decisions get it until its response is out or it is withdrawn.

    Attributes:
        number: Of the request, with the decisions.
        request: The request; its `stream` is the long body that may still be on its way.
        relay: The long response that is being relayed.
    """

    number: int
    request: protocol.ClientRequest
    relay: ResponseRelay | None = None

    def end_message(self, end: ExchangeEnd) -> ClientLeft | ResponseRelayed | None:
        """Return what the decisions have to be told of the end; None if they know."""
        if self.relay is not None:
            return ResponseRelayed(self.number, _RELAY_OUTCOME[end])
        if end is ExchangeEnd.WITHDRAWN:
            return ClientLeft(self.number)
        return None

    def release_streams(self) -> None:
        """End both long bodies, as far as they have not ended.

        Guards against a backend that waits for the rest of a request, or writes the rest of a
        response, for nobody: its connection would stay open for good.
        """
        if self.request.stream is not None:
            self.request.stream.abort()
        if self.relay is not None:
            self.relay.stream.drop()
