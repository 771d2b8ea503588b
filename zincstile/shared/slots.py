"""Limits on attempts out at once: whole slots that have one owner each, and are lent for one request.

A plan's limit is shared out among a customer's holders in whole slots, so that they sum up to it
whoever is heard. A request holds a slot from its decision until it is over. Who has none free asks one
other holder for one; the loan lasts for the longest deadline and `held` from the ask, and is used only
for a request whose client gives up before that. So the lender, which counts from its answer, has it
back no sooner than it is free, without a word; a close brings it back earlier. Loans are the borrower's
process and a number that it uses once, as in `leases`.

What may be out beyond a limit: at the restart of a lender, the slots that it had lent, until these end.
Nothing else.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .rendezvous import choose_holders
from .settings import SharedSettings

MEMORY = 2  # lives after which a loan's id is forgotten


@dataclass(slots=True)
class SlotAsk:
    """A word: lend me one slot of this customer's."""

    to: int
    customer: int
    plan: int
    spread: int
    first: int
    mark: int


@dataclass(slots=True)
class SlotGrant:
    """A word: it is yours, or (not given) I have none to lend."""

    to: int
    customer: int
    mark: int
    given: bool
    process: int = 0  # of the borrower that asked


@dataclass(slots=True)
class SlotClose:
    """A word: that slot is free again."""

    to: int
    customer: int
    mark: int
    process: int = 0  # of the lender


SlotWord = SlotAsk | SlotGrant | SlotClose


@dataclass(slots=True, eq=False)
class Borrowed:
    """A slot of another's."""

    lender: int
    process: int
    mark: int
    end_ns: int
    used: bool = False


@dataclass(slots=True)
class Given:
    """In a lender's books."""

    at_ns: int
    open: bool


@dataclass(slots=True)
class Rack:
    """One customer's slots here."""

    key: int
    plan: int
    row: tuple[int, ...]
    held_by: tuple[int, ...]
    mine: int
    used: int = 0
    lent: dict[tuple[int, int, int], Given] = field(default_factory=dict)
    borrowed: list[Borrowed] = field(default_factory=list)
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


class Slots:
    """Of one gateway. `longest_ns`: the longest deadline of a request."""

    def __init__(
        self, settings: SharedSettings, me: int, process: int, longest_ns: int, rng: random.Random
    ) -> None:
        self.settings, self.me, self.process, self.rng = settings, me, process, rng
        self.life_ns = longest_ns + settings.held_ns
        self.racks: dict[int, Rack] = {}
        self.words: list[SlotWord] = []
        self.in_use: dict[int, tuple[Rack, Borrowed | None]] = {}  # by request; None: an own one
        self.counts = {"asked": 0, "lent": 0}
        self._marks = rng.getrandbits(31)

    def rack(self, key: int, plan: int, limit: int, row: tuple[int, ...]) -> Rack:
        """A customer's slots, made where there are none."""
        found = self.racks.get(key)
        if found is None:
            held_by = tuple(choose_holders(key, row, min(limit, len(row))))
            mine = 0
            if self.me in held_by:
                mine = limit // len(held_by) + (held_by.index(self.me) < limit % len(held_by))
            found = self.racks[key] = Rack(key, plan, row, held_by, mine)
        return found

    def may(self, now: int, rack: Rack, until_ns: int) -> bool:
        """There is a slot for a request that is over by then."""
        return rack.free > 0 or any(not b.used and b.end_ns >= until_ns for b in rack.borrowed)

    def take(self, now: int, rack: Rack, request: int, until_ns: int) -> None:
        """After `may`: the request holds it until `over`. A borrowed one goes first, as it ends."""
        for one in rack.borrowed:
            if not one.used and one.end_ns >= until_ns:
                one.used = True
                self.in_use[request] = rack, one
                return
        rack.used += 1
        self.in_use[request] = rack, None

    def over(self, request: int) -> None:
        """The request is over, however it ended; nothing where it held no slot."""
        rack, one = self.in_use.pop(request, (None, None))
        if rack is None:
            return
        if one is None:
            rack.used -= 1
        else:
            self._close(rack, one)

    def _close(self, rack: Rack, one: Borrowed) -> None:
        if one in rack.borrowed:
            rack.borrowed.remove(one)
            self.words.append(SlotClose(one.lender, rack.key, one.mark, one.process))

    def seek(self, now: int, rack: Rack) -> bool:
        """Asks one holder that may have one; True: an answer may bring it."""
        if any(now - at < self.settings.held_ns for _, at in rack.asked.values()):
            return True
        able = [h for h in rack.held_by if h != self.me and now >= rack.none_ns.get(h, -1)]
        if not able:
            return False
        to = self.rng.choice(able)
        self._marks = (self._marks + 1) % 2**32
        rack.asked[self._marks] = to, now
        rack.none_ns[to] = now + self.settings.held_ns  # unless it answers
        self.words.append(SlotAsk(to, rack.key, rack.plan, len(rack.row), rack.row[0], self._marks))
        self.counts["asked"] += 1
        return True

    def asked_for(self, now: int, sender: int, process: int, ask: SlotAsk, rack: Rack) -> None:
        """Answers another gateway's request; a double of one is answered as the first was."""
        key = sender, process, ask.mark
        given = rack.lent.get(key)
        if given is None:
            given = rack.lent[key] = Given(now, rack.free > 0)
            self.counts["lent"] += given.open
        elif not given.open:
            return  # a double of one that is closed, or was refused
        self.words.append(SlotGrant(sender, rack.key, ask.mark, given.open, process))

    def granted(self, now: int, sender: int, process: int, word: SlotGrant) -> bool:
        """True where it brings a slot."""
        rack = self.racks.get(word.customer)
        if rack is None or word.process != self.process:
            return False
        to, at = rack.asked.pop(word.mark, (-1, 0))
        if to != sender:
            return False
        if not word.given:
            rack.none_ns[sender] = now + self.settings.quiet_ns
            return False
        rack.none_ns.pop(sender, None)
        rack.borrowed.append(Borrowed(sender, process, word.mark, at + self.life_ns))
        return True

    def closed(self, sender: int, process: int, word: SlotClose) -> None:
        """Takes back a slot whose borrower is done with it."""
        rack = self.racks.get(word.customer)
        given = rack.lent.get((sender, process, word.mark)) if rack and word.process == self.process else None
        if given is not None:
            given.open = False

    def look(self, now: int) -> None:
        """Once a beat: what has ended, and what was borrowed and is not used, goes back."""
        for key, rack in list(self.racks.items()):
            for lent_key, given in list(rack.lent.items()):
                if now - given.at_ns >= self.life_ns:
                    given.open = False
                if now - given.at_ns >= MEMORY * self.life_ns:
                    del rack.lent[lent_key]
            for one in [b for b in rack.borrowed if not b.used]:
                if now - (one.end_ns - self.life_ns) >= 2 * self.settings.held_ns:
                    self._close(rack, one)
            rack.asked = {m: a for m, a in rack.asked.items() if now - a[1] < self.life_ns}
            if rack.idle:
                del self.racks[key]

    def told(self) -> list[SlotWord]:
        """The messages to send, since the last time this was asked."""
        made, self.words = self.words, []
        return made
