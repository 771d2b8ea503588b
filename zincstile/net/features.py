"""Files under deploy/ that switch features on: YAML, typed, checked at load. Loaded only where one is named.

The platform's configuration names none, and so loads neither this nor a library.
"""

from __future__ import annotations

import msgspec

from ..keeper.bound import Quota, refused
from ..keeper.settings import MS, KeeperSettings
from ..typed_yaml import FileError, load


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
    """deploy/keeper.yaml. A gateway takes the quotas of its own settings; `plans` are for `bound`."""

    plans: list[PlanRow] = []
    keeper: KeeperRow = msgspec.field(default_factory=KeeperRow)


def keeper(path: str) -> tuple[KeeperSettings, list[Quota]]:
    """FileError where the file can't be used."""
    table = load(path, KeeperFile)
    given = {k: v for k, v in msgspec.structs.asdict(table.keeper).items() if v is not None}
    times = {k[:-3] + "_ns": v * MS for k, v in given.items() if k.endswith("_ms")}
    rest = {k: tuple(v) if isinstance(v, list) else v for k, v in given.items() if not k.endswith("_ms")}
    try:
        return (KeeperSettings(**times, **rest),
                [Quota(p.name, p.rate, p.burst, p.spread, p.largest) for p in table.plans])
    except ValueError as err:
        raise FileError(f"{path}: {err}") from None


def check(path: str, settings: KeeperSettings, quotas: list[Quota]) -> None:
    """FileError where a quota can't be held as the settings ask."""
    for quota in quotas:
        why = refused(quota, settings)
        if why:
            raise FileError(f"{path}: {why}")
