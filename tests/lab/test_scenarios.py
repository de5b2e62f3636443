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


def test_shipped_scenarios_are_valid_and_described() -> None:
    names = scenario.names()
    assert len(names) >= 20 and {"steady", "metastable", "three-hundred", "demo"} <= set(names)
    rows = [scenario.load(name) for name in names]
    assert all(row.tries.endswith((".", "?")) and len(row.tries) < 120 for row in rows)
    assert len({row.tries for row in rows}) == len(rows)
    assert max(row.proxies.count for row in rows) >= 300


@pytest.mark.parametrize(
    ("change", "path", "message"),
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
def test_invalid_scenario_raises_one_line_with_the_keys_path(
    change: dict[str, Any], path: str, message: str
) -> None:
    with pytest.raises(scenario.ScenarioError) as raised:
        scenario.from_tree(tree(**change), "mine")
    text = str(raised.value)
    assert "\n" not in text and path in text and message in text and "mine" in text


def test_missing_file_and_invalid_toml_are_rejected(tmp_path: Path) -> None:
    with pytest.raises(scenario.ScenarioError, match="cannot be read"):
        scenario.load(str(tmp_path / "no.toml"))
    bad = tmp_path / "bad.toml"
    bad.write_bytes(b"tries = \xff")
    with pytest.raises(scenario.ScenarioError, match="not TOML"):
        scenario.load(str(bad))
    with pytest.raises(scenario.ScenarioError, match="lab list"):
        scenario.load("../../etc/passwd")


def test_proxy_settings_follow_the_scenario() -> None:
    s = scenario.load("keyed-in-zones")
    settings = scenario.settings(s, 4)
    assert (settings.position, settings.zone, settings.proxies) == (4, 1, 3)
    assert (
        settings.classes[1].effect == io.Effect.IDEMPOTENT_WITH_KEY
        and settings.classes[1].group == io.KeyScope.ZONE
    )
    assert (
        settings.classes[1].window_ns == 1000 * MS
        and settings.classes[2].effect == io.Effect.NON_IDEMPOTENT
    )
    assert settings.drain_grace_ns == s.rules.drain_grace and settings.load_names == s.rules.reports
    assert sum(t.share for t in settings.tenants) == pytest.approx(1.0)
