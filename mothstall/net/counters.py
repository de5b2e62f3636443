"""Counters of the proxy's connections, requests, attempts and responses."""

from __future__ import annotations

from collections.abc import Callable, Mapping

# The meaning of each counter; operators' tools read the names.
MEANING = {
    "connections": "client connections accepted",
    "connections_shed": "client connections closed to keep within the descriptor budget",
    "connections_overdue": "client connections closed: a request incomplete for too long, or idle",
    "requests": "requests accepted and passed to the balancer",
    "requests_bad": "requests answered 4xx: malformed, too long, or with the id of an open request",
    "requests_malformed": "requests that are not HTTP: answered 400, and the connection closed",
    "requests_over_memory": "incomplete requests rejected: all of them took too much memory",
    "requests_left": "requests whose client left before its response",
    "answers_ok": "200 responses forwarded",
    "answers_refused": "503 responses: rejected, safe to retry",
    "answers_failed": "502 and 504 responses",
    "answers_overdue": "requests failed because the balancer did not decide by their deadline",
    "attempts": "attempts passed to a backend's actor",
    "attempts_ok": "attempts answered 200",
    "attempts_error": "attempts answered with an error or an unreadable response",
    "attempts_rejected": "attempts that the backend rejected before executing them",
    "attempts_timeout": "attempts that timed out",
    "attempts_connect_failed": "attempts that got no connection or were not written completely",
    "attempts_reset": "attempts whose connection was lost after the request was written",
    "attempts_cancelled": "attempts cancelled",
    "attempts_not_sent": "attempts never sent: the request or the backend's incarnation had ended",
    "probes": "load probes sent",
    "answers_with_more": "valid responses followed by more bytes: forwarded, connection closed",
    "answers_unsolicited": "input of a backend with no request open: connection closed",
    "answers_cut": "long responses that the backend truncated while they were relayed",
    "handovers": "takeovers by this process from a predecessor process of the same proxy",
    "handovers_failed": "handovers from a predecessor that failed",
    "clients_adopted": "client connections taken over from the predecessor",
    "answers_adopted": "long responses taken over from the predecessor while in progress",
    "answers_handed_over": "long responses handed over to the successor while in progress",
    "clients_handed_over": "client connections handed over to the successor",
    "unreadable": "unreadable responses of backends or of discovery",
    "discovery_calls": "calls to discovery",
    "discovery_failures": "calls to discovery that failed",
    "reloads": "configurations reloaded and applied",
    "reloads_failed": "reloads rejected because the configuration is invalid: the old one stays",
    "list_updates": "endpoint lists and deltas received from discovery",
    "faults": "unexpected exceptions: caught, logged, and the process goes on",
    "checks_broken": "violated invariants",
}


class Counters:
    """One counter for each name in MEANING; `add` raises KeyError for any other name.

    Attributes:
        values: The counters by name.
        extra: Returns further counters, those of the fleet's agent; None without one.
    """

    def __init__(self) -> None:
        self.values = dict.fromkeys(MEANING, 0)
        self.extra: Callable[[], Mapping[str, int]] | None = None

    def add(self, name: str, count: int = 1) -> None:
        """Increase the counter `name` by `count`."""
        self.values[name] += count

    def text(self) -> str:
        """Return all counters, one per line."""
        extra = self.extra() if self.extra else {}
        rows = {**self.values, **extra}
        return "".join(f"{name} {count}\n" for name, count in rows.items())
