"""Which observers a proxy uses, and which settings of observers are rejected."""

from __future__ import annotations

from typing import Any

import pytest

from mothstall.fleet.agent.observer_client import reachable_observers
from mothstall.fleet.errors import OperatorError
from mothstall.fleet.operator_file import parse_operator_file


def test_zone_without_observers_uses_those_of_its_region() -> None:
    rows = [
        {"name": "o1", "address": "127.0.0.1:1", "zone": "z1", "region": "north"},
        {"name": "o2", "address": "127.0.0.1:2", "zone": "z2", "region": "north"},
        {"name": "o3", "address": "127.0.0.1:3", "zone": "z3", "region": "south"},
    ]
    tree = {
        "cluster": "c",
        "keepers": [{"name": "k1", "address": "127.0.0.1:9"}],
        "observers": rows,
    }
    home, others = reachable_observers(parse_operator_file({**tree, "zone": "z1"}))
    assert [row.name for row in home] == ["o1"] and [row.name for row in others] == ["o2"]
    regions = {"regions": [{"name": "north", "zones": ["z1", "z2", "z4"]}]}
    home, others = reachable_observers(
        parse_operator_file({**tree, "zone": "z4", "failover": regions})
    )
    assert not home and [row.name for row in others] == ["o1", "o2"]
    with pytest.raises(OperatorError, match=r"\$\.observers: none in zone 'z5' or its region"):
        reachable_observers(parse_operator_file({**tree, "zone": "z5"}))


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"observers": [{"name": "o1", "address": "nowhere"}]}, r"\$\.observers\[0\]\.address"),
        ({"observers": [{"name": "", "address": "127.0.0.1:1"}]}, r"\$\.observers\[0\]\.name"),
        ({"observers": [{"name": "o1"}]}, r"address"),
        (
            {"observers": [{"name": "o1", "address": "127.0.0.1:1"}] * 2},
            r"\$\.observers\[1\]\.name",
        ),
        ({"observers": [{"name": "o1", "address": "9.9.9.9:1"}]}, "without key_file"),
        ({"observers": [{"name": "o1", "address": "127.0.0.1:1", "colour": 1}]}, "colour"),
        (
            {"observers": [{"name": "o1", "address": "127.0.0.1:1", "zone": "z" * 101}]},
            r"\[0\]\.zone",
        ),
        (
            {
                "observers": [
                    {"name": "o1", "address": "127.0.0.1:1", "zone": "z1", "region": "a"},
                    {"name": "o2", "address": "127.0.0.1:2", "zone": "z1", "region": "b"},
                ]
            },
            r"\[1\]\.region",
        ),
        ({"agent": {"backends": []}}, r"\$\.agent\.backends"),
    ],
)
def test_invalid_observer_settings_are_rejected_with_their_key(
    change: dict[str, Any], path: str
) -> None:
    tree = {"cluster": "c", "keepers": [{"name": "k1", "address": "127.0.0.1:9"}], **change}
    with pytest.raises(OperatorError, match=path) as error:
        parse_operator_file(tree)
    assert "\n" not in str(error.value)
