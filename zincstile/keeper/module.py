"""The decision module with its quotas held through a count keeper in place of the gossip's parts.

Everything else is `policy.Policy`'s: budget, draws, choice of server, ceilings, attempts. A try whose
units are not in hand waits for a lease, for some tens of milliseconds at most, where a call is on its way;
else it is outside the quota here, and refused early as ever. The gossip goes on beside it: ceilings and
limits on attempts out need it.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as i
from ..policy import KINDS, SECOND, Policy
from ..state import Customer, Live
from .accounts import Account, Accounts
from .bound import Quota
from .settings import KeeperSettings
from .view import State, View, Word

HELD_NS = SECOND // 12  # a try waits so long for a lease
BEAT = 2**62  # a timer's token that no request has


@dataclass(slots=True)
class KeeperCall:
    """An action: add the amount to the name; the answer bears the number."""

    number: int
    name: str
    amount: float
    ttl_ms: int


@dataclass(slots=True)
class KeeperAnswer:
    """An event: what came of a call; None: nothing in time, or no number."""

    number: int
    total: float | None


@dataclass(slots=True)
class KeeperTell:
    """An action: a word for one peer."""

    peer: int
    word: Word


@dataclass(slots=True)
class KeeperWord:
    """An event: a peer's word."""

    word: Word


class KeptPolicy(Policy):
    """`apart_ns`: what the gateways' common clock is ahead of the module's."""

    def __init__(self, settings: i.Settings, seed: int, keeper: KeeperSettings, apart_ns: int) -> None:
        super().__init__(settings, seed)
        self.keeper, self.apart_ns = keeper, apart_ns
        self.view: View | None = None
        self.accounts: Accounts | None = None
        self.calls: dict[int, object] = {}
        self.held: dict[int, dict[int, Live]] = {}  # customer: tries that wait for a lease
        self.said: State | None = None
        self._numbers = 0

    def on_started(self, now: int, event: i.Started) -> None:
        super().on_started(now, event)
        self.view = View(self.keeper, self.set.me, now + self.apart_ns)
        self.accounts = Accounts(self.keeper, self.view, self.set.me)
        self._beat(now)

    def on_timer(self, now: int, event: i.Timer) -> None:
        if event.token == BEAT:
            self._beat(now)
        else:
            super().on_timer(now, event)

    # ---- the keeper

    def _beat(self, now: int) -> None:
        name, period = self.view.beat(now + self.apart_ns)

        def beaten(at: int, total: float | None) -> None:
            self.view.beaten(at, period, total)
        self._call(name, 1.0, 60_000, beaten)
        self._tell_peers(now)
        self.timer(now + self.keeper.beat_ns, BEAT)

    def _tell_peers(self, now: int) -> None:
        word = self.view.word(now + self.apart_ns)
        self.acts += [KeeperTell(peer, word) for peer in range(self.set.gateways) if peer != self.set.me]

    def _call(self, name: str, amount: float, ttl_ms: int, answered) -> None:
        self._numbers += 1
        self.calls[self._numbers] = answered
        self.acts.append(KeeperCall(self._numbers, name, amount, ttl_ms))

    def _flush_calls(self) -> None:
        for call in self.accounts.calls():
            self._call(call.name, call.amount, call.ttl_ms, call.answered)

    def on_keeper_answer(self, now: int, event: KeeperAnswer) -> None:
        answered = self.calls.pop(event.number, None)
        if answered is None:
            return
        answered(now + self.apart_ns, event.total)
        for key in [k for k, held in self.held.items() if held]:
            for live in list(self.held[key].values()):
                if live.ask.id in self.live and live.leaf is None:
                    self._seek(now, live)
        self._flush_calls()
        if self.view.state is not self.said:
            self.said = self.view.state
            self.acts.append(i.Log(self.view.line(now + self.apart_ns)))
            self._tell_peers(now)  # at once, where trust ends

    def on_keeper_word(self, now: int, event: KeeperWord) -> None:
        if 0 <= event.word.sender < self.set.gateways:
            self.view.hear(now + self.apart_ns, event.word)

    # ---- quotas

    def _account(self, now: int, c: Customer, ask: i.Request) -> Account:
        plan = self.set.plans[c.plan]
        row = [(ask.first + k) % self.set.gateways for k in range(c.spread)]
        return self.accounts.account(
            c.key, Quota(plan.name, plan.rate, plan.burst, c.spread, self.set.largest_units), row,
            now + self.apart_ns)

    def _seek(self, now: int, live: Live) -> None:
        ask, c, plan = live.ask, live.customer, live.plan
        if not plan.rate:
            super()._seek(now, live)
            return
        self._refill(now, c)
        out = c.open + c.open_at_peers(c.filled_ns - self.set.longest_ns) if plan.open_limit else -1
        account = self._account(now, c, ask)
        common = now + self.apart_ns
        if out >= plan.open_limit > 0:
            self._settle(now, live, False)
        elif self.accounts.take(common, account, ask.units, again=ask.id in self.held.get(c.key, ())):
            super()._spend(now, c, ask.units)  # told to the peers, as ceilings and relays need it
            self._settle(now, live, True)
        elif self.accounts.waits(common, account) and now - live.came_ns < HELD_NS:
            held = self.held.setdefault(c.key, {})
            if ask.id not in held:
                held[ask.id] = live
                self.timer(live.came_ns + HELD_NS, ask.id * KINDS + 1)
        else:
            self._settle(now, live, False)
        self._flush_calls()

    def _settle(self, now: int, live: Live, inside: bool) -> None:
        held = self.held.get(live.customer.key)
        if held is not None:
            held.pop(live.ask.id, None)
            if not held:
                del self.held[live.customer.key]
        self._decide(now, live, inside, counted=inside)

    def _spend(self, now: int, c: Customer, units: float) -> None:
        super()._spend(now, c, units)
        account = self.accounts.accounts.get(c.key)
        if account is not None and units:  # taken and not sent, or settled afterwards
            self.accounts.give_back(account, -units)

    def close(self, live: Live, cancel: bool) -> None:
        held = self.held.get(live.customer.key)
        if held is not None:
            held.pop(live.ask.id, None)
            if not held:
                del self.held[live.customer.key]
        super().close(live, cancel)

    def forget(self, keys: list[int]) -> None:
        super().forget(keys)
        for key in keys:
            self.accounts.accounts.pop(key, None)
