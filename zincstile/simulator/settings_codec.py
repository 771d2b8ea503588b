"""Decodes the operators' settings from JSON into the `Settings` of the decisions.

The outside keys are mapped to field names here only.
"""

from __future__ import annotations

import json
from typing import Any, Final

from ..decisions.settings import CustomerPlan, DeduplicationScope, Idempotency, RequestClass, Settings

IDEMPOTENCY: Final = {
    "free": Idempotency.ALWAYS,
    "guarded": Idempotency.BY_KEY,
    "single_shot": Idempotency.NEVER,
}
# Maps a name in the settings to the name in load reports.
LOAD_REPORT_FIELDS: Final = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
DISCOVERY_PUSHED: Final = "pushed"
DISCOVERY_ON_REQUEST: Final = "on_request"


class WireError(ValueError):
    """A frame, a record or the settings are malformed; the message says what is wrong."""


def read_settings(text: bytes) -> Settings:
    """Decodes the settings; raises WireError, which names the key that is missing or invalid."""
    try:
        table = json.loads(text)
    except (ValueError, RecursionError):
        raise WireError("settings: not valid JSON") from None
    try:
        return _settings(table)
    except WireError:
        raise
    except (ValueError, TypeError, KeyError, OverflowError, AttributeError) as err:
        raise WireError(f"settings: {err}") from None


def _require(table: dict[str, Any], key: str) -> Any:
    if not isinstance(table, dict) or key not in table:
        raise WireError(f"settings: key '{key}' is missing")
    return table[key]


def _request_class(table: dict[str, Any]) -> RequestClass:
    effect = _require(table, "effect")
    if effect not in IDEMPOTENCY:
        raise WireError(f"settings: unknown effect '{effect}'")
    return RequestClass(
        name=str(_require(table, "name")),
        latency_objective_ns=int(_require(table, "aim_ns")),
        deadline_ns=int(_require(table, "deadline_ns")),
        idempotency=IDEMPOTENCY[effect],
        priority_weight=float(_require(table, "gain")),
        late_weight=float(table.get("late_worth", 0)),
        deduplication_scope=DeduplicationScope(table.get("group", "all")),
        deduplication_window_ns=int(table.get("window_ns", 0)),
        streaming=bool(table.get("stream", False)),
    )


def _customer_plan(table: dict[str, Any]) -> CustomerPlan:
    return CustomerPlan(
        name=str(table.get("name", "")),
        price=float(_require(table, "price")),
        rate=float(_require(table, "refill")),
        burst=float(_require(table, "burst")),
        max_in_flight=int(_require(table, "concurrency")),
        over_quota_weight=float(_require(table, "over_worth")),
        over_quota_cost=float(_require(table, "beyond_costs")),
        ceiling_rate=float(_require(table, "never_over_rate")),
        ceiling_burst=float(_require(table, "hard_burst")),
        ceiling_slack=float(_require(table, "tolerance")),
    )


def _settings(table: dict[str, Any]) -> Settings:
    classes = [_request_class(row) for row in _require(table, "classes")]
    plans = [_customer_plan(row) for row in _require(table, "plans")]
    discovery = _require(table, "discovery")
    if discovery not in (DISCOVERY_PUSHED, DISCOVERY_ON_REQUEST):
        raise WireError(f"settings: unknown discovery '{discovery}'")
    limits = _require(table, "limits")
    obligations = _require(table, "obligations")
    domain = table.get("domain") or {}
    report_fields = (table.get("telemetry") or {}).get("fields", [])
    return Settings(
        gateway_index=int(_require(table, "ordinal")),
        gateway_count=int(_require(table, "balancers")),
        classes=classes,
        plans=plans,
        zone=int(_require(table, "zone")),
        polls_endpoint_list=discovery == DISCOVERY_ON_REQUEST,
        gossips=bool(_require(limits, "peers")),
        probes=bool(_require(limits, "probes")),
        cancels_attempts=bool(_require(limits, "cancel")),
        hedges=bool(_require(limits, "may_duplicate")),
        retry_after=bool(_require(limits, "retry_after")),
        max_attempts=int(_require(limits, "send_cap")),
        max_retry_after_ns=int(limits.get("max_retry_after_ns", 0)),
        gossip_in_per_s=float(domain.get("peer_intake", 0)),
        max_request_units=float(domain.get("units_top", 1)),
        settles_actual_units=bool(domain.get("cost_after", False)),
        drain_grace_ns=int(_require(obligations, "drain_grace_ns")),
        slow_start_share=float(_require(obligations, "start_capacity")),
        slow_start_ns=int(_require(obligations, "warm_up_ns")),
        slow_start_overload_multiple=float(_require(obligations, "overload_factor")),
        slow_start_window_ns=int(_require(obligations, "fall_ns")),
        cross_zone_price=float((table.get("prices") or {}).get("cross_zone", 0)),
        load_report_fields=[LOAD_REPORT_FIELDS.get(name, str(name)) for name in report_fields],
    )
