"""Records of a soak's clients and backends, and the rules that are checked on them. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

ANSWER_SLACK_S = 0.5  # past the client's wait; a response this late earns nothing, later it is lost
STOP_SENDING_S = 0.5  # the settings' grace period, counted from the notification of a drain
NOTIFIED_S = 0.3  # delay after which an endpoint update counts as notified by a working watch
# On a silent watch, an update counts as notified the first delay after the watch fell silent or the
# second delay after the wait of its call would have ended, whichever is later.
SILENT_NOTIFIED_S = 6.0
SILENT_WAIT_NOTIFIED_S = 2.0
MAX_MEMORY_MIB = 192
SINGLE_ATTEMPT_CLASS = "order"  # neither idempotent nor keyed


@dataclass(slots=True)
class ClientRequest:
    """A request that its client sent completely and waited for.

    Attributes:
        request_id: Value of `X-Txn`.
        class_name: Request class.
        sent_at_s: When its last byte was sent.
        remaining_s: How long its client waits.
        statuses: Statuses of all final responses; there must not be more than one.
        answered_at_s: When the first final response was complete or was cut off.
        closed_at_s: When the connection ended before any response was complete.
    """

    request_id: str
    class_name: str
    sent_at_s: float
    remaining_s: float
    statuses: list[int] = field(default_factory=list)
    answered_at_s: float | None = None
    closed_at_s: float | None = None


@dataclass(slots=True, frozen=True)
class BackendRequest:
    """A request that a backend received.

    Attributes:
        request_id: Value of `X-Txn`.
        backend: Name of the backend.
        began_at_s: When its head was received.
        is_complete: Whether all of its body was received, so that it ran.
    """

    request_id: str
    backend: str
    began_at_s: float
    is_complete: bool


@dataclass(slots=True, frozen=True)
class DrainNotice:
    """A drain of a backend: when the list showed it, and when it counts as notified."""

    backend: str
    at_s: float
    notified_at_s: float


def notified_on_silent_watch_s(silent_at_s: float, wait_over_at_s: float) -> float:
    """Return when a change that a silent watch has missed counts as notified."""
    return max(silent_at_s + SILENT_NOTIFIED_S, wait_over_at_s + SILENT_WAIT_NOTIFIED_S)


@dataclass(slots=True)
class Observations:
    """All records of one run that its rules are checked on. Times are seconds since its begin.

    Attributes:
        requests: Requests that clients sent.
        received: Requests that backends received.
        drains: Drains of backends.
        faults: Violations seen on a process itself: an internal fault, a descriptor still held.
        checked_until_s: Requests sent later are not checked: the process may be killed before their
            deadlines.
    """

    requests: list[ClientRequest] = field(default_factory=list)
    received: list[BackendRequest] = field(default_factory=list)
    drains: list[DrainNotice] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    checked_until_s: float = 0.0


def find_violations(observations: Observations) -> list[str]:
    """Return a line for each violation; empty if every rule held."""
    return [
        *observations.faults,
        *_find_lost_responses(observations),
        *_find_second_responses(observations),
        *_find_duplicate_effects(observations),
        *_find_drained_backend_use(observations),
    ]


def _find_lost_responses(observations: Observations) -> list[str]:
    """Find requests whose final response was late, and forwarded ones that got none.

    A request that no backend received may go unanswered: it was sent as its connection was being
    closed, and its client sends it again.
    """
    forwarded = {row.request_id for row in observations.received}
    found = []
    for request in observations.requests:
        due_s = request.sent_at_s + request.remaining_s + ANSWER_SLACK_S
        is_checked = request.sent_at_s <= observations.checked_until_s
        is_late = request.answered_at_s is not None and request.answered_at_s > due_s
        is_missing = request.answered_at_s is None and request.request_id in forwarded
        if is_checked and (is_late or is_missing):
            end_s = request.answered_at_s or request.closed_at_s
            ended = "never" if end_s is None else f"after {end_s - request.sent_at_s:.2f} s"
            kind = "answered" if is_late else "ended without an answer"
            found.append(
                f"lost: {request.request_id} ({request.class_name}) sent at "
                f"{request.sent_at_s:.2f} s, {request.remaining_s:g} s left, {kind} {ended}"
            )
    return found


def _find_second_responses(observations: Observations) -> list[str]:
    return [
        f"two final answers: {request.request_id} got {request.statuses}"
        for request in observations.requests
        if len(request.statuses) > 1
    ]


def _find_duplicate_effects(observations: Observations) -> list[str]:
    """Find requests that may run only once, but were received completely more often."""
    single = {r.request_id for r in observations.requests if r.class_name == SINGLE_ATTEMPT_CLASS}
    runs = Counter(row.request_id for row in observations.received if row.is_complete)
    return [
        f"duplicate: {request_id} ran {count} times"
        for request_id, count in sorted(runs.items())
        if count > 1 and request_id in single
    ]


def _find_drained_backend_use(observations: Observations) -> list[str]:
    found = []
    for drain in observations.drains:
        latest_s = drain.notified_at_s + STOP_SENDING_S
        late = [
            row
            for row in observations.received
            if row.backend == drain.backend and row.began_at_s > latest_s
        ]
        if late:
            found.append(
                f"drain: {drain.backend}, draining since {drain.at_s:.2f} s, got {len(late)} "
                f"requests from {late[0].began_at_s:.2f} s on"
            )
    return found
