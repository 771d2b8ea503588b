"""Subsetting (`features.subset`): the policy gets the endpoints alone that this gateway uses.

All endpoints stand in `rings`; the policy gets changes of the subset's endpoints, and no other. What it
learned of an endpoint that leaves the subset is kept for a while (`departed_endpoints`). Slow start holds as
it is: each of the fewer gateways that send to a warming endpoint compares it with the same fewer endpoints,
and the first rate stays each gateway's even part among all (docs/subset.md).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from ..decisions.endpoints import Endpoint
from ..decisions.messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState, LogMessage
from ..decisions.outlier_detection import OUTLIER_SCORE
from ..decisions.policy import Policy
from ..decisions.settings import DeduplicationScope, Idempotency, Settings
from .departed_endpoints import DepartedEndpoints
from .fleet import Fleet
from .rings import EndpointRings
from .selection import Selection
from .settings import ServiceBy, SubsetSettings
from .widening import Health

# Error score below which an endpoint counts as healthy again: less than an outlier's, so that a score near
# that does not widen a slice and shrink it in turns.
RECOVERED_SCORE: Final = OUTLIER_SCORE / 2
MIN_DEDUPLICATING_ENDPOINTS: Final = 2  # of a scope: a request with a key may be repeated at the second one


def deduplication_scopes(settings: Settings) -> set[DeduplicationScope]:
    """Returns the scopes outside of which some class's requests may not be repeated."""
    scopes = {
        request_class.deduplication_scope
        for request_class in settings.classes
        if request_class.idempotency is Idempotency.BY_KEY
    }
    return scopes - {DeduplicationScope.ALL}


class SubsettingFeature:
    """Owner of all endpoints of the list, and of the choice among them."""

    def __init__(
        self, settings: Settings, subset_settings: SubsetSettings, zones: list[str], machine_types: list[int]
    ) -> None:
        """Takes the names of the zones, in the settings' order, and a number for each machine type.

        The number of a type is the same at gateways whose settings name other types besides.
        """
        self.settings = settings
        self.subset_settings = subset_settings
        self.machine_types = machine_types
        scopes = deduplication_scopes(settings)
        by_cell = DeduplicationScope.CELL in scopes and subset_settings.service_by is not ServiceBy.GROUP
        self.rings = EndpointRings(self.service_of, by_cell=by_cell)
        fleet = Fleet(subset_settings, settings.gateway_index, settings.gateway_count, settings.zone, zones)
        min_endpoints = subset_settings.min_endpoints
        if scopes:
            min_endpoints = max(min_endpoints, MIN_DEDUPLICATING_ENDPOINTS)
        self.selection = Selection(subset_settings, fleet, self.rings, min_endpoints)
        self.applied_entries: dict[int, EndpointEntry] = {}  # by id, as the policy has them
        self.departed = DepartedEndpoints()
        self._applied_ns = 0  # when the policy got a change last

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Stands between discovery's list and the policy."""
        self.parts = policy.parts
        self._apply: Callable[[int, EndpointList], None] = policy.on_endpoint_list
        policy.handlers[EndpointList] = self.on_endpoint_list
        policy.ticker.tick_listeners.append(self.on_ticked)
        self.parts.endpoints.find_known = self.recall
        self.parts.capacity.subset_ratio = 1.0

    def before_start(self, now: int) -> None:
        """Nothing is known before the first list."""

    def started(self, now: int) -> None:
        """Nothing goes by a timer of its own."""

    def state_inherited(self, now: int) -> None:
        """Scores come back with the endpoints of the subset."""

    def state_values(self) -> dict[str, float]:
        """Endpoints of the list and of the subset, widened slices, and endpoints that left the subset.

        Stored results have these keys.
        """
        return {
            "endpoints": len(self.rings.endpoints),
            "members": len(self.selection.members),
            "widened": self.selection.widened,
            "moved": self.departed.count,
        }

    def service_of(self, entry: EndpointEntry) -> int:
        """The service of an endpoint, by the field that the settings name."""
        if self.subset_settings.service_by is ServiceBy.TYPE:
            known = 0 <= entry.machine_type < len(self.machine_types)
            return self.machine_types[entry.machine_type] if known else entry.machine_type
        return entry.cell if self.subset_settings.service_by is ServiceBy.GROUP else 0

    # ---- the list

    def on_endpoint_list(self, now: int, event: EndpointList) -> None:
        """A list or a change of it, of which the policy gets its part."""
        if event.kind is EndpointListKind.FAILED:
            self._apply(now, event)
            return
        first = not self.applied_entries
        changed = {entry.id for entry in event.entries}
        if event.kind is EndpointListKind.DELTA:
            services = self.rings.apply(event.entries)
        else:
            changed |= set(self.applied_entries)
            services = self.rings.replace(event.entries)
        self._apply_changes(now, changed | self.selection.update(services), event.version)
        if first and self.applied_entries:
            self.parts.actions.append(LogMessage(self._log_line()))

    def _apply_changes(self, now: int, changed: set[int], version: int) -> None:
        """Has the policy apply what has changed for it, among these endpoint ids."""
        changes = (self._change(now, endpoint_id) for endpoint_id in sorted(changed))
        entries = [entry for entry in changes if entry is not None]
        ready = len(self.selection.members)
        self.parts.capacity.subset_ratio = self.rings.ready_count / ready if ready else 1.0
        if entries:
            self._applied_ns = now
            self._apply(now, EndpointList(EndpointListKind.DELTA, version, entries))

    def _change(self, now: int, endpoint_id: int) -> EndpointEntry | None:
        """An endpoint's entry as the policy is to have it; None where it has that already."""
        entry = self.rings.endpoints.get(endpoint_id)
        used = self.applied_entries.get(endpoint_id)
        drains = entry is not None and entry.state is EndpointState.DRAINING and used is not None
        if entry is not None and (drains or endpoint_id in self.selection.members):
            self.applied_entries[endpoint_id] = entry
            return entry if entry != used else None
        if used is None:
            return None
        del self.applied_entries[endpoint_id]
        endpoint = self.parts.endpoints.by_id.get(endpoint_id)
        if endpoint is not None:
            self.departed.add(now, endpoint_id, endpoint)
        return replace(used, state=EndpointState.REMOVED)

    def recall(self, entry: EndpointEntry) -> Endpoint | None:
        """What was learned of an endpoint before it left the subset, if any."""
        return self.departed.restore(self._applied_ns, entry)

    # ---- outliers

    def on_ticked(self, now: int) -> None:
        """Slices with outliers are widened, those without are taken back."""
        touched = self.parts.endpoints.tracked
        suspects = [endpoint_id for endpoint_id, endpoint in touched.items() if endpoint.error_scores]
        services = self.selection.review(now, suspects, self._health)
        if services:
            self._apply_changes(now, self.selection.update(services), 0)

    def _health(self, endpoint_id: int) -> Health:
        """The health of an endpoint by its scores, not less the baseline: all of a subset may fail alike."""
        endpoint = self.parts.endpoints.by_id.get(endpoint_id)
        if endpoint is None:
            return Health.HEALTHY
        scores = endpoint.error_scores
        worst = max((scores.get(group, 0.0) for group in range(len(self.settings.classes))), default=0.0)
        if worst >= OUTLIER_SCORE:
            return Health.UNHEALTHY
        return Health.RECOVERING if worst >= RECOVERED_SCORE else Health.HEALTHY

    def _log_line(self) -> str:
        return (
            f"subset {len(self.selection.members)} of {self.rings.ready_count} ready endpoints, "
            f"{len(self.selection.slices)} services, {self.selection.widened} slices widened"
        )
