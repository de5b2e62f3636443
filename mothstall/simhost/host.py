"""Runs the simulator's instances of the policy; each instance receives only its own events."""

from __future__ import annotations

import traceback

from mothstall.interface import Action, ClientLeft, Event, RequestArrived
from mothstall.policy import Balancer
from mothstall.settings import SettingsError, parse
from mothstall.simwire import codec


def departures_first(events: list[Event]) -> list[Event]:
    """Return the events with `ClientLeft` first; drop requests that arrived and left in the batch.

    Guards against a retry for a client that left in the batch in which its attempt ended, and
    against a first attempt for a client that left in the batch in which its request arrived.
    """
    left = {event.request for event in events if type(event) is ClientLeft}
    if not left:
        return events
    arrived = {event.request for event in events if type(event) is RequestArrived} & left
    rest = [event for event in events if type(event) is not ClientLeft]
    if arrived:
        rest = [
            event
            for event in rest
            if not (type(event) is RequestArrived and event.request in arrived)
        ]
    return [*(ClientLeft(request) for request in sorted(left - arrived)), *rest]


class Host:
    """Runs many balancers, each an instance of the simulator.

    Attributes:
        instances: Balancers by the simulator's instance numbers.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def batch(self, now: int, records: list[codec.Record]) -> bytes:
        """Return the reply frame for a batch; a failed instance is reported and removed."""
        faults: list[tuple[int, str]] = []
        pending = self._apply_records(records, faults)
        actions: list[tuple[int, Action]] = []
        for number, events in pending.items():
            try:
                new_actions = self.instances[number].handle(now, departures_first(events))
                actions.extend((number, action) for action in new_actions)
            except Exception as why:  # noqa: BLE001 # a failed instance must not affect others
                frame = traceback.extract_tb(why.__traceback__)[-1]
                fault = f"{type(why).__name__}: {why} at {frame.name}:{frame.lineno}"
                faults.append((number, fault))
                del self.instances[number]
        return codec.encode(actions, faults)

    def _apply_records(
        self, records: list[codec.Record], faults: list[tuple[int, str]]
    ) -> dict[int, list[Event]]:
        """Start and end instances; return the events of each remaining instance, in order."""
        pending: dict[int, list[Event]] = {}
        for number, event in records:
            if isinstance(event, codec.InstanceEnded):
                self.instances.pop(number, None)
                pending.pop(number, None)
            elif isinstance(event, codec.InstanceStarted):
                pending.pop(number, None)
                try:
                    self.instances[number] = Balancer(parse(event.setup), event.seed)
                    pending[number] = []
                except SettingsError as why:
                    self.instances.pop(number, None)
                    faults.append((number, str(why)))
            elif event is not None and number in self.instances:
                pending.setdefault(number, []).append(event)
        return pending
