"""The topology file: a fleet's sizes, skew, churn and budgets, and smaller fleets made from it.

Pure apart from reading the file. Distributions over services and tenants follow from the sizes alone, so that
the same file gives the same fleet everywhere.
"""

from __future__ import annotations

from fractions import Fraction
from pathlib import Path
from typing import Annotated

import msgspec

from ..serialization import typed_yaml
from ..serialization.errors import FileError

Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Exponent = Annotated[float, msgspec.Meta(ge=0, le=4)]
Name = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]


class TopologyError(ValueError):
    """Sizes that can't be made from the file; one line."""


class Region(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Zones that share a fate, as a link to another region may be lost."""

    name: Name
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]


class Services(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Groups of backends that answer the same calls. `zipf`: a service has backends as 1 / rank^zipf."""

    count: Count
    zipf: Exponent


class Routes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules that choose a service. `in_program`: false where nothing of them can be measured."""

    count: Annotated[int, msgspec.Meta(ge=0)]
    in_program: bool = False


class Tenants(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Customers, each with the set of gateways that its requests come in by.

    Requests and the size of the set fall as 1 / rank^zipf; no set is smaller than `gateways_least`."""

    count: Count
    zipf: Exponent
    gateways_least: Count
    gateways_most: Count


class Churn(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of an ordinary day, of the whole fleet."""

    backend_replacements: Rate
    configuration_changes: Rate
    machine_failures: Rate


class Budgets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operators allow; of one gateway unless the name says otherwise. Not scaled with the fleet."""

    in_force_s: Positive
    control_core_share: Positive
    memory_mb: Positive
    control_bytes_per_s: Positive
    added_p99_ms: Positive
    control_machines: Count  # of the fleet


class Topology(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet."""

    regions: Annotated[list[Region], msgspec.Meta(min_length=1)]
    racks_per_zone: Count
    gateways: Count
    backends: Count
    services: Services
    routes: Routes
    tenants: Tenants
    requests_per_s: Positive
    churn_per_day: Churn
    budgets: Budgets

    @property
    def zones(self) -> list[str]:
        """All zones, region by region."""
        return [zone for region in self.regions for zone in region.zones]

    def service_sizes(self) -> list[int]:
        """Backends of each service, largest first; they sum up to all backends."""
        return shares(self.backends, self.services.count, self.services.zipf)

    def tenant_sets(self) -> list[int]:
        """Gateways in the set of each tenant, by rank."""
        tenants = self.tenants
        least, most = (min(n, self.gateways) for n in (tenants.gateways_least, tenants.gateways_most))
        return [max(least, round(most / rank**tenants.zipf)) for rank in range(1, tenants.count + 1)]

    def tenants_of_gateway(self) -> float:
        """Tenants whose set has one gateway in it, on average."""
        return sum(self.tenant_sets()) / self.gateways

    def requests_of_gateway(self) -> float:
        """Requests a second of one gateway, on average."""
        return self.requests_per_s / self.gateways

    def table_changes_per_s(self) -> float:
        """Changes of the endpoint table on an ordinary day: a replaced backend drains, goes, comes back."""
        return 3 * self.churn_per_day.backend_replacements / 86_400


def shares(total: int, parts: int, zipf: float) -> list[int]:
    """A total split by 1 / rank^zipf, one at least for each part, largest first."""
    if parts > total:
        raise TopologyError(f"{parts} parts of {total}: one each at least")
    weights = [1 / rank**zipf for rank in range(1, parts + 1)]
    spare, whole = total - parts, sum(weights)
    reached, cut, found = 0.0, 0, []
    for weight in weights:  # each running sum is rounded, so that the parts sum up to the total
        reached += weight
        until = round(spare * reached / whole)
        found.append(1 + until - cut)
        cut = until
    return sorted(found, reverse=True)


def load(path: str | Path) -> Topology:
    """Reads and checks a file. FileError names file, line, place and reason."""
    topology = typed_yaml.load(path, Topology)
    try:
        check(topology)
    except TopologyError as err:
        raise FileError(f"{path}: {err}") from None
    return topology


def check(topology: Topology) -> None:
    """What holds between fields. TopologyError names the place."""
    zones = topology.zones
    repeated = next((zone for zone in zones if zones.count(zone) > 1), None)
    if repeated is not None:
        raise TopologyError(f"$.regions: zone {repeated} is there twice")
    if topology.services.count > topology.backends:
        raise TopologyError(
            f"$.services.count: {topology.services.count} services, but {topology.backends} backends"
        )
    tenants = topology.tenants
    if tenants.gateways_least > tenants.gateways_most:
        raise TopologyError(f"$.tenants.gateways_least: above gateways_most ({tenants.gateways_most})")
    if tenants.gateways_most > topology.gateways:
        raise TopologyError(
            f"$.tenants.gateways_most: {tenants.gateways_most}, but {topology.gateways} gateways"
        )


def parse_factor(text: str) -> Fraction:
    """`1/16` or `0.5`. TopologyError where it is none above 0 and up to 1."""
    try:
        factor = Fraction(text)
    except (ValueError, ZeroDivisionError):
        raise TopologyError(f"factor {text}: not a number such as 1/16 or 0.25") from None
    if not 0 < factor <= 1:
        raise TopologyError(f"factor {text}: has to be above 0 and at most 1")
    return factor


def scaled(topology: Topology, factor: Fraction) -> Topology:
    """A smaller fleet: every count and rate by the factor, one at least. Zones, racks and budgets stay; so do
    the sets of small tenants, as far as there are gateways."""

    def count(number: int) -> int:
        return max(1, round(number * factor))

    def rate(number: float) -> float:
        return float(number * factor)

    tenants, churn = topology.tenants, topology.churn_per_day
    gateways = count(topology.gateways)
    set_most = max(min(tenants.gateways_least, gateways), count(tenants.gateways_most))
    return msgspec.structs.replace(
        topology,
        gateways=gateways,
        backends=count(topology.backends),
        services=Services(count(topology.services.count), topology.services.zipf),
        routes=Routes(round(topology.routes.count * factor), topology.routes.in_program),
        tenants=Tenants(
            count(tenants.count), tenants.zipf, min(tenants.gateways_least, gateways), min(gateways, set_most)
        ),
        requests_per_s=rate(topology.requests_per_s),
        churn_per_day=Churn(
            rate(churn.backend_replacements), rate(churn.configuration_changes), rate(churn.machine_failures)
        ),
    )


def with_sizes(topology: Topology, **sizes: float | None) -> Topology:
    """The fleet with some dimensions set apart: gateways, backends, services, routes, tenants (counts) and
    requests_per_s. None leaves one as it is. Sets of tenants shrink to the gateways that there are.
    TopologyError where they don't fit each other."""
    given = {name: size for name, size in sizes.items() if size is not None}
    for name in ("services", "routes", "tenants"):
        if name in given:
            given[name] = msgspec.structs.replace(getattr(topology, name), count=given[name])
    found = msgspec.structs.replace(topology, **given)
    tenants = found.tenants
    found = msgspec.structs.replace(
        found,
        tenants=msgspec.structs.replace(
            tenants,
            gateways_least=min(tenants.gateways_least, found.gateways),
            gateways_most=min(tenants.gateways_most, found.gateways),
        ),
    )
    check(found)
    return found
