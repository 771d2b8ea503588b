"""Subsetting (`features.subset`): passes only the endpoints that this gateway uses to the policy.

`rings` contains all endpoints; the policy only gets changes of the subset's endpoints. The scores of an
endpoint that leaves the subset are kept for some time (`departed_endpoints`). Slow start needs no change:
fewer gateways send to a warming endpoint, but each of them compares it with fewer endpoints, and the initial
rate stays an even share for each gateway of the fleet (docs/subset.md).
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

# Error score below which an endpoint counts as healthy again. It is less than that of an outlier, so that a
# score near the limit does not alternately widen and shrink a slice.
RECOVERED_SCORE: Final = OUTLIER_SCORE / 2
# Minimum number of endpoints in a scope, so that a request with a key can be retried at another one.
MIN_DEDUPLICATING_ENDPOINTS: Final = 2


def deduplication_scopes(settings: Settings) -> set[DeduplicationScope]:
    """Returns the scopes within which the retries of some class have to stay."""
    scopes = {
        request_class.deduplication_scope
        for request_class in settings.classes
        if request_class.idempotency is Idempotency.BY_KEY
    }
    return scopes - {DeduplicationScope.ALL}


class SubsettingFeature:
    """Policy feature that selects the subset from all endpoints of discovery's list."""

    def __init__(
        self, settings: Settings, subset_settings: SubsetSettings, zones: list[str], machine_types: list[int]
    ) -> None:
        """`zones` are the zone names in the settings' order; `machine_types` has a number for each type.

        A type has the same number at all gateways, even if their settings name different types.
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
        self.applied_entries: dict[int, EndpointEntry] = {}  # by endpoint id: the entries that the policy has
        self.departed = DepartedEndpoints()
        self._applied_ns = 0  # when the policy last got a change

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Installs the selection between discovery's list and the policy."""
        self.parts = policy.parts
        self._apply: Callable[[int, EndpointList], None] = policy.on_endpoint_list
        policy.handlers[EndpointList] = self.on_endpoint_list
        policy.ticker.tick_listeners.append(self.on_ticked)
        self.parts.endpoints.find_known = self.recall
        self.parts.capacity.subset_ratio = 1.0

    def before_start(self, now: int) -> None:
        """There is nothing to do before the first list."""

    def started(self, now: int) -> None:
        """The feature has no timer."""

    def state_inherited(self, now: int) -> None:
        """The policy inherits the scores together with the endpoints of the subset."""

    def state_values(self) -> dict[str, float]:
        """Returns the counts of listed, selected and departed endpoints, and of widened slices.

        Stored results contain these keys.
        """
        return {
            "endpoints": len(self.rings.endpoints),
            "members": len(self.selection.members),
            "widened": self.selection.widened,
            "moved": self.departed.count,
        }

    def service_of(self, entry: EndpointEntry) -> int:
        """Returns the service of an endpoint, by the field that the settings select."""
        if self.subset_settings.service_by is ServiceBy.TYPE:
            is_configured = 0 <= entry.machine_type < len(self.machine_types)
            return self.machine_types[entry.machine_type] if is_configured else entry.machine_type
        return entry.cell if self.subset_settings.service_by is ServiceBy.GROUP else 0

    # ---- the list

    def on_endpoint_list(self, now: int, event: EndpointList) -> None:
        """Applies a list or a change, and passes the subset's part of it to the policy."""
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
            self.parts.actions.append(LogMessage(self._summary()))

    def _apply_changes(self, now: int, changed: set[int], version: int) -> None:
        """Passes the policy the changes that concern it, among these endpoint ids."""
        changes = (self._change(now, endpoint_id) for endpoint_id in sorted(changed))
        entries = [entry for entry in changes if entry is not None]
        member_count = len(self.selection.members)
        self.parts.capacity.subset_ratio = self.rings.ready_count / member_count if member_count else 1.0
        if entries:
            self._applied_ns = now
            self._apply(now, EndpointList(EndpointListKind.DELTA, version, entries))

    def _change(self, now: int, endpoint_id: int) -> EndpointEntry | None:
        """Returns the new entry of an endpoint for the policy; None if nothing changes for it."""
        entry = self.rings.endpoints.get(endpoint_id)
        applied = self.applied_entries.get(endpoint_id)
        keeps_draining = entry is not None and entry.state is EndpointState.DRAINING and applied is not None
        if entry is not None and (keeps_draining or endpoint_id in self.selection.members):
            self.applied_entries[endpoint_id] = entry
            return entry if entry != applied else None
        if applied is None:
            return None
        del self.applied_entries[endpoint_id]
        endpoint = self.parts.endpoints.by_id.get(endpoint_id)
        if endpoint is not None:
            self.departed.add(now, endpoint_id, endpoint)
        return replace(applied, state=EndpointState.REMOVED)

    def recall(self, entry: EndpointEntry) -> Endpoint | None:
        """Returns an endpoint with its earlier scores if it was in the subset before."""
        return self.departed.restore(self._applied_ns, entry)

    # ---- outliers

    def on_ticked(self, now: int) -> None:
        """Widens slices with outliers, and shrinks those that have recovered."""
        touched = self.parts.endpoints.tracked
        suspects = [endpoint_id for endpoint_id, endpoint in touched.items() if endpoint.error_scores]
        services = self.selection.review(now, suspects, self._health)
        if services:
            self._apply_changes(now, self.selection.update(services), 0)

    def _health(self, endpoint_id: int) -> Health:
        """Returns the health of an endpoint by its scores.

        The baseline is not subtracted, as all endpoints of a subset may fail alike.
        """
        endpoint = self.parts.endpoints.by_id.get(endpoint_id)
        if endpoint is None:
            return Health.HEALTHY
        scores = endpoint.error_scores
        max_score = max((scores.get(group, 0.0) for group in range(len(self.settings.classes))), default=0.0)
        if max_score >= OUTLIER_SCORE:
            return Health.UNHEALTHY
        return Health.RECOVERING if max_score >= RECOVERED_SCORE else Health.HEALTHY

    def _summary(self) -> str:
        return (
            f"subset {len(self.selection.members)} of {self.rings.ready_count} ready endpoints, "
            f"{len(self.selection.slices)} services, {self.selection.widened} slices widened"
        )
