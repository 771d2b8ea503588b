"""The event that a cold start adds to the policy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FleetIsServing:
    """Event: the other gateways already serve with open admission while this one starts."""
