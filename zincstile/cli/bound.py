"""`bound`: how far quotas held through a count keeper can be passed, before anything fails."""

from __future__ import annotations

import click
from rich.console import Console
from rich.table import Table

from ..keeper.bound import bounds, carry_most, lease_most
from ..net import features
from ..typed_yaml import FileError
from .commands import Told


@click.command("bound")
@click.argument("file", type=click.Path())
def command(file: str) -> int:
    """Prints how far each plan's quota can be passed by all gateways together, for each failure of the
    keeper.

    Exit 2 where a bound is over what the file allows."""
    try:
        settings, quotas = features.keeper(file)
    except FileError as err:
        raise Told(str(err)) from None
    console = Console()
    for quota in quotas:
        carry, hand = carry_most(quota, settings), lease_most(quota, settings)
        shown = Table(title=f"plan {quota.name}: {quota.rate:g} units a second, {quota.burst:g} at once, "
                            f"over {quota.spread} gateways; hands on {carry:.2f}, leases {hand:.2f} at most")
        for name in ("failure", "units", "of a minute", "terms"):
            shown.add_column(name, justify="left" if name in ("failure", "terms") else "right")
        for bound in bounds(quota, settings):
            terms = ", ".join(f"{k} {v:.2f}" for k, v in bound.terms.items() if v)
            shown.add_row(bound.failure, f"{bound.units:.2f}", f"{100 * bound.share:.2f}%", terms or "-")
        console.print(shown)
    try:
        features.check(file, settings, quotas)
    except FileError as err:
        raise Told(str(err)) from None
    console.print(f"every bound is under {100 * settings.most_overshoot:g}% of a quota's minute")
    return 0
