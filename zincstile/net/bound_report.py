"""Logs the maximum overshoot of quotas, computed from the settings before any failure occurs.

Used at the start if leases or the quota service enforce quotas.
"""

from __future__ import annotations

from ..decisions.quota_bounds import quota_of_plan
from ..leases.concurrency_budget import MAX_FACTOR
from ..leases.overshoot_bound import overshoot_bounds as lease_overshoot_bounds
from ..quota_service.overshoot_bound import overshoot_bounds
from .config import Config
from .log import Log


def log_quota_bounds(config: Config, log: Log) -> None:
    """Logs for each plan with a quota the largest overshoot by a failure that the settings tolerate."""
    settings = config.settings
    for plan in settings.plans:
        if not plan.rate:
            continue
        quota = quota_of_plan(plan, settings.gateway_count, settings.max_request_units)
        if config.leases:
            bounds = lease_overshoot_bounds(quota, config.leases)
            tolerated = config.leases.tolerated_failures
        else:
            bounds = overshoot_bounds(quota, config.quota_service)
            tolerated = config.quota_service.tolerated_failures
        worst = max((b for b in bounds if b.failure in tolerated), key=lambda bound: bound.units)
        log.line(
            f"bound plan {plan.name}: {worst.units:.2f} units at most over a quota, "
            f"{100 * worst.overshoot_ratio:.1f}% of a minute, by {worst.failure}"
        )
    if config.leases:
        log.line(
            f"bound budget: {config.leases.units_per_endpoint:g} units in flight per ready server from all "
            f"gateways, times {MAX_FACTOR:g} at most while parts of silent ones are "
            "taken over"
        )
