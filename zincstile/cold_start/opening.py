"""How a gateway's admission opens when it starts.

At a start nobody knows what the back end bears: the budget has no bound yet, all stores are full, no
connection is open. Hundreds of gateways that start at one stroke would send, before the first answer, all
that their clients ask. So each sends at a pace at first: its part of a rate that all together may send to
each ready server, and each answer that came in time raises the pace by its units over `double`. Nobody has
to be heard for that.

A gateway's part may be far less than one request in the time that counts. So it saves up: it sends while it
has the units of the largest request, pays what was asked, and begins with a drawn part of that and what its
pace gives in `double`. A fleet of any size so sends from the first moment on, by those that the draw
favoured, and the sum is the same: what all together send within `t` of the start, for `S` ready servers (a
cold one counts by its warmth), is in the mean at most

    S x first_per_s x double x (2 e^(t / double) - 1)        (units)

as their paces sum up to `S x first_per_s` and what they begin with to that times `double`, and as units
answered are never more than units sent: A' <= S x first_per_s + A / double. The draws put it apart by
half of the largest request times the root of the number of gateways (one deviation); at the very most
each is one request ahead. New connections are no more than what is sent.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from .settings import SECOND, StartSettings


@dataclass(slots=True)
class Opening:
    """Of one gateway among `gateways`. `largest`: units of the largest request."""

    settings: StartSettings
    gateways: int
    largest: float
    rng: random.Random
    began_ns: int = -1
    level: float = -1.0  # units saved up; below 0 before the first look
    looked_ns: int = 0
    gained: float = 0.0  # units a second, by answers
    refused: int = 0  # tries that were turned away by it, so far
    refused_ns: int = -1  # the last

    def begin(self, now: int) -> None:
        """The time from which the pace counts."""
        self.began_ns = self.looked_ns = now

    def pace(self, servers: float) -> float:
        """Units a second that this gateway may send to so many ready servers."""
        return self.settings.first_per_s * servers / self.gateways + self.gained

    def may(self, now: int, servers: float) -> bool:
        """A try may be sent now, of whatever size."""
        pace, double_s = self.pace(servers), self.settings.double_ns / SECOND
        if self.level < 0:  # drawn: a fleet whose stores fill alike sends in step
            self.level = self.largest * self.rng.random() + pace * double_s
        most = self.largest + pace * double_s
        self.level = min(most, self.level + pace * max(0, now - self.looked_ns) / SECOND)
        self.looked_ns = max(self.looked_ns, now)
        if self.level >= self.largest:
            return True
        self.refused, self.refused_ns = self.refused + 1, now
        return False

    def took(self, units: float) -> None:
        """It was sent."""
        self.level -= units

    def answered(self, units: float, in_time: bool) -> None:
        """An own attempt has ended. What came late raises nothing: the back end bears no more than that."""
        if in_time:
            self.gained += units / (self.settings.double_ns / SECOND)

    def known(self, done_per_s: float) -> None:
        """What the process of this gateway before this one was served: so much the back end bears of it. A
        peer's word is not taken: raised to the quickest one's pace by all, the sum would have no bound."""
        self.gained = max(self.gained, done_per_s)

    def over(self, now: int) -> bool:
        """Admission is open: nothing was turned away for a while though answers came, or it is time."""
        quiet = self.gained > 0 and now - max(self.refused_ns, self.began_ns) >= 5 * self.settings.double_ns
        return quiet or now - self.began_ns >= self.settings.open_ns


def stated(settings: StartSettings, servers: float, within_ns: int) -> float:
    """Units that all gateways together send by the pace within so long of the start, at most, in the mean."""
    double = settings.double_ns / SECOND
    grown = math.exp(min(50.0, within_ns / settings.double_ns))
    return servers * settings.first_per_s * double * (2 * grown - 1)
