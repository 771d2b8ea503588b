"""The log's lines on how far quotas can be passed at most, stated before anything fails.

Written at the start where quotas are held by leases or by the quota service.
"""

from __future__ import annotations

from ..decisions.quota_bounds import quota_of_plan
from ..leases.concurrency_budget import MAX_FACTOR
from ..leases.overshoot_bound import overshoot_bounds as lease_overshoot_bounds
from ..quota_service.overshoot_bound import overshoot_bounds
from .config import Config
from .log import Log


def log_quota_bounds(config: Config, log: Log) -> None:
    """Logs a line for each plan that has a quota: the worst of the failures that the settings tolerate."""
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
            f"bound plan {plan.name}: {worst.units:.2f} units at most beyond a quota, "
            f"{100 * worst.overshoot_ratio:.1f}% of a minute, by {worst.failure}"
        )
    if config.leases:
        log.line(
            f"bound budget: {config.leases.units_per_endpoint:g} units out for each ready server by all "
            f"gateways, times {MAX_FACTOR:g} at most where parts of silent ones are "
            "taken over"
        )
