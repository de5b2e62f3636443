"""Reading of the operator file: TOML, converted to `OperatorConfig` and checked."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from mothstall.durations import Duration, parse_duration
from mothstall.fleet.errors import OperatorError
from mothstall.fleet.operator_checks import check_operator_config
from mothstall.fleet.operator_config import OperatorConfig


def read_operator_file(path: str | Path) -> OperatorConfig:
    """Read and check an operator file.

    Raises:
        OperatorError: The file cannot be read, is not TOML, or holds a value that cannot be used.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise OperatorError(f"operator file: cannot read {path}: {error.strerror}") from error
    try:
        tree = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise OperatorError(f"operator file: {path} is not TOML: {error}") from error
    return parse_operator_file(tree)


def parse_operator_file(tree: dict[str, Any]) -> OperatorConfig:
    """Convert a decoded TOML document and check it.

    Raises:
        OperatorError: A value cannot be used; the message is one line and names the key's path.
    """
    try:
        config = msgspec.convert(tree, OperatorConfig, dec_hook=_decode_duration)
    except msgspec.ValidationError as error:
        raise OperatorError(f"operator file: {error}") from error
    check_operator_config(config)
    return config


def _decode_duration(kind: type, value: Any) -> Any:
    if kind is Duration:
        return parse_duration(value)
    raise NotImplementedError(kind)
