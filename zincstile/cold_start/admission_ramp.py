"""Admission ramp: limits the requests that a gateway sends after its start.

At a start the capacity of the backends is unknown: the budget has no bound yet, all token buckets are full
and no connection is open. Hundreds of gateways that start at the same time would send all requests of their
clients before the first answer arrives. So each gateway sends at a limited pace at first: its share of a rate
that all gateways together may send to each ready endpoint. Each answer in time raises the pace by its units
divided by the time constant `T` (`ramp_time_constant_ns`). No messages between gateways are needed for this.

A gateway's share may be far less than one request within the ramp. So it uses a token bucket: it sends while
the bucket has the units of the largest request, and takes the units of the request that it sends. The bucket
starts with a random part of the largest request plus the units that the pace yields in `T`. In a fleet of any
size some gateways can therefore send at once, and the total is independent of the fleet's size. With an
initial rate `r` (`initial_units_per_s`) and `S` ready endpoints (a warming one counts by its warmth), all
gateways together send within `t` of the start on average at most

    S x r x T x (2 e^(t / T) - 1)        (units)

since the paces add up to `S x r`, the initial tokens to `S x r x T`, and the units answered are never more
than the units sent, `A`: A' <= S x r + A / T. The standard deviation from the random draws is half of the
largest request times the square root of the number of gateways; each gateway is at most one request ahead. No
more connections are opened than requests are sent.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Final

from .settings import SECOND, ColdStartSettings

# The ramp ends after this many time constants without a rejection: 1 s with the default settings.
QUIET_SPANS: Final = 5
MAX_EXPONENT: Final = 50.0  # prevents an overflow in `max_sent_units`


@dataclass(slots=True)
class AdmissionRamp:
    """The admission ramp of one gateway."""

    settings: ColdStartSettings
    gateway_count: int
    largest_units: float  # units of the largest request
    rng: random.Random
    started_ns: int = -1
    tokens: float = -1.0  # negative before the first request
    refilled_ns: int = 0
    earned_units_per_s: float = 0.0  # units a second that answers in time added to the pace
    rejected_attempts: int = 0  # number of attempts that the ramp rejected
    last_rejected_ns: int = -1  # time of the last rejection

    def start(self, now: int) -> None:
        """Starts the ramp."""
        self.started_ns = now
        self.refilled_ns = now

    def pace(self, endpoints: float) -> float:
        """Returns the units a second that this gateway may send to that number of ready endpoints."""
        return self.settings.initial_units_per_s * endpoints / self.gateway_count + self.earned_units_per_s

    def admits(self, now: int, endpoints: float) -> bool:
        """Returns whether an attempt of any size may be sent now, with that number of ready endpoints."""
        pace = self.pace(endpoints)
        time_constant_s = self.settings.ramp_time_constant_ns / SECOND
        if self.tokens < 0:  # random, so that gateways do not send in step
            self.tokens = self.largest_units * self.rng.random() + pace * time_constant_s
        max_tokens = self.largest_units + pace * time_constant_s
        elapsed_ns = max(0, now - self.refilled_ns)
        self.tokens = min(max_tokens, self.tokens + pace * elapsed_ns / SECOND)
        self.refilled_ns = max(self.refilled_ns, now)
        if self.tokens >= self.largest_units:
            return True
        self.rejected_attempts += 1
        self.last_rejected_ns = now
        return False

    def record_sent(self, units: float) -> None:
        """Takes the units of an attempt that was sent."""
        self.tokens -= units

    def record_answer(self, units: float, *, in_time: bool) -> None:
        """Raises the pace for an answer in time. A late answer indicates overload and does not raise it."""
        if in_time:
            self.earned_units_per_s += units / (self.settings.ramp_time_constant_ns / SECOND)

    def inherit(self, served_per_s: float) -> None:
        """Raises the pace to the rate that the previous process completed, which the backends can serve.

        Rates of peers are not used: if all gateways raised their pace to that of the fastest one, the total
        would be unbounded.
        """
        self.earned_units_per_s = max(self.earned_units_per_s, served_per_s)

    def is_over(self, now: int) -> bool:
        """Returns whether the ramp is over: no rejection for some time, or `max_ramp_ns` has passed."""
        last_ns = max(self.last_rejected_ns, self.started_ns)
        quiet = (
            self.earned_units_per_s > 0 and now - last_ns >= QUIET_SPANS * self.settings.ramp_time_constant_ns
        )
        return quiet or now - self.started_ns >= self.settings.max_ramp_ns


def max_sent_units(settings: ColdStartSettings, endpoints: float, within_ns: int) -> float:
    """Returns the bound on the mean units that all gateways together send within this time of the start."""
    time_constant_s = settings.ramp_time_constant_ns / SECOND
    growth = math.exp(min(MAX_EXPONENT, within_ns / settings.ramp_time_constant_ns))
    return endpoints * settings.initial_units_per_s * time_constant_s * (2 * growth - 1)
