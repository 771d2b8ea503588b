"""Transfer of state from the old to the new process of a gateway, as a table for JSON. No I/O, no clock.

Without it, a new process under load would first have to learn again the latencies of the fleet, the
concurrency limit, what warming endpoints may be sent, and the units that this gateway and its peers sent for
each customer. `snapshot` writes this state, `state_validation.validate` checks a table, and `restore` applies
it to parts that have not handled any event. Times are written as ages in seconds.

The new process continues the running totals of customers under the same incarnation, so that peers see a
single gateway. What the old process sends after `snapshot` is added from its `running_totals` once it has
ended. Attempts and requests are not transferred: the process that has them finishes them. The keys of the
table are those that older versions read.
"""

from __future__ import annotations

import math
from operator import attrgetter
from typing import Any, Final

from .endpoints import Endpoint, InheritedScores
from .parts import DecisionParts
from .records import Customer, PeerUsage
from .units import SECOND_NS

FORMAT_VERSION: Final = 1  # the key `form` of the table
MAX_AGE_S: Final = 1e9

# Part and attribute of each number under the key `plain`, in the order of the table.
FINITE_ATTRIBUTES: Final = (
    ("limit", "answer_lateness"),
    ("limit", "answers"),
    ("limit", "timeout_lateness"),
    ("limit", "timeouts"),
    ("limit", "completed_per_s"),
    ("slow_start", "peak_endpoint_rate"),
    ("limit", "overload_signal"),
    ("detector", "stale_rate"),
    ("limit", "mean_units"),
    ("admission", "retry_budget"),
)
# The same for the key `levels`, whose numbers may be infinite.
POSSIBLY_INFINITE_ATTRIBUTES: Final = (("limit", "limit"), ("limit", "high_water_mark"))
GROUP_ATTRIBUTES: Final = ("arrival_rate", "sent_units", "earned_value", "admission_rate")
CUSTOMER_ATTRIBUTES: Final = {  # from the key in the table to the attribute of `Customer`
    "level": "level",
    "ceiling": "ceiling_level",
    "mine": "own_recent",
    "theirs": "peers_recent",
    "untold": "unreported",
    "total": "total",
    "word": "relay_level",
}
USAGE_ATTRIBUTES: Final = {  # likewise, of `PeerUsage`
    "start": "incarnation",
    "total": "total",
    "open": "in_flight",
    "mark": "query_id",
    "granted": "granted",
}


class InheritedStateError(ValueError):
    """An invalid table. The message names the key."""


def snapshot(parts: DecisionParts, now: int, max_customers: int) -> dict[str, Any]:
    """Returns the state as a table, with at most `max_customers` customers: those that were used last."""
    by_last_use = sorted(parts.ledger.customers.values(), key=attrgetter("filled_ns"))
    return {
        "form": FORMAT_VERSION,
        "start": parts.gossip.incarnation,
        "begun": parts.ledger.traffic_seen,
        "rose": parts.limit.rose_since_decrease,
        "met": parts.limit.requests,
        "cut_s": _age_s(now, parts.limit.decreased_ns),
        "plain": [getattr(getattr(parts, part), name) for part, name in FINITE_ATTRIBUTES],
        "levels": [getattr(getattr(parts, part), name) for part, name in POSSIBLY_INFINITE_ATTRIBUTES],
        "unit_ns": parts.latency.unit_ns,
        "calm_ns": parts.latency.unloaded_unit_ns,
        "seen": parts.latency.samples,
        "broken": parts.detector.connection_errors,
        "leaves": [[getattr(group, name) for name in GROUP_ATTRIBUTES] for group in parts.budget.groups],
        "servers": [
            _endpoint_row(now, endpoint)
            for endpoint in parts.endpoints.by_id.values()
            if endpoint.error_scores or endpoint.latency_ratio != 1.0
        ],
        "heard": [
            [peer, incarnation, _age_s(now, time_ns)]
            for peer, (incarnation, time_ns) in parts.peers.last_message.items()
        ],
        "customers": [_customer_row(now, customer) for customer in by_last_use[-max_customers:]],
    }


def running_totals(parts: DecisionParts) -> dict[str, Any]:
    """Returns the running total of each customer, which includes what was sent after `snapshot`."""
    customers = parts.ledger.customers.values()
    return {
        "form": FORMAT_VERSION,
        "start": parts.gossip.incarnation,
        "totals": [[customer.key, customer.total] for customer in customers],
    }


def _age_s(now: int, time_ns: float) -> float:
    return min(MAX_AGE_S, max(0.0, (now - time_ns) / SECOND_NS))


def _endpoint_row(now: int, endpoint: Endpoint) -> dict[str, Any]:
    started_ns = endpoint.entry.started_ns
    return {
        "id": endpoint.entry.id,
        "started_s": _age_s(now, started_ns) if started_ns else 0.0,
        "slowness": endpoint.latency_ratio,
        "doubt": sorted(endpoint.error_scores.items()),
    }


def _customer_row(now: int, customer: Customer) -> dict[str, Any]:
    row = {key: getattr(customer, name) for key, name in CUSTOMER_ATTRIBUTES.items()}
    return row | {
        "key": customer.key,
        "plan": customer.plan,
        "spread": customer.gateway_set_size,
        "known": customer.gateway_set_known,
        "wide": customer.relayed,
        "told": customer.peers,
        "mark": customer.query_id,
        "filled_s": _age_s(now, customer.filled_ns),
        "used_s": _age_s(now, customer.ceiling_filled_ns),
        "word_s": _age_s(now, customer.relay_answer_ns),
        "peers": [_usage_row(now, peer, usage) for peer, usage in customer.usage.items()],
    }


def _usage_row(now: int, peer: int, usage: PeerUsage) -> dict[str, Any]:
    row = {
        "peer": peer,
        "told_s": _age_s(now, usage.received_ns),
        "granted_s": _age_s(now, usage.granted_ns),
    }
    return row | {key: getattr(usage, name) for key, name in USAGE_ATTRIBUTES.items()}


def restore(parts: DecisionParts, now: int, table: dict[str, Any]) -> None:
    """Applies a validated table to parts that have not handled any event."""
    parts.gossip.incarnation = table["start"]
    parts.ledger.traffic_seen = table["begun"]
    parts.limit.rose_since_decrease = table["rose"]
    parts.limit.requests = table["met"]
    parts.limit.decreased_ns = _time_ns(now, table["cut_s"])
    numbers = table["plain"] + table["levels"]
    for (part, name), value in zip(FINITE_ATTRIBUTES + POSSIBLY_INFINITE_ATTRIBUTES, numbers, strict=True):
        setattr(getattr(parts, part), name, value)
    parts.latency.restore(table["unit_ns"], table["calm_ns"], [int(count) for count in table["seen"]])
    parts.detector.connection_errors = list(table["broken"])
    for group, values in zip(parts.budget.groups, table["leaves"], strict=True):
        for name, value in zip(GROUP_ATTRIBUTES, values, strict=True):
            setattr(group, name, value)
        if parts.limit.limit == math.inf:  # no tick computes the rates anew
            group.admission_rate = 1.0
    parts.endpoints.inherited = {row["id"]: _inherited_scores(now, row) for row in table["servers"]}
    parts.peers.last_message = {
        peer: (incarnation, _time_ns(now, age_s)) for peer, incarnation, age_s in table["heard"]
    }
    for row in table["customers"]:
        _restore_customer(parts, now, row)


def _time_ns(now: int, age_s: float) -> int:
    return now - int(age_s * SECOND_NS)


def _inherited_scores(now: int, row: dict[str, Any]) -> InheritedScores:
    started_ns = _time_ns(now, row["started_s"]) if row["started_s"] else 0
    return InheritedScores(started_ns, row["slowness"], dict(row["doubt"]))


def _restore_customer(parts: DecisionParts, now: int, row: dict[str, Any]) -> None:
    customer = parts.ledger.get_or_create(row["key"], row["plan"], 0.0, _time_ns(now, row["filled_s"]))
    for key, name in CUSTOMER_ATTRIBUTES.items():
        setattr(customer, name, row[key])
    customer.level = max(customer.level, -parts.settings.plans[customer.plan].burst)
    customer.gateway_set_size = row["spread"]
    customer.gateway_set_known = row["known"]
    customer.relayed = row["wide"]
    customer.query_id = row["mark"]
    customer.peers = list(row["told"])
    customer.ceiling_filled_ns = _time_ns(now, row["used_s"])
    customer.relay_answer_ns = _time_ns(now, row["word_s"])
    for usage_row in row["peers"]:
        customer.usage[usage_row["peer"]] = PeerUsage(
            usage_row["start"],
            usage_row["total"],
            usage_row["open"],
            _time_ns(now, usage_row["told_s"]),
            usage_row["mark"],
            usage_row["granted"],
            _time_ns(now, usage_row["granted_s"]),
        )
    if not customer.relayed:
        parts.peers.direct.update(dict.fromkeys(customer.peers, True))
    if customer.unreported:
        parts.gossip.changed[customer.key] = customer


def apply_totals(parts: DecisionParts, table: Any, taken_over: dict[int, float], modulus: float) -> int:
    """Charges each customer for what the old process sent after `snapshot`, as `running_totals` reports it.

    `taken_over`: the totals in the snapshot, by customer. Returns the number of customers charged. Raises
    InheritedStateError if the table is malformed or of another process.
    """
    if (
        not isinstance(table, dict)
        or table.get("form") != FORMAT_VERSION
        or not isinstance(table.get("totals"), list)
    ):
        raise InheritedStateError("key form: must be 1, with a list under the key totals")
    if table.get("start") != parts.gossip.incarnation:
        raise InheritedStateError("key start: belongs to another process")
    count = 0
    for row in table["totals"]:
        try:
            key, total = row
            units = (float(total) - taken_over[key] + modulus / 2) % modulus - modulus / 2
        except (TypeError, ValueError):
            raise InheritedStateError("key totals: must be a list of pairs of customer and total") from None
        except KeyError:
            continue  # first seen after `snapshot`: the old process itself has reported its units
        customer = parts.ledger.customers.get(key) if units > 0 and math.isfinite(units) else None
        if customer is not None:
            customer.level -= units
            customer.ceiling_level -= units
            customer.own_recent += units
            customer.total = (customer.total + units) % modulus
            count += 1
    return count
