"""Fields keep their positions: structs built by field names encode to the bytes of the fixtures.

Structs are encoded as arrays without field names. If two fields of one type were swapped, decoding
and encoding a fixture would still give the same bytes, but with each value under the wrong name.
Here structs are built by field names, with different values, so that a swap changes the bytes.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from mothstall.fleet.agent.persisted_state import PersistedState
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides, ZonePairState
from mothstall.fleet.failover.reports import (
    HistogramBucket,
    OutcomeCounts,
    TrafficReport,
    encode_report,
)
from mothstall.fleet.probing.health_hint import HealthHint
from mothstall.store.protocol import keeper_messages, observer_messages
from mothstall.store.protocol.frames import Greeting
from mothstall.store.raft import messages
from mothstall.store.raft.messages import Configuration, EntryKind, HardState, RecoveryStatus
from mothstall.store.state import changes
from mothstall.store.state.changes import ChangeResult, MemberJoin, MemberLeave, Proposal
from mothstall.store.state.rows import Drain, Lease, Member, StateDelta, StoredValue
from tests.compatibility.fixture_files import fixture_bytes

HINT = HealthHint(
    is_unhealthy=True,
    evidence="ConnectionRefusedError: 111",
    state_age_ms=1500,
    probe_count=12,
)
PLAN = FailoverPlan(
    number=7,
    weights={"z1": {"z1": 0.25, "z2": 0.5}, "z2": {"z2": 1.0}},
    overflow_fractions={"z1": 0.25},
    pair_states={
        "z1>z1": ZonePairState(
            allowed_fraction=0.25, failed_recoveries=2, state_age_ms=4000, is_recovering=True
        ),
        "z1>z2": ZonePairState(allowed_fraction=1.0, failed_recoveries=1, state_age_ms=30000),
    },
    baseline_weights={"z1": {"z1": 1.0}, "z2": {"z2": 0.75, "z1": 0.25}},
    capacity_per_weight={"z1": 40.5, "z2": 80.25},
    planned_load={"z1": 20.5, "z2": 61.25},
    capacities={"z1": 21.5, "z2": 80.5},
    reasons=("z1 is 75% ill from z1", "z2 is cut off"),
    hold_remaining_ms=1200,
    overrides_number=3,
)
OVERRIDES = OperatorOverrides(
    evacuated_fractions={"z1": 0.4, "z3": 1.0},
    hold_ms=600_000,
    number=3,
    operator="ada",
    reason="maintenance",
)
REPORT = TrafficReport(
    proxy="proxy-a",
    zone="z1",
    sequence_number=41,
    interval_ms=1003,
    plan_number=7,
    requests=120,
    rejected=3,
    outcomes={
        "z1": {
            "read": OutcomeCounts(good=80, late=5, failed=4, connect_failed=3, rejected=2),
            "write": OutcomeCounts(good=10, late=1),
        },
        "z2": {"read": OutcomeCounts(good=9, failed=1)},
    },
    warm_weights={"z1": 12.5, "z2": 3.25},
    utilization={"z1": 0.5},
)
AGGREGATE = TrafficReport(
    proxy="observer/o1@z1",
    zone="z1",
    sequence_number=9,
    interval_ms=1001,
    plan_number=7,
    requests=2400,
    rejected=60,
    warm_weights={"z1": 12.5, "z2": 3.25},
    utilization={"z2": 0.5},
    proxy_count=20,
    proxies_on_plan=18,
    histograms={
        "z1": (
            HistogramBucket(proxy_count=15, attempts=1500, bad_attempts=10),
            HistogramBucket(proxy_count=4, attempts=400, bad_attempts=120),
        ),
        "z3": (HistogramBucket(proxy_count=1, attempts=100, bad_attempts=100),),
    },
)
LEASE = Lease(
    name="probe/backend-1",
    owner="proxy-a#0a0b0c",
    duration_ms=2000,
    token=5,
    info={"zone": "z1", "port": "7001"},
)
DRAIN = Drain(
    kind="box",
    name="backend-2",
    requested_by="ada",
    requested_at="2026-12-01T10:00:00Z",
    reason="kernel update",
)
ZONE_DRAIN = Drain(
    kind="zone",
    name="z2",
    requested_by="grace",
    requested_at="2026-12-01T11:00:00Z",
    reason="power work",
)
STORED_VALUE = StoredValue(
    key="hint/backend-1", value=msgspec.msgpack.encode(HINT), lease="probe/backend-1", token=5
)
MEMBER = Member(name="p1", owner="p1#010203", epoch=4, zone="z1", lease="observer/o1", token=9)
PUT_DRAIN = changes.PutDrain(drain=DRAIN)
CHANGES: dict[str, changes.Change] = {
    "Open": changes.OpenSession(client="proxy-a#0a0b0c"),
    "Take": changes.AcquireLease(
        name="probe/backend-1", owner="proxy-a#0a0b0c", duration_ms=2000, info={"zone": "z1"}
    ),
    "Renew": changes.RenewLeases(
        owner="proxy-a#0a0b0c", leases=(("probe/backend-1", 5), ("member/proxy-a", 1))
    ),
    "Drop": changes.ReleaseLease(name="probe/backend-1", token=5),
    "Seize": changes.RevokeLease(name="failover", requested_by="ada", reason="it is stuck"),
    "Expire": changes.ExpireLeases(leases=(("probe/backend-1", 5), ("probe/backend-3", 6))),
    "Write": changes.PutValue(
        lease="probe/backend-1",
        token=5,
        key="hint/backend-1",
        value=msgspec.msgpack.encode(HINT),
    ),
    "PutDrain": PUT_DRAIN,
    "Undrain": changes.RemoveDrain(kind="zone", name="z2", requested_by="grace"),
    "Attach": changes.UpdateMembers(
        lease="observer/o1",
        token=9,
        joins=(
            MemberJoin(name="p1", owner="p1#010203", epoch=4, zone="z1"),
            MemberJoin(name="p2", owner="p2#040506", epoch=1),
        ),
        leaves=(MemberLeave(name="p3", owner="p3#070809", epoch=2, token=8),),
    ),
}
CONFIGURATION = Configuration(voters=("k1", "k2", "k3"), learners=("k4",))
PROPOSAL = Proposal(session=3, sequence_number=4, change=CHANGES["Take"])
RESULT = ChangeResult(
    rejected_reason="held by another",
    token=5,
    owner="proxy-a#0a0b0c",
    lost_leases=("member/proxy-a",),
    version=77,
)
DELTA = StateDelta(
    since_version=70,
    version=77,
    leases={"probe/backend-1": LEASE, "member/proxy-b": None},
    drains={"box:backend-2": DRAIN, "zone:z2": ZONE_DRAIN, "box:backend-9": None},
    values={"hint/backend-1": STORED_VALUE, "zones/plan": None},
    members={"p1": MEMBER, "p9": None},
)
PUBLISHED = (encode_report(REPORT), encode_report(AGGREGATE))


def raft_messages() -> dict[str, Any]:
    entries = (
        messages.Entry(
            index=10, term=2, kind=EntryKind.COMMAND, data=msgspec.msgpack.encode(PROPOSAL)
        ),
        messages.Entry(index=11, term=3, kind=EntryKind.NO_OP, data=b""),
        messages.Entry(
            index=12,
            term=3,
            kind=EntryKind.CONFIGURATION,
            data=msgspec.msgpack.encode(CONFIGURATION),
        ),
    )
    return {
        "VoteAsk": messages.RequestVote(
            sender="k1",
            recipient="k2",
            term=3,
            last_log_index=12,
            last_log_term=2,
            is_pre_vote=False,
            is_leadership_transfer=True,
        ),
        "VoteAnswer": messages.RequestVoteResponse(
            sender="k1", recipient="k2", term=3, is_pre_vote=True, vote_granted=False
        ),
        "Append": messages.AppendEntries(
            sender="k1",
            recipient="k2",
            term=3,
            prev_log_index=9,
            prev_log_term=1,
            entries=entries,
            leader_commit=8,
            read_round=21,
        ),
        "AppendAnswer": messages.AppendEntriesResponse(
            sender="k1",
            recipient="k2",
            term=3,
            success=True,
            prev_log_index=9,
            match_index=12,
            read_round=21,
            recovery_status=RecoveryStatus.NORMAL,
        ),
        "Install": messages.InstallSnapshot(
            sender="k1",
            recipient="k2",
            term=3,
            last_included_index=8,
            last_included_term=2,
            configuration=CONFIGURATION,
            offset=100,
            total_bytes=103,
            data=b"\x01\x02\x03",
        ),
        "InstallAnswer": messages.InstallSnapshotResponse(
            sender="k1",
            recipient="k2",
            term=3,
            last_included_index=8,
            received_bytes=103,
            recovery_status=RecoveryStatus.RECOVERING,
        ),
        "HandOver": messages.TimeoutNow(sender="k1", recipient="k2", term=3),
        "Forward": messages.ForwardProposal(
            sender="k1", recipient="k2", data=msgspec.msgpack.encode(PROPOSAL)
        ),
        "ReadAsk": messages.ReadIndex(sender="k1", recipient="k2", term=3, context=31),
        "ReadAnswer": messages.ReadIndexResponse(
            sender="k1", recipient="k2", term=3, context=31, read_index=12
        ),
        "Hello": messages.RecoveryQuery(
            sender="k1", recipient="k2", seen_term=3, last_log_term=2, last_log_index=12
        ),
        "Seen": messages.RecoveryReport(
            sender="k1", recipient="k2", seen_term=3, last_log_term=2, last_log_index=12
        ),
        "Relay": keeper_messages.RelayReports(reports=PUBLISHED),
    }


CALLS = {
    "Ask": keeper_messages.ProposeRequest(request_id=17, proposal=PROPOSAL, wait_ms=1500),
    "Withdraw": keeper_messages.CancelRequest(request_id=17),
    "Read": keeper_messages.ReadRequest(request_id=19),
    "Watch": keeper_messages.WatchRequest(known_version=70),
    "Order": keeper_messages.AdminCommand(request_id=18, verb="transfer", target="k2"),
    "Report": keeper_messages.PublishReport(report=PUBLISHED[0]),
    "Listen": keeper_messages.SubscribeReports(enabled=True),
}
ANSWERS = {
    "Answer": keeper_messages.ProposeResponse(request_id=17, result=RESULT),
    "Told": keeper_messages.ReadResponse(request_id=19, delta=DELTA),
    "Push": keeper_messages.WatchEvent(delta=DELTA, has_leader=True),
    "Said": keeper_messages.AdminResponse(
        request_id=18, rejected_reason="this keeper does not lead", body=b'{"name": "k1"}'
    ),
    "Heard": keeper_messages.ReportBatch(reports=PUBLISHED),
}
OBSERVER_CALLS = {
    "Come": observer_messages.AttachRequest(
        name="p1", epoch=4, zone="z1", backend_prefixes=("web-", "api-"), known_version=70
    ),
    "Alive": observer_messages.Heartbeat(epoch=4),
    "Again": observer_messages.ResyncRequest(known_version=69),
    "Bye": observer_messages.DetachRequest(epoch=4),
}
OBSERVER_ANSWERS = {
    "Fed": observer_messages.StateUpdate(delta=DELTA, age_ms=250),
    "Seated": observer_messages.AttachAccepted(epoch=4),
    "Turned": observer_messages.AttachRejected(epoch=4, reason="it is not known here"),
}
LOCAL_REQUESTS = {
    "Here": keeper_messages.LocalDrainRequest(request_id=20, lease="failover", token=12),
    "Here-PutDrain": keeper_messages.LocalDrainRequest(request_id=21, change=PUT_DRAIN),
}
RECORDS = {
    "Hard": HardState(current_term=3, voted_for="k1", is_recovering=True),
    "Members": CONFIGURATION,
}
GREETING = Greeting(name="k1", role="keeper", nonce=bytes(range(16)))


def structs_by_file() -> dict[str, Any]:
    found: dict[str, Any] = {"greetings/Greeting-keeper": GREETING}
    for folder, rows in (
        ("keeper_messages", raft_messages()),
        ("calls_to_keeper", CALLS),
        ("keeper_answers", ANSWERS),
        ("calls_to_observer", OBSERVER_CALLS),
        ("observer_answers", OBSERVER_ANSWERS),
        ("calls_to_proxy", LOCAL_REQUESTS),
        ("keeper_records", RECORDS),
        ("values", {"Hint": HINT, "Plan": PLAN, "Orders": OVERRIDES, "Report": REPORT}),
    ):
        found |= {f"{folder}/{name}": struct for name, struct in rows.items()}
    for number, (name, change) in enumerate(CHANGES.items(), 1):
        session = 0 if name == "Expire" else 3  # leases expire outside of sessions
        found[f"proposals/Proposal-{name}"] = Proposal(
            session=session, sequence_number=number, change=change
        )
    return found


STRUCTS = structs_by_file()


@pytest.mark.parametrize("path", STRUCTS)
def test_a_struct_built_by_field_names_encodes_to_the_fixture(path: str) -> None:
    assert msgspec.msgpack.encode(STRUCTS[path]) == fixture_bytes(f"{path}.msgpack")


def test_an_aggregate_built_by_field_names_encodes_to_the_fixture() -> None:
    assert encode_report(AGGREGATE) == fixture_bytes("values/Report-sum.msgpack")


def test_a_persisted_state_built_by_field_names_encodes_to_the_fixture() -> None:
    state = PersistedState(drains=[DRAIN, ZONE_DRAIN], tokens={"failover": 4, "probe/backend-1": 2})
    assert msgspec.json.encode(state) == fixture_bytes("proxy/p1.agent")
