"""The page's lines: what a slope says of the target, which breaks first, whether page and sets agree."""

from __future__ import annotations

import json
import math
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from mothstall.lab.command import main
from mothstall.lab.scale import capacity, command
from mothstall.lab.scale.capacity import Line, PageError, hold
from mothstall.lab.scale.points import Point

ROOT = Path(__file__).parents[3]
AIM = command.target_of(ROOT / "deploy" / "target.toml")


def made(series: str, value: str, a: float, b: float, unit: str = "cores") -> list[Point]:
    return [
        Point(
            series=series, axes={"proxies": size}, repeat=repeat, values={value: (a + b * size, unit)},
            seed=repeat, revision="abc", cores=8, beside="nothing",
        )
        for size in (100.0, 200.0, 400.0, 800.0)
        for repeat in (1, 2, 3)
    ]  # fmt: skip


LINE = Line("keeper", "time", "cores", lambda t: 1.0, "one thread", "nothing", "c/p", "proxies", ("cpu",))


def test_a_slope_is_held_against_its_limit_at_the_target() -> None:
    (row,) = hold(made("c/p", "cpu", 0.0, 0.001), AIM, (LINE,))
    assert row.value == pytest.approx(6.7, rel=1e-3)
    assert row.crosses == pytest.approx(1000.0, rel=1e-3)
    assert row.verdict == "**over, 6.7 times**"
    assert not row.far


def test_what_fits_says_by_how_much_and_never_breaks() -> None:
    (row,) = hold(made("c/p", "cpu", 0.5, 0.0), AIM, (LINE,))
    assert row.verdict == "fits, 2.0 times to spare" and math.isinf(row.crosses)


def test_a_target_far_past_what_was_played_is_marked() -> None:
    rows = made("c/p", "cpu", 0.0, 1e-6)
    small = [msgspec.structs.replace(p, axes={"proxies": p.axes["proxies"] / 10}) for p in rows]
    (row,) = hold(small, AIM, (LINE,))
    assert row.far and "(far)" in capacity.roles_table([row])


def test_what_is_not_measured_says_so_and_does_not_rank() -> None:
    (row,) = hold([], AIM, (LINE,))
    assert row.verdict.startswith("not measured")
    assert "keeper" not in capacity.ranking_table([row], AIM)


def test_a_limit_that_was_measured_is_the_most_that_was() -> None:
    line = Line("keeper", "commits", "1/s", lambda t: 0.0, "measured", "-", "c/p", "proxies", ("n",),
                most_of=("c/m", "rate"))  # fmt: skip
    rows = made("c/p", "n", 0.0, 1.0, "1/s")
    (row,) = hold(rows, AIM, (line,))
    assert row.verdict.startswith("not measured")
    (row,) = hold([*rows, *made("c/m", "rate", 1000.0, 1.0, "1/s")], AIM, (line,))
    assert row.limit == 1800.0 and row.crosses == pytest.approx(1800.0, rel=1e-3)


def test_forms_that_are_not_told_apart_leave_a_verdict_open() -> None:
    """Noise hides the form: the best fits, the worst does not, and neither is passed off as the answer."""
    rows = [
        msgspec.structs.replace(p, values={"cpu": (0.02 + 0.006 * ((i * 7) % 5), "cores")})
        for i, p in enumerate(made("c/p", "cpu", 0.0, 0.0))
    ]
    (row,) = hold(rows, AIM, (LINE,))
    (wide,) = hold(rows, AIM, (replace(LINE, limit=lambda t: row.best * 1.01),))
    assert wide.value > wide.limit > wide.best and wide.verdict.startswith("**open**")


def test_bounds_in_the_code_are_counted() -> None:
    held = {row.line.what: row for row in hold([], AIM)}
    leases = held["leases of probes and members"]
    assert leases.value == 99_700 and math.floor(leases.crosses) == 550
    assert math.floor(held["sessions"].crosses) == 4096


def test_what_breaks_first_stands_first() -> None:
    held = hold(made("c/p", "cpu", 0.0, 0.01), AIM, (*capacity.LINES, LINE))
    lines = capacity.ranking_table(held, AIM).splitlines()[2:]
    sizes = [float(line.split("|")[1].split("(")[0].replace(",", "")) for line in lines]
    assert sizes == sorted(sizes) and sizes[0] == 99


@pytest.mark.parametrize(
    ("ratio", "up", "text"),
    [(1.99, False, "1.9 times"), (1.91, True, "2.0 times"), (19.9, False, "19 times"),
     (3.0, True, "3.0 times"), (12_345.0, True, "13,000 times"), (12_345.0, False, "12,000 times"),
     (0.999, False, "0.9 times")],
)  # fmt: skip
def test_factors_are_rounded_against_us(ratio: float, up: bool, text: str) -> None:
    assert capacity._times(ratio, up) == text


@pytest.mark.parametrize("value", [1.2341, 0.001_001, 99_999.0, 5.0, 1e-9])
def test_values_are_never_rounded_down(value: float) -> None:
    assert value <= capacity._up(value) * (1 + 1e-9) <= value * 1.01


def test_machines_stand_so_that_any_region_may_go() -> None:
    machines = capacity.placement(AIM)
    voters = [m for m in machines if m.keeper]
    assert len(machines) == 11 and len(voters) == 5 and len({m.zone for m in machines}) == 11
    for region in range(4):
        assert sum(m.region != region for m in voters) >= 3
    assert "no quorum" not in capacity.placement_table(AIM)


def test_tables_come_between_their_markers() -> None:
    page = "a\n<!-- table: target -->\nold\n<!-- end -->\nb\n"
    fresh = capacity.written(page, {"target": "new"})
    assert fresh == "a\n<!-- table: target -->\nnew\n<!-- end -->\nb\n"
    assert capacity.written(fresh, {"target": "new"}) == fresh


@pytest.mark.parametrize("page", ["<!-- table: target -->\nx\n", "<!-- table: none -->\nx\n<!-- end -->\n"])
def test_markers_that_do_not_fit_are_an_error(page: str) -> None:
    with pytest.raises(PageError):
        capacity.written(page, {"target": "new"})


def test_the_page_and_the_kept_slopes_agree() -> None:
    """Who measures anew writes the page anew: `mothstall lab capacity --write docs/CAPACITY.md`."""
    assert main(["capacity", "--check", str(ROOT / "docs" / "CAPACITY.md")]) == 0


def test_a_page_whose_figure_was_changed_is_found(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    assert "**over, " in page
    changed = tmp_path / "page.md"
    changed.write_text(page.replace("**over, ", "fits, ", 1), encoding="utf-8")
    assert main(["capacity", "--check", str(changed)]) == 3
    assert len(capsys.readouterr().err.splitlines()) == 1
    assert main(["capacity", "--write", str(changed)]) == 0
    assert changed.read_text(encoding="utf-8") == page


def test_json_holds_every_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["capacity", "--json"]) == 0
    assert len(json.loads(capsys.readouterr().out)) == len(capacity.LINES)


def test_bad_input_is_one_line_and_exit_2(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    wrong = tmp_path / "target.toml"
    wrong.write_text("[fleet]\nproxies = -1\n")
    (tmp_path / "scale-x.json").write_text("[]")
    for words in (
        ["--target", str(wrong)], ["--target", "/nowhere"], ["--sets", "/nowhere"], ["--sets", str(tmp_path)],
        ["--check", "/nowhere"],
    ):  # fmt: skip
        assert main(["capacity", *words]) == 2
        assert len(capsys.readouterr().err.splitlines()) == 1
