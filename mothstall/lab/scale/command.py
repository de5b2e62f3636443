"""`mothstall lab scale`: plays by size, kept as points; `mothstall lab capacity`: the page made of them.

Exit codes: 0 done, 1 a step could not be finished or is left, 2 bad input, 3 a state was not as it has to be.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import sys
import time
from collections.abc import Iterable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import ROOT, revision
from mothstall.lab.scale import capacity, control, points, target
from mothstall.lab.scale import path as own_path
from mothstall.lab.scale.control import SERIES, Broken
from mothstall.lab.scale.points import Point, PointsError
from mothstall.lab.scale.target import Target

EPILOG = (
    "exit codes: 0 done, 1 a step could not be finished or is left, 2 bad input, "
    "3 a state was not as it has to be"
)


class ScaleError(ValueError):
    """Bad input; the message is one line."""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mothstall lab scale", epilog=EPILOG, description="What grows with the fleet, by size."
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    listing = commands.add_parser(
        "list", help="the series, their sizes, what each tells", epilog=EPILOG
    )
    listing.add_argument("--json", action="store_true", help="as JSON on standard output")
    run = commands.add_parser(
        "run", help="play series by size, or `short`: one small fleet", epilog=EPILOG
    )
    run.add_argument("series", nargs="+", help="names of `list`, or `short`")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument(
        "--sizes", type=int, nargs="+", metavar="N", help="in place of the series' own"
    )
    run.add_argument("--repeats", type=int, default=3)
    run.add_argument(
        "--kept",
        metavar="FILE",
        help="each finished step goes there; those that it has are not played again",
    )
    run.add_argument("--most", type=float, metavar="SECONDS", help="begin no step after so long")
    run.add_argument(
        "--beside", default="not said", metavar="TEXT", help="what else runs on the machine"
    )
    run.add_argument("--json", metavar="FILE", help="the points as JSON; - for standard output")
    return parser


def main(words: Sequence[str]) -> int:
    args = _parser().parse_args(words)
    try:
        return _list(args) if args.command == "list" else _run(args)
    except (ScaleError, PointsError) as why:
        print(f"mothstall: {why}", file=sys.stderr)
        return 2
    except Unfinished as why:
        print(f"mothstall: {why}", file=sys.stderr)
        return 1


def _list(args: argparse.Namespace) -> int:
    if args.json:
        tree = {
            name: {"axis": _axis(name), "sizes": _sizes(name), "tells": _tells(name)}
            for name in _names()
        }
        print(json.dumps(tree, indent=1))
        return 0
    wide = max(map(len, _names()))
    for name in _names():
        print(f"{name:<{wide}}  {_tells(name)}; {_axis(name)}: {' '.join(map(str, _sizes(name)))}")
    return 0


# Two tables of plays: control's give one point a step, those of the proxy's own path some of them.


def _names() -> list[str]:
    return [*SERIES, *own_path.PLAYS]


def _axis(name: str) -> str:
    return SERIES[name].axis if name in SERIES else name.partition("/")[2]


def _sizes(name: str) -> tuple[int, ...]:
    return SERIES[name].sizes if name in SERIES else own_path.SIZES[name]


def _tells(name: str) -> str:
    return (
        SERIES[name].tells
        if name in SERIES
        else f"the proxy's own path; left out: {_left_out(name)}"
    )


def _left_out(name: str) -> str:
    return SERIES[name].leaves_out if name in SERIES else own_path.LEFT_OUT[name.partition("/")[0]]


def _played(rows: Iterable[Point], name: str, size: int, repeat: int, text: str) -> bool:
    """Whether this step's points are there, also those of series that a play tells apart below its own."""
    return any(
        (row.series == name or row.series.startswith(f"{name}/"))
        and row.axes.get(_axis(name)) == size
        and row.repeat == repeat
        and row.revision == text
        for row in rows
    )


def _step(
    name: str, size: int, repeat: int, seed: int, say: control.Say
) -> tuple[list[Point], list[str]]:
    """The points of one step, without what the run knows, and what did not hold. Raises Unfinished."""
    if name in own_path.PLAYS:
        return own_path.PLAYS[name](seed, repeat, say, sizes=(size,)), []
    one, wrong = SERIES[name], list[str]()
    try:
        values = one.play(size, seed + repeat - 1, say)
    except Broken as why:
        wrong, values = why.wrong, {**why.values, "wrong": (len(why.wrong), "1")}
    point = Point(
        series=name,
        axes={one.axis: float(size), **one.fixed},
        repeat=repeat,
        values=values,
        seed=seed + repeat - 1,
        revision="",
        cores=os.cpu_count() or 1,
        beside="",
        leaves_out=one.leaves_out,
    )
    return [point], wrong


def read(path: Path) -> list[Point]:
    """The points of a file. Raises ScaleError or PointsError."""
    try:
        return points.decode(path.read_bytes())
    except OSError as why:
        raise ScaleError(f"{path}: {why.strerror}") from why


def write(path: Path, rows: Sequence[Point]) -> None:
    """Whole or not at all: a run that is broken off here leaves what was. Raises ScaleError."""
    try:
        fresh = path.with_name(path.name + ".fresh")
        fresh.write_bytes(points.encode(rows))
        os.replace(fresh, path)
    except OSError as why:
        raise ScaleError(f"{path}: {why.strerror}") from why


def _run(args: argparse.Namespace) -> int:
    say = partial(print, file=sys.stderr, flush=True)
    if "short" in args.series:
        return _short(args, say)
    if unknown := [name for name in args.series if name not in _names()]:
        raise ScaleError(f"no series {unknown[0]!r}: {', '.join(_names())}, short")
    if not 1 <= args.repeats <= 20 or any(
        not 1 <= size <= 1_000_000_000 for size in args.sizes or ()
    ):
        raise ScaleError("--repeats must be 1 to 20, --sizes 1 or more")
    began, text = time.monotonic(), revision()
    kept = Path(args.kept) if args.kept else None
    rows = read(kept) if kept and kept.exists() else []
    steps = [
        (name, size, repeat)
        for repeat in range(1, args.repeats + 1)
        for name in args.series
        for size in args.sizes or _sizes(name)
    ]
    left = failed = broken = 0
    for i, (name, size, repeat) in enumerate(steps):
        if _played(rows, name, size, repeat, text):
            continue
        if args.most is not None and time.monotonic() - began > args.most:
            left += 1
            continue
        say(f"[{i + 1}/{len(steps)}] {name}, {_axis(name)} {size}, repeat {repeat}")
        try:
            found, wrong = _step(name, size, repeat, args.seed, lambda word: say(f"    {word}"))
        except Unfinished as why:
            failed += 1
            say(f"    not finished: {why}")
            continue
        broken += bool(wrong)
        for line in wrong:
            say(f"    WRONG: {line}")
        for played in found:
            values = {
                key: (float(f"{number:.6g}"), unit) for key, (number, unit) in played.values.items()
            }
            point = msgspec.structs.replace(
                played,
                values=values,
                revision=text,
                beside=args.beside,
                command=f"mothstall lab scale run {name} --sizes {size} --seed {args.seed}",
            )
            rows = points.merged(rows, [point])
            told = ", ".join(f"{key} {number:g} {unit}" for key, (number, unit) in values.items())
            say(f"    {point.series}: {told}")
        if kept:
            write(kept, rows)
    if args.json:
        _write_json(args.json, rows)
    if left or failed:
        say(f"{failed} steps could not be finished, {left} are left")
    return 3 if broken else 1 if left or failed else 0


def _short(args: argparse.Namespace, say: control.Say) -> int:
    """A small real fleet; its verdict is of states alone, not of times."""
    wrong = asyncio.run(control.short(say, seed=args.seed))
    tree: dict[str, Any] = {"proxies": control.SHORT, "wrong": wrong}
    if args.json:
        _write_json(args.json, tree)
    if args.json != "-":
        print(
            "\n".join(wrong)
            or f"{control.SHORT} hollows: all joined, all have the changes, none doubled"
        )
    return 3 if wrong else 0


def _write_json(where: str, found: Any) -> None:
    if isinstance(found, list) and all(isinstance(row, Point) for row in found):
        text = points.encode(found).decode()
    else:
        text = json.dumps(found, indent=1) + "\n"
    if where == "-":
        print(text, end="")
        return
    try:
        Path(where).write_text(text, encoding="utf-8")
    except OSError as why:
        raise ScaleError(f"--json {where}: {why.strerror}") from why


# The page

PAGE = ROOT / "docs" / "CAPACITY.md"
TARGET = ROOT / "deploy" / "target.toml"
BEFORE = "-before.json"


def _capacity_parser() -> argparse.ArgumentParser:
    epilog = (
        "exit codes: 0 done, 2 bad input, 3 the page's tables are not those of the sets (--check)"
    )
    parser = argparse.ArgumentParser(
        prog="mothstall lab capacity",
        epilog=epilog,
        description="What a fleet of the target's size asks of each role, from kept points.",
    )
    parser.add_argument(
        "--target", metavar="FILE", default=str(TARGET), help="default: deploy/target.toml"
    )
    parser.add_argument(
        "--sets",
        metavar="FOLDER",
        default=str(ROOT / "benchmarks"),
        help="scale-*.json there, and scale-*-before.json for those before; default: benchmarks",
    )
    what = parser.add_mutually_exclusive_group()
    what.add_argument(
        "--write", metavar="FILE", help="make the tables between the markers of this page anew"
    )
    what.add_argument("--check", metavar="FILE", help="whether they are as they would be made")
    parser.add_argument("--json", action="store_true", help="the lines as JSON on standard output")
    return parser


def sets(folder: Path) -> capacity.Sets:
    """All points that a folder keeps. Raises ScaleError or PointsError."""
    found = capacity.Sets([])
    for path in sorted(folder.glob("scale-*.json")):
        try:
            (found.before if path.name.endswith(BEFORE) else found.now).extend(read(path))
        except PointsError as why:
            raise ScaleError(f"{path}: {why}") from why
    if not found.now:
        raise ScaleError(f"{folder} holds no points: scale-*.json")
    return found


def target_of(path: Path) -> Target:
    """Raises ScaleError."""
    try:
        return target.decode(path.read_bytes())
    except OSError as why:
        raise ScaleError(f"target: {path}: {why.strerror}") from why
    except target.TargetError as why:
        raise ScaleError(str(why)) from why


def capacity_main(words: Sequence[str]) -> int:
    args = _capacity_parser().parse_args(words)
    try:
        return _capacity(args)
    except (ScaleError, PointsError, capacity.PageError) as why:
        print(f"mothstall: {why}", file=sys.stderr)
        return 2


def _capacity(args: argparse.Namespace) -> int:
    aim, kept = target_of(Path(args.target)), sets(Path(args.sets))
    if args.json:
        rows = [
            {
                "role": row.line.role,
                "what": row.line.what,
                "unit": row.line.unit,
                "size": row.size,
                "value": None if row.missing else row.value,
                "limit": row.limit,
                "far": row.far,
                "breaks_at_proxies": row.crosses if math.isfinite(row.crosses) else None,
                "series": row.line.series,
                "missing": row.missing,
            }
            for row in capacity.hold(kept.now, aim)
        ]
        print(json.dumps(rows, indent=1))
    found = capacity.tables(kept, aim)
    path = args.write or args.check
    if not path:
        if not args.json:
            print("\n\n".join(f"{name}\n{text}" for name, text in found.items()))
        return 0
    try:
        page = Path(path).read_text(encoding="utf-8")
        fresh = capacity.written(page, found)
        if args.write and fresh != page:
            Path(path).write_text(fresh, encoding="utf-8")
    except OSError as why:
        raise ScaleError(f"{path}: {why.strerror}") from why
    if args.check and fresh != page:
        print(f"mothstall: {path}: its tables are not those of the sets", file=sys.stderr)
        return 3
    return 0
