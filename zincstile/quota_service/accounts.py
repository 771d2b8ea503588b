"""Leases of allowance: what a gateway may send for each customer, taken from the keeper ahead of need.

For each customer and epoch the keeper holds one number, the units leased in it. What may be leased by a
time `s` into an epoch is `part x (open + rate x s)`, where `open` is what the epoch before left, `carry`
at most. An answer tells the total after the call; what of the call lies within the allowance is granted,
and the rest is taken off again. The total is never less than what was granted: a call that is not answered
grants nothing, and what is taken off again is taken off once. So the grants of all gateways never add up
to more than the allowance.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..decisions.quota_bounds import Quota
from .bound import carry_most, lease_most
from .settings import SECOND, KeeperSettings
from .view import View

KEPT = 1e-9
DIGITS = 1e-6  # a total is told to seven digits
BACK = 8  # epochs that are read at most, to find what they left
USE_S = 1.0  # memory of a customer's use
TTL_MS = 60_000


@dataclass(slots=True)
class Call:
    """To be made: an amount for a name. `answered(now, total)` takes what comes of it, None for no answer."""

    name: str
    amount: float
    answered: Callable[[int, float | None], None]
    ttl_ms: int = TTL_MS


@dataclass(slots=True)
class Epoch:
    """What is known of one of a customer's epochs."""

    open: float = 0.0  # units that the one before left
    part: float = 1.0  # the least part that this gateway had in it
    mine: float = 0.0  # what this gateway's answered calls added
    seen: float = 0.0  # the latest total
    shut: bool = False  # nothing more is leased of it
    full_ns: int = 0  # no further call before then: the last found it spent
    late: list[float] = field(default_factory=list)  # sent without a keeper, to be told to it


@dataclass(slots=True)
class Account:
    """One customer here."""

    key: int
    quota: Quota
    row: list[int]  # the gateways of its set
    carry: float
    hand_most: float
    hand: float = 0.0  # leased and not sent
    asked: float = 0.0  # in calls on their way
    use: float = 0.0  # units a second lately
    used_ns: int = 0
    even: float = 0.0  # store of the even part
    even_ns: int = -1  # when it was filled last; -1: not in use
    epochs: dict[int, Epoch] = field(default_factory=dict)
    closed: dict[int, float] = field(default_factory=dict)  # totals of epochs that are over
    read: int = -1  # the epoch whose predecessors were read, or are being read
    reading: int = 0  # calls on their way for that


def _less(total: float, added: float) -> bool:
    """A total is less than what was added to it, beyond what its digits leave open."""
    return total + DIGITS * max(1.0, abs(total), abs(added)) < added


class Accounts:
    """Of one gateway. It returns calls; whoever carries them out hands their answers back."""

    def __init__(self, settings: KeeperSettings, view: View, me: int) -> None:
        self.settings, self.view, self.me = settings, view, me
        self.accounts: dict[int, Account] = {}
        self.counts = {
            "calls": 0,
            "granted": 0.0,
            "given back": 0.0,
            "unanswered": 0,
            "even": 0.0,
            "shrunk": 0,
            "told late": 0.0,
        }
        self._calls: list[Call] = []
        self._granted: dict[int, int] = {}  # customers that got a lease since the last calls, and its epoch
        self._plans: dict[Quota, tuple[float, float]] = {}

    def account(self, key: int, quota: Quota, row: list[int], now: int) -> Account:
        """A customer's account, made where there is none."""
        found = self.accounts.get(key)
        if found is None:
            if quota not in self._plans:
                self._plans[quota] = carry_most(quota, self.settings), lease_most(quota, self.settings)
            carry, hand = self._plans[quota]
            found = self.accounts[key] = Account(key, quota, row, carry, hand, used_ns=now)
        return found

    def calls(self) -> list[Call]:
        """Those to make, since the last time this was asked: after what waited for an answer was tried again.
        What was leased for a single try and is still in hand is given back."""
        granted, self._granted = self._granted, {}
        for key, number in granted.items():
            account = self.accounts.get(key)
            if account is None:
                continue
            rest = account.hand - account.hand_most
            if rest > KEPT:
                account.hand -= rest
                # to the epoch that it is of: another one's total would fall below what was added there, which
                # is the mark of a keeper that forgot
                if number in account.epochs:
                    account.epochs[number].mine -= rest
                self.counts["given back"] += rest
                self._call(self._name(account, number), -rest, lambda at, told: None)
        made, self._calls = self._calls, []
        self.counts["calls"] += len(made)
        return made

    # ---- sending

    def take(self, now: int, account: Account, units: float, again: bool = False) -> bool:
        """A try is to be sent on: True where its units are in hand, and taken. Asks for more ahead of
        need."""
        if not again:  # else it has been asked for before, and waited
            self._use(now, account, units)
        if account.hand + KEPT >= units:
            account.hand -= units
            self._ahead(now, account, 0.0)
            return True
        if self._even(now, account, units):
            return True
        self._ahead(now, account, units)
        return False

    def waits(self, now: int, account: Account) -> bool:
        """A call is on its way that may bring what was lacking: the try may be held for its answer."""
        return account.asked > KEPT or account.reading > 0

    def give_back(self, account: Account, units: float) -> None:
        """It was taken and never sent."""
        account.hand += units

    def _use(self, now: int, account: Account, units: float) -> None:
        keep = math.exp(-(now - account.used_ns) / SECOND / USE_S)
        account.use, account.used_ns = account.use * keep + units / USE_S, now

    def _even(self, now: int, account: Account, units: float) -> bool:
        """The even part, where no keeper is trusted and none of the peers counts this gateway any more."""
        if self.view.trusts or now < self.view.even_from_ns():
            account.even_ns = -1
            return False
        rate, most = account.quota.rate / len(account.row), account.quota.burst / len(account.row)
        if account.even_ns < 0:  # empty at first: what was leased before has been sent
            account.even, account.even_ns = 0.0, self.view.even_from_ns()
        account.even = min(
            max(most, account.quota.largest if most else 0.0),
            account.even + rate * (now - account.even_ns) / SECOND,
        )
        account.even_ns = now
        if account.even + KEPT < units:
            return False
        account.even -= units
        self.counts["even"] += units
        epoch = self._epoch(now, account)
        epoch.late.append(units)
        return True

    # ---- leasing

    def _epoch(self, now: int, account: Account) -> Epoch:
        number = now // self.settings.epoch_ns
        if number not in account.epochs:
            account.epochs[number] = Epoch()
            for old in [n for n in account.epochs if n < number - 1]:
                del account.epochs[old]
        return account.epochs[number]

    def _name(self, account: Account, number: int) -> str:
        return f"zs.q.{account.key:x}.{number}"

    def _ahead(self, now: int, account: Account, lack: float) -> None:
        """Leases what recent use will need, and what a try lacks."""
        view = self.view
        if not view.may_lease(now) or account.asked > KEPT:
            return
        number = now // self.settings.epoch_ns
        epoch = self._epoch(now, account)
        if epoch.late:
            self._tell_late(account, number, epoch)
            return
        if epoch.shut or now < epoch.full_ns:
            return
        settled = number * self.settings.epoch_ns + self.settings.call_ns + self.settings.skew_ns
        if account.read != number and now >= settled:
            self._read(now, account, number)
        if account.reading:
            return
        epoch.part = min(epoch.part, view.part(now, account.row))
        wanted = min(account.use * self.settings.lease_ns / SECOND, account.hand_most)
        amount = max(lack, wanted) - account.hand
        if amount <= KEPT or account.hand > wanted / 2 and not lack:
            return
        account.asked = amount
        self._call(
            self._name(account, number),
            amount,
            lambda at, total: self._leased(at, account, number, amount, now, total),
        )

    def _call(self, name: str, amount: float, answered: Callable[[int, float | None], None]) -> None:
        self._calls.append(Call(name, amount, answered))

    def _back(self, account: Account) -> int:
        """Epochs that it takes to fill a store from nothing."""
        given = account.quota.rate * self.settings.epoch_ns / SECOND
        return min(BACK, math.ceil(account.carry / given))

    def _read(self, now: int, account: Account, number: int) -> None:
        """What the epochs before left. Their totals stand by now: whatever call of them is on its way yet has
        been given up. What is known is not read."""
        wanted = [n for n in range(number - self._back(account), number) if n not in account.closed]
        account.read = number
        if not wanted:
            self._open(now, account, number)
            return
        account.reading = len(wanted)
        for one in wanted:
            self._call(
                self._name(account, one),
                0.0,
                lambda at, total, one=one: self._told(at, account, number, one, total),
            )

    def _told(self, now: int, account: Account, number: int, one: int, total: float | None) -> None:
        account.reading -= 1
        epoch = account.epochs.get(one)
        if total is not None and epoch is not None and _less(total, epoch.mine):
            self._shrunk(now, account)
        elif total is not None:
            account.closed[one] = total
        if not account.reading and account.read == number:
            self._open(now, account, number)

    def _open(self, now: int, account: Account, number: int) -> None:
        """The level at this epoch's start: nothing before the first that is known, then what each one gave
        less what was leased in it, and never more than may be handed on."""
        length, level, back = self.settings.epoch_ns, 0.0, self._back(account)
        for one in range(number - back, number):
            part = self.view.part_since(now, account.row, one * length)
            if one not in account.closed or part <= 0:
                level = 0.0
                continue
            level = max(0.0, level + part * account.quota.rate * length / SECOND - account.closed[one])
            level = min(part * account.carry, level)
        account.closed = {n: total for n, total in account.closed.items() if n >= number - back}
        if number in account.epochs:
            account.epochs[number].open = level

    def _leased(
        self, now: int, account: Account, number: int, amount: float, asked_ns: int, total: float | None
    ) -> None:
        account.asked = 0.0
        epoch = account.epochs.get(number)
        if total is None:
            self.counts["unanswered"] += 1  # it may have been added: then it is lost, and nobody sends it
            return
        if epoch is None:
            epoch = Epoch(shut=True)  # too long ago
        epoch.mine += amount
        epoch.seen = total
        if _less(total, epoch.mine):  # less than this gateway alone has added
            self._shrunk(now, account)
            return
        if epoch.shut or not self.view.may_lease(now):
            granted = 0.0
        else:
            epoch.part = min(epoch.part, self.view.part(now, account.row))
            start = number * self.settings.epoch_ns
            into = min(self.settings.epoch_ns, max(0, asked_ns - start))
            allowed = epoch.part * (epoch.open + account.quota.rate * into / SECOND)
            granted = min(amount, max(0.0, amount - (total * (1 + DIGITS) - allowed)))
        account.hand += granted
        self._granted[account.key] = number
        self.counts["granted"] += granted
        rest = amount - granted
        if rest > KEPT:
            rate = max(KEPT, epoch.part * account.quota.rate)
            epoch.full_ns = now + int(min(1.0, max(rest / rate, 0.02)) * SECOND)
            epoch.mine -= rest
            self.counts["given back"] += rest
            self._call(self._name(account, number), -rest, lambda at, told: None)

    def _shrunk(self, now: int, account: Account) -> None:
        """The keeper has forgotten what was leased: nothing more of this epoch, by any customer."""
        self.counts["shrunk"] += 1
        self.view.shrunk(now)
        for one in self.accounts.values():
            self._epoch(now, one).shut = True
            one.closed.clear()

    def _tell_late(self, account: Account, number: int, epoch: Epoch) -> None:
        """What was sent without a keeper in this epoch is brought to it, once, before anything is leased."""
        amount = sum(epoch.late)
        account.asked = KEPT * 2

        def told(now: int, total: float | None) -> None:
            account.asked = 0.0
            if total is None:
                epoch.shut = True  # it may have been added or not: this epoch gives nothing more
                epoch.late.clear()
                return
            epoch.late.clear()
            epoch.mine += amount
            self.counts["told late"] += amount

        self._call(self._name(account, number), amount, told)
