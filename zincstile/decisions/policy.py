"""The face of the decisions: takes events in order, has the parts handle them, returns actions.

See `messages` and `settings` for what goes in and out, `parts` for who decides what, and
docs/ARCHITECTURE.md for the way of a request.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any, Final

from . import state_transfer
from .collaborators import Feature
from .messages import (
    Action,
    AttemptOutcome,
    EndpointList,
    EndpointListKind,
    Event,
    FailRequest,
    GossipReceived,
    Request,
    RequestAbandoned,
    Started,
    StateInherited,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from .parts import DecisionParts
from .settings import Settings
from .ticker import Ticker
from .timers import DEADLINE_TIMER, FIRST_FEATURE_TOKEN, GOSSIP_TIMER, QUOTA_TIMER, TICK_TIMER, TIMER_KINDS

SUSPECTED_SCORE: Final = 0.5  # from which an endpoint is counted in the figures of the log


class Policy:
    """The decisions of one gateway: feed it events in order, carry out the actions it returns.

    `seed`: of all random draws. `features`: what joins it, in the order in which they are asked
    (`collaborators.Feature`).
    """

    def __init__(self, settings: Settings, seed: int, features: Sequence[Feature] = ()) -> None:
        """Makes the parts and has the features join."""
        self.settings = settings
        self.parts = DecisionParts(settings, seed)
        self.ticker = Ticker(self.parts)
        self.timers: dict[int, Callable[[int], None]] = {}  # of features, by token
        self.handlers: dict[type, Callable[[int, Any], None]] = {
            AttemptOutcome: self.parts.outcomes.on_attempt_outcome,
            EndpointList: self.on_endpoint_list,
            GossipReceived: self.parts.receiver.on_gossip_received,
            Request: self.parts.admission.on_request,
            RequestAbandoned: self.on_request_abandoned,
            Started: self.on_started,
            StateInherited: self.on_state_inherited,
            StreamStarted: self.on_stream_started,
            TimerFired: self.on_timer_fired,
        }
        self.features = list(features)
        for feature in self.features:
            feature.attach(self)

    def handle(self, now: int, event: Event) -> list[Action]:
        """The actions that an event leads to, in order; an event of a kind that nobody takes leads to none.

        Changes of the endpoint list cost one classification, before whatever comes after them.
        """
        actions = self.parts.actions
        actions.clear()  # what an event that failed has left
        kind = type(event)
        if self.parts.endpoints.classification_due and kind is not EndpointList:
            self.parts.capacity.classify_if_due(now)
        handler = self.handlers.get(kind)
        if handler is not None:
            handler(now, event)
        return actions[:]

    def on_started(self, now: int, _: Started) -> None:
        """The gateway starts."""
        for feature in self.features:
            feature.before_start(now)
        self.parts.ledger.start(now)
        self.ticker.start(now)
        if self.settings.polls_endpoint_list:
            self.parts.actions.append(WatchEndpoints())
        self.parts.gossip.flush(now, heartbeat=True)
        for feature in self.features:
            feature.started(now)

    def on_state_inherited(self, now: int, event: StateInherited) -> None:
        """Takes over what an older process of this gateway knew."""
        state_transfer.restore(self.parts, now, event.table)
        for feature in self.features:
            feature.state_inherited(now)

    def on_endpoint_list(self, now: int, event: EndpointList) -> None:
        """A list of endpoints, a change of it, or the news that there is none."""
        if event.kind is EndpointListKind.FAILED and self.settings.polls_endpoint_list:
            self.parts.actions.append(WatchEndpoints())
        self.parts.endpoints.apply(event)

    def on_timer_fired(self, now: int, event: TimerFired) -> None:
        """A timer rang: of a feature, or of the kind that its token says (`timers`)."""
        if event.token >= FIRST_FEATURE_TOKEN:
            self.timers[event.token](now)
            return
        request_id, kind = divmod(event.token, TIMER_KINDS)
        if kind == TICK_TIMER:
            self.ticker.timer_fired(now)
        elif kind == GOSSIP_TIMER:
            self.parts.gossip.flush_timer_fired(now)
        elif kind == QUOTA_TIMER:
            pending = self.parts.requests.pending.get(request_id)
            self.parts.admission.quotas.timer_fired(now, request_id, pending)
        elif kind == DEADLINE_TIMER:
            for pending in self.parts.requests.pop_overdue(now):
                self.parts.actions.append(FailRequest(pending.request.id))
                self.parts.requests.close(pending)

    def on_stream_started(self, _: int, event: StreamStarted) -> None:
        """The value of a request has begun to come: its deadline is over."""
        pending = self.parts.requests.pending.get(event.request)
        if pending is not None:
            pending.streaming = True

    def on_request_abandoned(self, _: int, event: RequestAbandoned) -> None:
        """The client has left, or the request is over for another reason."""
        pending = self.parts.requests.pending.get(event.request)
        if pending is not None:
            self.parts.requests.close(pending)

    def state_values(self) -> dict[str, float]:
        """What is believed at present, for the log line `state`. Stored results have these names.

        `level`: the concurrency limit, in units for each healthy endpoint (-1: none yet); `out`: units in
        flight; `good`: healthy endpoints; `doubted`: endpoints with an error score of a half; `strain`:
        overload signal.
        """
        parts = self.parts
        limit = parts.limit.limit
        suspected = sum(
            endpoint.ready_list is not None
            and any(score >= SUSPECTED_SCORE for score in endpoint.error_scores.values())
            for endpoint in parts.endpoints.tracked.values()
        )
        found = {
            "level": -1.0 if limit == math.inf else round(limit, 3),
            "out": round(sum(parts.attempts.units()), 2),
            "good": round(parts.capacity.healthy_endpoints, 2),
            "ready": len(parts.endpoints.ready),
            "doubted": suspected,
            "strain": round(parts.limit.overload_signal, 3),
            "customers": len(parts.ledger.customers),
            "attempts": len(parts.attempts.in_flight),
        }
        for feature in self.features:
            found |= feature.state_values()
        return found
