"""Names and enum values in stored data, or compared by other processes, are unchanged."""

from __future__ import annotations

from enum import StrEnum

import msgspec
import pytest

from mothstall.fleet.failover import zone_commands
from mothstall.fleet.failover.plan import (
    FAILOVER_LEASE,
    OVERRIDES_VALUE_NAME,
    PLAN_VALUE_NAME,
    pair_key,
)
from mothstall.fleet.failover.reports import AGGREGATE_NAME_PREFIX
from mothstall.fleet.leases.names import (
    MEMBER_LEASE_PREFIX,
    OBSERVER_LEASE_PREFIX,
    PROBE_LEASE_PREFIX,
)
from mothstall.fleet.probing.health_hint import HEALTH_HINT_PREFIX
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import AdminVerb
from mothstall.store.state.changes import PutDrain, UpdateMembers
from mothstall.store.state.machine import StateMachine
from mothstall.store.state.rows import Drain, DrainKind, drain_key


def test_names_of_leases_and_values_are_unchanged() -> None:
    assert (MEMBER_LEASE_PREFIX, PROBE_LEASE_PREFIX, HEALTH_HINT_PREFIX) == (
        "member/",
        "probe/",
        "hint/",
    )
    assert (FAILOVER_LEASE, zone_commands.OVERRIDES_LEASE) == (
        "failover",
        "zones/operator",
    )
    assert (PLAN_VALUE_NAME, OVERRIDES_VALUE_NAME) == (
        "zones/plan",
        "zones/orders",
    )
    assert (OBSERVER_LEASE_PREFIX, AGGREGATE_NAME_PREFIX) == ("observer/", "observer/")
    assert pair_key("z1", "z2") == "z1>z2"
    assert drain_key("box", "backend-1") == "box:backend-1"


def test_values_of_drain_kinds_peer_roles_and_admin_verbs_are_unchanged() -> None:
    assert [kind.value for kind in DrainKind] == ["box", "zone"]
    assert [role.value for role in PeerRole] == ["keeper", "observer", "agent", "tool"]
    assert [verb.value for verb in AdminVerb] == ["status", "add", "remove", "transfer", "backup"]


@pytest.mark.parametrize("word", [DrainKind.BACKEND, PeerRole.TOOL, AdminVerb.STATUS])
def test_an_enum_value_is_encoded_as_its_plain_string(word: StrEnum) -> None:
    assert msgspec.msgpack.encode(word) == msgspec.msgpack.encode(str(word.value))
    assert f"{word}" == word.value


@pytest.mark.parametrize("kind", ["box", "zone"])
def test_stored_kinds_of_drains_are_accepted(kind: str) -> None:
    assert StateMachine().rejection_reason(PutDrain(Drain(kind, "name", "ada", "now", ""))) == ""


def test_a_change_of_members_is_tagged_attach() -> None:
    assert (
        msgspec.msgpack.decode(msgspec.msgpack.encode(UpdateMembers("observer/o1", 1)))[0]
        == "Attach"
    )
