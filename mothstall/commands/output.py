"""Formats of a command's output: aligned text by default, JSON for scripts."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any, TypeAlias

CommandOutput: TypeAlias = str | Mapping[str, Any] | Sequence[Mapping[str, Any]]
"""Result of a command for printing: one line, an object with its fields, or rows of a table."""


def format_json(output: CommandOutput) -> str:
    """Return the output as indented JSON. Its keys are an interface for scripts."""
    return json.dumps(output, indent=1)


def format_text(output: CommandOutput) -> str:
    """Return the output as text: rows as a table, an object as one line for each field."""
    if isinstance(output, str):
        return output
    if isinstance(output, Mapping):
        return _format_fields(output)
    return _format_table(output)


def _format_fields(fields: Mapping[str, Any]) -> str:
    """Return one line for each field, and the fields that hold rows as tables below."""
    tables = {name: value for name, value in fields.items() if _is_table(value)}
    lines = [
        f"{name}: {_format_cell(value)}" for name, value in fields.items() if name not in tables
    ]
    lines += [_format_table(rows) for rows in tables.values()]
    return "\n".join(lines)


def _is_table(value: object) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def _format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return a header and aligned columns; the first row's keys name the columns."""
    if not rows:
        return "none"
    columns = list(rows[0])
    lines = [columns]
    lines += [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(_align(line, widths) for line in lines)


def _align(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()


def _format_cell(value: object) -> str:
    if isinstance(value, dict):
        return ",".join(f"{key}={item}" for key, item in value.items()) or "-"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return str(value)
