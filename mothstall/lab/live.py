"""Live view of a run: a table of backends and proxies, updated each second."""

from __future__ import annotations

from typing import Any, Protocol

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from mothstall.interface import NS
from mothstall.lab.judge import gain
from mothstall.lab.ledger import Answer, Ledger
from mothstall.lab.scenario import Scenario
from mothstall.lab.world import World

WINDOW_NS = 2 * NS


class Playing(Protocol):
    """A driver whose run is in progress."""

    world: World
    ledger: Ledger


class Board:
    """Shows a run: a table that is redrawn on a terminal, one line per second elsewhere."""

    def __init__(self, s: Scenario, console: Console | None = None) -> None:
        self.s = s
        self.console = console or Console()
        self._live = (
            Live(console=self.console, refresh_per_second=4) if self.console.is_terminal else None
        )

    def __enter__(self) -> Board:
        if self._live:
            self._live.start()
        return self

    def __exit__(self, *_: Any) -> None:
        if self._live:
            self._live.stop()

    def watch(self, run: Playing) -> Any:
        def show(now: int) -> None:
            if self._live:
                self._live.update(self._table(run, now))
            else:
                self.console.print(self._line(run, now), highlight=False, soft_wrap=True)

        return show

    def _line(self, run: Playing, now: int) -> str:
        worth, asked, refused = self._service(run.ledger, now)
        busy = sum(box.in_flight for box in run.world.boxes.values() if box.up)
        troubles = ", ".join(self._troubles(run, now)) or "none"
        return (
            f"{now / NS:5.0f} s  worth {worth:.2f}  {asked:4.0f}/s asked  {refused:3.0f}/s refused  "
            f"{busy:3d} in flight  trouble: {troubles}"
        )

    def _service(self, ledger: Ledger, now: int) -> tuple[float, float, float]:
        """Fraction of worth served, requests/s and refusals/s in the last judgeable window."""
        late = max(k.aim for k in self.s.classes)
        until, since = now - late, now - late - WINDOW_NS
        asked = got = count = 0.0
        for intent in reversed(ledger.intents):
            if intent.start < since:
                break
            if intent.start <= until:
                kind = self.s.classes[intent.cls]
                asked, got, count = asked + kind.worth, got + gain(kind, intent), count + 1
        refused = 0
        for row in reversed(ledger.tries):
            if row.sent < since:
                break
            refused += row.answer == Answer.REFUSED and row.sent <= until
        seconds = WINDOW_NS / NS
        return (got / asked if asked else 1.0), count / seconds, refused / seconds

    def _troubles(self, run: Playing, now: int) -> list[str]:
        return [what for since, until, what in run.ledger.marks if since <= now < until]

    def _table(self, run: Playing, now: int) -> Group:
        worth, asked, refused = self._service(run.ledger, now)
        table = Table(
            expand=False,
            title=f"{self.s.name}: {min(now / NS, self.s.seconds):.0f} of {self.s.seconds:.0f} s",
        )
        for name in ("backend", "zone", "state", "warmth", "in flight", ""):
            table.add_column(name, justify="right" if name in ("warmth", "in flight") else "left")
        for box in run.world.boxes.values():
            if not box.up and not box.silent and now - max(0, box.life.ended) > 3 * NS:
                continue
            state, style = self._state(box)
            bar = "#" * min(40, box.in_flight)
            warmth = f"{box.warmth():.0%}" if box.up else "-"
            held = str(box.in_flight if box.up else 0)
            zone = self.s.zones[box.zone]
            table.add_row(
                str(box.id), zone, Text(state, style=style), warmth, held, Text(bar, style)
            )
        down = [str(i) for i, up in enumerate(run.world.front.alive) if not up]
        foot = Text(
            f"worth {worth:.2f}   {asked:.0f}/s asked   {refused:.0f}/s refused   "
            f"proxies {self.s.proxies.count}" + (f" (down: {', '.join(down)})" if down else "")
        )
        troubles = Text("trouble: " + (", ".join(self._troubles(run, now)) or "none"), style="bold")
        return Group(table, foot, troubles)

    def _state(self, box: Any) -> tuple[str, str]:
        if not box.up:
            return ("lost" if box.silent else "gone"), "dim"
        for name, style in (("hung", "red"), ("paused", "red"), ("draining", "yellow")):
            if getattr(box, name):
                return name, style
        if box.cut_in or box.cut_out:
            return "cut", "red"
        if box.slow > 1 or box.fail_odds or box.reset_odds or box.spoil_odds:
            return "ailing", "red"
        return ("cold", "cyan") if box.warmth() < 1 else ("well", "green")
