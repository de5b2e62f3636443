"""One table of instances; each sees its own events only."""

from __future__ import annotations

import traceback

from mothstall.choice import Balancer
from mothstall.interface import Action, Event
from mothstall.settings import SettingsError, parse
from mothstall.simwire import codec


class Host:
    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def batch(self, now: int, records: list[codec.Record]) -> bytes:
        """The reply frame for one batch; an instance that breaks is reported and dropped."""
        pending: dict[int, list[Event]] = {}
        actions: list[tuple[int, Action]] = []
        faults: list[tuple[int, str]] = []
        for inst, event in records:
            if isinstance(event, codec.Teardown):
                self.instances.pop(inst, None)
                pending.pop(inst, None)
            elif isinstance(event, codec.Boot):
                pending.pop(inst, None)
                try:
                    self.instances[inst] = Balancer(parse(event.setup), event.seed)
                    pending[inst] = []
                except SettingsError as why:
                    self.instances.pop(inst, None)
                    faults.append((inst, str(why)))
            elif event is not None and inst in self.instances:
                pending.setdefault(inst, []).append(event)
        for inst, events in pending.items():
            try:
                actions.extend((inst, action) for action in self.instances[inst].handle(now, events))
            except Exception as why:
                # A broken instance must not take the others with it; the day is told which and why.
                place = traceback.extract_tb(why.__traceback__)[-1]
                faults.append((inst, f"{type(why).__name__}: {why} at {place.name}:{place.lineno}"))
                del self.instances[inst]
        return codec.encode(actions, faults)
