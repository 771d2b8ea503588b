"""`bound`: how far all gateways together can exceed a quota, computed from the settings alone."""

from __future__ import annotations

import click
from rich.console import Console
from rich.table import Table

from ..decisions.quota_bounds import Bound, Quota
from ..leases import overshoot_bound as lease_bounds
from ..leases.concurrency_budget import MAX_FACTOR
from ..net import features
from ..quota_service.overshoot_bound import max_carry_units, max_lease_units, overshoot_bounds
from ..serialization.errors import FileError
from .errors import BadInputError

# the partition for which the bound of quotas by gossip is printed, for comparison with leases
PARTITION_PARTS, PARTITION_S = 2, 10.0


def _print_bounds(console: Console, title: str, bounds: list[Bound]) -> None:
    table = Table(title=title)
    for name in ("failure", "units", "of a minute", "terms"):
        table.add_column(name, justify="left" if name in ("failure", "terms") else "right")
    for bound in bounds:
        terms = ", ".join(f"{k} {v:.2f}" for k, v in bound.terms.items() if v)
        table.add_row(
            bound.failure, f"{bound.units:.2f}", f"{100 * bound.overshoot_ratio:.2f}%", terms or "-"
        )
    console.print(table)


def _title(quota: Quota, details: str) -> str:
    return (
        f"plan {quota.name}: {quota.rate:g} units a second, {quota.burst:g} at once, over {quota.spread} "
        f"gateways; {details}"
    )


@click.command("bound")
@click.argument("file", type=click.Path())
def command(file: str) -> int:
    """Prints how far all gateways together can exceed each plan's quota, for each failure that the quota
    method of the file must tolerate.

    Exit code 2 if a bound exceeds the limit in the file."""
    console = Console()
    try:
        if features.feature_of_file(file) == "shared":
            settings, quotas = features.read_leases(file)
            max_overshoot_ratio = settings.max_overshoot_ratio
            for quota in quotas:
                details = (
                    f"{lease_bounds.holder_count(quota, settings)} hold a part, a start opens with "
                    f"{100 * lease_bounds.initial_fill_ratio(quota, settings):.0f}% of it, "
                    f"{lease_bounds.batch_limit_units(quota, settings):.1f} borrowed units a turn"
                )
                _print_bounds(
                    console,
                    _title(quota, details),
                    [
                        *lease_bounds.overshoot_bounds(quota, settings),
                        lease_bounds.gossip_bound(quota, PARTITION_PARTS, PARTITION_S),
                    ],
                )
            console.print(
                f"budget: {settings.units_per_endpoint:g} units out for each ready server by all gateways "
                f"together, {MAX_FACTOR * settings.units_per_endpoint:g} at most while parts of "
                "silent ones are taken over"
            )
            features.check_leases(file, settings, quotas)
        else:
            settings, quotas = features.read_quota_service(file)
            max_overshoot_ratio = settings.max_overshoot_ratio
            for quota in quotas:
                carry, lease = max_carry_units(quota, settings), max_lease_units(quota, settings)
                _print_bounds(
                    console,
                    _title(quota, f"carries over {carry:.2f}, leases {lease:.2f} at most"),
                    overshoot_bounds(quota, settings),
                )
            features.check_quota_service(file, settings, quotas)
    except FileError as err:
        raise BadInputError(str(err)) from None
    console.print(f"every bound to be endured is under {100 * max_overshoot_ratio:g}% of a quota's " "minute")
    return 0
