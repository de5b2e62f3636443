"""The deploy file, read by operators' tools, lists the files of the policy and of the proxy."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_deploy_file_names_every_file_of_the_policy() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    present = sorted((ROOT / "mothstall" / "policy").glob("*.py"))
    assert deploy["policy"] == [path.relative_to(ROOT).as_posix() for path in present]
    assert all((ROOT / name).exists() for name in deploy["node"])
