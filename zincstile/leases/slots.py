"""Limits on attempts out at once: whole slots that have one owner each, and are lent for one request.

A plan's limit is shared out among a customer's holders in whole slots, so that they sum up to it
whoever is heard. A request holds a slot from its decision until it is over. Who has none free asks one
other holder for one; the lease lasts for the longest deadline and `held` from the request, and is used only
for a request whose client gives up before that. So the lessor, which counts from its answer, has it
back no sooner than it is free, without a message; a release brings it back earlier. A lease is named by
the lessee's process and a number that it uses once, as in `leases`.

What may be out beyond a limit: at the restart of a lessor, the slots that it had lent, until these end.
Nothing else.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .rendezvous import choose_holders
from .settings import SharedSettings

REMEMBERED_LIVES = 2  # after which a lease's id is forgotten


@dataclass(slots=True)
class SlotRequest:
    """Lend me one slot of this customer's."""

    to: int
    customer: int
    plan: int
    spread: int
    first: int
    mark: int


@dataclass(slots=True)
class SlotGrant:
    """The answer: it is yours, or (not given) I have none to lend."""

    to: int
    customer: int
    mark: int
    given: bool
    process: int = 0  # of the borrower that asked


@dataclass(slots=True)
class SlotRelease:
    """That slot is free again."""

    to: int
    customer: int
    mark: int
    process: int = 0  # of the lender


SlotMessage = SlotRequest | SlotGrant | SlotRelease


@dataclass(slots=True, eq=False)
class SlotLease:
    """A slot of another gateway's, as its lessee keeps it."""

    lender: int
    process: int
    mark: int
    end_ns: int
    used: bool = False


@dataclass(slots=True)
class GrantedSlot:
    """A slot that was lent, as its lessor keeps it; not open: it is free again, or was refused."""

    at_ns: int
    open: bool


@dataclass(slots=True)
class SlotAccount:
    """One customer's slots here."""

    key: int
    plan: int
    row: tuple[int, ...]
    held_by: tuple[int, ...]
    mine: int
    used: int = 0
    lent: dict[tuple[int, int, int], GrantedSlot] = field(default_factory=dict)
    borrowed: list[SlotLease] = field(default_factory=list)
    asked: dict[int, tuple[int, int]] = field(default_factory=dict)  # mark: of whom, when
    none_ns: dict[int, int] = field(default_factory=dict)  # holder: it has none to lend, until then

    @property
    def out(self) -> int:
        """Slots that are lent at present."""
        return sum(g.open for g in self.lent.values())

    @property
    def free(self) -> int:
        """Own slots that may be used or lent."""
        return self.mine - self.used - self.out

    @property
    def idle(self) -> bool:
        """It may be forgotten."""
        return not (self.used or self.lent or self.borrowed or self.asked)


class SlotManager:
    """The slots of one gateway. `longest_ns`: the longest deadline of a request."""

    def __init__(
        self, settings: SharedSettings, me: int, process: int, longest_ns: int, rng: random.Random
    ) -> None:
        self.settings, self.me, self.process, self.rng = settings, me, process, rng
        self.life_ns = longest_ns + settings.held_ns
        self.accounts: dict[int, SlotAccount] = {}
        self.outbox: list[SlotMessage] = []
        self.in_use: dict[int, tuple[SlotAccount, SlotLease | None]] = {}  # by request; None: an own one
        self.counts = {"asked": 0, "lent": 0}
        self._marks = rng.getrandbits(31)

    def account(self, key: int, plan: int, limit: int, row: tuple[int, ...]) -> SlotAccount:
        """A customer's slots, made where there are none."""
        found = self.accounts.get(key)
        if found is None:
            held_by = tuple(choose_holders(key, row, min(limit, len(row))))
            mine = 0
            if self.me in held_by:
                mine = limit // len(held_by) + (held_by.index(self.me) < limit % len(held_by))
            found = self.accounts[key] = SlotAccount(key, plan, row, held_by, mine)
        return found

    def has_free(self, now: int, account: SlotAccount, until_ns: int) -> bool:
        """There is a slot for a request that is over by then."""
        return account.free > 0 or any(not b.used and b.end_ns >= until_ns for b in account.borrowed)

    def take(self, now: int, account: SlotAccount, request: int, until_ns: int) -> None:
        """After `has_free`: the request holds it until `release`. A borrowed one goes first, as it ends."""
        for one in account.borrowed:
            if not one.used and one.end_ns >= until_ns:
                one.used = True
                self.in_use[request] = account, one
                return
        account.used += 1
        self.in_use[request] = account, None

    def release(self, request: int) -> None:
        """The request is over, however it ended; nothing where it held no slot."""
        account, one = self.in_use.pop(request, (None, None))
        if account is None:
            return
        if one is None:
            account.used -= 1
        else:
            self._return(account, one)

    def _return(self, account: SlotAccount, one: SlotLease) -> None:
        """A borrowed slot goes back to its lessor."""
        if one in account.borrowed:
            account.borrowed.remove(one)
            self.outbox.append(SlotRelease(one.lender, account.key, one.mark, one.process))

    def seek(self, now: int, account: SlotAccount) -> bool:
        """Asks one holder that may have one; True: an answer may bring it."""
        if any(now - at < self.settings.held_ns for _, at in account.asked.values()):
            return True
        able = [h for h in account.held_by if h != self.me and now >= account.none_ns.get(h, -1)]
        if not able:
            return False
        to = self.rng.choice(able)
        self._marks = (self._marks + 1) % 2**32
        account.asked[self._marks] = to, now
        account.none_ns[to] = now + self.settings.held_ns  # unless it answers
        row = account.row
        self.outbox.append(SlotRequest(to, account.key, account.plan, len(row), row[0], self._marks))
        self.counts["asked"] += 1
        return True

    def asked_for(self, now: int, sender: int, process: int, ask: SlotRequest, account: SlotAccount) -> None:
        """Answers another gateway's request; a double of one is answered as the first was."""
        key = sender, process, ask.mark
        given = account.lent.get(key)
        if given is None:
            given = account.lent[key] = GrantedSlot(now, account.free > 0)
            self.counts["lent"] += given.open
        elif not given.open:
            return  # a double of one that is closed, or was refused
        self.outbox.append(SlotGrant(sender, account.key, ask.mark, given.open, process))

    def granted(self, now: int, sender: int, process: int, message: SlotGrant) -> bool:
        """True where it brings a slot."""
        account = self.accounts.get(message.customer)
        if account is None or message.process != self.process:
            return False
        to, at = account.asked.pop(message.mark, (-1, 0))
        if to != sender:
            return False
        if not message.given:
            account.none_ns[sender] = now + self.settings.quiet_ns
            return False
        account.none_ns.pop(sender, None)
        account.borrowed.append(SlotLease(sender, process, message.mark, at + self.life_ns))
        return True

    def closed(self, sender: int, process: int, message: SlotRelease) -> None:
        """Takes back a slot whose lessee is done with it."""
        account = self.accounts.get(message.customer)
        if account is None or message.process != self.process:
            return
        given = account.lent.get((sender, process, message.mark))
        if given is not None:
            given.open = False

    def look(self, now: int) -> None:
        """Once a beat: what has ended, and what was borrowed and is not used, goes back."""
        for key, account in list(self.accounts.items()):
            for lent_key, given in list(account.lent.items()):
                if now - given.at_ns >= self.life_ns:
                    given.open = False
                if now - given.at_ns >= REMEMBERED_LIVES * self.life_ns:
                    del account.lent[lent_key]
            for one in [b for b in account.borrowed if not b.used]:
                if now - (one.end_ns - self.life_ns) >= 2 * self.settings.held_ns:
                    self._return(account, one)
            account.asked = {m: a for m, a in account.asked.items() if now - a[1] < self.life_ns}
            if account.idle:
                del self.accounts[key]

    def told(self) -> list[SlotMessage]:
        """The messages to send, since the last time this was asked."""
        made, self.outbox = self.outbox, []
        return made
