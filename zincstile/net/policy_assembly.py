"""Builds the decision policy of one gateway with the features that its configuration switches on.

Nothing else in `net` knows how a feature joins the policy. Modules of a feature are imported only where its
file is named under `features` in the configuration.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..decisions.collaborators import Feature
from ..decisions.policy import Policy
from .config import Config
from .discovery.messages import endpoint_id
from .host import Host


@dataclass(frozen=True, slots=True)
class AssembledPolicy:
    """A policy, and what operators may see of it."""

    policy: Policy
    describe_zones: Callable[[int], str] | None  # time -> text; None: without `features.place`
    admission_is_open: Callable[[], bool]  # always, without `features.start`


def build_policy(config: Config, host: Host) -> AssembledPolicy:
    """Returns the policy for a configuration: its quota source first, then what features add to it.

    Quotas are held by gossip, or by leases or the quota service where a file under deploy/ says so.
    """
    settings = config.settings
    features: list[Feature] = _quota_feature(config, host)
    describe_zones = None
    ramp = None
    if config.zone_failover:
        from ..zone_failover.feature import ZoneRoutingFeature

        zones = ZoneRoutingFeature(settings, config.seed, config.zone_failover, config.zones)
        features.append(zones)
        describe_zones = zones.describe
    if config.cold_start:
        from ..cold_start.feature import AdmissionRampFeature

        ramp = AdmissionRampFeature(settings, config.seed, config.cold_start)
        features.append(ramp)
    if config.subset:
        from ..subsetting.feature import SubsettingFeature

        machine_types = [endpoint_id(name) for name in config.backend_types]
        features.append(SubsettingFeature(settings, config.subset, config.zones, machine_types))
    policy = Policy(settings, config.seed, features)
    return AssembledPolicy(policy, describe_zones, lambda: ramp is None or ramp.is_open)


def _quota_feature(config: Config, host: Host) -> list[Feature]:
    """Returns the feature that holds quotas; none where they are held by gossip."""
    if config.leases:
        from ..leases.feature import LeasesFeature

        return [LeasesFeature(config.settings, config.seed, config.leases)]
    if config.quota_service:
        from ..quota_service.feature import QuotaServiceFeature

        unix_offset_ns = host.unix_ns() - host.monotonic_ns()
        return [QuotaServiceFeature(config.settings, config.quota_service, unix_offset_ns)]
    return []
