"""Forwarding: sends a request to an endpoint as an attempt, on a kept or a new connection."""

from __future__ import annotations

from typing import Final

from .actions import ActionQueue
from .endpoints import Endpoint
from .latency import LatencyModel
from .messages import CloseIdleConnections, ForwardRequest
from .outlier_detection import OutlierDetector
from .records import KEPT_CONNECTION, NEW_CONNECTION, RECENT_CONNECTION, Attempt, PendingRequest
from .requests import AttemptTable
from .settings import Idempotency, Settings
from .units import SECOND_NS

RECENT_NS: Final = SECOND_NS  # connections of an endpoint that answered within this time are known to work
KEPT_ERROR_MARGIN: Final = 0.1  # by how much the error rate of kept connections may exceed that of new ones
STALE_RATE_LIMIT: Final = 0.01  # above this rate of stale connections, non-idempotent requests need new ones


class Forwarder:
    """Sends attempts. It has no state of its own."""

    def __init__(
        self,
        settings: Settings,
        actions: ActionQueue,
        latency: LatencyModel,
        detector: OutlierDetector,
        attempts: AttemptTable,
    ) -> None:
        """Stores the parts that it uses."""
        self.settings = settings
        self.actions = actions
        self.latency = latency
        self.detector = detector
        self.attempts = attempts

    def forward(self, now: int, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Sends the next attempt of a request to this endpoint."""
        request = pending.request
        request_class = pending.request_class
        pending.expected_ns = self.latency.expected_ns(request.class_index, request.units)
        attempt = Attempt(
            endpoint,
            now,
            pending.expected_ns,
            request.units,
            self.latency.overload_ns(request.class_index, request.units, request_class.latency_objective_ns),
            request.class_index,
            request.plan,
            self._connection(now, endpoint),
        )
        self.attempts.launch(pending, attempt)
        idempotency = request_class.idempotency
        # A kept connection that closes after the request was written leaves open whether it ran: where this
        # happens, requests that must not run twice use new connections.
        new_connection = idempotency is not Idempotency.ALWAYS and self.detector.stale_rate > STALE_RATE_LIMIT
        write_deadline_ns = pending.value_deadline_ns
        if pending.may_have_run_at is not None and idempotency is Idempotency.BY_KEY:
            write_deadline_ns = pending.may_have_run_ns + request_class.deduplication_window_ns
        self.actions.append(
            ForwardRequest(
                request.id, endpoint.entry.id, pending.value_deadline_ns, new_connection, write_deadline_ns
            )
        )

    def _connection(self, now: int, endpoint: Endpoint) -> int:
        """Returns the kind of connection for the attempt, and closes idle ones where a new one is needed.

        Some network paths drop idle connections silently, and lose requests sent on them. So a new connection
        is opened where kept connections fail more often than new ones. This can do harm where only some of
        the paths do so, or where new connections fail and few are opened.
        """
        if now - endpoint.last_answer_ns <= RECENT_NS:
            return RECENT_CONNECTION
        errors = self.detector.connection_errors
        if (
            endpoint.last_answer_ns > 0
            and errors[KEPT_CONNECTION] <= errors[NEW_CONNECTION] + KEPT_ERROR_MARGIN
        ):
            return KEPT_CONNECTION
        self.actions.append(CloseIdleConnections(endpoint.entry.id))
        endpoint.last_answer_ns = now
        return NEW_CONNECTION
