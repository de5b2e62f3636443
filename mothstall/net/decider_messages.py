"""Messages to the decider, and its final response to a request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mothstall import interface as io
from mothstall.net import protocol
from mothstall.net.backend_side import messages as backend_messages
from mothstall.net.body_relay import Stream
from mothstall.net.discovery.discovery import EndpointsUpdated
from mothstall.net.metrics import Outcome

PLAIN_TEXT_HEADER = b"Content-Type: text/plain\r\n"


@dataclass(slots=True)
class ClientResponse:
    """The final response to a client.

    Attributes:
        status: Status code.
        body: The body; empty if the response has a `stream`.
        head: Further header lines, each with its line end.
        stream: A long body, in place of `body`.
        length: Length of the stream in bytes, if known.
    """

    status: int
    body: bytes
    head: bytes = PLAIN_TEXT_HEADER
    stream: Stream | None = None
    length: int | None = None


@dataclass(slots=True)
class RequestArrived:
    """A client's request was received, completely or up to a part of its long body.

    Attributes:
        request: The request's number.
        client_request: The parsed request.
        received_ns: Earliest Unix time at which the request may have arrived.
        reply: Called once with the final response.
    """

    request: int
    client_request: protocol.ClientRequest
    received_ns: int
    reply: Callable[[ClientResponse], None]


@dataclass(slots=True)
class ClientLeft:
    """A request was withdrawn: its client left, or sent input that cannot be forwarded."""

    request: int


@dataclass(slots=True)
class TimerDue:
    """A timer that the balancer set has expired."""

    token: int


@dataclass(slots=True)
class RequestOverdue:
    """The backstop timer of an unanswered request has expired."""

    request: int


@dataclass(slots=True)
class ResponseRelayed:
    """The relay of a long response has ended with `outcome`."""

    request: int
    outcome: Outcome


@dataclass(slots=True)
class AttemptAwaitsBody:
    """An attempt was sent while the request's body is still being received."""

    request: int
    attempt: int


@dataclass(slots=True)
class PeerProcessEvent:
    """An event for the balancer from another process of this proxy, or from the fleet."""

    event: io.InheritedState | io.SuccessorChanged | io.HealthHint | io.ZoneWeights


DeciderMessage = (
    RequestArrived
    | ClientLeft
    | TimerDue
    | RequestOverdue
    | ResponseRelayed
    | AttemptAwaitsBody
    | EndpointsUpdated
    | PeerProcessEvent
    | backend_messages.AttemptEnded
    | backend_messages.AttemptWritten
    | backend_messages.ResponseCut
    | backend_messages.LoadProbeEnded
)
