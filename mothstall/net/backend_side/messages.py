"""The commands of the decider to a backend's actor, and the actor's reports."""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.config import Address
from mothstall.interface import AttemptResult
from mothstall.net import protocol


@dataclass(slots=True)
class SendAttempt:
    """Send a request to the backend, once.

    Attributes:
        request: The request's number.
        attempt: Number of the attempt among those of its request, from 0.
        inbound: The request itself.
        due_ns: Unix time by which the response has to be there.
        write_by_ns: When the retry window ends: its last byte goes out by then or never; 0: none.
    """

    request: int
    attempt: int
    client_request: protocol.ClientRequest
    due_ns: int
    write_by_ns: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """End an attempt, whatever it has come to."""

    request: int
    attempt: int


@dataclass(slots=True)
class WithholdAttempt:
    """Nobody waits for this attempt any more: unless it was written completely, it never is."""

    request: int
    attempt: int


@dataclass(slots=True)
class SendProbe:
    """Ask the backend for its load."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the backend's idle connections."""


@dataclass(slots=True)
class AddressChanged:
    """The endpoint list has this address for the backend, and this start of its process."""

    address: Address
    started_ns: int


@dataclass(slots=True)
class DrainBackend:
    """The backend drains or is gone.

    What is in flight ends as it does, no connection is pooled, and none that is still being opened
    is used.
    """


BackendCommand = (
    SendAttempt
    | CancelAttempt
    | WithholdAttempt
    | SendProbe
    | CloseIdleConnections
    | AddressChanged
    | DrainBackend
)


@dataclass(slots=True)
class AttemptWritten:
    """The last byte of an attempt with a long body was handed to the socket."""

    request: int
    attempt: int


@dataclass(slots=True)
class ResponseCut:
    """A long response broke off at the backend after its first bytes were relayed."""

    backend: int


@dataclass(slots=True)
class AttemptEnded:
    """The one end of an attempt.

    Attributes:
        request: The request's number.
        attempt: Number of the attempt among those of its request, from 0.
        backend: The backend's number.
        result: What became of it; it never says "never ran" of what may have run.
        latency_ns: Since it was sent.
        load: The values of the load report, in the settings' order; empty: none came.
        response: The response that is passed on to the client; None unless the result is OK.
    """

    request: int
    attempt: int
    backend: int
    result: AttemptResult
    latency_ns: int
    load: tuple[float, ...]
    response: protocol.BackendResponse | None


@dataclass(slots=True)
class LoadProbeEnded:
    """The one end of a load probe; its fields as in `AttemptEnded`."""

    backend: int
    result: AttemptResult
    latency_ns: int
    load: tuple[float, ...]


BackendReport = AttemptEnded | LoadProbeEnded | AttemptWritten | ResponseCut
