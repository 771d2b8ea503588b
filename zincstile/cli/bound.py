"""`bound`: how far quotas held through a count keeper can be passed, before anything fails."""

from __future__ import annotations

import click
import msgspec
from rich.console import Console
from rich.table import Table

from ..keeper.bound import Quota, bounds, carry_most, lease_most, refused
from ..keeper.settings import MS, KeeperSettings
from ..typed_yaml import FileError, load
from .commands import Told


class PlanRow(msgspec.Struct, forbid_unknown_fields=True):
    """A plan's quota for each customer, in units and units a second."""

    name: str
    rate: float
    burst: float
    spread: int
    largest: float = 1.0


class KeeperRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`KeeperSettings` in milliseconds; what is left out has its usual value."""

    epoch_ms: int | None = None
    lease_ms: int | None = None
    lease_most_ms: int | None = None
    beat_ms: int | None = None
    heard_ms: int | None = None
    late_ms: int | None = None
    call_ms: int | None = None
    skew_ms: int | None = None
    period_ms: int | None = None
    missed: int | None = None
    ways: int | None = None
    endured: list[str] | None = None
    most_overshoot: float | None = None


class KeeperFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/keeper.yaml."""

    plans: list[PlanRow]
    keeper: KeeperRow = msgspec.field(default_factory=KeeperRow)


def settings_of(row: KeeperRow) -> KeeperSettings:
    """ValueError where a field can't work."""
    given = {k: v for k, v in msgspec.structs.asdict(row).items() if v is not None}
    times = {k[:-3] + "_ns": v * MS for k, v in given.items() if k.endswith("_ms")}
    rest = {k: tuple(v) if isinstance(v, list) else v for k, v in given.items() if not k.endswith("_ms")}
    return KeeperSettings(**times, **rest)


@click.command("bound")
@click.argument("file", type=click.Path())
def command(file: str) -> int:
    """Prints how far each plan's quota can be passed by all gateways together, for each failure of the
    keeper.

    Exit 2 where a bound is over what the file allows."""
    try:
        table = load(file, KeeperFile)
        settings = settings_of(table.keeper)
        quotas = [Quota(p.name, p.rate, p.burst, p.spread, p.largest) for p in table.plans]
    except FileError as err:
        raise Told(str(err)) from None
    except ValueError as err:
        raise Told(f"{file}: {err}") from None
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
    for quota in quotas:
        why = refused(quota, settings)
        if why:
            raise Told(f"{file}: {why}")
    console.print(f"every bound is under {100 * settings.most_overshoot:g}% of a quota's minute")
    return 0
