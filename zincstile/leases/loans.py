"""The earlier names of `leases` and its messages, which the simulation (`worlds`) still uses."""

from __future__ import annotations

from .lease_messages import LeaseGrant as Grant
from .lease_messages import LeaseMessage as Word
from .lease_messages import LeaseRelease as Close
from .lease_messages import LeaseRequest as Ask
from .lease_records import PendingRequest as Asked
from .leases import LeaseManager as Loans
from .running_clock import RunningClock as Clock

__all__ = ["Ask", "Asked", "Clock", "Close", "Grant", "Loans", "Word"]
