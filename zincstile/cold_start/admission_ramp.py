"""Admission ramp: how a gateway's admission opens after its start.

At a start nobody knows what the backends bear: the budget has no bound yet, all token buckets are full, no
connection is open. Hundreds of gateways that start at the same moment would send, before the first answer,
all that their clients ask. So each gateway sends at a limited pace at first: its part of a rate that all
together may send to each ready endpoint. Each answer that came in time raises the pace by its units divided
by `double`. No message between gateways is needed for that.

A gateway's part may be far less than one request in the time that matters. So it saves up: it sends while it
has saved the units of the largest request, spends what the request costs, and starts with a random part of
that and with what its pace gives in `double`. A fleet of any size so sends from the first moment on, by those
that the draw favoured, and the sum is the same: what all together send within `t` of the start to `S` ready
endpoints (one that is warming up counts by its warmth) is on average at most

    S x first_per_s x double x (2 e^(t / double) - 1)        (units)

as the paces sum up to `S x first_per_s` and what they start with to that times `double`, and as the units
answered are never more than the units sent: A' <= S x first_per_s + A / double. The draws spread it by half
of the largest request times the square root of the number of gateways (one deviation); at the very most each
gateway is one request ahead. No more connections are opened than requests are sent.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Final

from .settings import SECOND, ColdStartSettings

QUIET_SPANS: Final = 5  # times `double` without a rejection end the ramp: 1 s by the usual settings
MAX_EXPONENT: Final = 50.0  # of the bound's growth, so that it does not overflow


@dataclass(slots=True)
class AdmissionRamp:
    """The ramp of one gateway among `gateways`."""

    settings: ColdStartSettings
    gateway_count: int
    largest_units: float  # of a request
    rng: random.Random
    started_ns: int = -1
    tokens: float = -1.0  # below 0 before the first request
    refilled_ns: int = 0
    earned_units_per_s: float = 0.0  # units a second, by answers
    rejected_attempts: int = 0  # attempts so far
    last_rejected_ns: int = -1  # the last of them

    def start(self, now: int) -> None:
        """Starts the ramp."""
        self.started_ns = now
        self.refilled_ns = now

    def pace(self, endpoints: float) -> float:
        """Returns the units a second that this gateway may send to so many ready endpoints."""
        return self.settings.initial_units_per_s * endpoints / self.gateway_count + self.earned_units_per_s

    def admits(self, now: int, endpoints: float) -> bool:
        """Returns whether an attempt of any size may be sent now, to so many ready endpoints."""
        pace = self.pace(endpoints)
        double_s = self.settings.ramp_time_constant_ns / SECOND
        if self.tokens < 0:  # random: gateways that save up alike would send in step
            self.tokens = self.largest_units * self.rng.random() + pace * double_s
        max_tokens = self.largest_units + pace * double_s
        elapsed_ns = max(0, now - self.refilled_ns)
        self.tokens = min(max_tokens, self.tokens + pace * elapsed_ns / SECOND)
        self.refilled_ns = max(self.refilled_ns, now)
        if self.tokens >= self.largest_units:
            return True
        self.rejected_attempts += 1
        self.last_rejected_ns = now
        return False

    def record_sent(self, units: float) -> None:
        """Notes an attempt that was sent."""
        self.tokens -= units

    def record_answer(self, units: float, *, in_time: bool) -> None:
        """Notes the end of an attempt; a late answer raises nothing, as the backends bear no more."""
        if in_time:
            self.earned_units_per_s += units / (self.settings.ramp_time_constant_ns / SECOND)

    def inherit(self, served_per_s: float) -> None:
        """Takes the units a second that the process before this one was served: the backends bear these.

        What peers were served is not taken: if all raised their pace to that of the fastest, the sum would
        have no bound.
        """
        self.earned_units_per_s = max(self.earned_units_per_s, served_per_s)

    def is_over(self, now: int) -> bool:
        """Returns whether admission is open: nothing was rejected for a while, or `open` is over."""
        last_ns = max(self.last_rejected_ns, self.started_ns)
        quiet = (
            self.earned_units_per_s > 0 and now - last_ns >= QUIET_SPANS * self.settings.ramp_time_constant_ns
        )
        return quiet or now - self.started_ns >= self.settings.max_ramp_ns


def max_sent_units(settings: ColdStartSettings, endpoints: float, within_ns: int) -> float:
    """Returns the units that all gateways together send within so long of the start, on average at most."""
    double_s = settings.ramp_time_constant_ns / SECOND
    growth = math.exp(min(MAX_EXPONENT, within_ns / settings.ramp_time_constant_ns))
    return endpoints * settings.initial_units_per_s * double_s * (2 * growth - 1)
