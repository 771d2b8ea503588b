"""The decision module with its quotas held through a count keeper in place of the gossip's parts.

Everything else is `policy.Policy`'s: budget, draws, choice of server, ceilings, attempts. A try whose
units are not in hand waits for a lease, for some tens of milliseconds at most, where a call is on its way;
else it is outside the quota here, and refused early as ever. The gossip goes on beside it: ceilings and
limits on attempts out need it.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.deferred_admission import HeldPolicy, Paid
from ..decisions.messages import LogMessage, Request, Started, TimerFired
from ..decisions.policy import SECOND
from ..decisions.quota_bounds import Quota
from ..decisions.settings import Settings
from ..decisions.state import Customer, Live
from .account import Account
from .accounts import Accounts
from .failure_detector import FailureDetector, ServiceState
from .messages import PeerHeartbeat
from .settings import COUNTER_LIFETIME_MS, QuotaServiceSettings

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
    word: PeerHeartbeat


@dataclass(slots=True)
class KeeperWord:
    """An event: a peer's word."""

    word: PeerHeartbeat


class KeptPolicy(HeldPolicy):
    """`apart_ns`: what the gateways' common clock is ahead of the module's."""

    held_ns = HELD_NS

    def __init__(self, settings: Settings, seed: int, keeper: QuotaServiceSettings, apart_ns: int) -> None:
        super().__init__(settings, seed)
        self.keeper, self.apart_ns = keeper, apart_ns
        self.view: FailureDetector | None = None
        self.accounts: Accounts | None = None
        self.calls: dict[int, object] = {}
        self.said: ServiceState | None = None
        self._numbers = 0

    def on_started(self, now: int, event: Started) -> None:
        """Builds the view and the accounts, and begins to beat."""
        super().on_started(now, event)
        self.view = FailureDetector(self.keeper, self.set.me, now + self.apart_ns)
        self.accounts = Accounts(self.keeper, self.view)
        self._beat(now)

    def on_timer_fired(self, now: int, event: TimerFired) -> None:
        """The own heartbeat, or a timer of the base module."""
        if event.token == BEAT:
            self._beat(now)
        else:
            super().on_timer_fired(now, event)

    # ---- the keeper

    def _beat(self, now: int) -> None:
        heartbeat = self.view.heartbeat_call(now + self.apart_ns)

        def answered(at: int, total: float | None) -> None:
            self.view.heartbeat_answered(at, heartbeat.counter_number, total)

        self._call(heartbeat.name, 1.0, COUNTER_LIFETIME_MS, answered)
        self._tell_peers(now)
        self.timer(now + self.keeper.heartbeat_interval_ns, BEAT)

    def _tell_peers(self, now: int) -> None:
        word = self.view.peer_heartbeat(now + self.apart_ns)
        self.acts += [KeeperTell(peer, word) for peer in range(self.set.gateways) if peer != self.set.me]

    def _call(self, name: str, amount: float, ttl_ms: int, answered) -> None:
        self._numbers += 1
        self.calls[self._numbers] = answered
        self.acts.append(KeeperCall(self._numbers, name, amount, ttl_ms))

    def _carry_on(self, now: int) -> None:
        for call in self.accounts.calls():
            self._call(call.name, call.amount, call.ttl_ms, call.on_answer)

    def on_keeper_answer(self, now: int, event: KeeperAnswer) -> None:
        """The answer to one call, which may let requests go that wait for it."""
        answered = self.calls.pop(event.number, None)
        if answered is None:
            return
        answered(now + self.apart_ns, event.total)
        self.try_held(now, list(self.held))
        self._carry_on(now)
        if self.view.state is not self.said:
            self.said = self.view.state
            self.acts.append(LogMessage(self.view.log_line(now + self.apart_ns)))
            self._tell_peers(now)  # at once, where trust ends

    def on_keeper_word(self, now: int, event: KeeperWord) -> None:
        """A peer's view of its quota service."""
        if 0 <= event.word.sender < self.set.gateways:
            self.view.peers.receive(now + self.apart_ns, event.word)

    # ---- quotas

    def _account(self, now: int, c: Customer, ask: Request) -> Account:
        plan = self.set.plans[c.plan]
        row = [(ask.first + k) % self.set.gateways for k in range(c.spread)]
        return self.accounts.account(
            c.key,
            Quota(plan.name, plan.rate, plan.burst, c.spread, self.set.largest_units),
            row,
            now + self.apart_ns,
        )

    def _pay(self, now: int, live: Live, again: bool) -> Paid:
        account, common = self._account(now, live.customer, live.ask), now + self.apart_ns
        if self.accounts.take(common, account, live.ask.units, waited=again):
            return Paid.YES
        return Paid.SOON if self.accounts.waits_for_answer(account) else Paid.NO

    def _unpay(self, now: int, c: Customer, units: float) -> None:
        account = self.accounts.accounts.get(c.key)
        if account is not None:
            self.accounts.give_back(account, units)

    def forget(self, keys: list[int]) -> None:
        """Their accounts go too."""
        super().forget(keys)
        for key in keys:
            self.accounts.accounts.pop(key, None)
