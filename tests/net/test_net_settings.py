"""The proxy serves, rejects and stops under any valid settings of other deployments."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from mothstall import config, settings
from tests.peers import (
    MS,
    StandInDiscovery,
    abort_connection,
    make_config_tree,
    never_respond,
    respond_ok,
    respond_with,
    response_bytes,
    rig,
)
from tests.peers import settings as nested


def class_row(
    name: str, effect: str, aim_ms: float, deadline_ms: float, **more: Any
) -> dict[str, Any]:
    row = {"name": name, "effect": effect, "aim-ns": aim_ms * MS, "deadline-ns": deadline_ms * MS}
    return {**row, "worth": 1, **more}


EFFECTS = ["pure", "token", "side_effect"]

# Settings of other deployments, from minimal to extensive.
DEPLOYMENTS: dict[str, dict[str, Any]] = {
    "one class, no tenants, no zones": {
        "classes": [class_row("search", "pure", 60, 400)],
        "customers": [],
        "zones": [],
        "kinds": [],
    },
    "one zone, one tenant": {"zones": ["only"], "customers": [{"name": "acme", "share": 1.0}]},
    "fifty zones and tenants": {
        "zones": [f"z{i}" for i in range(50)],
        "customers": [{"name": f"t{i}", "share": 0.02, "allowance-per-s": 3} for i in range(50)],
        "zone": 49,
        "replicas_of_me": 200,
        "position": 199,
    },
    "nothing allowed": {
        "limits--cancelling": False,
        "limits--parallel_tries": False,
        "limits--probes": False,
        "limits--retry_after": False,
        "limits--max_attempts": 1,
        "telemetry--names": [],
    },
    "no reports": {"telemetry": {}},
    "pushed": {"discovery": "push"},
    "numbers as they come": {
        "limits--max_attempts": 4.0,
        "contract--cold_from": 1,
        "fees--cross_zone": 0,
        "replicas_of_me": 1.0,
        "limits--connect_timeout_ns": 1.2e8,
    },
    "long deadlines": {
        "classes": [
            class_row("search", "pure", 20_000, 60_000),
            class_row("order", "side_effect", 20_000, 60_000),
        ],
    },
    "short windows": {
        "classes": [
            class_row("search", "pure", 100, 300),
            class_row("pay", "token", 100, 900, **{"window-ns": 250 * MS}),
            class_row("order", "side_effect", 100, 900),
        ],
    },
}


def changes(deployment: str) -> dict[str, Any]:
    return dict(DEPLOYMENTS[deployment])


def class_names(deployment: str) -> list[str]:
    return [row["name"] for row in DEPLOYMENTS[deployment].get("classes", nested()["classes"])]


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_any_customer_settings_serve_and_stop(deployment: str) -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok, **changes(deployment)) as r:
            await r.until(r.proxy._frontend.accepts_new_clients)
            for class_name in class_names(deployment):
                assert (await r.request(class_name, remaining="1000m")).status == 200
            assert r.count("faults") == r.count("checks_broken") == 0

    asyncio.run(run())


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("fault", ["silent", "drops", "fails", "turns away"])
def test_any_customer_settings_give_one_response_in_time_under_faults(
    deployment: str, fault: str
) -> None:
    behaviour = {
        "silent": never_respond,
        "drops": abort_connection,
        "fails": respond_with(response_bytes(b"", 500)),
        "turns away": respond_with(response_bytes(b"", 503, X_Turned_Away="1")),
    }[fault]

    async def run() -> None:
        async with rig(behaviour, behaviour, **changes(deployment)) as r:
            await r.until(r.proxy._frontend.accepts_new_clients)
            for class_name in class_names(deployment):
                before = sum(len(b.requests) for b in r.backends)
                reply = await r.request(class_name, remaining="250m")
                sent = sum(len(b.requests) for b in r.backends) - before
                assert reply.status in (502, 503, 504)
                if "limits--retry_after" in DEPLOYMENTS[deployment]:
                    assert "retry-after" not in reply.headers
                if class_name == "order" and fault != "turns away":
                    # The request may have executed: neither a retry nor a rejection.
                    assert sent == 1 and reply.status != 503
                if DEPLOYMENTS[deployment].get("limits--max_attempts") == 1:
                    assert sent == 1
            assert r.count("faults") == r.count("checks_broken") == 0

    asyncio.run(run())


def test_deadline_shorter_than_a_connect_is_met() -> None:
    """A request with a deadline of 60 ms is answered in time, without a busy event loop."""

    async def run() -> None:
        rows = [class_row("search", "pure", 25, 60), class_row("order", "side_effect", 25, 60)]
        async with rig(respond_ok, classes=rows) as r:
            for class_name in ("search", "order"):
                assert (await r.request(class_name, remaining="60m")).status in (200, 502, 503, 504)
            r.backends[0].behave = never_respond
            began = r.proxy.loop.time()
            assert (await r.request("order", remaining="60m")).status in (502, 504)
            assert r.proxy.loop.time() - began < 2.0
            assert r.count("faults") == 0

    asyncio.run(run())


def test_only_classes_idempotent_with_a_key_require_the_key() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            assert (await r.request("order", omit=("Idempotency-Key",))).status == 200
            assert (await r.request("pay", omit=("Idempotency-Key",))).status == 400
            assert len(r.backends[0].requests) == 1

    asyncio.run(run())


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_whole_numbers_may_be_written_as_floats(deployment: str) -> None:
    def pointed(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: pointed(inner) for key, inner in value.items()}
        if isinstance(value, list):
            return [pointed(inner) for inner in value]
        return float(value) if isinstance(value, int) and not isinstance(value, bool) else value

    tree = nested(**changes(deployment))
    assert settings.from_json(pointed(tree)) == settings.from_json(tree)


def test_faulty_reloaded_settings_leave_the_old_ones_in_force() -> None:
    discovery = StandInDiscovery([])
    tree = make_config_tree(discovery, [], discovery="ask")
    tree["discovery"] = "127.0.0.1:1"
    good = config.from_tree(tree)
    tree["settings"]["contract"]["ask-within-ns"] = -1
    with pytest.raises(config.ConfigError, match=r"contract\.ask-within-ns"):
        config.from_tree(tree)
    assert good.settings.poll_within_ns == 4000 * MS
