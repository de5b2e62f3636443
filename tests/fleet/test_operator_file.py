"""Valid and invalid operator files, and the errors of invalid ones."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies

from mothstall.fleet import operator_file
from mothstall.fleet.errors import OperatorError

TREE: dict[str, Any] = {
    "cluster": "c",
    "keepers": [{"name": f"k{i}", "address": f"127.0.0.1:70{i}0"} for i in (1, 2, 3)],
}
_LEAF = strategies.none() | strategies.integers() | strategies.text(max_size=5)
_VALUE = (
    _LEAF
    | strategies.lists(_LEAF, max_size=2)
    | strategies.dictionaries(strategies.text(max_size=6), _LEAF, max_size=2)
)
_KEYS = ["cluster", "keepers", "leases", "timing", "agent", "observers"]


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"clutser": "x"}, "clutser"),
        ({"keepers": []}, "$.keepers"),
        ({"keepers": [{"name": "k1", "address": "127.0.0.1"}]}, "$.keepers[0].address"),
        ({"keepers": [{"name": "k1", "address": "10.0.0.1:7000"}]}, "only loopback"),
        ({"keepers": [TREE["keepers"][0]] * 2}, "$.keepers[1].name"),
        ({"leases": {"term": "2"}}, "$.leases.term"),
        (
            {"leases": {"term": "500ms", "round_trip": "200ms"}},
            "$.leases.term leaves a holder no time",
        ),
        ({"leases": {"term": "550ms", "margin": "50ms"}}, "two elections"),
        ({"leases": {"drift": 0.9}}, "$.leases.drift"),
        ({"timing": {"heartbeat": "200ms"}}, "$.timing"),
        ({"probing": {"every": "1ms"}}, "$.probing"),
        ({"agent": {"listen": "0.0.0.0:1"}}, "$.agent.listen"),
        ({"failover": {"on": True}}, "$.zone"),
        ({"failover": {"stale": "1s"}}, "$.failover"),
        ({"failover": {"reserve": 1.5}}, "$.failover: reserve"),
        (
            {"failover": {"regions": [{"name": "r", "zones": ["a", "a"]}]}},
            "$.failover.regions[0].zones",
        ),
        ({"failover": {"regions": [{"name": "r", "zones": ["a"], "near": ["q"]}]}}, ".near: 'q'"),
    ],
)
def test_invalid_value_is_rejected_in_one_line_with_its_key(
    change: dict[str, Any], path: str
) -> None:
    with pytest.raises(OperatorError) as error:
        operator_file.parse_operator_file({**TREE, **change})
    assert path in str(error.value) and "\n" not in str(error.value)


def test_key_file_must_be_private_and_long_enough(tmp_path: Path) -> None:
    path = tmp_path / "key"
    path.write_bytes(b"0123456789abcdef" * 2)
    os.chmod(path, 0o640)
    config = operator_file.parse_operator_file({**TREE, "key_file": str(path)})
    with pytest.raises(OperatorError, match="chmod 600"):
        config.key()
    os.chmod(path, 0o600)
    assert config.key() == b"0123456789abcdef" * 2
    path.write_bytes(b"short")
    with pytest.raises(OperatorError, match="fewer than 32"):
        config.key()


def test_sample_operator_file_is_valid() -> None:
    sample = Path(__file__).parents[2] / "deploy" / "operator.toml"
    assert len(operator_file.read_operator_file(sample).keepers) == 3


@given(strategies.dictionaries(strategies.sampled_from(_KEYS), _VALUE))
def test_arbitrary_operator_files_are_rejected_in_one_line(tree: dict[str, Any]) -> None:
    try:
        operator_file.parse_operator_file(tree)
    except OperatorError as error:
        assert str(error).startswith("operator file:")
