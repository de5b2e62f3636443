"""Translates policies of earlier revisions to the present names of the interface.

Before the policy became a package, `mothstall/choice.py` used other names for settings, events and
actions. Only these names are replaced; the behaviour of the policy stays the same.
"""

from __future__ import annotations

import re

# Former to present name, for names that modules imported.
_IMPORTED = {"Group": "KeyScope", "Result": "AttemptResult", "Scope": "UpdateScope"}

_RENAMED = {
    r"\bio\.Refuse\b": "io.Reject",
    r"\bio\.Fail\b": "io.FailRequest",
    r"\bio\.FetchList\b": "io.PollEndpoints",
    r"\bio\.CloseIdle\b": "io.CloseIdleConnections",
    r"\bio\.Hinted\b": "io.HealthHint",
    r"\bio\.Shares\b": "io.ZoneWeights",
    r"\bio\.Predecessor\b": "io.InheritedState",
    r"\bio\.Successor\b": "io.SuccessorChanged",
    r"\bio\.Known\b": "io.InheritedBackend",
    r"\bio\.AttemptHeld\b": "io.AttemptAwaitsBody",
    r"\bio\.AnswerCut\b": "io.ResponseCut",
    r"\bio\.BackendList\b": "io.EndpointUpdate",
    r"\bio\.Entry\b": "io.Endpoint",
    r"\bio\.Subscribe\b": "io.WatchEndpoints",
    r"\bio\.Probe\b": "io.ProbeLoad",
    r"\bio\.ProbeEnded\b": "io.LoadProbeEnded",
    r"\bEffect\.SAFE\b": "Effect.IDEMPOTENT",
    r"\bEffect\.KEYED\b": "Effect.IDEMPOTENT_WITH_KEY",
    r"\bEffect\.UNSAFE\b": "Effect.NON_IDEMPOTENT",
    r"\bcls\.aim_ns\b": "cls.objective_ns",
    r"\bc\.worth\b": "c.priority_weight",
    r"\bt\.allowance_per_s\b": "t.quota_per_s",
    r"\.ask_within_ns\b": ".poll_within_ns",
    r"\.cold_from\b": ".initial_warmth",
    r"\.cold_ns\b": ".slow_start_ns",
    r"\.fall_multiple\b": ".overload_multiple",
    r"\.fall_ns\b": ".overload_window_ns",
    r"\.parallel_attempts\b": ".may_hedge",
    r"\bev\.cls\b": "ev.class_index",
    r"\bev\.tenant\b": "ev.tenant_index",
    r"\bev\.again\b": "ev.may_retry",
    r"\bev\.on\b": "ev.is_running",
    r"\bev\.parts\b": "ev.weights",
    r"\badvice\.parts\b": "advice.weights",
    r"\badvice\.stays\b": "advice.rejected_part",
    r"\bk\.limit\b": "k.concurrency_limit",
    r"\bk\.fails\b": "k.failure_score",
    r"\bk\.out_until_ns\b": "k.ejected_until_ns",
    r"\bk\.backoff_ns\b": "k.ejection_ns",
    r"\bev\.usual_ns\b": "ev.usual_latency_ns",
    r"\bev\.room\b": "ev.capacity",
    r"\bev\.budget\b": "ev.retry_tokens",
    r"\bev\.calm\b": "ev.baselines",
    r"\bev\.known\b": "ev.backends",
}
_IMPORT = re.compile(r"(?m)^from mothstall\.interface import (.+)$")


def in_present_names(text: str) -> str:
    """Return the source of an earlier single-file policy with the present names."""
    for pattern, name in _RENAMED.items():
        text = re.sub(pattern, name, text)
    return _IMPORT.sub(_present_import, text)


def _present_import(found: re.Match[str]) -> str:
    names = [name.strip() for name in found[1].split(",")]
    renamed = [f"{_IMPORTED[name]} as {name}" if name in _IMPORTED else name for name in names]
    return f"from mothstall.interface import {', '.join(renamed)}"
