"""The decision module with its shared state held within stated bounds.

Quotas by parts and leases (`lease_manager`), suspicions of servers by observers (`failure_detector`), and a
stated limit for what all gateways have out (`concurrency_budget`), in place of the gossip's shares, its sum
of words and the level's free rise. All else is `policy.Policy`'s: budget, draws, choice of server, attempts.
The gossip goes on beside it, for ceilings and limits on attempts out.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from ..decisions.deferred_admission import HeldPolicy, Paid
from ..decisions.messages import CustomerUsage, GossipReceived, LogMessage, Request, Started, TimerFired
from ..decisions.policy import SECOND
from ..decisions.quota_bounds import DIGITS, Quota, of_plan
from ..decisions.settings import CustomerPlan, Settings
from ..decisions.state import Attempt, Customer, Live, Server
from .bound import bounds
from .codec import SharedMessage
from .concurrency_budget import ConcurrencyBudget, ConcurrencyReport
from .failure_detector import ALL_CLASSES, FailureDetector
from .lease_manager import LeaseManager
from .lease_messages import LeaseGrant, LeaseRelease, LeaseRequest
from .quota_account import QuotaAccount
from .settings import MS, SharedSettings
from .slot_messages import SlotGrant, SlotRelease, SlotRequest
from .slots import SlotAccount, SlotManager

LOOK, AGAIN = 2**62, 2**62 + 1  # timers' tokens that no request has
SPREAD_NS = 500 * MS  # how often evidence and levels are told to some others
SWEEP_NS, IDLE_NS = SECOND, 15 * SECOND  # how often customers are looked over; unheard for so long: may go
LIFE_NS = 10 * MS  # a process's life is numbered by its start, in parts of this
DEAD = 0.99  # how bad a sample is that found no connection, or no answer
MARK = 0.011  # a doubt that is just kept: the choice then asks for all that is known of a server


@dataclass(slots=True)
class SharedTell:
    """An action: words for one peer, from this process."""

    peer: int
    process: int
    words: list[SharedMessage]


@dataclass(slots=True)
class SharedWords:
    """An event: a peer's words."""

    sender: int
    process: int
    words: list[SharedMessage] = field(default_factory=list)


class SharedPolicy(HeldPolicy):
    """`shared` has the times and sizes."""

    concentration = 1.0  # endpoints of the whole table for each one that this gateway uses

    def __init__(self, settings: Settings, seed: int, shared: SharedSettings) -> None:
        super().__init__(settings, seed)
        self.shared, self.held_ns = shared, shared.held_ns
        self.draws = random.Random(f"shared {seed}")
        self.process = self.draws.getrandbits(32)
        self.quotas: dict[tuple[int, int], Quota] = {}  # by plan and spread
        self.covered = [self._covers(p) for p in settings.plans]
        self.failure_detector = FailureDetector(shared, settings.me, settings.zone)
        self.concurrency_budget = ConcurrencyBudget(settings.me, settings.gateways, 0, shared.most_out)
        self.suspected: dict[int, dict[int, float]] = {}  # server: how bad by words alone
        self.units_out = 0.0
        self.spread_ns = self.sweep_ns = 0
        self.again_ns = -1  # when asks are looked at, whether to send them again
        self.paying: QuotaAccount | None = None  # of the try that is decided on just now
        self.leases: LeaseManager | None = None
        self.slots = SlotManager(shared, settings.me, self.process, settings.longest_ns, self.draws)
        self.said_trouble = False
        self.strange = 0  # asks that don't fit what is known here

    def on_started(self, now: int, event: Started) -> None:
        """Builds what needs the start time, and begins to look about."""
        self.leases = LeaseManager(self.shared, self.set.me, self.process, now, self.draws)
        self.concurrency_budget.incarnation = (
            now // LIFE_NS % 2**32
        )  # a machine's clock goes on over its processes' starts
        super().on_started(now, event)
        self._look(now)

    def on_timer_fired(self, now: int, event: TimerFired) -> None:
        """The own timers, or one of the base module."""
        if event.token == LOOK:
            self._look(now)
        elif event.token == AGAIN:
            self.again_ns = -1
            self._carry_on(now)
            self.try_held(now, self.leases.lessee.drain_late_customers())
        else:
            super().on_timer_fired(now, event)

    def _look(self, now: int) -> None:
        """What goes by time, once a beat."""
        self.leases.tick(now)
        self.slots.tick(now)
        self.tier = self.set.gateways / self.concurrency_budget.tick(now)
        names = [s.name for s in self.ready]
        self.failure_detector.tick(now, names)
        self.suspected = (
            self.failure_detector.suspected(now, names, range(ALL_CLASSES + 1))
            if self.failure_detector.received
            else {}
        )
        for name in self.suspected:
            self.touch(self.named[name]).doubt.setdefault(0, MARK)
        if self.failure_detector.isolated is not self.said_trouble:
            self.said_trouble = self.failure_detector.isolated
            self.acts.append(
                LogMessage(
                    "shared this gateway is cut off from the back end"
                    if self.said_trouble
                    else "shared this gateway reaches the back end again"
                )
            )
        if now - self.sweep_ns >= SWEEP_NS:
            self.sweep_ns = now
            self.leases.forget_idle(now, IDLE_NS)
        if now - self.spread_ns >= SPREAD_NS:
            self.spread_ns = now + self.draws.randrange(self.shared.beat_ns)
            wants = sum(x.arrivals for x in self.leaves)
            words = [
                *self.failure_detector.suspicions_to_send(now),
                *self.concurrency_budget.reports_to_send(now, self.units_out, wants, self.draws),
            ]
            for peer in self.concurrency_budget.draw_recipients(self.draws) if self.set.peers else ():
                self.acts.append(SharedTell(peer, self.process, words))
        self._carry_on(now)
        self.timer(now + self.shared.beat_ns, LOOK)

    # ---- words

    def on_shared_words(self, now: int, event: SharedWords) -> None:
        """Each kind to where it belongs; what doesn't fit is counted and left."""
        if not 0 <= event.sender < self.set.gateways or event.sender == self.set.me:
            return
        again: dict[int, None] = {}
        for word in event.words:
            if isinstance(word, LeaseRequest | SlotRequest):
                self._asked_for(now, event, word)
            elif isinstance(word, SlotGrant):
                if self.slots.on_grant(now, event.sender, event.process, word):
                    again[word.customer] = None
            elif isinstance(word, SlotRelease):
                self.slots.on_release(event.sender, event.process, word)
            elif isinstance(word, LeaseGrant):
                account = self.leases.lessee.on_grant(now, event.sender, event.process, word)
                if account is not None:
                    again[account.customer] = None
            elif isinstance(word, LeaseRelease):
                self.leases.lessor.on_release(now, event.sender, event.process, word)
            elif isinstance(word, ConcurrencyReport):
                self.concurrency_budget.merge(now, word)
            else:
                if word.origin == event.sender:
                    self.failure_detector.record_observer(now, event.sender, word.zone)
                self.failure_detector.merge(now, word)
        self.try_held(now, [k for k in again if k in self.held])
        self._carry_on(now)

    def _asked_for(self, now: int, event: SharedWords, ask: LeaseRequest | SlotRequest) -> None:
        set_ = self.set
        if (
            ask.plan >= len(set_.plans)
            or not set_.plans[ask.plan].rate
            or not 1 <= ask.set_size <= set_.gateways
            or ask.first_gateway >= set_.gateways
        ):
            self.strange += 1
            return
        if isinstance(ask, SlotRequest):
            slots = self._slot_account(ask.customer, ask.plan, ask.set_size, ask.first_gateway)
            if slots is None or len(slots.gateways) != ask.set_size or slots.gateways[0] != ask.first_gateway:
                self.strange += 1
            else:
                self.slots.on_request(now, event.sender, event.process, ask, slots)
            return
        account = self._purse(now, ask.customer, ask.plan, ask.set_size, ask.first_gateway)
        if (
            account.plan != ask.plan
            or len(account.gateways) != ask.set_size
            or account.gateways[0] != ask.first_gateway
        ):
            self.strange += 1  # one customer with two sets: the first one holds
            return
        self.leases.lessor.on_request(now, event.sender, event.process, ask, account)

    def _carry_on(self, now: int) -> None:
        if self.leases.lessee.resendable:
            soonest = self.leases.lessee.resend(now)
            if soonest is not None and not now < self.again_ns <= soonest:
                self.again_ns = soonest
                self.timer(soonest, AGAIN)
        by: dict[int, list[SharedMessage]] = {}
        for word in (*self.leases.drain_messages(), *self.slots.drain_messages()):
            by.setdefault(word.recipient, []).append(word)
        if self.set.peers:
            self.acts += [SharedTell(peer, self.process, words) for peer, words in by.items()]

    # ---- quotas

    def _quota(self, plan: int, spread: int) -> Quota:
        found = self.quotas.get((plan, spread))
        if found is None:
            found = self.quotas[plan, spread] = of_plan(self.set.plans[plan], spread, self.set.largest_units)
        return found

    def _purse(self, now: int, key: int, plan: int, spread: int, first: int) -> QuotaAccount:
        row = tuple((first + k) % self.set.gateways for k in range(spread))
        return self.leases.account(now, key, plan, self._quota(plan, spread), row)

    def _slot_account(self, key: int, plan: int, spread: int, first: int) -> SlotAccount | None:
        """None where the plan has no limit on attempts out."""
        limit = self.set.plans[plan].open_limit
        if not limit:
            return None
        row = tuple((first + k) % self.set.gateways for k in range(spread))
        return self.slots.account(key, plan, limit, row)

    def _capped(self, c: Customer, live: Live) -> bool:
        return False  # by slots, in `_pay`

    def _pay(self, now: int, live: Live, again: bool) -> Paid:
        """Units and, where the plan has a limit, a slot; the one is not taken without the other."""
        ask, c = live.ask, live.customer
        slots = self._slot_account(c.key, c.plan, c.spread, ask.first % self.set.gateways)
        if slots is not None and not self.slots.has_free(slots, ask.give_up_ns):
            return Paid.SOON if self.slots.request_slot(now, slots) else Paid.NO
        account = self._purse(now, c.key, c.plan, c.spread, ask.first % self.set.gateways)
        if self.leases.reserve(now, account, ask.units):
            self.paying = account
            if slots is not None:
                self.slots.acquire(slots, ask.id, ask.give_up_ns)
            self.leases.lessee.request_ahead(now, account)
            return Paid.YES
        refused = live.draw >= self.tree[0][ask.cls][ask.plan].rate  # by the budget: no word could help
        return (
            Paid.SOON
            if not refused and self.leases.lessee.request_missing(now, account, ask.units)
            else Paid.NO
        )

    def _settle(self, now: int, live: Live, inside: bool) -> None:
        super()._settle(now, live, inside)
        self.paying = None

    def _note(self, now: int, c: Customer, units: float) -> None:
        """Nothing here needs to be told to the peers."""

    def close(self, live: Live, cancel: bool) -> None:
        """The slot of a request that is over is free again."""
        super().close(live, cancel)
        self.slots.release(live.ask.id)

    def _unpay(self, now: int, c: Customer, units: float) -> None:
        if self.paying is not None:  # decided against in the same turn
            self.leases.cancel_reservation(now, self.paying)
            self.paying = None
        elif c.key in self.leases.accounts:
            self.leases.charge(now, self.leases.accounts[c.key], -units)

    def _share(self, c: Customer, want: float = 0.0, mark: int = -1) -> CustomerUsage:
        """The level that is told is what this gateway's own part holds: a hint for those that borrow."""
        found = super()._share(c, want, mark)
        account = self.leases.accounts.get(c.key)
        if account is not None:
            found.level = account.own_units
        return found

    def on_gossip_received(self, now: int, event: GossipReceived) -> None:
        """As the base module takes it, without suspicions, which come with their origin; levels are hints."""
        event.doubts = []  # suspicions come with their origin, by `Suspicion`
        super().on_gossip_received(now, event)
        for s in event.shares:
            account = self.leases.accounts.get(s.customer)
            if account is not None and event.sender < self.set.gateways:
                self.leases.lessee.note_available(now, account, event.sender, s.level)

    def _covers(self, plan: CustomerPlan) -> bool:
        """The quota holds what goes out under the ceiling, whatever fails: it is lower by more than what may
        go out beyond it."""
        if not plan.rate or plan.over_worth > plan.over_cost or plan.ceiling_rate < plan.rate:
            return False
        quotas = [of_plan(plan, n, self.set.largest_units) for n in range(1, self.set.gateways + 1)]
        return all(
            b.units <= q.most + DIGITS
            for q in quotas
            for b in bounds(q, self.shared)
            if b.failure in self.shared.endured
        )

    def _ceiling_part(self, now: int, c: Customer, plan: CustomerPlan) -> float:
        """All of it where the quota alone holds it; else an even part, whoever is heard."""
        return 1.0 if self.covered[c.plan] else 1 / c.spread

    def _meet(self, c: Customer, ask: Request) -> None:
        super()._meet(c, ask)
        if self.covered[c.plan]:
            c.ceiling = self.set.plans[c.plan].ceiling_burst

    # ---- judgements

    def _sample(self, now: int, a: Attempt, group: int, bad: float, weight: float) -> None:
        super()._sample(now, a, group, bad, weight)
        self.fresh.clear()  # told as evidence with its origin
        dead = bad >= DEAD and (group == ALL_CLASSES or group < len(self.set.classes))
        self.failure_detector.record_attempt(now, a.server.name, group, bad, weight, unreachable=dead)

    def _doubted(self, s: Server, cls: int, plan: int) -> float:
        own, told = super()._doubted(s, cls, plan), self.suspected.get(s.name)
        if told is None:
            return own
        return max(own, *(told.get(g, 0.0) for g in (cls, self.set.pair(cls, plan), ALL_CLASSES)))

    # ---- budgets

    def launch(self, live: Live, attempt: Attempt) -> None:
        """Counts the units that are out."""
        super().launch(live, attempt)
        self.units_out += attempt.units

    def settle(self, request: int, number: int) -> Attempt | None:
        """Counts the units that are out."""
        attempt = super().settle(request, number)
        if attempt:
            self.units_out = max(0.0, self.units_out - attempt.units) if self.attempts else 0.0
        return attempt

    def _choose(self, now: int, live: Live) -> Server | None:
        """No attempt beyond this gateway's part of what all may have out."""
        if self.units_out + live.ask.units > max(
            self.concurrency_budget.limit_units(len(self.ready) * self.concentration), self.set.largest_units
        ):
            return None
        return super()._choose(now, live)

    def _follow(self, now: int, span: float, ticks: float) -> None:
        super()._follow(now, span, ticks)
        if self.level < math.inf:
            self.level = min(self.level, self.concurrency_budget.limit_units(self.concentration))

    def sight(self) -> dict[str, float]:
        """The figures of the base module and those of the shared state."""
        more = self.leases.snapshot(self.tick_ns) if self.leases else {}
        return (
            super().sight()
            | more
            | {
                "factor": round(self.concurrency_budget.factor, 2),
                "alive": self.concurrency_budget.live_gateways(self.tick_ns),
                "accused": len(self.suspected),
                "trouble": int(self.failure_detector.isolated),
            }
        )
