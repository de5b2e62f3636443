"""Every path, module, class and function that docs/architecture.md names exists.

Of other pages the paths of source files are checked, and the log lines that
the on-call page lists.
"""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "architecture.md"
PAGES_WITH_PATHS = (
    "README.md",
    "docs/fleet.md",
    "docs/failover.md",
    "docs/endings.md",
    "docs/operating.md",
    "docs/operating-fleet.md",
    "docs/oncall.md",
)
TOP_FOLDERS = ("mothstall/", "tests/", "docs/", "deploy/")
FILE_SUFFIXES = (".py", ".md", ".toml")
MIN_SYMBOLS = 60  # guards against a page whose markup the patterns below no longer match
MIN_PATHS = 20

_CODE = re.compile(r"`([^`]+)`")
_SYMBOL = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)+")
SETTINGS = {"agent.data"}  # keys of the operator file


def code_spans(page: Path = PAGE) -> list[str]:
    """All code spans of a page, without duplicates."""
    return list(dict.fromkeys(_CODE.findall(page.read_text(encoding="utf-8"))))


def paths() -> list[str]:
    """The files and folders that the page names."""
    return [span for span in code_spans() if is_path(span)]


def symbols() -> list[str]:
    """The modules, classes and functions that the page names, relative to the package."""
    spans = [span for span in code_spans() if _SYMBOL.fullmatch(span) and not is_path(span)]
    return [span for span in spans if span not in SETTINGS]


def is_path(span: str) -> bool:
    """Tell a path from a symbol, whose dots look like those of a file name."""
    return span.startswith(TOP_FOLDERS) or span.endswith(FILE_SUFFIXES)


def resolve(name: str) -> object:
    """Import the longest module that `name` begins with, and return the attribute that follows.

    Raises:
        ModuleNotFoundError: A part of the name is neither an attribute nor a module.
    """
    module, *attributes = name.split(".")
    found: object = importlib.import_module(f"mothstall.{module}")
    for attribute in attributes:
        module = f"{module}.{attribute}"
        if hasattr(found, attribute):
            found = getattr(found, attribute)
        else:
            found = importlib.import_module(f"mothstall.{module}")
    return found


def test_the_page_names_paths_and_symbols() -> None:
    assert len(symbols()) >= MIN_SYMBOLS
    assert len(paths()) >= MIN_PATHS


@pytest.mark.parametrize("path", paths())
def test_path_exists(path: str) -> None:
    assert (ROOT / path).exists()


@pytest.mark.parametrize("page", PAGES_WITH_PATHS)
def test_source_files_that_a_page_names_exist(page: str) -> None:
    paths = [
        span
        for span in code_spans(ROOT / page)
        if span.endswith(".py") or span.startswith("mothstall/")
    ]
    missing = [path for path in paths if not is_source_file(path)]
    assert not missing


def is_source_file(path: str) -> bool:
    """Tell whether a path exists, from the root or within the package or its part `net`."""
    bases = (ROOT, ROOT / "mothstall", ROOT / "mothstall" / "net")
    return any((base / path).exists() for base in bases)


@pytest.mark.parametrize("name", symbols())
def test_symbol_exists(name: str) -> None:
    resolve(name)


@pytest.mark.parametrize("name", ["net.frontend.NoSuchClass", "net.no_such_module", "no_such.x"])
def test_unknown_symbol_raises(name: str) -> None:
    with pytest.raises(ModuleNotFoundError):
        resolve(name)


def logged_events() -> list[str]:
    """The current log events in the on-call page's table of former log lines."""
    page = (ROOT / "docs" / "oncall.md").read_text(encoding="utf-8")
    table = page.partition("### Log lines by their former names")[2]
    rows = [line.split("|") for line in table.splitlines() if line.startswith("| ")]
    return [_CODE.findall(cells[3])[0] for cells in rows if "`" in cells[3]][1:]


def test_the_page_lists_log_lines() -> None:
    assert len(logged_events()) >= 10


@pytest.mark.parametrize("event", logged_events())
def test_log_line_is_written_by_the_code(event: str) -> None:
    sources = (path.read_text(encoding="utf-8") for path in (ROOT / "mothstall").rglob("*.py"))
    assert any(f'"{event}"' in source for source in sources)
