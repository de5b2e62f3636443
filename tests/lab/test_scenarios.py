"""Scenario files: shipped ones are valid, invalid ones raise one line with the key's path."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from mothstall import interface as io
from mothstall.lab import scenario

MS = 1_000_000


def tree(**more: Any) -> dict[str, Any]:
    return {"tries": "A test.", **more}


def test_all_shipped_scenarios_are_read_and_say_what_they_try() -> None:
    names = scenario.names()
    assert len(names) >= 20 and {"steady", "metastable", "three-hundred", "demo"} <= set(names)
    rows = [scenario.load(name) for name in names]
    assert all(row.tries.endswith((".", "?")) and len(row.tries) < 120 for row in rows)
    assert len({row.tries for row in rows}) == len(rows)
    assert max(row.proxies.count for row in rows) >= 300


@pytest.mark.parametrize(
    ("change", "path", "what"),
    [
        ({"sceonds": 3}, "sceonds", "unknown"),
        ({"seconds": 0.0}, "$.seconds", "1 to 3600"),
        ({"network": {"near": 4}}, "$.network.near", "'250ms'"),
        ({"network": {"near": "4 ms"}}, "$.network.near", "'250ms'"),
        (
            {"troubles": [{"kind": "hang", "at": "50s", "boxes": 1}]},
            "$.troubles[0].at",
            "after the run",
        ),
        ({"troubles": [{"kind": "hang", "at": "1s"}]}, "$.troubles[0]", "needs boxes"),
        ({"troubles": [{"kind": "hung", "at": "1s"}]}, "$.troubles[0]", "hung"),
        (
            {"troubles": [{"kind": "slow", "at": "1s", "part": 0.2, "on": "1s"}]},
            "$.troubles[0].on",
            "off",
        ),
        (
            {"troubles": [{"kind": "zone-lost", "at": "1s", "zone": "mars"}]},
            "$.troubles[0].zone",
            "mars",
        ),
        (
            {"troubles": [{"kind": "dependency", "at": "1s", "cls": "x"}]},
            "$.troubles[0].cls",
            "'x'",
        ),
        ({"boxes": [{"zone": "mars"}]}, "$.boxes[0].zone", "mars"),
        ({"rules": {"warm_shape": 2.0}}, "$.rules.warm_shape", "colder"),
        ({"rules": {"reports": ["heat"]}}, "$.rules.reports", "heat"),
        (
            {"classes": [{"name": "a", "part": 1, "work": "1ms", "effect": "keyed"}]},
            "$.classes[0]",
            "window",
        ),
        ({"clients": {"rate": 1e9}}, "$.clients.rate", "more than"),
        ({"clients": {"obeys": 1.5}}, "$.clients.obeys", "0 to 1"),
    ],
)
def test_what_cannot_be_played_is_one_line_with_the_keys_path(
    change: dict[str, Any], path: str, what: str
) -> None:
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario.from_tree(tree(**change), "mine")
    text = str(caught.value)
    assert "\n" not in text and path in text and what in text and "mine" in text


def test_a_file_that_is_missing_or_no_toml_is_refused(tmp_path: Path) -> None:
    with pytest.raises(scenario.ScenarioError, match="cannot be read"):
        scenario.load(str(tmp_path / "no.toml"))
    bad = tmp_path / "bad.toml"
    bad.write_bytes(b"tries = \xff")
    with pytest.raises(scenario.ScenarioError, match="not TOML"):
        scenario.load(str(bad))
    with pytest.raises(scenario.ScenarioError, match="lab list"):
        scenario.load("../../etc/passwd")


def test_a_proxy_is_told_the_scenarios_rules() -> None:
    s = scenario.load("keyed-in-zones")
    told = scenario.settings(s, 4)
    assert (told.position, told.zone, told.proxies) == (4, 1, 3)
    assert (
        told.classes[1].effect == io.Effect.IDEMPOTENT_WITH_KEY
        and told.classes[1].group == io.KeyScope.ZONE
    )
    assert (
        told.classes[1].window_ns == 1000 * MS
        and told.classes[2].effect == io.Effect.NON_IDEMPOTENT
    )
    assert told.drain_grace_ns == s.rules.drain_grace and told.load_names == s.rules.reports
    assert sum(t.share for t in told.tenants) == pytest.approx(1.0)
