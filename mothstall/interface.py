"""The interface of the policy: its settings, the events it takes and the actions it returns.

Nothing here depends on a transport. Times and durations are whole nanoseconds. Classes, tenants and
zones are indexes into the settings; only the adapter handles their names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

NS = 1_000_000_000  # nanoseconds in a second


class Effect(IntEnum):
    """The effect of sending a request again, from harmless to harmful."""

    IDEMPOTENT = 0
    IDEMPOTENT_WITH_KEY = 1
    NON_IDEMPOTENT = 2


class KeyScope(IntEnum):
    """Which backends recognize the key of a request after one backend has run it."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Health(IntEnum):
    """State of a backend in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateScope(IntEnum):
    """What an update of the endpoint list contains.

    Attributes:
        CACHED: The complete list as cached at the start; it may be outdated.
        FULL: The complete list; endpoints that are missing from it are gone.
        FAILED: Nothing, because a call failed or a watch ended.
        DELTA: Only the endpoints that changed.
    """

    CACHED = 0
    FULL = 1
    FAILED = 2
    DELTA = 3


class AttemptResult(IntEnum):
    """How an attempt or a load probe ended."""

    OK = 0
    ERROR = 1  # error response; may have run
    REJECTED = 2  # rejected unread; never ran
    TIMEOUT = 3  # no response in time; may have run
    CONNECT_FAILED = 4  # never ran
    RESET = 5  # connection lost while in flight; may have run
    CANCELLED = 6  # cancelled; may have run
    NOT_SENT = 7  # never ran


NEVER_RAN = frozenset(
    (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with common properties.

    Attributes:
        objective_ns: Latency objective: later responses have less value.
        deadline_ns: How long clients wait.
        priority_weight: Value of a successful response within the objective.
        late_weight: Value of a late response, as a fraction of `priority_weight`, 0 to 1.
        effect: The effect of sending a request again.
        group: Which backends recognize the key of a request.
        window_ns: How long backends recognize the key of a request.
        streaming: Whether responses are sent in parts.
    """

    objective_ns: int
    deadline_ns: int
    priority_weight: float
    late_weight: float
    effect: Effect
    group: KeyScope
    window_ns: int
    streaming: bool


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer of the service, with a quota.

    Attributes:
        share: Its expected fraction of the traffic, 0 to 1.
        quota_per_s: Requests per second that it is entitled to, over all proxies.
    """

    share: float
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of an instance.

    Attributes:
        classes: Classes of requests.
        tenants: Tenants; if empty, traffic is distinguished by class.
        zone: The zone of this proxy.
        position: Index of this proxy among all proxies; any integer is accepted.
        proxies: Number of proxies.
        discovery_push: Whether lists are pushed, so that no watch or poll is needed.
        poll_within_ns: Maximum time without contact with discovery; after that time, a change of
            the list binds this proxy even if discovery could not be reached.
        drain_grace_ns: How long after a drain attempts may still be sent to the backend.
        initial_warmth: Fraction of its full capacity that a backend has at its start, 0 to 1.
        slow_start_ns: How long a backend takes to warm up.
        overload_multiple: Load that overloads a warming backend, as a multiple of its capacity.
        overload_window_ns: Time over which the load of a warming backend is measured.
        max_attempts: Maximum number of attempts of a request, including the first.
        may_hedge: Whether two attempts of a request may be in flight, if its class permits it.
        may_cancel: Whether attempts may be cancelled.
        may_probe: Whether load probes may be sent.
        retry_after: Whether rejections may tell clients when to retry.
        max_retry_after_ns: Upper bound of the retry time that a rejection states.
        connect_timeout_ns: How long connecting to a backend may take.
        tick_ns: Resolution of the adapter's clock.
        cross_zone_fee: Cost of a request to another zone, in points.
        probe_fee: Cost of sending one load probe per request, in points.
        warm_keys: Whether a request key identifies backends that have its data cached.
        load_names: Names of the values in a load report, in order.
        load_by_probes: Whether load is reported only to probes.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    zone: int
    position: int
    proxies: int
    discovery_push: bool
    poll_within_ns: int
    drain_grace_ns: int
    initial_warmth: float
    slow_start_ns: int
    overload_multiple: float
    overload_window_ns: int
    max_attempts: int
    may_hedge: bool
    may_cancel: bool
    may_probe: bool
    retry_after: bool
    max_retry_after_ns: int
    connect_timeout_ns: int
    tick_ns: int
    cross_zone_fee: float
    probe_fee: float
    warm_keys: bool
    load_names: tuple[str, ...]
    load_by_probes: bool


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        backend: Id of the backend.
        zone: Its zone.
        kind: Its hardware generation.
        cell: The group of backends that share request keys.
        health: Whether it is ready, draining or gone.
        weight: Its weight in the rotation.
        started_ns: When it started; 0: long ago.
    """

    backend: int
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    started_ns: int


# Events


@dataclass(slots=True)
class EndpointUpdate:
    """The endpoint list, or a change to it.

    Attributes:
        scope: Whether `entries` is a complete list, a change or empty.
        version: Version of the list; an update older than the current list is ignored.
        entries: The endpoints.
        took_ns: Duration of a failed call.
    """

    scope: UpdateScope
    version: int
    entries: list[Endpoint]
    took_ns: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request arrived.

    Attributes:
        request: Its id, unique among open requests.
        class_index: Index of its class.
        tenant_index: Index of its tenant.
        key: Hash of the request key; 0: none.
        left_ns: Time until its client's deadline.
        cost_ns: Its expected work as the client declared it; 0: not declared.
        is_retry: Whether its client declares it a retry.
    """

    request: int
    class_index: int
    tenant_index: int
    key: int
    left_ns: int
    cost_ns: int
    is_retry: bool


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of an attempt's response arrived."""

    request: int
    attempt: int
    backend: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        request: Id of the request; `attempt` is the index of the attempt, from 0.
        backend: The backend that it was sent to.
        result: How it ended.
        latency_ns: Duration of the attempt.
        finished: Whether the client has received its final response from this attempt.
        load: Load values that the backend reported, in the order of `Settings.load_names`.
        may_retry: Whether the start of the request body is still buffered, as a retry requires.
    """

    request: int
    attempt: int
    backend: int
    result: AttemptResult
    latency_ns: int
    finished: bool
    load: tuple[float, ...]
    may_retry: bool = True


@dataclass(slots=True)
class AttemptAwaitsBody:
    """The request body is incomplete; the backend starts when it has received all of it."""

    request: int
    attempt: int


@dataclass(slots=True)
class AttemptWritten:
    """An attempt that awaited its body was written completely.

    Attributes:
        request: Id of the request; `attempt` is the index of the attempt, from 0.
        left_ns: Time from now until its client's deadline.
    """

    request: int
    attempt: int
    left_ns: int


@dataclass(slots=True)
class ResponseCut:
    """A backend cut off a response whose attempt had counted as successful at its first bytes."""

    backend: int


@dataclass(slots=True)
class InheritedBackend:
    """State that the previous process kept of one backend.

    Attributes:
        backend: Id of the backend; `started_ns` identifies the incarnation.
        concurrency_limit: Its concurrency limit.
        failure_score: Its failure score.
        ejected_until_ns: End of its ejection; 0: not ejected.
        ejection_ns: Duration of its next ejection.
    """

    backend: int
    started_ns: int
    concurrency_limit: float
    failure_score: float
    ejected_until_ns: int
    ejection_ns: int


@dataclass(slots=True)
class InheritedState:
    """State of the previous process of this proxy, whose clients this one takes over.

    Attributes:
        usual_latency_ns: Mean latency of successful responses.
        capacity: Upper bound of attempts in flight.
        warm_rate: Responses per second from a warm backend.
        retry_tokens: Retries that may be sent.
        baselines: By class: mean latency, lowest mean, number of responses.
        backends: State of each backend.
    """

    usual_latency_ns: float
    capacity: float
    warm_rate: float
    retry_tokens: float
    baselines: list[list[float]]
    backends: list[InheritedBackend]


@dataclass(slots=True)
class SuccessorChanged:
    """Another process of this proxy takes over, or has ended.

    Attributes:
        is_running: True: the other process serves new requests, and open ones finish in this one.
            False: the other process has ended.
    """

    is_running: bool


@dataclass(slots=True)
class HealthHint:
    """The proxy that checks a backend for all proxies reports a failure of it."""

    backend: int


@dataclass(slots=True)
class ZoneWeights:
    """Weights by zone from the region's plan.

    Attributes:
        weights: Fraction of this proxy's traffic for each zone.
        rejected_part: Fraction of the traffic to reject because it exceeds all capacity.
        strength: Fraction of requests that follow the weights, 0 (none) to 1.
        until_ns: When the weights expire.
    """

    weights: tuple[float, ...]
    rejected_part: float
    strength: float
    until_ns: int


@dataclass(slots=True)
class ClientLeft:
    """The client of a request has disconnected or given up."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """The timer that `SetTimer` set with this token is due."""

    token: int


@dataclass(slots=True)
class LoadProbeEnded:
    """A load probe ended; `load` has the reported values in the order of `Settings.load_names`."""

    backend: int
    result: AttemptResult
    latency_ns: int
    load: tuple[float, ...]


ClientEvent = RequestArrived | ClientLeft
AttemptEvent = ResponseStarted | AttemptEnded | AttemptAwaitsBody | AttemptWritten | ResponseCut
FleetEvent = InheritedState | SuccessorChanged | HealthHint | ZoneWeights
Event = EndpointUpdate | ClientEvent | AttemptEvent | FleetEvent | TimerFired | LoadProbeEnded


# Actions


@dataclass(slots=True)
class SendAttempt:
    """Send a request to a backend.

    Attributes:
        request: The request.
        backend: The backend to send it to.
        timeout_ns: Timeout of the attempt; 0: until the client gives up.
        write_by_ns: Deadline for writing the last byte, at which the window of the request's key
            ends; 0: no limit.
    """

    request: int
    backend: int
    timeout_ns: int
    write_by_ns: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Reject a request; its client may retry it, after `retry_after_ns` if that is not 0."""

    request: int
    retry_after_ns: int


@dataclass(slots=True)
class FailRequest:
    """Respond to a request with an error, because an attempt may have had an effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` with this token at the given time."""

    token: int
    at_ns: int


@dataclass(slots=True)
class ProbeLoad:
    """Send a load probe to a backend."""

    backend: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close idle connections to a backend that is no longer a member."""

    backend: int


@dataclass(slots=True)
class WatchEndpoints:
    """Open a watch at discovery, or close it."""

    is_on: bool


@dataclass(slots=True)
class PollEndpoints:
    """Request the endpoint list from discovery once."""


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


RequestAction = SendAttempt | CancelAttempt | Reject | FailRequest
DiscoveryAction = WatchEndpoints | PollEndpoints
Action = RequestAction | DiscoveryAction | SetTimer | ProbeLoad | CloseIdleConnections | Log
