"""HTML report of one run: figures, breaches and inline SVG plots, without external resources."""

from __future__ import annotations

import html
import io
import math
from collections import Counter
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from mothstall.interface import NS
from mothstall.lab.judge import RULES, earned_worth
from mothstall.lab.ledger import Outcome
from mothstall.lab.runs import Result

WIDTH, HEIGHT = 9.6, 2.7
STEP_NS = NS // 2
PERCENTILES = (0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99)
COLOURS = ("#2a6f97", "#e07a1f", "#3a8f4d", "#8b5fa8", "#b33951", "#6b7280", "#c9a227", "#16a3a3")
RESULT_COLOURS = {
    Outcome.REFUSED: "#e0a33a",
    Outcome.FAILED: "#c0392b",
    Outcome.LEFT: "#8e8e93",
    Outcome.UNREACHED: "#6d597a",
    Outcome.BROKEN: "#45302c",
    Outcome.SILENT: "#111111",
}
CSS = """
:root{color-scheme:light}
body{font:15px/1.5 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;
 color:#1c2733;background:#fff}
h1{font-size:1.5rem;margin:0}h2{font-size:1.05rem;margin:2rem 0 .4rem}p{margin:.3rem 0}
.sub{color:#5b6b7b}.kept{color:#1d7a3e;font-weight:600}.broken{color:#b3261e;font-weight:600}
table{border-collapse:collapse;margin:.5rem 0}
th,td{padding:.2rem .8rem .2rem 0;text-align:left;font-variant-numeric:tabular-nums}
th{color:#5b6b7b;font-weight:600;border-bottom:1px solid #d7dee5}td.n{text-align:right}
.tiles{display:flex;flex-wrap:wrap;gap:.8rem;margin:1rem 0}
.tile{border:1px solid #d7dee5;border-radius:8px;padding:.6rem 1rem;min-width:8rem}
.tile b{display:block;font-size:1.4rem}svg{max-width:100%;height:auto}
"""


def write(result: Result, path: Path) -> None:
    """Writes the page. Raises OSError."""
    path.write_text(page(result), encoding="utf-8")


def page(result: Result) -> str:
    matplotlib.rcParams.update(
        {"font.size": 9, "axes.spines.top": False, "axes.spines.right": False}
    )
    s, v = result.scenario, result.verdict
    esc = html.escape
    simulated = "simulated" if result.driver == "virtual" else "real proxies on loopback"
    rows = [
        "<!doctype html><html lang='en'><meta charset='utf-8'>",
        f"<title>mothstall lab: {esc(s.name)}</title><style>{CSS}</style>",
        f"<h1>{esc(s.name)}</h1><p>{esc(s.tries)}</p>",
        f"<p class='sub'>{esc(result.policy)}, seed {result.seed}, {s.seconds:g} s, {simulated}; "
        f"digest {result.digest}</p>",
        _rules(result),
        _tiles(result),
        "<h2>Fraction of the requested worth that was served</h2>",
        _svg(_worth(result), "worth"),
        "<h2>Latency of served requests, measured from the intended start</h2>",
        _svg(_latency(result), "latency"),
        _latency_table(result),
        "<h2>Requests in flight at each backend</h2>",
        _svg(_backends(result, 0), "boxes"),
        "<h2>Warmth of each backend</h2>",
        _svg(_backends(result, 1), "warmth"),
        "<h2>Tries without a good response</h2>",
        _svg(_unsuccessful_tries(result), "ends"),
        _result_tables(result),
    ]
    if v.violations:
        rows.append(_breaches(result))
    return "\n".join(rows) + "\n"


def _rules(result: Result) -> str:
    v = result.verdict
    if not v.broken:
        text = "<p class='kept'>All four rules kept.</p>"
    else:
        kinds = ", ".join(f"{html.escape(kind)} {n}" for kind, n in sorted(v.rules.items()))
        text = f"<p class='broken'>Rules broken: {kinds}.</p>"
    if result.notes.get("late"):
        text += f"<p class='broken'>This machine ran late: {v.excused} breaches near it do not count.</p>"
    return text


def _tiles(result: Result) -> str:
    v = result.verdict
    recover = "-" if v.recover_s is None else f"{v.recover_s:.1f} s"
    tiles = [
        ("worth", f"{v.worth:.3f}"),
        ("worst 10 s", f"{v.worst_10s:.3f}"),
        ("recovered after", recover),
        ("wasted work", f"{1 - v.wasted.get('served', 0.0) if v.wasted else 0.0:.1%}"),
        ("requests", f"{v.intents}"),
        ("tries, attempts", f"{v.requests}, {v.attempts}"),
    ]
    return (
        "<div class='tiles'>"
        + "".join(f"<div class='tile'>{k}<b>{x}</b></div>" for k, x in tiles)
        + "</div>"
    )


def _figure(height: float = HEIGHT) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(WIDTH, height), layout="constrained")
    return figure, figure.subplots()


def _svg(figure: Figure, salt: str) -> str:
    """The figure as an SVG element; the salt keeps its ids apart from those of other figures."""
    out = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": salt, "svg.fonttype": "none"}):
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _mark_troubles(axes: Axes, result: Result) -> None:
    """Shades the troubles; their names stand above the plot, overlapping ones on separate lines."""
    ends: list[int] = []
    for since, until, what in sorted(result.ledger.fault_spans):
        until = min(until, result.scenario.total_ns)
        line = next((i for i, end in enumerate(ends) if end <= since), len(ends))
        ends[line : line + 1] = [until]
        axes.axvspan(since / NS, until / NS, color="#b33951", alpha=0.09, lw=0)
        place = (since / NS, 1.02 + 0.075 * line)
        axes.annotate(
            what, place, xycoords=("data", "axes fraction"), fontsize=7.5, color="#8a2c40"
        )
    axes.set_xlim(0, result.scenario.seconds)
    axes.set_xlabel("seconds")
    # No layout engine reserves space for the names above the axes.
    figure = axes.figure
    assert isinstance(figure, Figure)
    figure.set_layout_engine(None)
    figure.subplots_adjust(left=0.065, right=0.985, bottom=0.17, top=0.97 - 0.06 * len(ends))


def _legend(axes: Axes, columns: int, place: Any) -> None:
    if axes.get_legend_handles_labels()[0]:
        axes.legend(ncols=columns, fontsize=8, frameon=False, loc=place)


def _worth(result: Result) -> Figure:
    figure, axes = _figure(3.2)
    s = result.scenario
    for i, kind in enumerate(s.classes):
        steps = int(s.total_ns // NS) + 1
        requested, served = [0.0] * steps, [0.0] * steps
        for intent in result.ledger.intents:
            if intent.cls == i:
                requested[intent.start // NS] += kind.worth
                served[intent.start // NS] += earned_worth(kind, intent)
        points = [
            (t + 0.5, g / a) for t, (a, g) in enumerate(zip(requested, served, strict=True)) if a
        ]
        axes.plot(
            *zip(*points, strict=True),
            color=COLOURS[i % len(COLOURS)],
            lw=0.9,
            alpha=0.55,
            label=kind.name,
        )
    rows = result.verdict.worth_by_time
    whole = [(t, g / a) for t, a, g in rows]
    axes.plot(*zip(*whole, strict=True), color="#1c2733", lw=1.6, label="all")
    axes.set_ylim(0, 1.04)
    _legend(axes, len(s.classes) + 1, "lower right")
    _mark_troubles(axes, result)
    return figure


def _latency(result: Result) -> Figure:
    figure, axes = _figure()
    for i, (name, h) in enumerate(result.verdict.histograms.items()):
        if h.get_total_count():
            xs = [-math.log10(1 - p / 100) for p in PERCENTILES]
            ys = [max(0.1, h.get_value_at_percentile(p) / 1000) for p in PERCENTILES]
            axes.plot(xs, ys, marker="o", ms=3, lw=1.4, color=COLOURS[i % len(COLOURS)], label=name)
            aim = result.scenario.classes[i].aim / 1e6
            axes.axhline(aim, color=COLOURS[i % len(COLOURS)], lw=0.6, ls=":")
    axes.set_xticks([-math.log10(1 - p / 100) for p in (0, 50, 90, 99, 99.9, 99.99)])
    axes.set_xticklabels(["0", "50", "90", "99", "99.9", "99.99"])
    axes.set_xlabel("percentile (dotted: the objective)")
    axes.set_yscale("log")
    axes.set_ylabel("ms")
    _legend(axes, 4, "upper left")
    return figure


def _latency_table(result: Result) -> str:
    head = "".join(
        f"<th>{h}</th>" for h in ("class", "worth", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms")
    )
    rows = []
    for name, q in result.verdict.latency.items():
        cells = "".join(f"<td class='n'>{q[p]:.0f}</td>" for p in ("p50", "p90", "p99", "p99.9"))
        worth = result.verdict.by_class[name]
        rows.append(f"<tr><td>{html.escape(name)}</td><td class='n'>{worth:.3f}</td>{cells}</tr>")
    return f"<table><tr>{head}</tr>{''.join(rows)}</table>"


def _backends(result: Result, which: int) -> Figure:
    """Requests in flight or warmth by backend and time; white while a backend is absent."""
    samples = result.ledger.samples
    backends = sorted({backend for _, rows in samples for backend in rows})
    figure, axes = _figure(max(1.6, min(7.0, 0.7 + 0.17 * len(backends))))
    grid = [
        [rows[backend][which] if backend in rows else math.nan for _, rows in samples]
        for backend in backends
    ]
    end = samples[-1][0] / NS if samples else 1.0
    low, high = (0, None) if which == 0 else (0, 1)
    image = axes.imshow(
        grid,
        aspect="auto",
        interpolation="nearest",
        cmap="YlOrBr" if which == 0 else "viridis",
        vmin=low,
        vmax=high,
        extent=(0, end, len(backends) - 0.5, -0.5),
    )
    if len(backends) <= 30:
        axes.set_yticks(range(len(backends)))
        axes.set_yticklabels([str(backend) for backend in backends], fontsize=7)
    else:
        axes.set_ylabel("backends")
    figure.colorbar(image, ax=axes, pad=0.01, label="in flight" if which == 0 else "warmth")
    axes.set_xlim(0, result.scenario.seconds)
    axes.set_xlabel("seconds")
    return figure


def _unsuccessful_tries(result: Result) -> Figure:
    figure, axes = _figure()
    steps = int(result.scenario.total_ns // NS) + 2
    counts = {end: [0] * steps for end in RESULT_COLOURS}
    for row in result.ledger.requests:
        if row.outcome in counts and row.at >= 0:
            counts[row.outcome][min(steps - 1, row.at // NS)] += 1
    base = [0] * steps
    for end, colour in RESULT_COLOURS.items():
        if any(counts[end]):
            axes.bar(
                [t + 0.5 for t in range(steps)],
                counts[end],
                1.0,
                bottom=base,
                color=colour,
                label=end.name.lower(),
            )
            base = [a + b for a, b in zip(base, counts[end], strict=True)]
    axes.set_ylabel("tries per second")
    _legend(axes, len(RESULT_COLOURS), "upper right")
    _mark_troubles(axes, result)
    return figure


def _result_tables(result: Result) -> str:
    """Tables of tries, served tries and other results, by class and by tenant."""
    s = result.scenario
    tables = []
    for label, names, at in (
        ("class", [k.name for k in s.classes], "cls"),
        ("tenant", [t.name for t in s.tenants], "tenant"),
    ):
        if not names:
            continue
        requested = Counter(getattr(row.intent, at) for row in result.ledger.requests)
        ends = Counter((getattr(row.intent, at), row.outcome) for row in result.ledger.requests)
        shown = [end for end in RESULT_COLOURS if any(ends[i, end] for i in range(len(names)))]
        head = "".join(
            f"<th>{h}</th>" for h in (label, "tries", "served", *(e.name.lower() for e in shown))
        )
        body = ""
        for i, name in enumerate(names):
            cells = [requested[i], ends[i, Outcome.SERVED], *(ends[i, end] for end in shown)]
            row = "".join(f"<td class='n'>{n}</td>" for n in cells)
            body += f"<tr><td>{html.escape(name)}</td>{row}</tr>"
        tables.append(f"<table><tr>{head}</tr>{body}</table>")
    return "".join(tables)


def _breaches(result: Result) -> str:
    def row(b: Any) -> str:
        cells = (
            f"{b.at_ns / NS:.3f}",
            RULES[b.kind],
            b.kind,
            b.request or "",
            b.backend or "",
            b.detail,
        )
        return "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in cells) + "</tr>"

    head = "".join(
        f"<th>{h}</th>" for h in ("s", "rule", "breach", "request", "backend", "what was observed")
    )
    rows = "".join(row(b) for b in result.verdict.violations[:100])
    return f"<h2>Breaches</h2><table><tr>{head}</tr>{rows}</table>"
