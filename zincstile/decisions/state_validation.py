"""Whether a table of an older process's memory can be trusted: half of a memory is worse than none.

Guards a new process against a file that is damaged or was written under other settings.
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

MIN_LEVEL: Final = -1e15  # a bucket may be below 0


def validate(table: Any, parts: DecisionParts) -> None:
    """InheritedStateError where the table doesn't fit parts made from this process's settings."""
    if not isinstance(table, dict) or table.get("form") != FORMAT_VERSION:
        raise InheritedStateError("key form: not 1")
    try:
        _check_estimates(table, parts)
        for row in table["servers"]:
            _check_endpoint(row)
        for peer, start, age_s in table["heard"]:
            _check_number(peer, "heard", whole=True)
            _check_number(start, "heard", whole=True)
            _check_number(age_s, "heard")
        plans = len(parts.budget.groups) // (2 * len(parts.latency.unit_ns))
        for row in table["customers"]:
            _check_customer(row, plans)
    except KeyError as err:
        raise InheritedStateError(f"key {err}: missing") from None
    except InheritedStateError:
        raise
    except (TypeError, ValueError):
        raise InheritedStateError("a value of another kind") from None


def _check_number(
    value: Any, key: str, *, least: float = 0.0, whole: bool = False, may_be_infinite: bool = False
) -> None:
    if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
        raise InheritedStateError(f"key {key}: not a number")
    if not least <= value or not (may_be_infinite or math.isfinite(value)):
        raise InheritedStateError(f"key {key}: out of range")


def _check_row(row: Any, key: str, length: int, *, least: float = 0.0, may_be_infinite: bool = False) -> None:
    if not isinstance(row, list) or len(row) != length:
        raise InheritedStateError(f"key {key}: not a list of {length}")
    for value in row:
        _check_number(value, key, least=least, may_be_infinite=may_be_infinite)


def _check_estimates(table: dict[str, Any], parts: DecisionParts) -> None:
    classes = len(parts.latency.unit_ns)
    for key in ("start", "met"):
        _check_number(table[key], key, whole=True)
    _check_number(table["cut_s"], "cut_s")
    for key in ("begun", "rose"):
        if not isinstance(table[key], bool):
            raise InheritedStateError(f"key {key}: not true or false")
    _check_row(table["plain"], "plain", len(FINITE_ATTRIBUTES))
    _check_row(table["levels"], "levels", len(POSSIBLY_INFINITE_ATTRIBUTES), may_be_infinite=True)
    _check_row(table["unit_ns"], "unit_ns", classes, least=1.0)
    _check_row(table["calm_ns"], "calm_ns", classes, least=1.0, may_be_infinite=True)
    _check_row(table["seen"], "seen", classes)
    _check_row(table["broken"], "broken", len(parts.detector.connection_errors))
    if len(table["leaves"]) != len(parts.budget.groups):
        raise InheritedStateError("key leaves: of other classes or plans")
    for row in table["leaves"]:
        _check_row(row, "leaves", len(GROUP_ATTRIBUTES))


def _check_endpoint(row: Any) -> None:
    _check_number(row["id"], "servers.id", whole=True)
    _check_row([row["started_s"], row["slowness"]], "servers", 2)
    for group, score in row["doubt"]:
        _check_number(group, "servers.doubt", whole=True)
        _check_number(score, "servers.doubt")


def _check_customer(row: Any, plans: int) -> None:
    for key in ("key", "plan", "spread"):
        _check_number(row[key], f"customers.{key}", whole=True)
    _check_number(row["mark"], "customers.mark", least=MIN_LEVEL, whole=True)
    levels = [row[key] for key in CUSTOMER_ATTRIBUTES]
    _check_row(levels, "customers", len(CUSTOMER_ATTRIBUTES), least=MIN_LEVEL)
    _check_row([row[key] for key in ("filled_s", "used_s", "word_s")], "customers", 3)
    flags = all(isinstance(row[key], bool) for key in ("known", "wide"))
    if row["plan"] >= plans or not row["spread"] or not flags:
        raise InheritedStateError("key customers: out of range")
    for peer in row["told"]:
        _check_number(peer, "customers.told", whole=True)
    for usage in row["peers"]:
        _check_usage(usage)


def _check_usage(usage: Any) -> None:
    for key in ("peer", "start", "open"):
        _check_number(usage[key], f"customers.peers.{key}", whole=True)
    _check_number(usage["mark"], "customers.peers.mark", least=-1, whole=True)
    numbers = [usage[key] for key in ("total", "granted", "told_s", "granted_s")]
    _check_row(numbers, "customers.peers", 4, least=MIN_LEVEL)
