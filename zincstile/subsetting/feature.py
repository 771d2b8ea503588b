"""The feature `subset`: the policy is told of the endpoints alone that this gateway uses.

The whole table stands in `table`; the policy gets changes of the subset's endpoints, and no other. What it
learned of an endpoint that leaves the subset is kept for a while: small changes of a ring come and go. Slow
start holds as it is: each of the fewer gateways that send to a warming endpoint compares it with the same
fewer endpoints, and the first rate stays each gateway's even part among all (docs/subset.md).
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Final

from ..decisions.endpoints import NO_SCORES, Endpoint
from ..decisions.messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState, LogMessage
from ..decisions.outlier_detection import NEGLIGIBLE_SCORE, OUTLIER_SCORE, SCORE_DECAY_S
from ..decisions.policy import Policy
from ..decisions.settings import DeduplicationScope, Idempotency, Settings
from ..decisions.units import SECOND_NS
from .fleet import Fleet
from .rings import EndpointRings
from .selection import Selection
from .settings import ServiceBy, SubsetSettings
from .widening import Health

UNEASY_SCORE: Final = OUTLIER_SCORE / 2  # below it an endpoint counts as healthy again
MAX_REMEMBERED: Final = 1024  # endpoints outside of the subset whose scores are kept
DEDUPLICATION_LEAST: Final = 2  # endpoints of a group in which a keyed request may be repeated


def keyed_groups(settings: Settings) -> set[DeduplicationScope]:
    """Groups within which some class's requests may be repeated, and nowhere else."""
    return {c.deduplication_scope for c in settings.classes if c.idempotency is Idempotency.BY_KEY} - {
        DeduplicationScope.ALL
    }


class SubsettingFeature:
    """Owner of the whole table of endpoints and of the choice among them.

    `zones`: their names in the settings' order; `services`: a number for each machine type that the
    settings name, the same at gateways that name other types.
    """

    def __init__(
        self, settings: Settings, subset: SubsetSettings, zones: list[str], services: list[int]
    ) -> None:
        """Takes the settings; it joins a policy by `attach`."""
        self.settings = settings
        self.subset = subset
        self.services = services
        groups = keyed_groups(settings)
        by_cell = DeduplicationScope.CELL in groups and subset.service_by is not ServiceBy.GROUP
        self.table = EndpointRings(self.service_of, by_cell=by_cell)
        fleet = Fleet(subset, settings.gateway_index, settings.gateway_count, settings.zone, zones)
        least = max(subset.min_endpoints, DEDUPLICATION_LEAST) if groups else subset.min_endpoints
        self.selection = Selection(subset, fleet, self.table, least)
        self.used: dict[int, EndpointEntry] = {}  # as the policy was told of them last
        self.remembered: dict[
            int, tuple[int, Endpoint]
        ] = {}  # since when, and what is known; the oldest first
        self.moved = 0  # endpoints that came in or left, since the start
        self._now = 0

    def attach(self, policy: Policy) -> None:
        """Stands between discovery's list and the policy."""
        self.parts = policy.parts
        self._apply = policy.on_endpoint_list
        policy.handlers[EndpointList] = self.on_endpoint_list
        policy.ticker.ticked.append(self.on_ticked)
        self.parts.endpoints.recall = self.recall
        self.parts.capacity.dilution = 1.0

    def before_start(self, now: int) -> None:
        """Nothing is known before the first list."""

    def started(self, now: int) -> None:
        """Nothing goes by a timer of its own."""

    def state_inherited(self, now: int) -> None:
        """Scores come back with the endpoints of the subset."""

    def figures(self) -> dict[str, float]:
        """Endpoints of the table and of the subset, widened slices, endpoints that came or left."""
        return {
            "endpoints": len(self.table.endpoints),
            "members": len(self.selection.members),
            "widened": self.selection.widened,
            "moved": self.moved,
        }

    def service_of(self, entry: EndpointEntry) -> int:
        """The service of an endpoint, by the field that the settings name."""
        if self.subset.service_by is ServiceBy.TYPE:
            known = 0 <= entry.machine_type < len(self.services)
            return self.services[entry.machine_type] if known else entry.machine_type
        return entry.cell if self.subset.service_by is ServiceBy.GROUP else 0

    # ---- the list

    def on_endpoint_list(self, now: int, event: EndpointList) -> None:
        """A list or a change of it, of which the policy is told its part."""
        if event.kind is EndpointListKind.FAILED:
            self._apply(now, event)
            return
        first = not self.used
        changed = {entry.id for entry in event.entries}
        if event.kind is EndpointListKind.DELTA:
            services = self.table.apply(event.entries)
        else:
            changed |= set(self.used)
            services = self.table.replace(event.entries)
        self._pass_on(now, changed | self.selection.update(services), event.version)
        if first and self.used:
            self.parts.actions.append(LogMessage(self._line()))

    def _pass_on(self, now: int, changed: set[int], version: int) -> None:
        """What the policy has to be told of these endpoints."""
        entries = [entry for number in sorted(changed) if (entry := self._change(now, number)) is not None]
        ready = len(self.selection.members)
        self.parts.capacity.dilution = self.table.ready_count / ready if ready else 1.0
        if entries:
            self._now = now
            self._apply(now, EndpointList(EndpointListKind.DELTA, version, entries))

    def _change(self, now: int, number: int) -> EndpointEntry | None:
        """An endpoint's entry as the policy is to have it; None where it has that already."""
        entry = self.table.endpoints.get(number)
        used = self.used.get(number)
        drains = entry is not None and entry.state is EndpointState.DRAINING and used is not None
        if entry is not None and (drains or number in self.selection.members):
            self.used[number] = entry
            return entry if entry != used else None
        if used is None:
            return None
        del self.used[number]
        self._remember(now, number)
        return replace(used, state=EndpointState.REMOVED)

    def _remember(self, now: int, number: int) -> None:
        endpoint = self.parts.endpoints.by_id.get(number)
        if endpoint is None:
            return
        self.moved += 1
        self.remembered[number] = now, endpoint
        if len(self.remembered) > MAX_REMEMBERED:
            del self.remembered[next(iter(self.remembered))]

    def recall(self, entry: EndpointEntry) -> Endpoint | None:
        """What was learned of an endpoint before it left the subset, if it is of the same start."""
        since_ns, endpoint = self.remembered.pop(entry.id, (0, None))
        if endpoint is None or endpoint.entry.started_ns != entry.started_ns:
            return None
        endpoint.entry = entry
        if endpoint.error_scores is not NO_SCORES:
            keep = math.exp(-(self._now - since_ns) / SECOND_NS / SCORE_DECAY_S)
            endpoint.latency_ratio += (1 - keep) * (1 - endpoint.latency_ratio)
            scores = endpoint.error_scores.items()
            endpoint.error_scores = {
                group: score * keep for group, score in scores if score * keep > NEGLIGIBLE_SCORE
            }
        return endpoint

    # ---- outliers

    def on_ticked(self, now: int) -> None:
        """Slices with outliers are widened, those without are taken back."""
        suspects = [number for number, e in self.parts.endpoints.touched.items() if e.error_scores]
        services = self.selection.review(now, suspects, self._health)
        if services:
            self._pass_on(now, self.selection.update(services), 0)

    def _health(self, number: int) -> Health:
        """By its own scores, not above the baseline: all of a subset may fail alike."""
        endpoint = self.parts.endpoints.by_id.get(number)
        if endpoint is None:
            return Health.HEALTHY
        scores = endpoint.error_scores
        worst = max((scores.get(group, 0.0) for group in range(len(self.settings.classes))), default=0.0)
        if worst >= OUTLIER_SCORE:
            return Health.UNHEALTHY
        return Health.RECOVERING if worst >= UNEASY_SCORE else Health.HEALTHY

    def _line(self) -> str:
        return (
            f"subset {len(self.selection.members)} of {self.table.ready_count} ready endpoints, "
            f"{len(self.selection.slices)} services, {self.selection.widened} slices widened"
        )
