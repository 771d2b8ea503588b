"""Files under deploy/ that switch features on: YAML, typed, checked at load. Loaded only where one is named.

The platform's configuration names none, and so loads neither this nor a library.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Literal

import msgspec

from ..serialization.errors import FileError
from ..serialization.typed_yaml import load

if TYPE_CHECKING:  # a start loads what its own files need: each feature's modules are some 10 ms of its CPU
    from ..cold_start.settings import ColdStartSettings
    from ..decisions.quota_bounds import Quota
    from ..decisions.settings import Settings
    from ..leases.settings import LeaseSettings
    from ..quota_service.settings import QuotaServiceSettings
    from ..subsetting.settings import SubsetSettings
    from ..zone_failover.settings import ZoneFailoverSettings

MS = 1_000_000


class PlanRow(msgspec.Struct, forbid_unknown_fields=True):
    """A plan's quota for each customer, in units and units a second."""

    name: str
    rate: float
    burst: float
    spread: int
    largest: float = 1.0


class QuotaServiceRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`QuotaServiceSettings` in milliseconds, under the operators' keys; what is left out has its default."""

    epoch_ms: int | None = None
    lease_cover_ms: int | None = msgspec.field(name="lease_ms", default=None)
    max_lease_ms: int | None = msgspec.field(name="lease_most_ms", default=None)
    heartbeat_interval_ms: int | None = msgspec.field(name="beat_ms", default=None)
    peer_timeout_ms: int | None = msgspec.field(name="heard_ms", default=None)
    max_message_delay_ms: int | None = msgspec.field(name="late_ms", default=None)
    call_timeout_ms: int | None = msgspec.field(name="call_ms", default=None)
    clock_skew_ms: int | None = msgspec.field(name="skew_ms", default=None)
    heartbeat_counter_ms: int | None = msgspec.field(name="period_ms", default=None)
    max_missed_heartbeats: int | None = msgspec.field(name="missed", default=None)
    split_parts: int | None = msgspec.field(name="ways", default=None)
    tolerated_failures: list[str] | None = msgspec.field(name="endured", default=None)
    max_overshoot_ratio: float | None = msgspec.field(name="most_overshoot", default=None)


class LeaseRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`LeaseSettings` in milliseconds, under the operators' keys; what is left out has its default."""

    lease_ms: int | None = msgspec.field(name="life_ms", default=None)
    answer_timeout_ms: int | None = msgspec.field(name="held_ms", default=None)
    resend_interval_ms: int | None = msgspec.field(name="again_ms", default=None)
    max_send_delay_ms: int | None = msgspec.field(name="flight_ms", default=None)
    max_tick_gap_ms: int | None = msgspec.field(name="gap_ms", default=None)
    tick_interval_ms: int | None = msgspec.field(name="beat_ms", default=None)
    request_ahead_ms: int | None = msgspec.field(name="ahead_ms", default=None)
    backoff_ms: int | None = msgspec.field(name="quiet_ms", default=None)
    max_backoff_ms: int | None = msgspec.field(name="quiet_most_ms", default=None)
    suspicion_ms: int | None = msgspec.field(name="told_ms", default=None)
    min_holders: int | None = msgspec.field(name="holders", default=None)
    paused_gateways: int | None = msgspec.field(name="paused", default=None)
    max_initial_fill_ratio: float | None = msgspec.field(name="opening", default=None)
    observer_zones: int | None = msgspec.field(name="witnesses", default=None)
    min_unsuspected_ratio: float | None = msgspec.field(name="least_good", default=None)
    units_per_endpoint: float | None = msgspec.field(name="most_out", default=None)
    tolerated_failures: list[str] | None = msgspec.field(name="endured", default=None)
    max_overshoot_ratio: float | None = msgspec.field(name="most_overshoot", default=None)


class ColdStartRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`ColdStartSettings` in milliseconds, under the operators' keys; what is left out has its default."""

    use_peer_lists: bool | None = msgspec.field(name="peers", default=None)
    peer_wait_ms: int | None = msgspec.field(name="wait_ms", default=None)
    poll_spread_per_gateway_ms: int | None = msgspec.field(name="each_ms", default=None)
    retry_interval_ms: int | None = msgspec.field(name="again_ms", default=None)
    min_agreeing_peers: int | None = msgspec.field(name="agree", default=None)
    single_peer_wait_ms: int | None = msgspec.field(name="lone_ms", default=None)
    query_fan_out: int | None = msgspec.field(name="fan", default=None)
    max_sent_per_s: float | None = msgspec.field(name="told_per_s", default=None)
    max_list_age_ms: int | None = msgspec.field(name="oldest_ms", default=None)
    cached_list_wait_ms: int | None = msgspec.field(name="known_ms", default=None)
    initial_units_per_s: float | None = msgspec.field(name="first_per_s", default=None)
    ramp_time_constant_ms: int | None = msgspec.field(name="double_ms", default=None)
    max_ramp_ms: int | None = msgspec.field(name="open_ms", default=None)


class ZoneLoadRow(msgspec.Struct, forbid_unknown_fields=True):
    """What a zone is asked for and what it bears, in units a second."""

    name: str
    demand: float
    room: float


class ColdStartFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/start.yaml."""

    start: ColdStartRow


class DistanceRow(msgspec.Struct, forbid_unknown_fields=True):
    """Between two regions, with its unit."""

    between: tuple[str, str]
    is_: str = msgspec.field(name="is")


class ZoneFailoverRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`ZoneFailoverSettings` in milliseconds, under the operators' keys; what is left out has its default."""

    regions: dict[str, list[str]] = {}
    distances: list[DistanceRow] = []
    within: str | None = None
    headroom: float | None = None
    max_spill_ratio: float | None = msgspec.field(name="spill", default=None)
    max_shift_ratio: float | None = msgspec.field(name="step", default=None)
    loss_detection_ms: int | None = msgspec.field(name="lost_ms", default=None)
    recovery_ms: int | None = msgspec.field(name="back_ms", default=None)
    ramp_doubling_ms: int | None = msgspec.field(name="ramp_ms", default=None)
    heartbeat_interval_ms: int | None = msgspec.field(name="beat_ms", default=None)
    term_ms: int | None = None
    table_lifetime_ms: int | None = msgspec.field(name="hold_ms", default=None)
    max_electors: int | None = msgspec.field(name="electors", default=None)


class ZoneFailoverFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/place.yaml. `zones` are for `place plan`: a gateway takes its own settings'."""

    place: ZoneFailoverRow
    zones: list[ZoneLoadRow] = []


class SubsetRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """`SubsetSettings`, under the operators' keys; what is left out has its default."""

    service_by: Literal["type", "group", "none"]
    reach: Literal["zone", "region", "all"] = "all"
    layout: Literal["unknown", "interleaved", "blocks"] = "unknown"
    regions: dict[str, list[str]] = {}
    min_endpoints: int | None = msgspec.field(name="least", default=None)
    min_gateways: int | None = msgspec.field(name="holders", default=None)
    min_usable: int | None = msgspec.field(name="least_good", default=None)
    max_growth: int | None = msgspec.field(name="most", default=None)
    recovery_ms: int | None = msgspec.field(name="back_ms", default=None)


class SubsetFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/subset.yaml."""

    subset: SubsetRow


class QuotaServiceFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/keeper.yaml. A gateway takes the quotas of its own settings; `plans` are for `bound`."""

    plans: list[PlanRow] = []
    quota_service: QuotaServiceRow = msgspec.field(name="keeper", default_factory=QuotaServiceRow)


class LeaseFile(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/shared.yaml, likewise."""

    leases: LeaseRow = msgspec.field(name="shared")
    plans: list[PlanRow] = []


def _settings(path: str, row: msgspec.Struct, kind: Callable[..., Any]) -> Any:
    given = {k: v for k, v in msgspec.structs.asdict(row).items() if v is not None}
    times = {k[:-3] + "_ns": v * MS for k, v in given.items() if k.endswith("_ms")}
    rest = {k: tuple(v) if isinstance(v, list) else v for k, v in given.items() if not k.endswith("_ms")}
    try:
        return kind(**times, **rest)
    except ValueError as err:
        raise FileError(f"{path}: {_by_keys(row, str(err))}") from None


def _by_keys(row: msgspec.Struct, text: str) -> str:
    """An error's text with the operators' keys in place of the names of fields."""
    for field in msgspec.structs.fields(row):
        if field.encode_name != field.name:
            name, key = (re.sub("_ms$", "_ns", word) for word in (field.name, field.encode_name))
            text = re.sub(rf"\b{name}\b", key, text)
    return text


def _plans(path: str, rows: list[PlanRow]) -> list[Quota]:
    from ..decisions.quota_bounds import Quota

    try:
        return [Quota(p.name, p.rate, p.burst, p.spread, p.largest) for p in rows]
    except ValueError as err:
        raise FileError(f"{path}: {err}") from None


def feature_of_file(path: str) -> str:
    """Which feature a file is of: `keeper` or `shared`. FileError where it can't be read."""
    table = load(path, dict)
    return "shared" if "shared" in table else "keeper"


def read_quota_service(path: str) -> tuple[QuotaServiceSettings, list[Quota]]:
    """Reads deploy/keeper.yaml. FileError where the file can't be used."""
    from ..quota_service.settings import QuotaServiceSettings

    table = load(path, QuotaServiceFile)
    return _settings(path, table.quota_service, QuotaServiceSettings), _plans(path, table.plans)


def read_leases(path: str) -> tuple[LeaseSettings, list[Quota]]:
    """FileError where the file can't be used."""
    from ..leases.settings import LeaseSettings

    table = load(path, LeaseFile)
    return _settings(path, table.leases, LeaseSettings), _plans(path, table.plans)


def read_cold_start(path: str) -> ColdStartSettings:
    """FileError where the file can't be used."""
    from ..cold_start.settings import ColdStartSettings

    return _settings(path, load(path, ColdStartFile).start, ColdStartSettings)


def read_zone_failover(path: str) -> ZoneFailoverSettings:
    """FileError where the file can't be used."""
    from ..zone_failover.settings import ZoneFailoverSettings, parse_duration

    row = load(path, ZoneFailoverFile).place
    try:
        regions = {name: tuple(zones) for name, zones in row.regions.items()}
        distances = {d.between: parse_duration(d.is_) for d in row.distances}
        within = parse_duration(row.within) if row.within is not None else None
    except ValueError as err:
        raise FileError(f"{path}: distances: {err}") from None
    given = {
        k: v
        for k, v in msgspec.structs.asdict(row).items()
        if v is not None and k not in ("regions", "distances", "within")
    }
    times = {k[:-3] + "_ns": v * MS for k, v in given.items() if k.endswith("_ms")}
    rest = {k: v for k, v in given.items() if not k.endswith("_ms")}
    if within is not None:
        rest["within_ns"] = within
    try:
        return ZoneFailoverSettings(regions, distances, **times, **rest)
    except ValueError as err:
        raise FileError(f"{path}: {_by_keys(row, str(err))}") from None


def read_failover_zones(path: str) -> list[ZoneLoadRow]:
    """The zones that a dry run is made of."""
    return load(path, ZoneFailoverFile).zones


def check_zone_failover(path: str, settings: ZoneFailoverSettings, zones: list[str]) -> None:
    """FileError where the file doesn't fit the zones that the gateways are told of."""
    from ..zone_failover.settings import MAX_ZONES

    if len(zones) >= MAX_ZONES:
        raise FileError(f"{path}: {len(zones)} zones: {MAX_ZONES - 1} at most")
    for region, names in settings.regions.items():
        for name in names:
            if zones and name not in zones:
                raise FileError(
                    f"{path}: regions: {region}: no zone is called {name}; there are " f"{', '.join(zones)}"
                )


def read_subset(path: str) -> SubsetSettings:
    """FileError where the file can't be used."""
    from ..subsetting.settings import Layout, Reach, ServiceBy, SubsetSettings

    row = load(path, SubsetFile).subset
    regions = {name: tuple(zones) for name, zones in row.regions.items()}
    names = ("min_endpoints", "min_gateways", "min_usable", "max_growth")
    given = {name: getattr(row, name) for name in names if getattr(row, name) is not None}
    if row.recovery_ms is not None:
        given["recovery_ns"] = row.recovery_ms * MS
    try:
        return SubsetSettings(
            ServiceBy(row.service_by), Reach(row.reach), regions, Layout(row.layout), **given
        )
    except ValueError as err:
        raise FileError(f"{path}: {_by_keys(row, str(err))}") from None


def check_subset(path: str, subset: SubsetSettings, zones: list[str], settings: Settings) -> None:
    """FileError where the file doesn't fit what the gateway is told of zones and of its own one."""
    from ..subsetting.fleet import zone_of
    from ..subsetting.settings import Layout

    for region, names in subset.regions.items():
        for name in names:
            if name not in zones:
                raise FileError(
                    f"{path}: regions: {region}: no zone is called {name}; there are {', '.join(zones)}"
                )
    if subset.layout is not Layout.UNKNOWN and zones:
        told = zone_of(subset.layout, settings.gateway_index, settings.gateway_count, len(zones))
        if told != settings.zone:
            raise FileError(
                f"{path}: layout: {subset.layout.value} puts gateway {settings.gateway_index} of "
                f"{settings.gateway_count} in "
                f"zone {zones[told]}, and its settings in another"
            )


def _check(path: str, settings: Any, quotas: list[Quota], refused: Callable[..., str | None]) -> None:
    for quota in quotas:
        why = refused(quota, settings)
        if why:
            raise FileError(f"{path}: {why}")


def check_quota_service(path: str, settings: QuotaServiceSettings, quotas: list[Quota]) -> None:
    """FileError where a quota can't be held as the settings ask."""
    from ..quota_service.overshoot_bound import refusal_reason

    _check(path, settings, quotas, refusal_reason)


def check_leases(path: str, settings: LeaseSettings, quotas: list[Quota]) -> None:
    """FileError where a quota can't be held as the settings ask."""
    from ..leases.overshoot_bound import refusal_reason

    _check(path, settings, quotas, refusal_reason)
