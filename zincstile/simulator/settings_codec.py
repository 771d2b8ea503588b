"""Reads the operators' settings, as JSON, into the decisions' own records.

The keys are translated here alone.
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
LOAD_REPORT_FIELDS: Final = {  # name in the settings: name in load reports
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
PUSHED: Final = "pushed"
ON_REQUEST: Final = "on_request"


class WireError(ValueError):
    """A frame, a record or the settings can't be understood; the text names what."""


def read_settings(text: bytes) -> Settings:
    """The settings in a JSON text; WireError names the key that is missing or can't work."""
    try:
        table = json.loads(text)
    except (ValueError, RecursionError):
        raise WireError("settings: not JSON") from None
    try:
        return _settings(table)
    except WireError:
        raise
    except (ValueError, TypeError, KeyError, OverflowError, AttributeError) as err:
        raise WireError(f"settings: {err}") from None


def _need(table: dict[str, Any], key: str) -> Any:
    if not isinstance(table, dict) or key not in table:
        raise WireError(f"settings: key '{key}' is missing")
    return table[key]


def _request_class(table: dict[str, Any]) -> RequestClass:
    effect = _need(table, "effect")
    if effect not in IDEMPOTENCY:
        raise WireError(f"settings: unknown effect '{effect}'")
    return RequestClass(
        name=str(_need(table, "name")),
        latency_objective_ns=int(_need(table, "aim_ns")),
        deadline_ns=int(_need(table, "deadline_ns")),
        idempotency=IDEMPOTENCY[effect],
        priority_weight=float(_need(table, "gain")),
        late_weight=float(table.get("late_worth", 0)),
        deduplication_scope=DeduplicationScope(table.get("group", "all")),
        deduplication_window_ns=int(table.get("window_ns", 0)),
        streaming=bool(table.get("stream", False)),
    )


def _customer_plan(table: dict[str, Any]) -> CustomerPlan:
    return CustomerPlan(
        name=str(table.get("name", "")),
        price=float(_need(table, "price")),
        rate=float(_need(table, "refill")),
        burst=float(_need(table, "burst")),
        max_in_flight=int(_need(table, "concurrency")),
        over_quota_weight=float(_need(table, "over_worth")),
        over_quota_cost=float(_need(table, "beyond_costs")),
        ceiling_rate=float(_need(table, "never_over_rate")),
        ceiling_burst=float(_need(table, "hard_burst")),
        ceiling_slack=float(_need(table, "tolerance")),
    )


def _settings(table: dict[str, Any]) -> Settings:
    classes = [_request_class(row) for row in _need(table, "classes")]
    plans = [_customer_plan(row) for row in _need(table, "plans")]
    discovery = _need(table, "discovery")
    if discovery not in (PUSHED, ON_REQUEST):
        raise WireError(f"settings: unknown discovery '{discovery}'")
    limits = _need(table, "limits")
    rules = _need(table, "obligations")
    domain = table.get("domain") or {}
    report_fields = (table.get("telemetry") or {}).get("fields", [])
    return Settings(
        gateway_index=int(_need(table, "ordinal")),
        gateway_count=int(_need(table, "balancers")),
        classes=classes,
        plans=plans,
        zone=int(_need(table, "zone")),
        polls_endpoint_list=discovery == ON_REQUEST,
        gossips=bool(_need(limits, "peers")),
        probes=bool(_need(limits, "probes")),
        cancels_attempts=bool(_need(limits, "cancel")),
        hedges=bool(_need(limits, "may_duplicate")),
        retry_after=bool(_need(limits, "retry_after")),
        max_attempts=int(_need(limits, "send_cap")),
        max_retry_after_ns=int(limits.get("max_retry_after_ns", 0)),
        gossip_in_per_s=float(domain.get("peer_intake", 0)),
        max_request_units=float(domain.get("units_top", 1)),
        settles_actual_units=bool(domain.get("cost_after", False)),
        drain_grace_ns=int(_need(rules, "drain_grace_ns")),
        slow_start_share=float(_need(rules, "start_capacity")),
        slow_start_ns=int(_need(rules, "warm_up_ns")),
        slow_start_overload_multiple=float(_need(rules, "overload_factor")),
        slow_start_window_ns=int(_need(rules, "fall_ns")),
        cross_zone_price=float((table.get("prices") or {}).get("cross_zone", 0)),
        load_report_fields=[LOAD_REPORT_FIELDS.get(name, str(name)) for name in report_fields],
    )
