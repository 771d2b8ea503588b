"""The decision module where a try may have to wait, for some tens of milliseconds, until its units are
there.

`policy.Policy` decides all else. Who holds quotas in another way says by `_pay` whether a try's units
are in hand; the count keeper's leases (`keeper.module`) and the gateways' own loans (`shared.module`)
do.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from .policy import KINDS, Policy
from .settings import Settings
from .state import Customer, Live

ASKED = 1  # `policy`'s kind of timer for a try that waits


class Paid(Enum):
    """Of a try's units."""

    YES = "in hand, and taken"
    SOON = "not there; an answer may bring them"
    NO = "beyond the quota, here and now"


class HeldPolicy(Policy, ABC):
    """`held_ns`: a try waits so long at most."""

    held_ns: int

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.held: dict[int, dict[int, Live]] = {}  # customer: tries that wait

    @abstractmethod
    def _pay(self, now: int, live: Live, again: bool) -> Paid:
        """The units of a try, in hand or not; `again`: it has waited for them."""

    @abstractmethod
    def _unpay(self, now: int, c: Customer, units: float) -> None:
        """What was taken is not sent, or turned out to be less: units come back (above 0) or go besides."""

    @abstractmethod
    def _carry_on(self, now: int) -> None:
        """What has to be sent after tries were looked at."""

    def _capped(self, c: Customer, live: Live) -> bool:
        """The plan's limit on attempts out is reached."""
        limit = live.plan.open_limit
        return limit > 0 and c.open + c.open_at_peers(c.filled_ns - self.set.longest_ns) >= limit

    def _seek(self, now: int, live: Live) -> None:
        ask, c, plan = live.ask, live.customer, live.plan
        if not plan.rate:
            super()._seek(now, live)
            return
        self._refill(now, c)
        held = self.held.get(c.key, {})
        if self._capped(c, live):
            self._settle(now, live, False)
        else:
            paid = self._pay(now, live, ask.id in held)
            if paid is Paid.YES:
                self._note(now, c, ask.units)
                self._settle(now, live, True)
            elif paid is Paid.SOON and now - live.came_ns < self.held_ns:
                if ask.id not in held:
                    self.held.setdefault(c.key, {})[ask.id] = live
                    self.timer(live.came_ns + self.held_ns, ask.id * KINDS + ASKED)
            else:
                self._settle(now, live, False)
        self._carry_on(now)

    def try_held(self, now: int, keys: list[int]) -> None:
        """Something has come for these customers: their tries that wait are looked at again, in order."""
        for key in keys:
            for live in list(self.held.get(key, {}).values()):
                if live.ask.id in self.live and live.leaf is None:
                    self._seek(now, live)

    def _settle(self, now: int, live: Live, inside: bool) -> None:
        self._let_go(live)
        self._decide(now, live, inside, counted=inside)

    def _let_go(self, live: Live) -> None:
        held = self.held.get(live.customer.key)
        if held is not None:
            held.pop(live.ask.id, None)
            if not held:
                del self.held[live.customer.key]

    def _note(self, now: int, c: Customer, units: float) -> None:
        """Sent on, or given back: told to the peers, as ceilings and relays need it."""
        super()._spend(now, c, units)

    def _spend(self, now: int, c: Customer, units: float) -> None:
        self._note(now, c, units)
        if units:
            self._unpay(now, c, -units)

    def close(self, live: Live, cancel: bool) -> None:
        """A request that is over waits for nothing any more."""
        self._let_go(live)
        super().close(live, cancel)
