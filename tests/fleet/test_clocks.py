"""The control plane reads monotonic clocks only."""

from __future__ import annotations

import ast
from pathlib import Path

from mothstall.fleet import operator_file


def test_no_module_that_counts_terms_reads_a_wall_clock() -> None:
    """Wall clocks may jump and differ by minutes; only operators' commands use one, for display."""
    package = Path(operator_file.__file__).parents[1]
    files = [
        p for part in ("store", "fleet", "keeper") for p in sorted((package / part).rglob("*.py"))
    ]
    assert len(files) > 15
    for path in files:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                name = f"{node.value.id}.{node.attr}"
                assert name not in ("time.time", "time.time_ns", "time.gmtime", "datetime.now"), (
                    path
                )
            if isinstance(node, ast.ImportFrom):
                assert node.module not in ("time", "datetime"), path
