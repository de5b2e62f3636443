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
        client_request: The request itself.
        due_ns: Unix time by which the response has to arrive.
        write_by_ns: Unix time at which the retry window ends: nothing is written later; 0: none.
    """

    request: int
    attempt: int
    client_request: protocol.ClientRequest
    due_ns: int
    write_by_ns: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """End an attempt, whether it may have run or not."""

    request: int
    attempt: int


@dataclass(slots=True)
class WithholdAttempt:
    """Cancel an attempt that is no longer needed, unless it is written completely."""

    request: int
    attempt: int


@dataclass(slots=True)
class SendProbe:
    """Send a load probe to the backend."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the backend's idle connections."""


@dataclass(slots=True)
class AddressChanged:
    """The backend's address and the start of its process, from the endpoint list."""

    address: Address
    started_ns: int


@dataclass(slots=True)
class DrainBackend:
    """The backend is draining, or is no longer listed.

    Attempts in flight continue, but their connections are not pooled afterwards, and connections
    that are still being opened are not used.
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
    """A long response was cut off by the backend after its first bytes were relayed."""

    backend: int


@dataclass(slots=True)
class AttemptEnded:
    """The end of an attempt, reported exactly once.

    Attributes:
        request: The request's number.
        attempt: Number of the attempt among those of its request, from 0.
        backend: The backend's number.
        result: The result; it states that the attempt did not run only if that is certain.
        latency_ns: Time since the attempt was sent.
        load: The values of the load report, in the settings' order; empty: no report.
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
    """The end of a load probe, reported exactly once; the fields are those of `AttemptEnded`."""

    backend: int
    result: AttemptResult
    latency_ns: int
    load: tuple[float, ...]


BackendReport = AttemptEnded | LoadProbeEnded | AttemptWritten | ResponseCut
