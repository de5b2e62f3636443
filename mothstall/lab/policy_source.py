"""Loads policies from source text: a package, or the single file of earlier revisions."""

from __future__ import annotations

import importlib
import importlib.abc
import importlib.machinery
import itertools
import sys
import types
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from mothstall import interface as io
from mothstall.lab.former_interface import in_present_names

PACKAGE = "mothstall.policy"

MakeBalancer = Callable[[io.Settings, int], Any]

_numbers = itertools.count()


class _SourceFinder(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Imports one package from source texts in memory."""

    def __init__(self, package: str, texts: Mapping[str, str]) -> None:
        self.package = package
        self._texts = texts

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: types.ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        if self._file_of(fullname) is None:
            return None
        is_package = fullname == self.package
        return importlib.machinery.ModuleSpec(fullname, self, is_package=is_package)

    def exec_module(self, module: types.ModuleType) -> None:
        """Execute the source text of a module in its namespace."""
        file = self._file_of(module.__name__)
        assert file is not None
        text = self._texts[file].replace(PACKAGE, self.package)
        exec(compile(text, f"{self.package}/{file}", "exec"), module.__dict__)

    def _file_of(self, fullname: str) -> str | None:
        if fullname == self.package:
            return "__init__.py"
        parent, _, name = fullname.rpartition(".")
        return f"{name}.py" if parent == self.package and f"{name}.py" in self._texts else None


def from_package(texts: Mapping[str, str]) -> MakeBalancer:
    """Return the `Balancer` of a policy package.

    Args:
        texts: The source text of each module by file name, including `__init__.py`.
    """
    finder = _SourceFinder(f"mothstall_lab_policy_{next(_numbers)}", texts)
    sys.meta_path.append(finder)
    try:
        made: MakeBalancer = importlib.import_module(finder.package).Balancer
    finally:
        sys.meta_path.remove(finder)
    return made


def from_text(text: str, name: str) -> MakeBalancer:
    """Return the `Balancer` of a single-file policy, the form before the package."""
    module = types.ModuleType(f"mothstall_lab_policy_{next(_numbers)}")
    sys.modules[module.__name__] = module
    exec(compile(in_present_names(text), name, "exec"), module.__dict__)
    made: MakeBalancer = module.Balancer
    return made


def from_path(path: Path) -> MakeBalancer:
    """Return the `Balancer` of a single file or of a package folder."""
    if path.is_dir():
        return from_package(texts_of(path))
    return from_text(path.read_text(encoding="utf-8"), str(path))


def texts_of(folder: Path) -> dict[str, str]:
    """Return the source text of each module in a folder, by file name."""
    return {path.name: path.read_text(encoding="utf-8") for path in sorted(folder.glob("*.py"))}
