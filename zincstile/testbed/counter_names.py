"""Names of the gateways' counters in stored results, which are older than the names in the log."""

from __future__ import annotations

from typing import Final

# Results are kept for years, so stored names do not change (docs/on-call.md, "Names of before").
STORED_NAMES: Final = {
    "rejected": "denied",
    "abandoned": "left",
    "attempt_rejected": "full",
    "not_sent": "moot",
    "malformed_response": "spoilt",
    "stale_connection": "stale",
    "batches": "turns",
    "control_rejected": "control_no",
    "control_malformed": "control_bad",
    "streams_truncated": "streams_cut",
    "close_evicted": "close_room",
    "close_truncated": "close_cut",
    "reject_sessions": "refuse_sessions",
    "reject_not_ready": "refuse_not_ready",
    "reject_unknown_age": "refuse_waited",
    "reject_stopping": "refuse_over",
    "reject_quota": "refuse_quota",
    "reject_ceiling": "refuse_ceiling",
    "reject_budget": "refuse_budget",
    "reject_no_endpoint": "refuse_no_server",
    "reject_no_retry": "refuse_no_retry",
    "retry_rejected": "retry_full",
    "retry_not_sent": "retry_moot",
    "retry_reset": "retry_broken",
    "retry_malformed_response": "retry_spoilt",
    "quota_service_calls": "keeper_calls",
    "quota_service_unanswered": "keeper_unanswered",
    "quota_service_overflow": "keeper_full",
}


def by_stored_name(counters: dict[str, float]) -> dict[str, float]:
    """Returns the counters of a log line under the names used in stored results."""
    return {STORED_NAMES.get(name, name): count for name, count in counters.items()}
