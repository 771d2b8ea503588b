"""What a cold start adds to the events that a policy handles."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FleetIsServing:
    """An event: the other gateways serve with open admission, and this one starts beside them."""
