"""Validation of a table of `state_transfer`, before any of it is applied: partial state is worse than none.

Rejects a file that is damaged or was written under other settings.
"""

from __future__ import annotations

import math
from typing import Any, Final

from .parts import DecisionParts
from .state_transfer import (
    CUSTOMER_ATTRIBUTES,
    FINITE_ATTRIBUTES,
    FORMAT_VERSION,
    GROUP_ATTRIBUTES,
    POSSIBLY_INFINITE_ATTRIBUTES,
    InheritedStateError,
)

MIN_LEVEL: Final = -1e15  # the level of a token bucket may be below 0


def validate(table: Any, parts: DecisionParts) -> None:
    """Raises InheritedStateError if the table doesn't fit the parts, which have this process's settings."""
    if not isinstance(table, dict) or table.get("form") != FORMAT_VERSION:
        raise InheritedStateError("key form: must be 1")
    try:
        _check_estimates(table, parts)
        for row in table["servers"]:
            _check_endpoint(row)
        for peer, incarnation, age_s in table["heard"]:
            _check_number(peer, "heard", integer=True)
            _check_number(incarnation, "heard", integer=True)
            _check_number(age_s, "heard")
        plan_count = len(parts.budget.groups) // (2 * len(parts.latency.unit_ns))
        for row in table["customers"]:
            _check_customer(row, plan_count)
    except KeyError as err:
        raise InheritedStateError(f"key {err}: missing") from None
    except InheritedStateError:
        raise
    except (TypeError, ValueError):
        raise InheritedStateError("a value has the wrong type") from None


def _check_number(
    value: Any, key: str, *, minimum: float = 0.0, integer: bool = False, may_be_infinite: bool = False
) -> None:
    if isinstance(value, bool) or not isinstance(value, int if integer else (int, float)):
        raise InheritedStateError(f"key {key}: must be a number, and a whole one where the key requires it")
    if not minimum <= value or not (may_be_infinite or math.isfinite(value)):
        raise InheritedStateError(f"key {key}: number is too small or not finite")


def _check_numbers(
    values: Any, key: str, length: int, *, minimum: float = 0.0, may_be_infinite: bool = False
) -> None:
    if not isinstance(values, list) or len(values) != length:
        raise InheritedStateError(f"key {key}: must be a list of {length} numbers")
    for value in values:
        _check_number(value, key, minimum=minimum, may_be_infinite=may_be_infinite)


def _check_estimates(table: dict[str, Any], parts: DecisionParts) -> None:
    class_count = len(parts.latency.unit_ns)
    for key in ("start", "met"):
        _check_number(table[key], key, integer=True)
    _check_number(table["cut_s"], "cut_s")
    for key in ("begun", "rose"):
        if not isinstance(table[key], bool):
            raise InheritedStateError(f"key {key}: must be true or false")
    _check_numbers(table["plain"], "plain", len(FINITE_ATTRIBUTES))
    _check_numbers(table["levels"], "levels", len(POSSIBLY_INFINITE_ATTRIBUTES), may_be_infinite=True)
    _check_numbers(table["unit_ns"], "unit_ns", class_count, minimum=1.0)
    _check_numbers(table["calm_ns"], "calm_ns", class_count, minimum=1.0, may_be_infinite=True)
    _check_numbers(table["seen"], "seen", class_count)
    _check_numbers(table["broken"], "broken", len(parts.detector.connection_errors))
    if len(table["leaves"]) != len(parts.budget.groups):
        raise InheritedStateError("key leaves: written under other classes or plans")
    for values in table["leaves"]:
        _check_numbers(values, "leaves", len(GROUP_ATTRIBUTES))


def _check_endpoint(row: Any) -> None:
    _check_number(row["id"], "servers.id", integer=True)
    _check_numbers([row["started_s"], row["slowness"]], "servers", 2)
    for group, score in row["doubt"]:
        _check_number(group, "servers.doubt", integer=True)
        _check_number(score, "servers.doubt")


def _check_customer(row: Any, plan_count: int) -> None:
    for key in ("key", "plan", "spread"):
        _check_number(row[key], f"customers.{key}", integer=True)
    _check_number(row["mark"], "customers.mark", minimum=MIN_LEVEL, integer=True)
    levels = [row[key] for key in CUSTOMER_ATTRIBUTES]
    _check_numbers(levels, "customers", len(CUSTOMER_ATTRIBUTES), minimum=MIN_LEVEL)
    _check_numbers([row[key] for key in ("filled_s", "used_s", "word_s")], "customers", 3)
    flags_valid = all(isinstance(row[key], bool) for key in ("known", "wide"))
    if row["plan"] >= plan_count or not row["spread"] or not flags_valid:
        raise InheritedStateError(
            "key customers: unknown plan, spread of 0, or a flag that is not true or false"
        )
    for peer in row["told"]:
        _check_number(peer, "customers.told", integer=True)
    for usage in row["peers"]:
        _check_usage(usage)


def _check_usage(usage: Any) -> None:
    for key in ("peer", "start", "open"):
        _check_number(usage[key], f"customers.peers.{key}", integer=True)
    _check_number(usage["mark"], "customers.peers.mark", minimum=-1, integer=True)
    numbers = [usage[key] for key in ("total", "granted", "told_s", "granted_s")]
    _check_numbers(numbers, "customers.peers", 4, minimum=MIN_LEVEL)
