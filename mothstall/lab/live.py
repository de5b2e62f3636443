"""Live view of a run: a table of backends and proxies, updated each second."""

from __future__ import annotations

from typing import Any, Protocol

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from mothstall.interface import NS
from mothstall.lab.judge import earned_worth
from mothstall.lab.ledger import Ledger, Outcome
from mothstall.lab.scenario import Scenario
from mothstall.lab.world import World

WINDOW_NS = 2 * NS


class ActiveRun(Protocol):
    """A driver whose run is in progress."""

    world: World
    ledger: Ledger


class LiveView:
    """Shows a run: a table that is redrawn on a terminal, one line per second elsewhere."""

    def __init__(self, s: Scenario, console: Console | None = None) -> None:
        self.s = s
        self.console = console or Console()
        self._live = (
            Live(console=self.console, refresh_per_second=4) if self.console.is_terminal else None
        )

    def __enter__(self) -> LiveView:
        if self._live:
            self._live.start()
        return self

    def __exit__(self, *_: Any) -> None:
        if self._live:
            self._live.stop()

    def watch(self, run: ActiveRun) -> Any:
        def show(now: int) -> None:
            if self._live:
                self._live.update(self._table(run, now))
            else:
                self.console.print(self._line(run, now), highlight=False, soft_wrap=True)

        return show

    def _line(self, run: ActiveRun, now: int) -> str:
        worth, requested, refused = self._recent_service(run.ledger, now)
        in_flight = sum(backend.in_flight for backend in run.world.backends.values() if backend.up)
        troubles = ", ".join(self._troubles(run, now)) or "none"
        return (
            f"{now / NS:5.0f} s  worth {worth:.2f}  {requested:4.0f}/s asked  {refused:3.0f}/s refused  "
            f"{in_flight:3d} in flight  trouble: {troubles}"
        )

    def _recent_service(self, ledger: Ledger, now: int) -> tuple[float, float, float]:
        """Fraction of worth served, requests/s and refusals/s in the last judgeable window."""
        judged_after = max(k.aim for k in self.s.classes)
        until, since = now - judged_after, now - judged_after - WINDOW_NS
        requested = served = count = 0.0
        for intent in reversed(ledger.intents):
            if intent.start < since:
                break
            if intent.start <= until:
                kind = self.s.classes[intent.cls]
                requested, served, count = (
                    requested + kind.worth,
                    served + earned_worth(kind, intent),
                    count + 1,
                )
        refused = 0
        for row in reversed(ledger.requests):
            if row.sent < since:
                break
            refused += row.outcome == Outcome.REFUSED and row.sent <= until
        seconds = WINDOW_NS / NS
        return (served / requested if requested else 1.0), count / seconds, refused / seconds

    def _troubles(self, run: ActiveRun, now: int) -> list[str]:
        return [what for since, until, what in run.ledger.fault_spans if since <= now < until]

    def _table(self, run: ActiveRun, now: int) -> Group:
        worth, requested, refused = self._recent_service(run.ledger, now)
        table = Table(
            expand=False,
            title=f"{self.s.name}: {min(now / NS, self.s.seconds):.0f} of {self.s.seconds:.0f} s",
        )
        for name in ("backend", "zone", "state", "warmth", "in flight", ""):
            table.add_column(name, justify="right" if name in ("warmth", "in flight") else "left")
        for backend in run.world.backends.values():
            if (
                not backend.up
                and not backend.silent
                and now - max(0, backend.incarnation.ended) > 3 * NS
            ):
                continue
            state, style = self._state(backend)
            bar = "#" * min(40, backend.in_flight)
            warmth = f"{backend.warmth():.0%}" if backend.up else "-"
            held = str(backend.in_flight if backend.up else 0)
            zone = self.s.zones[backend.zone]
            table.add_row(
                str(backend.id), zone, Text(state, style=style), warmth, held, Text(bar, style)
            )
        down = [str(i) for i, up in enumerate(run.world.proxy_selector.alive) if not up]
        footer = Text(
            f"worth {worth:.2f}   {requested:.0f}/s asked   {refused:.0f}/s refused   "
            f"proxies {self.s.proxies.count}" + (f" (down: {', '.join(down)})" if down else "")
        )
        troubles = Text("trouble: " + (", ".join(self._troubles(run, now)) or "none"), style="bold")
        return Group(table, footer, troubles)

    def _state(self, backend: Any) -> tuple[str, str]:
        if not backend.up:
            return ("lost" if backend.silent else "gone"), "dim"
        for name, style in (("hung", "red"), ("paused", "red"), ("draining", "yellow")):
            if getattr(backend, name):
                return name, style
        if backend.cut_in or backend.cut_out:
            return "cut", "red"
        if backend.slowdown > 1 or backend.fail_odds or backend.reset_odds or backend.spoil_odds:
            return "ailing", "red"
        return ("cold", "cyan") if backend.warmth() < 1 else ("well", "green")
