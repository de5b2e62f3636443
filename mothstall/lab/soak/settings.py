"""The configuration of the soak's proxies. Pure."""

from __future__ import annotations

from typing import Any

NS_PER_MS = 1_000_000
LONGEST_DEADLINE_S = 1.0
MEMORY_MIB = 192
BODY_MIB = 4
KEEPALIVE_MS = 1_500  # idle timeout of backends: idle connections are closed between the phases


def configuration(
    *,
    listen: str,
    discovery: str,
    admin: str,
    members: list[dict[str, object]],
    descriptors: int,
) -> dict[str, Any]:
    """Return the contents of a configuration file.

    Args:
        listen: Address that clients connect to.
        discovery: Address of the endpoint list.
        admin: Address of the admin API.
        members: Rows of the cached endpoint list.
        descriptors: Descriptor limit of the process.
    """
    return {
        "name": "soak",
        "listen": listen,
        "admin_addr": admin,
        "discovery": discovery,
        "seed": "5",
        "limits": {
            "cores": 1.0,
            "memory_mb": MEMORY_MIB,
            "sockets": descriptors,
            "body_mb": BODY_MIB,
        },
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": _settings(),
    }


def _settings() -> dict[str, Any]:
    return {
        "classes": [
            _class("search", "pure"),
            _class("pay", "token") | {"group": "all", "window-ns": 900 * NS_PER_MS},
            _class("order", "side_effect"),
        ],
        "customers": [],
        "contract": {
            "answer-slack-ns": 20 * NS_PER_MS,
            "ask-within-ns": 4000 * NS_PER_MS,
            "cold-from": 0.2,
            "cold-ns": 10_000 * NS_PER_MS,
            "fall-multiple": 2.5,
            "fall-ns": 2000 * NS_PER_MS,
            "stop-sending-within-ns": 500 * NS_PER_MS,
        },
        "discovery": "ask",
        "fees": {"cross-zone": 0.0},
        "limits": {
            "cancelling": True,
            "connect-timeout-ns": 120 * NS_PER_MS,
            "keepalive-ns": KEEPALIVE_MS * NS_PER_MS,
            "max-attempts": 4,
            "max-retry-after-ns": 1200 * NS_PER_MS,
            "parallel-tries": True,
            "probes": True,
            "retry-after": True,
        },
        "kinds": ["std"],
        "zones": ["east"],
        "position": 0,
        "replicas-of-me": 1,
        "round-ns": 5 * NS_PER_MS,
        "telemetry": {"names": ["util"], "source": "answers"},
        "zone": 0,
    }


def _class(name: str, effect: str) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "aim-ns": 200 * NS_PER_MS,
        "deadline-ns": round(LONGEST_DEADLINE_S * 1000) * NS_PER_MS,
        "worth": 1.0,
        "late-value": 0.3,
        "streaming": False,
    }
