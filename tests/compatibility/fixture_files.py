"""Access to the bytes that earlier versions wrote, and to their expected contents."""

from __future__ import annotations

import functools
import json
from pathlib import Path
from typing import Any

import msgspec

FIXTURES = Path(__file__).parent / "fixtures" / "ff9cb02"
CLUSTER = "compatibility"  # the fixtures' cluster and shared key
KEY = bytes(range(32))


@functools.cache
def _all_expected_values() -> dict[str, Any]:
    found: dict[str, Any] = json.loads((FIXTURES / "expected.json").read_bytes())
    return found


def expected(path: str) -> Any:
    """The expected contents of a file as plain values: structs by position, bytes in base64."""
    return _all_expected_values()[path]


def to_plain(value: Any) -> Any:
    """A value in the form of `expected`."""
    return json.loads(msgspec.json.encode(value))


def fixture_bytes(path: str) -> bytes:
    return (FIXTURES / path).read_bytes()


def fixture_paths(folder: str) -> list[str]:
    """The files of a folder, relative to the folder of all fixtures."""
    return sorted(f"{folder}/{file.name}" for file in (FIXTURES / folder).iterdir())


def wire_name(path: str) -> str:
    """The tag or type in a file's name, without the variant."""
    return Path(path).stem.partition("-")[0]


def fixture_folders() -> list[str]:
    return sorted(folder.name for folder in FIXTURES.iterdir() if folder.is_dir())
