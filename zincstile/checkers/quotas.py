"""Where quotas are held with a stated bound: for each customer a store of burst and rate, which what all
gateways together send on may pass by that bound and no more.

It is looked at only in runs that state one. Every try takes its units once its first attempt has left a
gateway whole. Beside it stands what one store that sees every try at once would have let in, as the measure
of what the quota is worth while gateways can't hear each other.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Store:
    """One customer's: what was sent, and what the all-seeing store would have sent."""

    level: float
    at: int
    best_level: float
    best_at: int
    sent: float = 0.0
    best: float = 0.0
    lowest: float = 0.0


class Quotas:
    """The stores of all customers. `stated`: plan: rate, burst, and the bound in units."""

    def __init__(
        self,
        stated: dict[str, tuple[float, float, float]],
        late_ns: int = 0,
        opening: dict[str, float] | None = None,
        began_ns: int = 0,
    ) -> None:
        self.stated, self.late_ns = stated, late_ns  # units on their way to a box arrive later by so much
        self.opening, self.began_ns = opening or {}, began_ns  # part of the burst that the all-seeing store
        # begins with, as gateways that know no past do; and when
        self.nearest = 0.0  # to the bound: 0 within the quota, 1 at it
        self.worst = 0.0  # units beyond a quota
        self.best = self.sent = 0.0  # of all customers
        self.stores: dict[tuple[str, bytes], Store] = {}

    def _store(self, now: int, plan: str, customer: bytes) -> Store:
        found = self.stores.get((plan, customer))
        if found is None:
            rate, burst, _ = self.stated[plan]
            best = min(burst, burst * self.opening.get(plan, 1.0) + rate * (now - self.began_ns) / 1e9)
            found = self.stores[plan, customer] = Store(burst, now, best, now)
        return found

    def ask(self, now: int, plan: str, customer: bytes, units: float) -> None:
        """A try is asked, of whichever gateway."""
        if plan not in self.stated:
            return
        rate, burst, _ = self.stated[plan]
        store = self._store(now, plan, customer)
        store.best_level = min(burst, store.best_level + rate * (now - store.best_at) / 1e9)
        store.best_at = now
        if store.best_level >= units:
            store.best_level -= units
            store.best, self.best = store.best + units, self.best + units

    def take(self, now: int, plan: str, customer: bytes, units: float) -> float:
        """Units past the bound; 0 or less: kept."""
        if plan not in self.stated:
            return 0.0
        rate, burst, bound = self.stated[plan]
        store = self._store(now, plan, customer)
        store.level = min(burst, store.level + rate * (now - store.at) / 1e9) - units
        store.at, store.sent, self.sent = now, store.sent + units, self.sent + units
        store.lowest = min(store.lowest, store.level)
        bound += rate * self.late_ns / 1e9
        self.worst, self.nearest = max(self.worst, -store.level), max(self.nearest, -store.level / bound)
        return -store.level - bound

    def by_plan(self) -> dict[str, tuple[float, float, float, float]]:
        """Plan: the most units beyond a quota, its bound, units sent, and what the all-seeing store would
        send."""
        found: dict[str, tuple[float, float, float, float]] = {}
        for (plan, _), store in self.stores.items():
            worst, bound, sent, best = found.get(plan, (0.0, self.stated[plan][2], 0.0, 0.0))
            found[plan] = max(worst, -store.lowest), bound, sent + store.sent, best + store.best
        return found
