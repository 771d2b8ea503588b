"""Builds the decision policy of one gateway with the features that its configuration switches on.

Nothing else in `net` knows which class of policy a feature needs. Modules of a feature are imported only
where its file is named under `features` in the configuration.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions.policy import Policy
from .config import Config
from .discovery.messages import endpoint_id
from .host import Host


def build_policy(config: Config, host: Host) -> Policy:
    """Returns the policy for a configuration: its quota source first, then what features add to it.

    Quotas are held by gossip, or by leases or the quota service where a file under deploy/ says so.
    """
    kind: Callable[..., Policy]
    kind, more = _quota_source(config, host)
    if config.place:
        from ..zone_failover.module import placed

        kind = placed(kind, config.place, config.zones)
    if config.start:
        from ..cold_start.policy import opening

        kind = opening(kind, config.start)
    if config.subset:
        from ..subsetting.module import subsetting

        kinds = [endpoint_id(name) for name in config.kinds]
        kind = subsetting(kind, config.subset, config.zones, kinds)
    return kind(config.settings, config.seed, *more)


def _quota_source(config: Config, host: Host) -> tuple[type[Policy], tuple[Any, ...]]:
    """Returns the class of policy that holds quotas, and the arguments it takes beyond the usual ones."""
    if config.shared:
        from ..leases.module import SharedPolicy

        return SharedPolicy, (config.shared,)
    if config.quota_service:
        from ..quota_service.module import KeptPolicy

        unix_offset_ns = host.unix_ns() - host.monotonic_ns()
        return KeptPolicy, (config.quota_service, unix_offset_ns)
    return Policy, ()
