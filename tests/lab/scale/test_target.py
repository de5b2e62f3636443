"""The target file: any user's numbers will do, and what cannot be is one line with its key, exit 2."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from mothstall.lab.scale import target
from mothstall.lab.scale.target import TargetError

SHIPPED = (Path(__file__).parents[3] / "deploy" / "target.toml").read_text(encoding="utf-8")


def with_line(key: str, text: str | None) -> bytes:
    line = re.compile(rf"^{key} = .*$", re.MULTILINE)
    assert len(line.findall(SHIPPED)) == 1
    return line.sub("" if text is None else f"{key} = {text}", SHIPPED).encode()


def test_the_shipped_target_is_read() -> None:
    found = target.decode(SHIPPED.encode())
    assert found.fleet.proxies == 6700
    assert round(found.requests_per_proxy) == 70
    assert found.backends_of_a_zone == 8455
    assert found.proxies_of_a_region == 1830


def test_other_numbers_will_do() -> None:
    assert target.decode(with_line("proxies", "40")).fleet.proxies == 40
    assert target.decode(with_line("restarts_a_day", "0")).restarts_per_s * 86_400 == 260


@pytest.mark.parametrize(
    ("key", "text", "path"),
    [
        ("proxies", None, "fleet"),
        ("proxies", "-1", "fleet.proxies"),
        ("proxies", "0", "fleet.proxies"),
        ("proxies", '"many"', "fleet.proxies"),
        ("proxies", "true", "fleet.proxies"),
        ("proxies", "nan", "fleet.proxies"),
        ("added_p99_ms", "inf", "load.added_p99_ms"),
        ("added_p99_ms", "nan", "load.added_p99_ms"),
        ("proxies", "10", "fleet.zones"),
        ("zones", "3", "fleet.regions"),
        ("services", "93001", "fleet.services"),
        ("machines_a_day", "-0.5", "failures.machines_a_day"),
        ("proxy_cores", "100", "control.proxy_cores"),
        ("proxies", "10\nproxis = 3", "proxis"),
    ],
)
def test_what_cannot_be_is_one_line_with_its_key(key: str, text: str | None, path: str) -> None:
    with pytest.raises(TargetError, match=re.escape(path)) as why:
        target.decode(with_line(key, text))
    assert "\n" not in str(why.value)


@pytest.mark.parametrize("data", [b"", b"\xff", b"[fleet", b"[fleet]"])
def test_foreign_bytes_are_one_line(data: bytes) -> None:
    with pytest.raises(TargetError) as why:
        target.decode(data)
    assert "\n" not in str(why.value)
