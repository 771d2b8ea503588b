"""Every decision of the gateway. See zincstile/decisions/messages.py first: settings, events, actions.

One request: quota (gossip; a wide set's relay is asked) -> ceiling and open cap -> budget draw (group tree)
-> choice of backend -> attempt, timer, outcome, further attempt or final answer. See docs/design.md.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections import deque

from . import slow_start
from .budget_split import split
from .messages import (
    AttemptOutcome,
    AttemptResult,
    CloseIdleConnections,
    CustomerUsage,
    EndpointList,
    EndpointListKind,
    ErrorSample,
    FailRequest,
    ForwardRequest,
    GossipReceived,
    RejectionReason,
    RejectRequest,
    Request,
    RequestAbandoned,
    SendGossip,
    Started,
    TimerFired,
    WatchEndpoints,
)
from .settings import CustomerPlan, DeduplicationScope, Idempotency, Settings
from .state import LEVEL, Attempt, Customer, Live, Memory, Server, scatter

SECOND = 1_000_000_000
# Budget: how it follows the back end, and how steeply it is split.
TICK_NS, IDLE = SECOND // 10, 2  # period of level and split; so many times that with few attempts out
STRETCH, AIM_SHARE = 3.0, 0.5  # pressure: latency above so many times the calm one, or that part of the aim
CALM, ALONE, MOST_LATE = 0.77, 1.5, 3.0  # of the bound: level rises below; silence to answers; most of one
START_OUT, LEAST_OUT = 10.0, 1.0  # attempts out per ready server, by all gateways: first level, least level
FALL, BINDS, RISE, WARY = 0.3, 0.6, 1.04, 1.01  # largest cut; where it binds; growth a tick; above brim
ARRIVAL_S, PRIOR_RATE = 1.0, 1.0  # memory of the arrivals; units a second that the usual time weighs
KEEP = 0.99                # of the memory of payoffs, a tick
HALF = 0.5                 # what a peer's figures weigh beside the own
SPAN_S, ENOUGH = 0.8, 10.0  # memory of the answers' lateness; so many of them are half believed in a tick
# Quota gossip.
BEAT_NS, SILENCE_NS, FORGET_NS = SECOND, 3 * SECOND, 120 * SECOND  # beat; unheard: even part; idle: gone
QUIET_NS = SECOND // 4  # without a word of any peer's sends: there were none before the start
LAG_S = 0.25  # how old the words of peers are, with a margin
HEARD_NS, PARTS_S = 6 * SECOND // 5, 1.0  # unheard: even ceiling; seconds at the quota that even parts weigh
IDLE_S = 15.0  # a customer whose store is full is forgotten after so long
INTAKE, FLOW_S = 0.8, 5.0  # part of a peer's intake that may be filled; memory of who sends for a customer
DIRECT, ASK_NS, ASKS = 4, SECOND // 12, 2  # most peers all told, others ask a relay; wait for it; so often
RELAYS, CLAIM = 3, 4.0  # of a wide set, a later one stands in for silent ones; even parts hoped for when bare
TOTALS, MARKS = 2**28, 2**16  # totals of units are told modulo this; asks are marked modulo this
# Backends and further attempts.
SMOOTH, SURE, CERTAIN = 0.2, 0.4, 0.8  # weight of a backend's sample: a time; error or "full"; no connection
FLEET, CREEP = 0.02, 0.0005  # and of one of the fleet, and of what counts as calm
PATIENCE, LATE, SLOWEST = 3.0, 5.0, 4.0  # dues from which an attempt looks slow; is a failure; says no more
FAULTY, FLOOR = 0.3, 0.25  # doubt from which a backend is left, above that of this part of the fleet
FADE_S, TOLD, FRESH_NS = 8.0, 8, 2 * SECOND  # memory of doubts; samples in a message, and how old they may be
NOTABLE, FORGOTTEN, CANDIDATES = 0.1, 0.01, 10  # doubts: least that counts, dropped below; backends compared
NEAR, JITTER, DISTRUST = 0.3, 0.1, 1e6  # what another zone, chance, and believed doubt add to a score
REST_NS, WORSE, PATH_S = SECOND, 0.1, 30.0  # without answer: it rests; so much worse: closed; memory of paths
CREDIT, CREDIT_MAX = 0.1, 4.0  # further attempts earned by each request sent, and how many can be saved up
SAFELY, COLD_LEAST = 0.5, 4  # of the ceiling's slack; a cold one's first rate
GUARD, ASKED, TICK, FLUSH, KINDS = 0, 1, 2, 3, 4  # timer kinds, and their number
FAULTS, EVERY = (AttemptResult.ERROR, AttemptResult.RESET), 255  # a doubt of every class
KEPT, OPENED, BUSY = 0, 1, 2  # the connection of an attempt: rested and kept, new, heard of lately
COSTS = {  # of credit: two cost no work there
    AttemptResult.REJECTED: 0.0, AttemptResult.CONNECT_FAILED: 0.0, AttemptResult.STALE_CONNECTION: 0.5}
STALE = 0.01  # part of the attempts that ends so from which what may not run again gets a new connection
HEARD = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.MALFORMED)
SINGLE = (AttemptResult.MALFORMED, AttemptResult.STALE_CONNECTION)
NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class Policy(Memory):
    """The decisions of one gateway: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__()
        self.set, self.tier = settings, settings.gateways  # tier: among how many a budget is shared out
        self.rng = random.Random(seed)
        self.start = self.rng.getrandbits(32)
        self.near = dict.fromkeys(range(settings.gateways if settings.gateways <= DIRECT + 1 else 0), True)
        told = min(DIRECT, settings.gateways - 1)
        self.period_ns = int(SECOND * told / max(1.0, INTAKE * settings.peer_in_per_s))
        self.level = math.inf  # units out per good server that the budget aims at
        self.credit, self.wait_ns = CREDIT_MAX, settings.max_retry_after_ns
        self.fresh: deque[tuple[int, ErrorSample]] = deque(maxlen=TOLD)  # last own samples of backends
        self.usual = [0.0] * len(settings.classes) * (1 + len(settings.plans))
        self.cut_every_ns = AIM_SHARE * min(c.aim_ns for c in settings.classes)  # late answers show by then
        self.calm_ns, self.seen = [math.inf] * len(settings.classes), [0] * len(settings.classes)
        self.unit_ns = [c.aim_ns / 5 / (1 + settings.largest_units) for c in settings.classes]
        self.plant([[[c.worth * p.price * (p.over_worth if beyond else 1.0) for p in settings.plans]
                     for c in settings.classes] for beyond in (False, True)])

    def on_started(self, now: int, _: Started) -> None:
        self.start_ns = self.spent_ns = self.tick_ns = self.beat_ns = now
        self.timer(now + TICK_NS, TICK)
        if self.set.ask_for_list:
            self.acts.append(WatchEndpoints())
        self._flush(now, beat=True)

    def on_endpoint_list(self, now: int, event: EndpointList) -> None:
        if event.kind is EndpointListKind.FAILED and self.set.ask_for_list:
            self.acts.append(WatchEndpoints())
        self.follow_list(now, event)

    def on_timer_fired(self, now: int, event: TimerFired) -> None:
        number, kind = event.token // KINDS, event.token % KINDS
        live = self.live.get(number)
        if kind == TICK:
            self._tick(now)
            self.timer(now + TICK_NS * (1 if max(self.samples, len(self.attempts)) >= ENOUGH else IDLE), TICK)
        elif kind == FLUSH:
            self.flushing = False
            self._flush(now)
        elif kind == ASKED:
            self.asked.pop(number % MARKS, None)  # else what nobody answered is kept for good
            if live and live.leaf is None:
                self._seek(now, live)
        elif kind == GUARD:
            for live in self.overdue(now, GUARD):
                self.acts.append(FailRequest(live.ask.id))
                self.close(live, self.set.cancel)

    def _tick(self, now: int) -> None:
        span, self.tick_ns = max(1, now - self.tick_ns) / SECOND, now
        ticks = span * SECOND / TICK_NS
        self.age(span, math.exp(-span / ARRIVAL_S), KEEP ** ticks, math.exp(-span / SPAN_S))
        self._fade(math.exp(-span / FADE_S))
        late = [(key[0], a) for key, a in self.attempts.items()  # hung backends show before the outcomes
                if not a.late and now - a.sent_ns > LATE * a.due_ns]
        for request, a in late:
            a.late = True
            self._sample(now, a, a.cls, 1.0, SMOOTH)
            self._press(now - a.sent_ns, a, silent=True)
            if request in self.live:
                self._second(now, self.live[request], a)
        self.seen_rate *= math.exp(-span / PATH_S)
        self._follow(now, span, ticks)
        if now - self.beat_ns > BEAT_NS:
            self.beat_ns = now
            self.forget([key for key, c in self.customers.items() if self._idle(now, c)])
            self._flush(now, beat=True)

    def _fade(self, keep: float) -> None:
        """Doubts and slowness fade; of each group, the doubt that a part of the fleet does not exceed."""
        told: list[list[float]] = [[] for _ in self.usual]
        self.broken = [bad * keep ** (FADE_S / PATH_S) for bad in self.broken]
        for s in [s for s in self.touched.values() if s.members is not None]:
            s.slowness += (1 - keep) * (1 - s.slowness)  # else one late answer would tell for good
            s.doubt = {group: bad * keep for group, bad in s.doubt.items() if bad > FORGOTTEN}
            for group, bad in s.doubt.items():
                told[group].append(bad)
            self.drop_faded(s)
        ranks = [int(len(self.ready) * FLOOR) - len(self.ready) + len(t) for t in told]  # no doubt: first
        self.usual = [sorted(t)[k] if 0 <= k < len(t) else 0.0 for t, k in zip(told, ranks, strict=True)]

    def _sample(self, now: int, a: Attempt, group: int, bad: float, weight: float) -> None:
        """An own attempt's end, good or bad. It is told to peers: the word of many adds up and that of
        one with a bad path is outvoted. Slowness is not told: all would herd onto whom all think quick."""
        self._observe(a.server, group, bad, weight)
        self.broken[a.connection] += SMOOTH * (bad - self.broken[a.connection])
        self.fresh.append((now, ErrorSample(a.server.name, group, bad)))

    def _observe(self, s: Server, group: int, bad: float, weight: float) -> None:
        """Guards against learning class by class that nobody listens there."""
        for g in range(len(self.set.classes)) if group == EVERY else (group,):
            self.observe(s, g, bad, weight)

    def _doubted(self, s: Server, cls: int, plan: int) -> float:
        """Guards against backends that fail one class, or turn away one class of one plan."""
        return max(s.doubt.get(g, 0.0) - self.usual[g] for g in (cls, self.set.pair(cls, plan)))

    def _press(self, latency_ns: int, a: Attempt, silent: bool) -> None:
        if self._doubted(a.server, a.cls, a.plan) < FAULTY:  # else it is that backend's trouble
            late = min(MOST_LATE, latency_ns / a.bound_ns)
            self.answers, self.silences = self.answers + (not silent), self.silences + silent
            self.late, self.silence = self.late + late * (not silent), self.silence + late * silent

    def _shown(self) -> float:
        """Guards against silence that is not load, of lost messages, broken paths, hung backends: load makes
        the answers late too, so silence counts in proportion to them. It may harm where a jam lets through
        quick answers only, which then come fewer and fewer."""
        late = (self.late + self.silence) / max(self.samples, 1e-9)
        return min(late, ALONE * self.late / self.answers) if self.answers > self.silences / 4 else late

    def _follow(self, now: int, span: float, ticks: float) -> None:
        """The budget follows the back end: a level of units out, and the rate that leads to it."""
        self._sort(now)
        unit, free, few = self.mean_units / self.tier, self.level == math.inf, ENOUGH / ticks
        self.strain += self.samples / (self.samples + few) * (self._shown() - self.strain)
        own = max(len(self.attempts) / (len(self.attempts) + few), min(1.0, span / SPAN_S))
        self.out += own * (sum(a.units for a in self.attempts.values()) - self.out)
        # First pressure: late answers, or a burst before any. Then a cut for each late round trip, and a wary
        # rise above the brim, where pressure last began: it shows late, and a jam costs more than the rest.
        if self.strain > 1 and now - self.cut_ns > self.cut_every_ns or (
                free and self.out > START_OUT * unit * self.good):
            level = START_OUT * unit if free else min(self.level, self.out / self.good)
            self.brim, self.rose = (level if free else self.level) if self.rose else self.brim, False
            self.level = max(level * (1 - FALL * min(1.0, max(0.0, self.strain - 1))), LEAST_OUT * unit)
            self.cut_ns = now
        elif self.strain < CALM and self.out > BINDS * self.level * self.good:
            self.level, self.rose = self.level * (RISE if self.level < self.brim else WARY) ** ticks, True
        if self.level < math.inf:
            # Little's law. Guards against refusing all where a few are out by chance, as in a large fleet,
            # and does not sink with what is sent. It may harm where the time taken changes at a stroke.
            usual_s = self.mean_units * sum(self.unit_ns) / len(self.unit_ns) / SECOND
            taken_s = (self.out + PRIOR_RATE * usual_s) / (self.done_rate + PRIOR_RATE)
            self._split(self.level * self.good / taken_s)

    def _sort(self, now: int) -> None:
        """A backend counts for the part of the work that it is not doubted for: guards against filling the
        rest where some jam or hang. It may harm where the doubts are wrong and capacity lies idle."""
        warmth = [self._warmth(now, s) for s in self.cold]
        self.promote(warmth)
        sent = [1e-9 + sum(x.sent for side in self.tree for x in side[g]) for g in range(len(self.unit_ns))]
        lost = sum(self._warmth(now, s) * n for s in self.touched.values() if s.members is not None
                   for g, n in enumerate(sent) if s.doubt.get(g, 0.0) - self.usual[g] >= FAULTY)
        self.good = max(1.0, len(self.warm) + sum(warmth) - lost / sum(sent))  # in warm ones
        self.parts = self._parts(warmth)

    def _parts(self, warmth: list[float]) -> list[float]:
        """Rule 4: the part of all sends that is due to each cold backend, summed up. As much of a warm one's
        as it is warm, but by all gateways no more than a share of the rule's multiple of what good warm ones
        were seen to work. A draw, and no store: divided among many it would stand idle while it fills."""
        least = self.set.largest_units / COLD_LEAST / self.set.gateways  # where none was seen to work yet
        self.seen_rate = max(self.seen_rate, self.done_rate / max(self.good, self.doers), least)
        sending = max(1e-9, sum(x.arrivals * x.rate for x in self.leaves))
        most = slow_start.most_share(self.set, self.seen_rate, sending)
        self.spare = max(1.0, most * self.good)  # so many times its due a cold one may get
        return slow_start.parts(warmth, self.good, most)

    def _split(self, budget: float) -> None:
        if budget >= sum(x.arrivals for x in self.leaves):  # all get what arrives, by any weights
            for leaf in self.leaves:
                leaf.rate = 1.0
            return
        flat = [[x for row in side for x in row] for side in self.tree]
        for side, n_side in zip(self.tree, split(budget, flat), strict=True):
            for row, n_row in zip(side, split(n_side, side), strict=True):
                for leaf, n in zip(row, split(n_row, [[x] for x in row]), strict=True):
                    leaf.rate = min(1.0, n / leaf.arrivals) if leaf.arrivals > 0 else 1.0

    def _blend(self, told: list[float]) -> None:
        """What a peer tells weighs as the own: sparse samples of all become one figure in a few exchanges."""
        after, own = LEVEL + 1 + len(self.unit_ns), self.figures()
        if len(told) < after or not all(math.isfinite(x) and x >= 0 for x in told):
            return
        mean = [(1 - HALF) * a + HALF * b for a, b in zip(own, told, strict=False)]
        if self.level == math.inf or not told[LEVEL]:  # only who sees pressure too takes over a first level
            mean[LEVEL] = told[LEVEL] * (self.strain > CALM) or own[LEVEL]
        self.take_figures(mean)  # words are no answers: they don't end the learning of the calm time

    def _calmest(self, cls: int) -> None:
        self.seen[cls] += 1
        if self.seen[cls] >= 1 / FLEET:  # the calm latency follows down at once and up slowly
            calm = min(self.calm_ns[cls], self.unit_ns[cls])
            self.calm_ns[cls] = calm + CREEP * (self.unit_ns[cls] - calm)

    def _begin(self, now: int) -> None:
        """The first request or word of one. What was spent of ceilings before is not known; but where all
        peers are heard and none had a word for a while, nothing was."""
        quiet = now - self.start_ns >= QUIET_NS and len(self.heard) == self.set.gateways - 1
        self.begun, self.spent_ns = True, -(10**18) if quiet else self.start_ns

    def _idle(self, now: int, c: Customer) -> bool:
        """Guards the memory against customers that come once: what is forgotten starts with a full store, so
        that the own one has to be full by now, even if no peer was heard."""
        plan, idle_s = self.set.plans[c.plan], (now - c.filled_ns) / SECOND
        full = c.level + plan.rate * idle_s / c.spread >= plan.burst
        return not c.open and idle_s > (IDLE_S if full and not c.wide else FORGET_NS / SECOND)

    def _meet(self, c: Customer, ask: Request) -> None:
        """A customer's first request here. All of a small set are told of it, the relay of a wide one."""
        c.known, c.spread, c.used_ns = True, min(max(1, ask.spread), self.set.gateways), self.spent_ns
        plan, row = self.set.plans[c.plan], [(ask.first + k) % self.set.gateways for k in range(c.spread)]
        # What was spent before held the quota, so that the ceiling has its lead over that at least. Guards
        # against refusing inside the quota for seconds after each start of a tier too large to be heard soon.
        c.ceiling = max(0.0, plan.ceiling_burst - plan.burst) / c.spread * (plan.over_worth <= plan.over_cost)
        c.wide = c.spread > DIRECT + 1 and self.set.peers
        if c.wide:
            c.told = [row[(scatter(ask.customer) + k) % c.spread] for k in range(RELAYS)]
        else:
            c.told = [p for p in row if p != self.set.me]
            self.near.update(dict.fromkeys(c.told, True))

    def _relay(self, now: int, c: Customer) -> int:
        """The first that is not silent: else each of a wide set grants itself a part, in all many quotas."""
        return next((p for p in c.told if now - self.silent.get(p, -SILENCE_NS) >= SILENCE_NS), -1)

    def _refill(self, now: int, c: Customer) -> None:
        """At the whole quota by a relay or while a peer of the customer is heard, else at the even part."""
        if c.wide:
            heard = self.set.me in c.told
        else:
            heard = not c.told or any(now - self.heard[p][1] < SILENCE_NS for p in c.told if p in self.heard)
        plan, part = self.set.plans[c.plan], 1.0 if heard else 1.0 / c.spread
        whole = heard or now - c.word_ns < FORGET_NS  # a relay's word: the own store goes on from it
        most = plan.burst if whole else max(plan.burst * part, self.set.largest_units)
        c.fill(now, plan.rate * part, most, FLOW_S)

    def _inside(self, c: Customer, units: float) -> bool:
        plan = self.set.plans[c.plan]
        out = c.open + c.open_at_peers(c.filled_ns - self.set.longest_ns) if plan.open_limit else -1
        share = 1.0 if c.wide else max(1 / c.spread, (c.mine + units) / (c.mine + c.theirs + units))
        level = c.level - c.theirs * LAG_S / FLOW_S  # what peers have sent by now and not told yet
        # A draw: guards against all gateways of the set sending at once when a bare store has filled for one.
        room = not plan.rate or (level >= units and
                                 share * (level + c.untold) - c.untold >= units * self.rng.random())
        return room and out < plan.open_limit

    def _ceiling_part(self, now: int, c: Customer, plan: CustomerPlan) -> float:
        """Rule 5: this gateway's part of the ceiling, by recent use. The parts sum up to one where all know
        the same, and are even as soon as a peer of the customer is unheard for more than a beat. Guards
        against refusing inside the quota at the gateway that a customer mostly uses. Views differ for as
        long as words travel; the quota, which is lower, then holds what goes out. Where more than it is
        let in, nothing does: parts are even there."""
        if not plan.ceiling_rate or c.wide or not c.told or plan.over_worth > plan.over_cost \
                or any(p not in self.heard or now - self.heard[p][1] > HEARD_NS for p in c.told):
            return 1 / c.spread
        even = PARTS_S * plan.rate
        return (c.mine + even / c.spread) / (c.mine + c.theirs + even)

    def _spend(self, now: int, c: Customer, units: float) -> None:
        c.spend(units, TOTALS)
        self.dirty[c.key] = c
        if not self.flushing:
            self.flushing = True
            self.timer(max(now, self.flush_ns + self.period_ns), FLUSH)

    def _tell(self, peer: int, shares: list[CustomerUsage], figures: bool = False) -> None:
        """With an ask, its answer and a beat go the last own samples of backends."""
        if self.set.peers and peer != self.set.me:
            doubts = [d for at, d in self.fresh if (figures or not shares) and self.tick_ns - at < FRESH_NS]
            self.acts.append(SendGossip(peer, self.start, shares, self.figures() if figures else [], doubts))

    def _share(self, c: Customer, want: float = 0.0, mark: int = -1) -> CustomerUsage:
        heard = not c.wide or c.filled_ns - c.word_ns < SILENCE_NS  # else the own level says nothing
        level = c.level if heard else self.set.plans[c.plan].burst
        return CustomerUsage(c.key, c.plan, c.total, level, c.open, want, c.mark if mark < 0 else mark)

    def _flush(self, now: int, beat: bool = False) -> None:
        """Tells what has changed to those whom it concerns; a beat goes to all that are told directly."""
        notes: dict[int, list[CustomerUsage]] = {p: [] for p in self.near} if beat else {}
        for c in self.dirty.values():
            c.untold = 0.0
            for p in [self._relay(now, c)] if c.wide else c.told:
                if p >= 0:
                    notes.setdefault(p, []).append(self._share(c))
        for p, shares in notes.items():
            self._tell(p, shares)
        self.dirty, self.flush_ns = {}, now

    def on_gossip_received(self, now: int, event: GossipReceived) -> None:
        sender = event.sender
        if sender >= self.set.gateways or any(s.plan >= len(self.set.plans) for s in event.shares):
            return
        known, self.heard[sender] = self.heard.get(sender), (event.start, now)
        if event.shares and not self.begun:
            self._begin(now)
        if sender in self.near and (known is None or known[0] != event.start):
            told = [self._share(c) for c in self.customers.values() if not c.wide and sender in c.told]
            self._tell(sender, told)  # it has just started and knows nothing yet
        self.silent.pop(sender, None)
        for d in event.doubts:
            if d.backend in self.named and (d.group < len(self.usual) or d.group == EVERY):
                self._observe(self.named[d.backend], d.group, d.value, SMOOTH)
        for s in event.shares:
            c = self.customer(s.customer, s.plan, self.set.plans[s.plan].burst, now)
            self._refill(now, c)
            if s.answer:
                self._answered(now, s, c)
                continue
            gone = c.merge(sender, event.start, s, now, TOTALS, ASKS * ASK_NS)
            if gone is None:
                c.level = min(c.level, s.level)  # no base to count from: take the peer's word
            else:
                c.take(gone, -self.set.largest_units * self.set.settled_after)
            if s.want > 0:
                self._grant(now, sender, s, c)
        if event.figures:
            self._blend(event.figures)

    def _grant(self, now: int, sender: int, s: CustomerUsage, c: Customer) -> None:
        """A relay's answer. What it grants leaves its store at once, so two that ask together get it once."""
        granted = self._inside(c, s.want)
        if granted:
            c.grant(sender, s, now, TOTALS)
        want = s.want if granted else -s.want
        answer = CustomerUsage(s.customer, s.plan, 0.0, c.level, 0, want, s.mark, True)
        self._tell(sender, [answer], figures=True)

    def _ask(self, now: int, live: Live) -> bool:
        """Where the set is wide no word is fresh: the request waits for the relay's, some milliseconds."""
        relay = self._relay(now, live.customer)
        if relay < 0 or relay == self.set.me or live.ask.give_up_ns - now < ASKS * ASK_NS:
            return False
        mark, live.asked, live.asks = live.ask.id % MARKS, relay, live.asks + 1
        self.asked[mark] = live
        self._tell(relay, [self._share(live.customer, live.ask.units, mark)], figures=True)
        self.timer(now + ASK_NS, live.ask.id * KINDS + ASKED)
        return True

    def _answered(self, now: int, s: CustomerUsage, c: Customer) -> None:
        live = self.asked.pop(s.mark, None)
        if live is None or live.customer is not c or live.ask.id not in self.live or live.leaf:
            return
        c.level, c.word, c.word_ns, c.mark = s.level, s.level, now, s.mark
        if s.want > 0:  # the relay has counted it already
            c.total = (c.total + live.ask.units) % TOTALS
        self._decide(now, live, s.want > 0, counted=s.want > 0)

    def _seek(self, now: int, live: Live) -> None:
        """Asks where the set is wide, after a loss again; else the last word of the customer decides. Not
        where no answer could help: guards a relay's intake against customers of many tries, and jams."""
        ask, c = live.ask, live.customer
        if live.asks == ASKS and now - self.heard.get(live.asked, (0, 0))[1] > BEAT_NS:
            self.silent[live.asked] = now
        self._refill(now, c)
        age, claim = now - c.word_ns, live.plan.rate * min(1.0, CLAIM / c.spread)
        spent = c.wide and age < SILENCE_NS and c.word + claim * age / SECOND < ask.units
        idle = spent or live.draw >= self.tree[0][ask.cls][ask.plan].rate or live.asks == ASKS or not c.wide
        if idle or not self._ask(now, live):
            self._decide(now, live, not spent and self._inside(c, ask.units))

    def on_request(self, now: int, ask: Request) -> None:
        if not self.begun:
            self._begin(now)
        c = self.customer(ask.customer, ask.plan, self.set.plans[ask.plan].burst, now)
        if not c.known:
            self._meet(c, ask)
        spec, until_ns = self.set.classes[ask.cls], ask.give_up_ns
        if not spec.late_worth and not spec.stream:  # what can earn nothing more is worth no place in a queue
            until_ns = min(until_ns, now + spec.aim_ns)
        plan, draw = self.set.plans[ask.plan], self.rng.random()
        live = self.live[ask.id] = Live(ask, spec, plan, now, until_ns, c, draw)
        self.guard(ask.give_up_ns, ask.id, GUARD)
        self._seek(now, live)

    def _decide(self, now: int, live: Live, inside: bool, counted: bool = False) -> None:
        ask, plan, c, live.inside = live.ask, live.plan, live.customer, inside
        leaf = live.leaf = self.tree[0 if inside else 1][ask.cls][ask.plan]
        part = self._ceiling_part(now, c, plan)
        c.fill_ceiling(now, plan.ceiling_rate * part, plan.ceiling_burst * part)
        capped = plan.ceiling_rate > 0 and c.ceiling + SAFELY * plan.ceiling_slack / c.spread < ask.units
        server, why = None, RejectionReason.CEILING if capped else RejectionReason.QUOTA
        if not capped and (inside or plan.over_worth > plan.over_cost):
            why = RejectionReason.NO_ENDPOINT if live.draw < leaf.rate else RejectionReason.BUDGET
            leaf.arrived += ask.units
            self.met += 1
            self.mean_units += max(FLEET, 1 / self.met) * (ask.units - self.mean_units)
            server = self._choose(now, live) if live.draw < leaf.rate else None
        if inside and counted != (server is not None):  # sent and not yet counted, or counted and not sent
            self._spend(now, c, -ask.units if counted else ask.units)
        if server is None:
            self.acts.append(RejectRequest(ask.id, self._come_back_ns(live), why))
            self.close(live, self.set.cancel)
            return
        leaf.sent += ask.units
        self.credit = min(CREDIT_MAX, self.credit + CREDIT)
        c.ceiling -= ask.units
        self._send(now, live, server)

    def _come_back_ns(self, live: Live) -> int:
        """When the client may come again, said also where the settings don't count on clients that heed it:
        beyond the quota once the store has filled, inside it after the longest that clients comply with, as
        most spells of pressure outlast that."""
        lack, rate = live.ask.units - live.customer.level, live.plan.rate
        if live.inside or not rate:
            return self.wait_ns
        return min(self.wait_ns, max(self.period_ns, int(SECOND * lack / rate)))

    def _warmth(self, now: int, s: Server) -> float:
        return slow_start.warmth(now, s.info.started_ns, self.set)

    def _choose(self, now: int, live: Live) -> Server | None:
        """One cold by a draw, its due; else the best of the warm, or a cold one less busy, to its most."""
        self.sort_if_due(now)
        ask, best, best_score = live.ask, None, math.inf
        draw, due = self.rng.random(), self.parts[-1] if self.parts else 1.0
        spill = draw >= due and self.spare > 1
        k = bisect(self.parts, (draw - due) / (self.spare - 1) if spill else draw)
        if k < len(self.cold) and self._may(live, s := self.cold[k]) \
                and self._doubted(s, ask.cls, ask.plan) < FAULTY:
            if not spill:
                return s
            best, best_score = s, (s.out + 1) * s.slowness / self._warmth(now, s)
        pair = self.set.pair(ask.cls, ask.plan)
        few, plain = len(self.warm) <= 2 * CANDIDATES, -min(self.usual[ask.cls], self.usual[pair])
        for s in self.warm if few else self.rng.sample(self.warm, CANDIDATES):
            doubt = self._doubted(s, ask.cls, ask.plan) if s.doubt else plain
            score = (s.out + 1) * s.slowness * (1 + 2 * max(0.0, doubt - NOTABLE))
            score *= 1 + JITTER * self.rng.random() + (NEAR if s.info.zone != self.set.zone else 0.0)
            score += DISTRUST * (doubt if doubt >= FAULTY else 0)
            if score < best_score and self._may(live, s):
                best, best_score = s, score
        return best

    def _may(self, live: Live, s: Server) -> bool:
        """Rule 2: a keyed request that may have run stays where its repeats are dropped."""
        keyed = live.ran and live.spec.effect is Idempotency.BY_KEY
        group = live.spec.group if keyed else DeduplicationScope.ALL
        return s not in live.tried and (not live.ran or s.within(group) == live.ran.within(group))

    def _send(self, now: int, live: Live, server: Server) -> None:
        ask, spec, size = live.ask, live.spec, max(live.ask.units, 0.5)
        live.due_ns = self.unit_ns[ask.cls] * size
        bound = min(AIM_SHARE * spec.aim_ns, STRETCH * self.calm_ns[ask.cls] * size)
        self.launch(live, Attempt(server, now, live.due_ns, ask.units, bound, ask.cls, ask.plan,
                                  self._connection(now, server)))
        # Guards what may not run again against kept connections, where those end beneath requests
        fresh = spec.effect is not Idempotency.ALWAYS and self.stale > STALE
        keyed = live.ran and spec.effect is Idempotency.BY_KEY
        by_ns = live.ran_ns + spec.window_ns if keyed else live.until_ns
        self.acts.append(ForwardRequest(ask.id, server.info.id, live.until_ns, fresh, by_ns))

    def _connection(self, now: int, server: Server) -> int:
        """Guards against paths that forget a resting connection and what is sent on it: where kept ones fail
        more than new ones. It may harm where only some forget, or new ones fail while few are opened."""
        if now - server.heard_ns <= REST_NS:
            return BUSY
        if server.heard_ns > 0 and self.broken[KEPT] <= self.broken[OPENED] + WORSE:
            return KEPT
        self.acts.append(CloseIdleConnections(server.info.id))
        server.heard_ns = now
        return OPENED

    def on_attempt_outcome(self, now: int, e: AttemptOutcome) -> None:
        attempt, live = self.settle(e.request, e.attempt), self.live.get(e.request)
        if attempt:
            self._learn(now, e, attempt)
        if not attempt or not live:
            return
        if live.plan.open_limit:
            self._spend(now, live.customer, 0.0)  # to tell what is out
        if e.finished and e.result is AttemptResult.OK:
            self._earn(now, live, e)
        if e.finished:
            self.close(live, self.set.cancel)
        elif e.result not in NEVER_RAN and live.ran is None:
            live.ran, live.ran_ns = attempt.server, attempt.sent_ns
        if live.out == 0 and not e.finished:
            self._again(now, live, COSTS.get(e.result, 1.0))

    def _learn(self, now: int, e: AttemptOutcome, attempt: Attempt) -> None:
        server, ratio = attempt.server, e.latency_ns / attempt.due_ns
        if e.result in HEARD:
            server.heard_ns = now
        timed = e.result in (AttemptResult.OK, AttemptResult.TIMEOUT)
        if timed or (e.result is AttemptResult.CANCELLED and ratio > 1):
            self.touch(server).slowness += SMOOTH * (min(ratio, SLOWEST) - server.slowness)
        if e.result is AttemptResult.REJECTED:  # that backend's word on one class and plan, not the fleet's
            self._sample(now, attempt, self.set.pair(attempt.cls, attempt.plan), 1.0, SURE)
        elif e.result is AttemptResult.CONNECT_FAILED:
            self._sample(now, attempt, EVERY, 1.0, CERTAIN)
        elif e.result in FAULTS:
            self._sample(now, attempt, attempt.cls, 1.0, SURE)
        elif e.result in SINGLE:  # one alone is no reason to leave that backend
            self._sample(now, attempt, attempt.cls, 1.0, SMOOTH)
        elif timed:
            self._sample(now, attempt, attempt.cls, min(1.0, max(0.0, ratio / PATIENCE - 1)), SMOOTH)
        self.stale += FLEET * ((e.result is AttemptResult.STALE_CONNECTION) - self.stale)
        if e.result is AttemptResult.OK:
            self.done_units += attempt.units
        if timed and not attempt.late:
            self._press(e.latency_ns, attempt, silent=e.result is AttemptResult.TIMEOUT)

    def _earn(self, now: int, live: Live, e: AttemptOutcome) -> None:
        spec, plan, ask = live.spec, live.plan, live.ask
        part = 1.0 if now - live.came_ns <= spec.aim_ns else spec.late_worth
        part *= 1.0 if live.inside else plan.over_worth
        live.leaf.earned += spec.worth * plan.price * part * ask.units
        ratio = min(3.0, e.latency_ns / live.due_ns)
        self.unit_ns[ask.cls] *= 1 + max(FLEET, 1 / (1 + self.seen[ask.cls])) * (ratio - 1)
        self._calmest(ask.cls)
        if self.set.settled_after and e.true_units and live.inside:
            self._spend(now, live.customer, e.true_units - ask.units)

    def _second(self, now: int, live: Live, first: Attempt) -> None:
        """A second copy beside a first that is long silent. Guards against connections and backends that fell
        silent, which hold a request until its deadline. Not under pressure, as copies would add to it."""
        pressed = self.strain > CALM or any(x.rate < 1 for x in self.leaves)
        if live.out > 1 or not self.set.second_copies or live.stream or pressed:
            return
        ran = live.ran, live.ran_ns
        if live.ran is None:  # it may have run by now
            live.ran, live.ran_ns = first.server, first.sent_ns
        if not self._further(now, live, 1):
            live.ran, live.ran_ns = ran

    def _further(self, now: int, live: Live, cost: float) -> bool:
        """A further attempt where the class allows one (rule 2) and the credit for it was earned."""
        free = live.ran is None or live.spec.effect is Idempotency.ALWAYS
        may = free or (live.spec.effect is Idempotency.BY_KEY and now - live.ran_ns < live.spec.window_ns)
        more = may and len(live.tried) < self.set.max_attempts and self.credit >= cost
        server = self._choose(now, live) if more and live.until_ns - now > live.due_ns / 2 else None
        if server:
            self.credit -= cost
            self._send(now, live, server)
        return server is not None

    def _again(self, now: int, live: Live, cost: float) -> None:
        """A further attempt, else the final answer."""
        if not self._further(now, live, cost):
            free = live.ran is None or live.spec.effect is Idempotency.ALWAYS
            refusal = RejectRequest(live.ask.id, self._come_back_ns(live), RejectionReason.NO_RETRY)
            self.acts.append(refusal if free else FailRequest(live.ask.id))
            self.close(live, self.set.cancel)

    def on_request_abandoned(self, now: int, event: RequestAbandoned) -> None:
        if event.request in self.live:
            self.close(self.live[event.request], self.set.cancel)
