"""The actor around the balancer: owns the balancer, the table of open requests and the timers.

Each batch of messages becomes one call of `Balancer.handle(now, events)`, whose actions are
executed in order. This module makes no balancing decisions.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from mothstall import interface as io
from mothstall.config import Config
from mothstall.interface import AttemptResult, Health, UpdateScope
from mothstall.net import protocol
from mothstall.net.actor import Actor
from mothstall.net.backend_side import messages as backend_messages
from mothstall.net.backend_side.backend import Backend
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider_messages import (
    PLAIN_TEXT_HEADER,
    AttemptAwaitsBody,
    ClientLeft,
    ClientResponse,
    DeciderMessage,
    PeerProcessEvent,
    RequestArrived,
    RequestOverdue,
    ResponseRelayed,
    TimerDue,
)
from mothstall.net.discovery.discovery import Discovery, EndpointsUpdated, PollOnce, SetWatching
from mothstall.net.invariants import check_invariant
from mothstall.net.lifecycle import ResponseLimit
from mothstall.net.metrics import Outcome, RequestMetrics
from mothstall.net.pending_request import PendingRequest
from mothstall.net.response_deadlines import ResponseDeadlines
from mothstall.net.spent_ids import SpentIds
from mothstall.policy import Balancer

log = logging.getLogger("mothstall.decider")


class Decider(Actor[DeciderMessage]):
    """The actor that executes the balancer's actions.

    Attributes:
        endpoint_rows_received: Rows of endpoint lists and of deltas received so far.
        endpoints_known: Set once the decider has an endpoint list that it may serve with.
        on_attempt_ended: Called when an attempt ends, with its message and request class index.
    """

    def __init__(
        self,
        config: Config,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        clock: Clock,
        metrics: RequestMetrics,
        make_backend: Callable[[int, protocol.ListedEndpoint], Backend],
    ) -> None:
        super().__init__("decider", loop, counters)
        self._config = config
        self._clock = clock
        self._make_backend = make_backend
        self._metrics = metrics
        self._balancer = Balancer(config.settings, config.seed)
        self._restarts = 0
        self._pending: dict[int, PendingRequest] = {}
        self._deadlines = ResponseDeadlines(clock)
        self._spent_ids = SpentIds(config.settings.classes)
        # Entries to check for removal once the actions of this batch are executed.
        self._ended_entries: list[PendingRequest] = []
        self._backends: dict[int, Backend] = {}
        self._endpoints: dict[int, io.Endpoint] = {}
        self._version = 0
        self.endpoint_rows_received = 0
        self._discovery: Discovery | None = None
        self.endpoints_known = asyncio.Event()
        self.on_attempt_ended: Callable[[backend_messages.AttemptEnded, int], None] | None = None

    def set_discovery(self, discovery: Discovery) -> None:
        """Set the actor that polls and watches endpoints."""
        self._discovery = discovery

    def inherited_state(self) -> io.InheritedState:
        """Return the state that a successor process inherits."""
        return self._balancer.export_state()

    def limit_responses(self, limit: ResponseLimit | None) -> None:
        """Apply a limit to all open requests and to those that still arrive; None lifts it.

        Guards against a process that ends, or a drain that should be over, while a request with a
        longer deadline is open, or one whose long body came slowly or is not read by its backend.
        Linear in the number of open requests.
        """
        self._deadlines.limit = limit
        now = self._clock.now()
        for request, entry in self._pending.items():
            if not entry.is_answered:
                entry.deadline_ns = self._deadlines.deadline_ns(entry, now)
                self._start_backstop(request, entry)

    def listed_count(self) -> int:
        """Number of listed backends."""
        return len(self._endpoints)

    def out_of_rotation_count(self) -> int:
        """Number of listed backends that get no new requests because they drain or are ejected."""
        draining = sum(entry.health != Health.READY for entry in self._endpoints.values())
        return draining + self._balancer.out_of_rotation()

    # Messages to events

    def receive(self, batch: list[DeciderMessage]) -> None:
        """Pass the batch to the balancer as events, and execute its actions."""
        now = self._clock.now()
        events: list[io.Event] = []
        for message in batch:
            event = self._to_event(message, now)
            if event:
                events.append(event)
        if events:
            self._execute(self._balancer.handle(now, events), now)
        self._remove_ended()

    def _to_event(self, message: DeciderMessage, now: int) -> io.Event | None:
        """Update the table of requests by a message; return the event for the balancer, if any."""
        if isinstance(message, backend_messages.AttemptEnded):
            return self._on_ended(message)
        if isinstance(message, RequestArrived):
            return self._on_arrived(message, now)
        if isinstance(message, TimerDue):
            return io.TimerFired(message.token)
        if isinstance(message, EndpointsUpdated):
            return self._on_endpoints_updated(message)
        if isinstance(message, ClientLeft):
            return self._on_client_left(message.request)
        if isinstance(message, RequestOverdue):
            return self._on_overdue(message.request)
        if isinstance(message, ResponseRelayed):
            self._on_relay_ended(message.request, message.outcome)
            return None
        return self._to_rare_event(message, now)

    def _to_rare_event(
        self,
        message: AttemptAwaitsBody
        | PeerProcessEvent
        | backend_messages.AttemptWritten
        | backend_messages.ResponseCut
        | backend_messages.LoadProbeEnded,
        now: int,
    ) -> io.Event | None:
        if isinstance(message, AttemptAwaitsBody):
            return io.AttemptAwaitsBody(message.request, message.attempt)
        if isinstance(message, PeerProcessEvent):
            return message.event
        if isinstance(message, backend_messages.AttemptWritten):
            return self._on_written(message, now)
        if isinstance(message, backend_messages.ResponseCut):
            return io.ResponseCut(message.backend)
        return io.LoadProbeEnded(message.backend, message.result, message.latency_ns, message.load)

    def _on_arrived(self, message: RequestArrived, now: int) -> io.Event | None:
        inbound = message.client_request
        if self._spent_ids.rejects(message, now):
            self.counters.add("requests_bad")
            return None
        inbound.received_ns = message.received_ns
        entry = PendingRequest(message, inbound.deadline_ns(now), now)
        entry.deadline_ns = self._deadlines.deadline_ns(entry, now)
        self._pending[message.request] = entry
        self._start_backstop(message.request, entry)
        self._metrics.start_request(inbound.class_index)
        return io.RequestArrived(
            message.request,
            inbound.class_index,
            inbound.tenant_index,
            0,
            entry.deadline_ns - now,
            inbound.cost_ns,
            inbound.is_retry,
        )

    def _start_backstop(self, request: int, entry: PendingRequest) -> None:
        if entry.backstop is not None:
            entry.backstop.cancel()
        overdue_at = self._clock.loop_time(entry.deadline_ns + self._config.answer_slack_ns // 2)
        entry.backstop = self.loop.call_at(overdue_at, self.tell, RequestOverdue(request))

    def _on_written(self, message: backend_messages.AttemptWritten, now: int) -> io.Event | None:
        entry = self._pending.get(message.request)
        if entry is None or entry.is_answered:
            return None
        entry.deadline_ns = self._deadlines.deadline_ns(entry, now)
        self._start_backstop(message.request, entry)
        left = max(1, entry.deadline_ns - now)
        return io.AttemptWritten(message.request, message.attempt, left)

    def _on_relay_ended(self, request: int, outcome: Outcome) -> None:
        entry = self._pending.get(request)
        if entry is not None and entry.is_relaying:
            entry.is_relaying = False
            if outcome is not Outcome.FULFILLED:
                self._spent_ids.on_client_unserved(entry, self._clock.now())
            self._metrics.end_request(entry.arrived.client_request.class_index, outcome)
            self._remove_when_done(entry)

    def _on_ended(self, message: backend_messages.AttemptEnded) -> io.Event:
        entry = self._pending.get(message.request)
        is_finished = True
        is_repeatable = True
        if self.on_attempt_ended is not None and entry is not None:
            self.on_attempt_ended(message, entry.arrived.client_request.class_index)
        if message.response and message.response.stream and (entry is None or entry.is_answered):
            message.response.stream.drop()
        if entry:
            self._spent_ids.on_attempt_ended(entry, message.result)
            upload = entry.arrived.client_request.stream
            is_repeatable = upload is None or not upload.is_opened
            entry.in_flight -= 1
            entry.has_timed_out = message.result == AttemptResult.TIMEOUT
            if not entry.is_answered and message.response and message.result == AttemptResult.OK:
                response = message.response
                reply = ClientResponse(
                    200, response.body, response.head, response.stream, response.length
                )
                if response.stream is None:
                    self._answer(entry, reply, Outcome.FULFILLED)
                else:
                    self._begin_relay(entry, reply)
            is_finished = entry.is_answered
            self._remove_when_done(entry)
        return io.AttemptEnded(
            message.request,
            message.attempt,
            message.backend,
            message.result,
            message.latency_ns,
            is_finished,
            message.load,
            is_repeatable,
        )

    def _on_client_left(self, request: int) -> io.Event | None:
        entry = self._pending.get(request)
        self._on_relay_ended(request, Outcome.LEFT)
        if entry is None or entry.is_answered:
            return None
        self._spent_ids.on_client_unserved(entry, self._clock.now())
        self._answer(entry, None, Outcome.LEFT)
        self._remove_when_done(entry)
        return io.ClientLeft(request)

    def _on_overdue(self, request: int) -> io.Event | None:
        """Fail a request that the balancer did not decide on in time."""
        entry = self._pending.get(request)
        if entry is None or entry.is_answered:
            return None
        if entry.arrived.client_request.stream is not None:
            deadline_ns = self._deadlines.deadline_ns(entry, self._clock.now())
            if deadline_ns > entry.deadline_ns:
                entry.deadline_ns = deadline_ns
                self._start_backstop(request, entry)
                return None
        self.counters.add("answers_overdue")
        log.warning(
            "request overdue", extra={"kv": {"request": request, "attempts": len(entry.attempts)}}
        )
        self._fail(entry)
        return io.ClientLeft(request)

    def _on_endpoints_updated(self, message: EndpointsUpdated) -> io.Event | None:
        update = message.update
        if update is None:
            if self._endpoints:
                self.endpoints_known.set()  # serve with the previous list
            return io.EndpointUpdate(message.scope, self._version, [], int(message.took_s * io.NS))
        self.counters.add("list_updates")
        check_invariant(
            update.version >= self._version, "versions never go backward", self.counters
        )
        self._version = update.version
        self.endpoint_rows_received += len(update.members)
        if message.scope != UpdateScope.DELTA:
            listed = {m.endpoint.backend for m in update.members}
            for number in [n for n in self._backends if n not in listed]:
                self._remove_backend(number)
        for member in update.members:
            self._update_backend(member)
        # Guards against serving with a cached list where discovery pushes updates: the agent may
        # have a newer list, whose drains have to be obeyed from the start.
        if message.scope != UpdateScope.CACHED or (
            update.members and not self._config.settings.discovery_push
        ):
            self.endpoints_known.set()
        return io.EndpointUpdate(
            message.scope, update.version, [m.endpoint for m in update.members]
        )

    def _update_backend(self, member: protocol.ListedEndpoint) -> None:
        entry = member.endpoint
        if entry.health == Health.GONE:
            self._remove_backend(entry.backend)
            return
        self._endpoints[entry.backend] = entry
        actor = self._backends.get(entry.backend)
        if actor is None:
            self._backends[entry.backend] = self._make_backend(entry.backend, member)
            return
        check_invariant(actor.ident == member.id, "one number for each backend", self.counters)
        actor.tell(backend_messages.AddressChanged(member.address, entry.started_ns))
        if entry.health == Health.DRAINING:
            actor.tell(backend_messages.DrainBackend())

    def _remove_backend(self, number: int) -> None:
        """Drain a backend that is no longer listed; its attempts in flight continue."""
        self._endpoints.pop(number, None)
        actor = self._backends.pop(number, None)
        if actor:
            actor.tell(backend_messages.DrainBackend())

    # Actions

    def _execute(self, actions: list[io.Action], now: int) -> None:
        for action in actions:
            if isinstance(action, io.SendAttempt):
                self._send(action, now)
            elif isinstance(action, io.SetTimer):
                due_s = self._clock.loop_time(action.at_ns)
                self.loop.call_at(due_s, self.tell, TimerDue(action.token))
            elif isinstance(action, io.CancelAttempt):
                self._cancel(action)
            elif isinstance(action, io.Reject):
                self._reject(action)
            elif isinstance(action, io.FailRequest):
                entry = self._pending.get(action.request)
                if entry is not None and not entry.is_answered:
                    self._fail(entry)
            else:
                self._execute_other(action)

    def _execute_other(
        self,
        action: io.ProbeLoad
        | io.CloseIdleConnections
        | io.WatchEndpoints
        | io.PollEndpoints
        | io.Log,
    ) -> None:
        """Execute an action that belongs to no request."""
        if isinstance(action, io.ProbeLoad):
            self._tell_backend(action.backend, backend_messages.SendProbe())
        elif isinstance(action, io.CloseIdleConnections):
            self._tell_backend(action.backend, backend_messages.CloseIdleConnections())
        elif isinstance(action, io.WatchEndpoints):
            if self._discovery:
                self._discovery.tell(SetWatching(action.is_on))
        elif isinstance(action, io.PollEndpoints):
            if self._discovery:
                self._discovery.tell(PollOnce())
        else:
            log.info("module says", extra={"kv": {"text": action.text}})

    def _tell_backend(self, number: int, command: backend_messages.BackendCommand) -> None:
        actor = self._backends.get(number)
        if actor is not None:
            actor.tell(command)

    def _cancel(self, action: io.CancelAttempt) -> None:
        entry = self._pending.get(action.request)
        actor = entry.attempts[action.attempt] if entry else None
        if actor is not None:
            actor.tell(backend_messages.CancelAttempt(action.request, action.attempt))

    def _send(self, action: io.SendAttempt, now: int) -> None:
        entry = self._pending.get(action.request)
        if entry is None:
            return
        number = len(entry.attempts)
        actor = self._backends.get(action.backend)
        inbound = entry.arrived.client_request
        is_late = now >= entry.deadline_ns and inbound.stream is None
        is_spent = inbound.stream is not None and (inbound.stream.is_opened or entry.in_flight > 0)
        if entry.is_answered or number >= self._config.settings.max_attempts or is_late or is_spent:
            actor = None
        entry.attempts.append(actor)
        entry.in_flight += 1
        if actor is None:
            self.counters.add("attempts_not_sent")
            self.tell(
                backend_messages.AttemptEnded(
                    action.request, number, action.backend, AttemptResult.NOT_SENT, 0, (), None
                )
            )
            return
        due = entry.deadline_ns
        if action.timeout_ns:
            due = min(due, now + action.timeout_ns)
        self.counters.add("attempts")
        if inbound.stream is not None:
            self.tell(AttemptAwaitsBody(action.request, number))
        actor.tell(
            backend_messages.SendAttempt(action.request, number, inbound, due, action.write_by_ns)
        )

    def _reject(self, action: io.Reject) -> None:
        entry = self._pending.get(action.request)
        if entry is None or entry.is_answered:
            return
        reply = ClientResponse(
            503,
            b"refused\n",
            PLAIN_TEXT_HEADER + protocol.retry_after_header(action.retry_after_ns),
        )
        self._answer(entry, reply, Outcome.THROTTLED)
        self._remove_when_done(entry)

    def _fail(self, entry: PendingRequest) -> None:
        self._answer(
            entry, ClientResponse(504 if entry.has_timed_out else 502, b"failed\n"), Outcome.FAULTED
        )
        self._remove_when_done(entry)

    def _answer(
        self, entry: PendingRequest, reply: ClientResponse | None, outcome: Outcome
    ) -> None:
        check_invariant(not entry.is_answered, "one final answer", self.counters)
        self._metrics.end_request(entry.arrived.client_request.class_index, outcome)
        entry.is_answered = True
        if entry.backstop:
            entry.backstop.cancel()
        if entry.in_flight:
            # Guards against sending an attempt that still waits for a connection after its request
            # is answered, where the settings don't allow the balancer to cancel attempts.
            for number, actor in enumerate(entry.attempts):
                if actor:
                    actor.tell(backend_messages.WithholdAttempt(entry.arrived.request, number))
        if reply:
            entry.arrived.reply(reply)

    def _begin_relay(self, entry: PendingRequest, reply: ClientResponse) -> None:
        """Begin to relay a long response; `ResponseRelayed` reports how it ended."""
        check_invariant(not entry.is_answered, "one final answer", self.counters)
        entry.is_answered = True
        entry.is_relaying = True
        if entry.backstop:
            entry.backstop.cancel()
        entry.arrived.reply(reply)

    def _remove_when_done(self, entry: PendingRequest) -> None:
        """Remove an entry once it is complete, but only after the balancer has handled this batch.

        Guards against an attempt that the balancer sends in the same batch in which the client
        leaves: without an `AttemptEnded` event the balancer would count it as in flight forever.
        """
        self._ended_entries.append(entry)

    def _remove_ended(self) -> None:
        ended_entries = self._ended_entries
        self._ended_entries = []
        for entry in ended_entries:
            if entry.is_answered and not entry.in_flight and not entry.is_relaying:
                self._pending.pop(entry.arrived.request, None)

    def recover(self, batch: list[DeciderMessage], error: Exception) -> None:
        """Fail all open requests and create a new balancer: the old one's state may be corrupt."""
        self._restarts += 1
        for message in batch:
            if isinstance(message, RequestArrived) and message.request not in self._pending:
                self._on_arrived(message, self._clock.now())
        for entry in list(self._pending.values()):
            if not entry.is_answered:
                self._fail(entry)
            for number, actor in enumerate(entry.attempts):
                if actor:
                    actor.tell(backend_messages.CancelAttempt(entry.arrived.request, number))
        self._balancer = Balancer(self._config.settings, self._config.seed + self._restarts)
        now = self._clock.now()
        cached = io.EndpointUpdate(
            UpdateScope.CACHED, self._version, list(self._endpoints.values())
        )
        self._execute(self._balancer.handle(now, [cached]), now)
        self._remove_ended()
