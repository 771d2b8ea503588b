"""Files under deploy/ that switch features on: YAML, typed, checked at load. Loaded only where one is named.

The platform's configuration names none, and so loads neither this nor a library.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..bounds import Quota
from ..keeper import bound as keeper_bound
from ..keeper.settings import KeeperSettings
from ..shared import bound as shared_bound
from ..shared.settings import SharedSettings
from ..start.settings import StartSettings
from ..typed_yaml import FileError, load

MS = 1_000_000


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


class SharedRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`SharedSettings` in milliseconds; what is left out has its usual value."""

    life_ms: int | None = None
    held_ms: int | None = None
    again_ms: int | None = None
    flight_ms: int | None = None
    gap_ms: int | None = None
    beat_ms: int | None = None
    ahead_ms: int | None = None
    quiet_ms: int | None = None
    quiet_most_ms: int | None = None
    told_ms: int | None = None
    holders: int | None = None
    paused: int | None = None
    opening: float | None = None
    witnesses: int | None = None
    least_good: float | None = None
    most_out: float | None = None
    endured: list[str] | None = None
    most_overshoot: float | None = None


class StartRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`StartSettings` in milliseconds; what is left out has its usual value."""

    peers: bool | None = None
    wait_ms: int | None = None
    each_ms: int | None = None
    again_ms: int | None = None
    agree: int | None = None
    lone_ms: int | None = None
    fan: int | None = None
    told_per_s: float | None = None
    oldest_ms: int | None = None
    known_ms: int | None = None
    first_per_s: float | None = None
    double_ms: int | None = None
    open_ms: int | None = None


class StartFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/start.yaml."""

    start: StartRow


class KeeperFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/keeper.yaml. A gateway takes the quotas of its own settings; `plans` are for `bound`."""

    plans: list[PlanRow] = []
    keeper: KeeperRow = msgspec.field(default_factory=KeeperRow)


class SharedFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/shared.yaml, likewise."""

    shared: SharedRow
    plans: list[PlanRow] = []


def _settings(path: str, row: msgspec.Struct, kind: Callable[..., Any]) -> Any:
    given = {k: v for k, v in msgspec.structs.asdict(row).items() if v is not None}
    times = {k[:-3] + "_ns": v * MS for k, v in given.items() if k.endswith("_ms")}
    rest = {k: tuple(v) if isinstance(v, list) else v for k, v in given.items() if not k.endswith("_ms")}
    try:
        return kind(**times, **rest)
    except ValueError as err:
        raise FileError(f"{path}: {err}") from None


def _plans(path: str, rows: list[PlanRow]) -> list[Quota]:
    try:
        return [Quota(p.name, p.rate, p.burst, p.spread, p.largest) for p in rows]
    except ValueError as err:
        raise FileError(f"{path}: {err}") from None


def kind(path: str) -> str:
    """Which feature a file is of: `keeper` or `shared`. FileError where it can't be read."""
    table = load(path, dict)
    return "shared" if "shared" in table else "keeper"


def keeper(path: str) -> tuple[KeeperSettings, list[Quota]]:
    """FileError where the file can't be used."""
    table = load(path, KeeperFile)
    return _settings(path, table.keeper, KeeperSettings), _plans(path, table.plans)


def shared(path: str) -> tuple[SharedSettings, list[Quota]]:
    """FileError where the file can't be used."""
    table = load(path, SharedFile)
    return _settings(path, table.shared, SharedSettings), _plans(path, table.plans)


def start(path: str) -> StartSettings:
    """FileError where the file can't be used."""
    return _settings(path, load(path, StartFile).start, StartSettings)


def _check(path: str, settings: Any, quotas: list[Quota], refused: Callable[..., str | None]) -> None:
    for quota in quotas:
        why = refused(quota, settings)
        if why:
            raise FileError(f"{path}: {why}")


def check(path: str, settings: KeeperSettings, quotas: list[Quota]) -> None:
    """FileError where a quota can't be held as the settings ask."""
    _check(path, settings, quotas, keeper_bound.refused)


def check_shared(path: str, settings: SharedSettings, quotas: list[Quota]) -> None:
    """FileError where a quota can't be held as the settings ask."""
    _check(path, settings, quotas, shared_bound.refused)
