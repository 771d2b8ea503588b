"""Leases: parts of a quota that have one owner each, and units lent between them.

Each of a customer's holders has an even part of the quota: a store of `burst / holders` that fills at
`rate / holders`. Nobody has to be heard for that, and no clock compared: the parts sum up to the quota
under any partition. What one lacks and another has is lent in units:

* The lessor takes them from its store first, then says so. A message that is lost loses the units, and
  nobody has them twice.
* A lease ends `life` after it was asked for by the lessee's clock, which is before it ends by the lessor's,
  as it was granted later than it was asked for. So both know the end without a message, and no two clocks
  meet.
* While a lease is out, the lessor's store fills only up to its part less the lease. So stores and leases
  together never hold more than the burst, whatever is lost, late, doubled or out of order.
* What is not used goes back while the lease runs, by a message that releases it; a released or expired
  lease is over for good. Ids are the lessee's process and a number that it uses once.
* A store fills by the time for which its process was seen to run (`RunningClock`): one that was stopped earns
  nothing for it, and what it decided before it was stopped may leave afterwards.

Who does not hear is not lent to: a request tells the last answer that was heard, and while an answer is out
that should have been heard by now, there is nothing but that answer again.
"""

from __future__ import annotations

import math
import random

from ..decisions.quota_bounds import Quota
from .bound import holders, opening, turn_most
from .lease_messages import UNIT_PARTS, LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest, rounded_down
from .lease_records import Availability, GrantedLease, Lease, PeerState, PendingRequest, QuotaAccount
from .rendezvous import choose_holders
from .running_clock import RunningClock
from .settings import SECOND, SharedSettings

NEGLIGIBLE_UNITS = 1 / UNIT_PARTS / 2  # below which nothing is worth a message
USE_MEMORY_S = 1.0  # of a customer's recent use
LEAST_REQUEST_S = 0.05  # what the quota gives in less is not worth a request, where all are near their ends
GAIN_VALID_S = 2.0  # what a lessor gained lately is believed for so long
LEAST_GAIN = 0.6  # of its part, what a lessor says that it gains at least: uses end
RESERVE_S = 0.15  # a lessor keeps what its own use needs for so long
MISSED_MOST = 2  # overdue requests in a row from which a peer counts as silent
SENDS_MOST = 2  # of one request
HOLDERS_ASKED_MOST = 4  # at once, for one try
REMEMBERED_LIVES = 4  # after which a lease's id is forgotten: the doubles of its request have come by then

Candidate = tuple[float, float, int]  # weight with a little chance, units that it may have, which gateway


class LeaseManager:
    """The leases and own parts of one gateway.

    `process` is a number of this process that no other one of this gateway had.
    """

    def __init__(self, settings: SharedSettings, me: int, process: int, now: int, rng: random.Random) -> None:
        self.settings, self.me, self.process, self.rng = settings, me, process, rng
        self.clock = RunningClock(settings.gap_ns)
        self.clock.look(now)
        self.purses: dict[int, QuotaAccount] = {}
        self.peers: dict[int, PeerState] = {}
        self.outbox: list[LeaseMessage] = []
        self.closes: list[LeaseRelease] = []  # go with other messages, or at the next beat
        self.timed: dict[int, None] = {}  # customers with something that expires
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
        self.slow: dict[int, None] = {}  # customers with a request that is late, since the last look
        self.resendable: dict[int, QuotaAccount] = {}  # requests that may be sent again, by mark

    # ---- customers

    def purse(self, now: int, key: int, plan: int, quota: Quota, row: tuple[int, ...]) -> QuotaAccount:
        """A customer's account; the store of a new one is as if it had been there since the start."""
        found = self.purses.get(key)
        if found is None:
            held_by = tuple(choose_holders(key, row, holders(quota, self.settings)))
            part = 1 / len(held_by) if self.me in held_by else 0.0
            most, rate, awake = quota.burst * part, quota.rate * part, self.clock.look(now)
            own = min(most, opening(quota, self.settings) * most + rate * awake / SECOND)
            found = self.purses[key] = QuotaAccount(
                key=key,
                plan=plan,
                quota=quota,
                row=row,
                held_by=held_by,
                most=most,
                rate=rate,
                turn_most=turn_most(quota, self.settings),
                own=own,
                filled_ns=awake,
                used_ns=now,
            )
        return found

    def idle(self, now: int, account: QuotaAccount) -> bool:
        """It may be forgotten: what is made of it anew would be the same."""
        self._fill(now, account)
        return (
            not (account.loans or account.asked or account.lent)
            and account.own >= account.most - NEGLIGIBLE_UNITS
        )

    def forget(self, key: int) -> None:
        """Drops a customer's account."""
        self.purses.pop(key, None)
        self.timed.pop(key, None)

    def _fill(self, now: int, account: QuotaAccount) -> None:
        """The own store gains what its rate gives for the time awake, up to its part less what is lent."""
        awake = self.clock.look(now)
        room = max(0.0, account.most - account.out)
        grown = account.rate * (awake - account.filled_ns) / SECOND
        account.own, account.filled_ns = min(room, account.own + grown), awake

    def _usable(self, now: int, account: QuotaAccount) -> float:
        """Borrowed units that may still be used, in this turn."""
        if not account.loans:
            return 0.0
        self._end(now, account)
        if account.turn_ns != now:
            account.turn_ns, account.turn_lent = now, 0.0
        return max(0.0, min(sum(x.units for x in account.loans), account.turn_most - account.turn_lent))

    def _end(self, now: int, account: QuotaAccount) -> None:
        """Drops borrowed leases whose time is up."""
        over = [x for x in account.loans if x.end_ns <= now]
        if over:
            self.counts["ended"] += sum(x.units for x in over)
            account.loans = [x for x in account.loans if x.end_ns > now]

    def have(self, now: int, account: QuotaAccount) -> float:
        """Units that could still be sent here, in the store and in hand."""
        self._fill(now, account)
        self._end(now, account)
        return account.own + sum(x.units for x in account.loans)

    # ---- sending

    def take(self, now: int, account: QuotaAccount, units: float) -> bool:
        """A try is to be sent on: True where its units are there, and taken. Leases that end first go
        first."""
        self._fill(now, account)
        hand = self._usable(now, account)
        if account.own + hand + NEGLIGIBLE_UNITS < units:
            return False
        account.paid, lack = [], units
        for lease in sorted(account.loans, key=lambda x: x.end_ns):
            part = min(lease.units, lack, max(0.0, account.turn_most - account.turn_lent))
            if part > 0:
                lease.units -= part
                lack -= part
                account.turn_lent += part
                account.paid.append((lease, part))
        if lack > 0:
            account.own -= lack
            account.paid.append((None, lack))
        for lease in [x for x in account.loans if x.units <= NEGLIGIBLE_UNITS]:
            self._release(account, lease)
        self._record_use(now, account, units)
        return True

    def _record_use(self, now: int, account: QuotaAccount, units: float) -> None:
        keep = math.exp(-(now - account.used_ns) / SECOND / USE_MEMORY_S)
        account.use, account.used_ns = account.use * keep + units / USE_MEMORY_S, now

    def take_back(self, now: int, account: QuotaAccount) -> None:
        """The last try that was taken is not sent, in the same turn: its units go back to where they came
        from, or are lost where that is over."""
        self._fill(now, account)
        for lease, part in account.paid:
            if lease is None:
                account.own = min(max(0.0, account.most - account.out), account.own + part)
            elif lease in account.loans:
                lease.units += part
                account.turn_lent -= part
        account.use = max(0.0, account.use - sum(part for _, part in account.paid) / USE_MEMORY_S)
        account.paid = []

    # ---- borrowing

    def seek(self, now: int, account: QuotaAccount, units: float) -> bool:
        """What a try lacks is asked for where it may be had. True: an answer may bring it."""
        self._fill(now, account)
        self._expire_requests(now, account)
        hand = self._usable(now, account)
        lack = units - account.own - hand
        if hand + lack > account.turn_most - account.turn_lent + NEGLIGIBLE_UNITS:
            return False
        coming = sum(x.ask.units for x in account.asked.values() if not x.overdue and x.sent == 1)
        if coming + NEGLIGIBLE_UNITS >= lack:
            return True
        more = min(self._expected_need(now, account), account.turn_most - hand)
        return self._request(now, account, max(lack - coming, more), lack - coming)

    def borrow_ahead(self, now: int, account: QuotaAccount) -> None:
        """Borrows what recent use needs before it lacks."""
        if (
            len(account.held_by) < 2
            and self.me in account.held_by
            or any(not x.overdue for x in account.asked.values())
        ):
            return
        wanted = min(self._expected_need(now, account), account.turn_most)
        have = account.own + sum(x.units for x in account.loans)
        if have < wanted / 2:
            self._request(now, account, wanted - have, min(wanted - have, account.quota.largest) / 2)

    def _expected_need(self, now: int, account: QuotaAccount) -> float:
        """Units that recent use will want before more can be had."""
        round_ns = max((self.peers[h].round_ns for h in account.held_by if h in self.peers), default=0.0)
        return self._recent_use(now, account) * (self.settings.ahead_ns + round_ns) / SECOND

    def _request(self, now: int, account: QuotaAccount, units: float, least: float) -> bool:
        """Requests leases of those who may have most; False where they have less than `least` together.

        A peer that left the last requests unanswered is asked beside them now and then, and not counted on.
        """
        reliable, doubtful = self._lenders(now, account, units)
        chosen, found = [], 0.0
        for _, level, one in sorted(reliable, reverse=True)[:HOLDERS_ASKED_MOST]:
            chosen.append((one, level))
            found += level
            if found >= units:
                break
        if doubtful:
            _, level, one = max(doubtful)
            self._request_from(now, account, one, min(units, level), 0.0)
        if found + NEGLIGIBLE_UNITS < least:
            self.counts["refused"] += 1
            return False
        left = units
        for one, level in chosen:
            part = min(left, level) if found > level else left
            left -= part
            enough = least if len(chosen) == 1 else least / len(chosen)
            self._request_from(now, account, one, part, min(part, enough))
        return True

    def _lenders(
        self, now: int, account: QuotaAccount, units: float
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Holders that may have units to lend: those that answered lately, and those that did not."""
        reliable: list[Candidate] = []
        doubtful: list[Candidate] = []
        for one in account.held_by:
            peer = self.peers.get(one)
            if one == self.me or any(x.ask.to == one and not x.overdue for x in account.asked.values()):
                continue
            if peer is not None and now < peer.quiet_until_ns:
                continue
            level = self._estimated(now, account, one)
            if level >= min(units, LEAST_REQUEST_S * account.quota.rate) and level > NEGLIGIBLE_UNITS:
                silent = peer is not None and peer.missed >= MISSED_MOST
                weight = level * (0.8 + 0.4 * self.rng.random())
                (doubtful if silent else reliable).append((weight, level, one))
        return reliable, doubtful

    def _request_from(self, now: int, account: QuotaAccount, to: int, units: float, least: float) -> None:
        self._marks = (self._marks + 1) % 2**32
        heard = self.peers.setdefault(to, PeerState()).heard
        ask = LeaseRequest(
            to, account.key, account.plan, len(account.row), account.row[0], self._marks, units, least, heard
        )
        self.outbox.append(ask)
        account.asked[self._marks] = PendingRequest(ask, now, now + self.settings.again_ns)
        self.resendable[self._marks] = account
        self.timed[account.key] = None
        self.counts["asks"] += 1

    def _estimated(self, now: int, account: QuotaAccount, holder: int) -> float:
        """What a holder may have to lend by now: what it gained lately it may go on to gain for a while, and
        what a part gives after that. Of one that was never heard: what a part holds."""
        part = 1 / len(account.held_by)
        hint = account.hints.get(holder)
        if hint is None:
            return account.quota.burst * part
        age = (now - hint.at_ns) / SECOND
        grown = hint.gain * min(age, GAIN_VALID_S) + account.quota.rate * part * max(0.0, age - GAIN_VALID_S)
        return min(account.quota.burst * part, hint.level + grown)

    def note_available(
        self, now: int, account: QuotaAccount, holder: int, level: float, gain: float | None = None
    ) -> None:
        """A holder was heard to have so much. Without a word on what it gains: what a part gives."""
        if holder in account.held_by:
            even = account.quota.rate / len(account.held_by)
            account.hints[holder] = Availability(max(0.0, level), now, even if gain is None else gain)

    def _expire_requests(self, now: int, account: QuotaAccount) -> None:
        """Requests that nobody answers in time. Their leases, if there are any, are lost; who leaves several
        unanswered is asked the less often."""
        for mark, one in list(account.asked.items()):
            if now - one.at_ns >= self.settings.life_ns:
                del account.asked[mark]
            if one.overdue or now - one.at_ns < self.settings.held_ns:
                continue
            one.overdue = True
            self.resendable.pop(mark, None)
            self.counts["unanswered"] += 1
            peer = self.peers.setdefault(one.ask.to, PeerState())
            peer.missed += 1
            if now >= peer.quiet_until_ns and peer.missed >= MISSED_MOST:
                peer.quiet_ns = min(
                    self.settings.quiet_most_ns, max(self.settings.quiet_ns, 2 * peer.quiet_ns)
                )
                peer.quiet_until_ns = now + int(peer.quiet_ns * (0.5 + self.rng.random()))

    def resend(self, now: int) -> int | None:
        """Sends requests once more that were not answered yet; returns when to ask next, None for never.

        The lessor answers a double as it answered the first: nothing is taken twice. What is late is not
        waited for alone (`slow`): others are asked beside it.
        """
        soonest: int | None = None
        for mark, account in list(self.resendable.items()):
            one = account.asked.get(mark)
            if one is None or one.overdue or now - one.at_ns >= self.settings.held_ns:
                del self.resendable[mark]
                continue
            if now >= one.again_ns and one.sent < SENDS_MOST:
                one.sent, one.again_ns = one.sent + 1, now + self.settings.again_ns
                self.outbox.append(one.ask)
                self.counts["again"] += 1
                self.slow[account.key] = None
            if one.sent < SENDS_MOST:
                soonest = one.again_ns if soonest is None else min(soonest, one.again_ns)
        return soonest

    # ---- messages

    def asked_for(
        self, now: int, sender: int, process: int, ask: LeaseRequest, account: QuotaAccount
    ) -> None:
        """Answers another gateway's request; a double of one is answered as the first was."""
        peer = self._peer(sender, process)
        key = sender, process, ask.mark
        told = account.lent.get(key)
        if told is not None:  # a double: the same answer, and nothing is taken twice
            if told.open or not told.units:
                self._answer(sender, process, account, ask, told)
            return
        self._fill(now, account)
        peer.unheard = [x for x in peer.unheard if x[0] > ask.heard]
        units = 0.0
        use = self._recent_use(now, account)
        free = max(0.0, account.own - RESERVE_S * use)
        if not peer.unheard or now - peer.unheard[0][1] < self.settings.held_ns:
            units = rounded_down(min(ask.units, free))
            if units + NEGLIGIBLE_UNITS < min(ask.least, ask.units) or units <= NEGLIGIBLE_UNITS:
                units = 0.0
        peer.told += 1
        gain = max(account.rate * LEAST_GAIN, account.rate - use)
        if units:
            account.own, account.out = account.own - units, account.out + units
            peer.unheard.append((peer.told, now))
            self.counts["grants"] += 1
            self.counts["lent"] += units
        self.timed[account.key] = None
        account.lent[key] = GrantedLease(units, free - units, gain, now, peer.told, units > 0)
        self._answer(sender, process, account, ask, account.lent[key])

    def _answer(
        self, to: int, process: int, account: QuotaAccount, ask: LeaseRequest, lent: GrantedLease
    ) -> None:
        self.outbox.append(
            LeaseGrant(to, account.key, ask.mark, lent.units, lent.level, lent.number, process, lent.gain)
        )

    def _recent_use(self, now: int, account: QuotaAccount) -> float:
        return account.use * math.exp(-(now - account.used_ns) / SECOND / USE_MEMORY_S)

    def _peer(self, sender: int, process: int) -> PeerState:
        peer = self.peers.setdefault(sender, PeerState())
        if peer.process != process:  # another process: it knows of no answer, and answers anew
            self.peers[sender] = peer = PeerState(process)
        return peer

    def granted(self, now: int, sender: int, process: int, grant: LeaseGrant) -> QuotaAccount | None:
        """Takes the answer to a request of this process; returns the account that it belongs to.

        What nobody asked for, or has come twice or too late, is ignored.
        """
        account = self.purses.get(grant.customer)
        if account is None or grant.process != self.process:
            return None
        asked = account.asked.get(grant.mark)
        peer = self._peer(sender, process)
        peer.heard = max(peer.heard, grant.number)
        peer.quiet_until_ns, peer.quiet_ns = -1, 0
        self.note_available(now, account, sender, grant.level, grant.gain)
        if asked is None or asked.ask.to != sender:
            return None
        del account.asked[grant.mark]
        self.resendable.pop(grant.mark, None)
        peer.missed = 0
        if asked.sent == 1:  # else nobody knows which of them was answered (Karn and Partridge 1987)
            peer.round_ns += (now - asked.at_ns - peer.round_ns) / 4
        end = asked.at_ns + self.settings.life_ns
        if grant.units > NEGLIGIBLE_UNITS and end > now:
            lease = Lease(sender, process, grant.mark, min(grant.units, asked.ask.units), end)
            account.loans.append(lease)
            self.counts["borrowed"] += lease.units
            self.timed[account.key] = None
        return account

    def _release(self, account: QuotaAccount, lease: Lease) -> None:
        """No more of it is used here; the lessor may lend it again."""
        if lease in account.loans:
            account.loans.remove(lease)
            left = rounded_down(max(0.0, lease.units))
            self.closes.append(LeaseRelease(lease.lender, account.key, lease.mark, left, lease.process))
            self.counts["returned"] += left

    def closed(self, now: int, sender: int, process: int, word: LeaseRelease) -> None:
        """Takes back a lease whose lessee is done with it: only one that is open, and only once."""
        account = self.purses.get(word.customer)
        if account is None or word.process != self.process:
            return
        lent = account.lent.get((sender, process, word.mark))
        if lent is None or not lent.open:
            return
        self._fill(now, account)
        left = min(lent.units, max(0.0, word.left))
        self._over(account, lent)
        account.own = min(max(0.0, account.most - account.out), account.own + left)

    def _over(self, account: QuotaAccount, lent: GrantedLease) -> None:
        """A granted lease is over: the own store may fill up again by its units."""
        lent.open = False
        account.out = max(0.0, account.out - lent.units)

    # ---- time

    def look(self, now: int) -> None:
        """Once a beat: what expires. Leases that nothing here will use in time go back."""
        self.clock.look(now)
        self.outbox += self.closes
        self.closes = []
        for key in list(self.timed):
            account = self.purses.get(key)
            if account is None:
                del self.timed[key]
                continue
            self._expire_requests(now, account)
            self._fill(now, account)
            self._expire_granted(now, account)
            self._end(now, account)
            self._return_unused(now, account)
            if not (account.loans or account.asked or account.lent):
                del self.timed[key]

    def _expire_granted(self, now: int, account: QuotaAccount) -> None:
        """Leases to others: over at their end, and forgotten once no double of their request can come."""
        for key, lent in list(account.lent.items()):
            if lent.open and now - lent.at_ns >= self.settings.life_ns:
                self._over(account, lent)
            if now - lent.at_ns >= REMEMBERED_LIVES * self.settings.life_ns:
                del account.lent[key]

    def _return_unused(self, now: int, account: QuotaAccount) -> None:
        """In the second half of a lease's time, one that recent use will not use up goes back."""
        half = self.settings.life_ns // 2
        for lease in [x for x in account.loans if x.end_ns - now < half]:
            if lease.units > self._recent_use(now, account) * (lease.end_ns - now) / SECOND:
                self._release(account, lease)

    def sweep(self, now: int, idle_ns: int) -> None:
        """Customers that came no more for so long, and of whom nothing needs to be remembered, go."""
        for key in [k for k, p in self.purses.items() if now - p.used_ns > idle_ns and self.idle(now, p)]:
            self.forget(key)

    def charge(self, now: int, account: QuotaAccount, units: float) -> None:
        """A try turned out to be larger (or smaller, below 0) than it was counted for."""
        self._fill(now, account)
        account.own = min(max(0.0, account.most - account.out), account.own - units)

    def told(self) -> list[LeaseMessage]:
        """The messages to send, since the last time this was asked."""
        made, self.outbox = self.outbox, []
        if self.closes and made:
            to = {w.to for w in made}
            made += [c for c in self.closes if c.to in to]
            self.closes = [c for c in self.closes if c.to not in to]
        return made

    def snapshot(self, now: int) -> dict[str, float]:
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
