"""Counts: parts of a quota that have one owner each, and units lent between them.

Each of a customer's holders has an even part of the quota: a store of `burst / holders` that fills at
`rate / holders`. Nobody has to be heard for that, and no clock compared: the parts sum up to the quota
under any partition. What one lacks and another has is lent in units:

* The lender takes them from its store first, then says so. A word that is lost loses the units, and
nobody has them twice. * A loan ends `life` after it was asked for by the borrower's clock, which is
before it ends by the lender's, as it was granted later than it was asked for. So both know the end
without a word, and no two clocks meet. * While a loan is out, the lender's store fills only up to its
part less the loan. So stores and loans together never hold more than the burst, whatever is lost, late,
doubled or out of order. * What is not used goes back while the loan runs, by a word that closes it; a
closed or ended loan is closed for good. Ids are the borrower's process and a number that it uses once.
* A store fills by the time for which its process was seen to run (`Clock`): one that was stopped earns
nothing for it, and what it decided before it was stopped may leave afterwards.

Who does not hear is not lent to: an ask tells the last answer that was heard, and while an answer is
out that should have been heard by now, there is nothing but that answer again.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from ..bounds import Quota
from .bound import holders, opening, turn_most
from .settings import SECOND, SharedSettings

GRAIN = 1024  # units travel in whole parts of so many
KEPT = 1 / GRAIN / 2  # units below which nothing is worth a word
USE_S = 1.0  # memory of a customer's use
WORTH_S = 0.05  # less than the quota gives in so long is not worth an ask, where all are near their ends
GAIN_S = 2.0  # what a lender gained lately is believed for so long
LEAST_GAIN = 0.6  # of its part, what a lender says that it gains at least: uses end
RESERVE_S = 0.15  # a lender keeps what its own use needs for so long
MISSED = 2  # overdue asks in a row from which a peer counts as silent
TIMES = 2  # an ask is sent so often at most
FEW = 4  # holders asked at once for one try, at most
MEMORY = 4  # lives after which a loan's id is forgotten: the doubles of its ask have come by then


@dataclass(slots=True)
class Clock:
    """The time for which this process was seen to run."""

    gap_ns: int
    awake_ns: int = 0
    last_ns: int = -1

    def look(self, now: int) -> int:
        """Nanoseconds awake so far; a longer gap since the last look counts as `gap_ns`."""
        if self.last_ns >= 0:
            self.awake_ns += min(self.gap_ns, max(0, now - self.last_ns))
        self.last_ns = max(now, self.last_ns)
        return self.awake_ns


@dataclass(slots=True)
class Ask:
    """A word: lend me units of this customer's quota. `heard`: the last answer of yours that came."""

    to: int
    customer: int
    plan: int
    spread: int
    first: int
    mark: int
    units: float
    least: float  # less is of no use
    heard: int


@dataclass(slots=True)
class Grant:
    """A word: lent, under the ask's mark; nought is a no. `level`: what the lender could lend besides, and
    `gain` what it will have to lend in a second. `number`: of this answer, to be told in the next ask."""

    to: int
    customer: int
    mark: int
    units: float
    level: float
    number: int
    process: int = 0  # of the borrower that asked
    gain: float = 0.0


@dataclass(slots=True)
class Close:
    """A word: this loan is over, and so many units of it were not used."""

    to: int
    customer: int
    mark: int
    left: float
    process: int = 0  # of the lender


Word = Ask | Grant | Close


@dataclass(slots=True)
class Loan:
    """In a borrower's hand."""

    lender: int
    process: int  # of the lender: another one knows nothing of it
    mark: int
    units: float
    end_ns: int


@dataclass(slots=True)
class Lent:
    """In a lender's books, under the borrower's process and mark. `units` is what was given at first."""

    units: float
    level: float
    gain: float
    at_ns: int
    number: int
    open: bool = True


@dataclass(slots=True)
class Asked:
    """An ask on its way. It is sent again while its try may wait, under the same mark; once that is over it
    is overdue, and what comes of it until its loan would end serves later tries."""

    ask: Ask
    at_ns: int
    again_ns: int
    sent: int = 1
    overdue: bool = False


@dataclass(slots=True)
class Hint:
    """What a holder was last heard to have to lend, and to gain in a second."""

    level: float
    at_ns: int
    gain: float


@dataclass(slots=True)
class Peer:
    """Another gateway, as an asker or as one that is asked."""

    process: int = 0
    heard: int = 0  # the last answer of it that came
    quiet_until_ns: int = -1  # it left asks unanswered: not asked before
    quiet_ns: int = 0
    missed: int = 0  # asks in a row that were overdue
    round_ns: float = 0.0  # from an ask to its answer, lately
    told: int = 0  # answers sent to it so far
    unheard: list[tuple[int, int]] = field(default_factory=list)  # loans among them: number, when


@dataclass(slots=True)
class Purse:
    """One customer here."""

    key: int
    plan: int
    quota: Quota
    row: tuple[int, ...]  # the customer's gateways
    held_by: tuple[int, ...]  # those that hold a part
    most: float  # of the own store; 0: this gateway holds no part
    rate: float
    turn_most: float
    own: float
    filled_ns: int  # on the clock that counts running time
    out: float = 0.0  # lent and not over
    loans: list[Loan] = field(default_factory=list)
    asked: dict[int, Asked] = field(default_factory=dict)
    hints: dict[int, Hint] = field(default_factory=dict)
    lent: dict[tuple[int, int, int], Lent] = field(default_factory=dict)  # borrower, its process, mark
    use: float = 0.0  # units a second lately
    used_ns: int = 0
    turn_ns: int = -1
    turn_lent: float = 0.0  # borrowed units decided on in this turn
    paid: list[tuple[Loan | None, float]] = field(default_factory=list)  # by the last try; None: own


class Loans:
    """Of one gateway. `process` is a number of this process that no other one of this gateway had."""

    def __init__(self, settings: SharedSettings, me: int, process: int, now: int, rng: random.Random) -> None:
        self.settings, self.me, self.process, self.rng = settings, me, process, rng
        self.clock = Clock(settings.gap_ns)
        self.clock.look(now)
        self.purses: dict[int, Purse] = {}
        self.peers: dict[int, Peer] = {}
        self.words: list[Word] = []
        self.closes: list[Close] = []  # they go with other words to the same gateway, or at the next beat
        self.busy: dict[int, None] = {}  # customers with something that ends by time
        self.counts = {
            "asks": 0,
            "grants": 0,
            "lent": 0.0,
            "borrowed": 0.0,
            "returned": 0.0,
            "ended": 0.0,
            "refused": 0,
            "unanswered": 0,
            "again": 0,
        }
        self._marks = rng.getrandbits(31)
        self.slow: dict[int, None] = {}  # customers with an ask that is late, since this was looked at last
        self.waiting: dict[int, Purse] = {}  # asks that may be sent again, by mark

    # ---- customers

    def purse(self, now: int, key: int, plan: int, quota: Quota, row: tuple[int, ...]) -> Purse:
        """Of a customer; a first one's store is as it would stand if it had been there since the start."""
        found = self.purses.get(key)
        if found is None:
            held_by = tuple(holding(key, row, holders(quota, self.settings)))
            part = 1 / len(held_by) if self.me in held_by else 0.0
            most, rate, awake = quota.burst * part, quota.rate * part, self.clock.look(now)
            own = min(most, opening(quota, self.settings) * most + rate * awake / SECOND)
            found = self.purses[key] = Purse(
                key,
                plan,
                quota,
                row,
                held_by,
                most,
                rate,
                turn_most(quota, self.settings),
                own,
                awake,
                used_ns=now,
            )
        return found

    def idle(self, now: int, purse: Purse) -> bool:
        """It may be forgotten: what is made of it anew would be the same."""
        self._fill(now, purse)
        return not (purse.loans or purse.asked or purse.lent) and purse.own >= purse.most - KEPT

    def forget(self, key: int) -> None:
        self.purses.pop(key, None)
        self.busy.pop(key, None)

    def _fill(self, now: int, purse: Purse) -> None:
        awake = self.clock.look(now)
        room = max(0.0, purse.most - purse.out)
        grown = purse.rate * (awake - purse.filled_ns) / SECOND
        purse.own, purse.filled_ns = min(room, purse.own + grown), awake

    def _hand(self, now: int, purse: Purse) -> float:
        """Borrowed units that may still be used, in this turn."""
        if not purse.loans:
            return 0.0
        self._end(now, purse)
        if purse.turn_ns != now:
            purse.turn_ns, purse.turn_lent = now, 0.0
        return max(0.0, min(sum(x.units for x in purse.loans), purse.turn_most - purse.turn_lent))

    def _end(self, now: int, purse: Purse) -> None:
        """Loans whose time is up are no more, for the borrower."""
        over = [x for x in purse.loans if x.end_ns <= now]
        if over:
            self.counts["ended"] += sum(x.units for x in over)
            purse.loans = [x for x in purse.loans if x.end_ns > now]

    def have(self, now: int, purse: Purse) -> float:
        """Units that could still be sent here, in the store and in hand."""
        self._fill(now, purse)
        self._end(now, purse)
        return purse.own + sum(x.units for x in purse.loans)

    # ---- sending

    def take(self, now: int, purse: Purse, units: float) -> bool:
        """A try is to be sent on: True where its units are there, and taken. Loans that end first go
        first."""
        self._fill(now, purse)
        hand = self._hand(now, purse)
        if purse.own + hand + KEPT < units:
            return False
        purse.paid, lack = [], units
        for loan in sorted(purse.loans, key=lambda x: x.end_ns):
            part = min(loan.units, lack, max(0.0, purse.turn_most - purse.turn_lent))
            if part > 0:
                loan.units, lack, purse.turn_lent = loan.units - part, lack - part, purse.turn_lent + part
                purse.paid.append((loan, part))
        if lack > 0:
            purse.own -= lack
            purse.paid.append((None, lack))
        for loan in [x for x in purse.loans if x.units <= KEPT]:
            self._close(purse, loan)
        self._used(now, purse, units)
        return True

    def _used(self, now: int, purse: Purse, units: float) -> None:
        keep = math.exp(-(now - purse.used_ns) / SECOND / USE_S)
        purse.use, purse.used_ns = purse.use * keep + units / USE_S, now

    def untake(self, now: int, purse: Purse) -> None:
        """The last try that was taken is not sent, in the same turn: its units go back to where they came
        from, or are lost where that is over."""
        self._fill(now, purse)
        for loan, part in purse.paid:
            if loan is None:
                purse.own = min(max(0.0, purse.most - purse.out), purse.own + part)
            elif loan in purse.loans:
                loan.units += part
                purse.turn_lent -= part
        purse.use = max(0.0, purse.use - sum(part for _, part in purse.paid) / USE_S)
        purse.paid = []

    # ---- borrowing

    def seek(self, now: int, purse: Purse, units: float) -> bool:
        """What a try lacks is asked for where it may be had. True: an answer may bring it."""
        self._fill(now, purse)
        self._late(now, purse)
        hand = self._hand(now, purse)
        lack = units - purse.own - hand
        if hand + lack > purse.turn_most - purse.turn_lent + KEPT:
            return False
        coming = sum(x.ask.units for x in purse.asked.values() if not x.overdue and x.sent == 1)
        if coming + KEPT >= lack:
            return True
        more = min(self._ahead(now, purse), purse.turn_most - hand)
        return self._ask(now, purse, max(lack - coming, more), lack - coming)

    def ahead(self, now: int, purse: Purse) -> None:
        """Borrows what recent use needs before it lacks."""
        if (
            len(purse.held_by) < 2
            and self.me in purse.held_by
            or any(not x.overdue for x in purse.asked.values())
        ):
            return
        wanted = min(self._ahead(now, purse), purse.turn_most)
        have = purse.own + sum(x.units for x in purse.loans)
        if have < wanted / 2:
            self._ask(now, purse, wanted - have, min(wanted - have, purse.quota.largest) / 2)

    def _ahead(self, now: int, purse: Purse) -> float:
        """Units that recent use will want before more can be had."""
        round_ns = max((self.peers[h].round_ns for h in purse.held_by if h in self.peers), default=0.0)
        return self._use(now, purse) * (self.settings.ahead_ns + round_ns) / SECOND

    def _ask(self, now: int, purse: Purse, units: float, least: float) -> bool:
        """Of those who may have it, those that have most; False where they don't have enough together. Who
        left the last asks unanswered is asked beside them now and then, and not counted on."""
        able, doubtful = [], []
        for one in purse.held_by:
            peer = self.peers.get(one)
            if (
                one == self.me
                or any(x.ask.to == one and not x.overdue for x in purse.asked.values())
                or peer is not None
                and now < peer.quiet_until_ns
            ):
                continue
            level = self._estimate(now, purse, one)
            if level >= min(units, WORTH_S * purse.quota.rate) and level > KEPT:
                list_ = able if peer is None or peer.missed < MISSED else doubtful
                list_.append((level * (0.8 + 0.4 * self.rng.random()), level, one))
        chosen, found = [], 0.0
        for _, level, one in sorted(able, reverse=True)[:FEW]:
            chosen.append((one, level))
            found += level
            if found >= units:
                break
        if doubtful:
            _, level, one = max(doubtful)
            self._ask_one(now, purse, one, min(units, level), 0.0)
        if found + KEPT < least:
            self.counts["refused"] += 1
            return False
        left = units
        for one, level in chosen:
            part = min(left, level) if found > level else left
            left -= part
            enough = least if len(chosen) == 1 else least / len(chosen)
            self._ask_one(now, purse, one, part, min(part, enough))
        return True

    def _ask_one(self, now: int, purse: Purse, to: int, units: float, least: float) -> None:
        self._marks = (self._marks + 1) % 2**32
        heard = self.peers.setdefault(to, Peer()).heard
        ask = Ask(to, purse.key, purse.plan, len(purse.row), purse.row[0], self._marks, units, least, heard)
        self.words.append(ask)
        purse.asked[self._marks] = Asked(ask, now, now + self.settings.again_ns)
        self.waiting[self._marks] = purse
        self.busy[purse.key] = None
        self.counts["asks"] += 1

    def _estimate(self, now: int, purse: Purse, holder: int) -> float:
        """What a holder may have to lend by now: what it gained lately it may go on to gain for a while, and
        what a part gives after that. Of one that was never heard: what a part holds."""
        part = 1 / len(purse.held_by)
        hint = purse.hints.get(holder)
        if hint is None:
            return purse.quota.burst * part
        age = (now - hint.at_ns) / SECOND
        grown = hint.gain * min(age, GAIN_S) + purse.quota.rate * part * max(0.0, age - GAIN_S)
        return min(purse.quota.burst * part, hint.level + grown)

    def hint(self, now: int, purse: Purse, holder: int, level: float, gain: float | None = None) -> None:
        """A holder was heard to have so much. Without a word on what it gains: what a part gives."""
        if holder in purse.held_by:
            even = purse.quota.rate / len(purse.held_by)
            purse.hints[holder] = Hint(max(0.0, level), now, even if gain is None else gain)

    def _late(self, now: int, purse: Purse) -> None:
        """Asks that nobody answers in time. Their loans, if there are any, are lost; who leaves several
        unanswered is asked the less often."""
        for mark, one in list(purse.asked.items()):
            if now - one.at_ns >= self.settings.life_ns:
                del purse.asked[mark]
            if one.overdue or now - one.at_ns < self.settings.held_ns:
                continue
            one.overdue = True
            self.waiting.pop(mark, None)
            self.counts["unanswered"] += 1
            peer = self.peers.setdefault(one.ask.to, Peer())
            peer.missed += 1
            if now >= peer.quiet_until_ns and peer.missed >= MISSED:
                peer.quiet_ns = min(
                    self.settings.quiet_most_ns, max(self.settings.quiet_ns, 2 * peer.quiet_ns)
                )
                peer.quiet_until_ns = now + int(peer.quiet_ns * (0.5 + self.rng.random()))

    def again(self, now: int) -> int | None:
        """Asks that were not answered yet go out once more; when that is to be asked next, None for never.
        The lender answers a double as it answered the first: nothing is taken twice. What is late is not
        waited for alone (`slow`): others are asked beside it."""
        soonest: int | None = None
        for mark, purse in list(self.waiting.items()):
            one = purse.asked.get(mark)
            if one is None or one.overdue or now - one.at_ns >= self.settings.held_ns:
                del self.waiting[mark]
                continue
            if now >= one.again_ns and one.sent < TIMES:
                one.sent, one.again_ns = one.sent + 1, now + self.settings.again_ns
                self.words.append(one.ask)
                self.counts["again"] += 1
                self.slow[purse.key] = None
            if one.sent < TIMES:
                soonest = one.again_ns if soonest is None else min(soonest, one.again_ns)
        return soonest

    # ---- words

    def asked_for(self, now: int, sender: int, process: int, ask: Ask, purse: Purse) -> None:
        """Another gateway's ask."""
        peer = self._peer(sender, process)
        key = sender, process, ask.mark
        told = purse.lent.get(key)
        if told is not None:  # a double: the same answer, and nothing is taken twice
            if told.open or not told.units:
                self._tell(sender, process, purse, ask, told)
            return
        self._fill(now, purse)
        peer.unheard = [x for x in peer.unheard if x[0] > ask.heard]
        units = 0.0
        use = self._use(now, purse)
        free = max(0.0, purse.own - RESERVE_S * use)
        if not peer.unheard or now - peer.unheard[0][1] < self.settings.held_ns:
            units = grains(min(ask.units, free))
            units = units if units + KEPT >= min(ask.least, ask.units) and units > KEPT else 0.0
        peer.told += 1
        gain = max(purse.rate * LEAST_GAIN, purse.rate - use)
        if units:
            purse.own, purse.out = purse.own - units, purse.out + units
            peer.unheard.append((peer.told, now))
            self.counts["grants"] += 1
            self.counts["lent"] += units
        self.busy[purse.key] = None
        purse.lent[key] = Lent(units, free - units, gain, now, peer.told, units > 0)
        self._tell(sender, process, purse, ask, purse.lent[key])

    def _tell(self, to: int, process: int, purse: Purse, ask: Ask, lent: Lent) -> None:
        self.words.append(
            Grant(to, purse.key, ask.mark, lent.units, lent.level, lent.number, process, lent.gain)
        )

    def _use(self, now: int, purse: Purse) -> float:
        return purse.use * math.exp(-(now - purse.used_ns) / SECOND / USE_S)

    def _peer(self, sender: int, process: int) -> Peer:
        peer = self.peers.setdefault(sender, Peer())
        if peer.process != process:  # another process: it knows of no answer, and answers anew
            self.peers[sender] = peer = Peer(process)
        return peer

    def granted(self, now: int, sender: int, process: int, grant: Grant) -> Purse | None:
        """An answer to an ask of this process; the purse that it belongs to. What nobody asked for, or has
        come twice or too late, is nothing."""
        purse = self.purses.get(grant.customer)
        if purse is None or grant.process != self.process:
            return None
        asked = purse.asked.get(grant.mark)
        peer = self._peer(sender, process)
        peer.heard = max(peer.heard, grant.number)
        peer.quiet_until_ns, peer.quiet_ns = -1, 0
        self.hint(now, purse, sender, grant.level, grant.gain)
        if asked is None or asked.ask.to != sender:
            return None
        del purse.asked[grant.mark]
        self.waiting.pop(grant.mark, None)
        peer.missed = 0
        if asked.sent == 1:  # else nobody knows which of them was answered (Karn and Partridge 1987)
            peer.round_ns += (now - asked.at_ns - peer.round_ns) / 4
        end = asked.at_ns + self.settings.life_ns
        if grant.units > KEPT and end > now:
            loan = Loan(sender, process, grant.mark, min(grant.units, asked.ask.units), end)
            purse.loans.append(loan)
            self.counts["borrowed"] += loan.units
            self.busy[purse.key] = None
        return purse

    def _close(self, purse: Purse, loan: Loan) -> None:
        """No more of it is used here; the lender may lend it again."""
        if loan in purse.loans:
            purse.loans.remove(loan)
            left = grains(max(0.0, loan.units))
            self.closes.append(Close(loan.lender, purse.key, loan.mark, left, loan.process))
            self.counts["returned"] += left

    def closed(self, now: int, sender: int, process: int, word: Close) -> None:
        """A borrower is done with a loan of this process. Only one that is open, and only once."""
        purse = self.purses.get(word.customer)
        if purse is None or word.process != self.process:
            return
        lent = purse.lent.get((sender, process, word.mark))
        if lent is None or not lent.open:
            return
        self._fill(now, purse)
        left = min(lent.units, max(0.0, word.left))
        self._over(purse, lent)
        purse.own = min(max(0.0, purse.most - purse.out), purse.own + left)

    def _over(self, purse: Purse, lent: Lent) -> None:
        lent.open = False
        purse.out = max(0.0, purse.out - lent.units)

    # ---- time

    def look(self, now: int) -> None:
        """Once a beat: what ends by time. Loans that nothing here will use in time go back."""
        self.clock.look(now)
        self.words += self.closes
        self.closes = []
        for key in list(self.busy):
            purse = self.purses.get(key)
            if purse is None:
                del self.busy[key]
                continue
            self._late(now, purse)
            self._fill(now, purse)
            for lent_key, lent in list(purse.lent.items()):
                if lent.open and now - lent.at_ns >= self.settings.life_ns:
                    self._over(purse, lent)
                if now - lent.at_ns >= MEMORY * self.settings.life_ns:
                    del purse.lent[lent_key]
            self._end(now, purse)
            half = self.settings.life_ns // 2
            for loan in [x for x in purse.loans if x.end_ns - now < half]:
                if loan.units > self._use(now, purse) * (loan.end_ns - now) / SECOND:
                    self._close(purse, loan)
            if not (purse.loans or purse.asked or purse.lent):
                del self.busy[key]

    def sweep(self, now: int, idle_ns: int) -> None:
        """Customers that came no more for so long, and of whom nothing needs to be remembered, go."""
        for key in [k for k, p in self.purses.items() if now - p.used_ns > idle_ns and self.idle(now, p)]:
            self.forget(key)

    def charge(self, now: int, purse: Purse, units: float) -> None:
        """A try turned out to be larger (or smaller, below 0) than it was counted for."""
        self._fill(now, purse)
        purse.own = min(max(0.0, purse.most - purse.out), purse.own - units)

    def told(self) -> list[Word]:
        """The words to send, since the last time this was asked."""
        made, self.words = self.words, []
        if self.closes and made:
            to = {w.to for w in made}
            made += [c for c in self.closes if c.to in to]
            self.closes = [c for c in self.closes if c.to not in to]
        return made

    def sight(self, now: int) -> dict[str, float]:
        """For the log: customers, units in the own stores, in hand, lent out."""
        purses = self.purses.values()
        return {
            "purses": len(self.purses),
            "own": round(sum(p.own for p in purses), 2),
            "hand": round(sum(x.units for p in purses for x in p.loans if x.end_ns > now), 2),
            "lent": round(sum(p.out for p in purses), 2),
            "loans": self.counts["grants"],
            "asks": self.counts["asks"],
            "unanswered": self.counts["unanswered"],
        }


def grains(units: float) -> float:
    """As it travels: never more than it is."""
    return int(units * GRAIN) / GRAIN


def holding(key: int, row: tuple[int, ...], count: int) -> list[int]:
    """Which gateways of a set hold a part: all of a small one, else the first by a hash of the customer and
    the gateway (rendezvous hashing), the same wherever it is asked."""
    if count >= len(row):
        return list(row)
    return sorted(sorted(row, key=lambda g: _mix(key, g))[:count])


def _mix(key: int, gateway: int) -> int:
    """SplitMix64 (Steele, Lea, Flood 2014) of both numbers."""
    x = (key * 0x9E3779B97F4A7C15 + (gateway + 1) * 0xD1B54A32D192ED03) % 2**64
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 % 2**64
    x = (x ^ x >> 27) * 0x94D049BB133111EB % 2**64
    return x ^ x >> 31
