"""Determines which plans need no separate limit by the ceiling, as their quota alone enforces it."""

from __future__ import annotations

from ..decisions.quota_bounds import ROUNDING_TOLERANCE, quota_of_plan
from ..decisions.settings import CustomerPlan, Settings
from .overshoot_bound import overshoot_bounds
from .settings import LeaseSettings


def covered_plans(settings: Settings, lease_settings: LeaseSettings) -> list[bool]:
    """Returns for each plan whether its quota keeps customers below the ceiling under all tolerated failures.

    That is so if the ceiling exceeds the quota by at least the bound on the quota's overshoot.
    """
    return [_is_covered(plan, settings, lease_settings) for plan in settings.plans]


def _is_covered(plan: CustomerPlan, settings: Settings, lease_settings: LeaseSettings) -> bool:
    if not plan.rate or plan.over_quota_weight > plan.over_quota_cost or plan.ceiling_rate < plan.rate:
        return False
    quotas = [
        quota_of_plan(plan, spread, settings.max_request_units)
        for spread in range(1, settings.gateway_count + 1)
    ]
    return all(
        bound.units <= quota.max_excess_units + ROUNDING_TOLERANCE
        for quota in quotas
        for bound in overshoot_bounds(quota, lease_settings)
        if bound.failure in lease_settings.tolerated_failures
    )
