"""Hears all that crosses the network, keeps each request's history, and names what breaks a rule.

The clock and the step are asked of the run. Checks happen as things are heard; what is due by time is
looked at by `watch`, which the run calls after every step. A rule that is broken is recorded once for each
request.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable

from .cases import NAMES, Breach, Case, Figures, Try
from .ceilings import Ceilings
from .cold import ColdStarts
from .drains import Drains
from .maintenance import Maintenance
from .quotas import Quotas

NEVER_NS = 2**62


class Checker:
    """All checkers of one run."""

    def __init__(
        self,
        figures: Figures,
        clock: Callable[[], tuple[int, int]],
        rules: tuple[str, ...] = NAMES,
        quotas: Quotas | None = None,
    ) -> None:
        self.figures, self._clock = figures, clock  # the clock gives step and nanoseconds
        self.rules = rules  # those that are looked at
        self.cases: dict[bytes, Case] = {}
        self.breaches: list[Breach] = []
        self.events: deque[tuple[int, int, str]] = deque(maxlen=40)  # what happened to all alike
        self.dead: dict[str, None] = {}  # gateways that are down
        self.boxes: dict[str, tuple[int, int]] = {}  # zone and cell
        self.counts = {"asked": 0, "answered": 0, "attempts": 0, "arrivals": 0, "told": 0}
        self.drains = Drains(figures)
        self.maintenance = Maintenance(figures)
        self.cold = ColdStarts(figures)
        self.ceilings = Ceilings(figures)
        self.quotas = quotas
        self._due: list[tuple[int, bytes]] = []
        self._line_due: dict[int, int] = {}  # when the last request of a connection is due
        self._pauses: dict[str, int] = {}  # gateway: until when it gets no CPU
        self._made: dict[bytes, dict[bytes, None]] = {}

    # ---- telling

    def breach(self, rule: str, text: str, case: Case | None = None) -> None:
        step, now = self._clock()
        name = case.id.decode() if case else "-"
        if rule not in self.rules or any(b.rule == rule and b.request == name for b in self.breaches):
            return
        past = sorted([*(case.history if case else []), *self.events])[-40:]
        self.breaches.append(
            Breach(rule, step, now, name, text, [f"step {s} t={at / 1e9:.6f} {what}" for s, at, what in past])
        )

    def event(self, text: str) -> None:
        """Something that concerns all: a fault, a restart, a change of the list."""
        self.events.append((*self._clock(), text))

    def _note(self, case: Case, text: str) -> None:
        case.history.append((*self._clock(), text))

    # ---- clients

    def request_sent(self, what) -> None:
        _, now = self._clock()
        self.counts["asked"] += 1
        due = now + what.timeout_ms * 1_000_000 + self.figures.answer_grace_ns
        unread = max(0, self._pauses.get(what.gateway, 0) - now)  # it is read so much later at least
        due += unread
        due = max(due, self._line_due.get(what.connection, 0))  # what waits behind others has their time too
        self._line_due[what.connection] = due
        old = self.cases.get(what.id)
        case = Case(
            what.id,
            what.request_class,
            what.plan,
            what.customer,
            what.units,
            what.key,
            what.gateway,
            what.connection,
            now,
            due,
            now + unread + what.timeout_ms * 1_000_000,
        )
        if self.quotas is not None and old is None:
            self.quotas.ask(now, what.plan, what.customer, what.units)
        if old is not None:  # sent once more, as its connection was closed before it was read
            case.tries, case.history = old.tries, old.history
            case.arrived, case.counted = old.arrived, old.counted
            case.tries_before = len(old.tries)
        self.cases[what.id] = case
        self._note(
            case,
            f"asked of {what.gateway}: {what.request_class} {what.plan} units={what.units:g} "
            f"d={what.timeout_ms}",
        )
        heapq.heappush(self._due, (due, what.id))

    def request_answered(self, request: bytes, kind: str, value: bytes) -> None:
        case = self.cases[request]
        _, now = self._clock()
        self.counts["answered"] += 1
        self._note(case, f"answered: {kind} {value.decode('latin-1')[:60]}".rstrip())
        if case.state not in ("open", "late"):
            self.breach("answer", f"a second answer ({kind} after {case.state})", case)
            return
        case.state = kind
        if now > case.due_ns:
            self.breach("answer", f"{(now - case.due_ns) / 1e6:.1f} ms after its time", case)
        if kind == "served" and value not in self._made.get(request, ()):
            self.breach("value", f"served with what no box made for it: {value[:60]!r}", case)

    def unexpected_answer(self, gateway: str, line: int, text: str) -> None:
        self.breach("answer", f"{gateway} answered what nobody asked on connection {line}: {text}")

    def request_dropped(self, request: bytes) -> None:
        case = self.cases[request]
        if case.gateway in self.dead:
            self.request_voided(request)
            return
        self._note(case, "its connection ended")
        if case.state == "open":
            case.state = "void"
            self.breach("answer", f"{case.gateway} ended the connection without an answer", case)

    def request_unread(self, request: bytes) -> None:
        """The connection was ended before the request was read. One that was sent on was read all the same,
        before the end or after it, and is lost."""
        case = self.cases[request]
        if len(case.tries) > case.tries_before:
            self.request_dropped(request)
            return
        case.crossed = case.gateway not in self.dead
        self.request_voided(request)

    def request_voided(self, request: bytes) -> None:
        case = self.cases[request]
        if case.state == "open":
            case.state = "void"
            self._note(case, "nothing owed any more")

    def client_disconnected(self, request: bytes) -> None:
        """Its client has closed the connection."""
        case = self.cases[request]
        if case.state == "open":
            _, case.left_ns = self._clock()
        self.request_voided(request)

    def excuse(self, gateway: str) -> None:
        """Its machine took connections while no process of it ran: what was asked meanwhile may have its
        answer late, or never."""
        for case in self.cases.values():
            if case.gateway == gateway and case.state in ("open", "void"):
                case.state, case.due_ns = "late", NEVER_NS

    # ---- attempts

    def sent(self, gateway: str, box: str, request: bytes, first_ns: int) -> Try | None:
        """The command's head has left the gateway; its first byte did at first_ns."""
        case = self.cases.get(request)
        self.counts["attempts"] += 1
        if case is None:
            self.breach("foreign", f"{gateway} sent {box} a request that no client made: {request[:40]!r}")
            return None
        one = Try(gateway, box, first_ns)
        case.tries.append(one)
        self._note(case, f"attempt {len(case.tries)} begun by {gateway} to {box}")
        if case.crossed and case.gateway == gateway:
            self.breach("answer", f"{gateway} sent on what it read after it had ended the connection", case)
        gone_ns = first_ns - case.left_ns - self.figures.left_ns
        if case.left_ns >= 0 and gone_ns > 0:
            self.breach("left", f"sent to {box} {gone_ns / 1e6:.1f} ms too late after its client left", case)
        late = self.maintenance.late_ns(gateway, box, first_ns)
        if late > 0:
            self.breach(
                "maintenance", f"{gateway} sent to {box} {late / 1e6:.1f} ms after the grace of a yes", case
            )
        late = self.drains.late_ns(gateway, box, first_ns)
        if late > 0:
            self.breach("drain", f"{gateway} sent to {box} {late / 1e6:.1f} ms after the grace", case)
        if len(case.tries) > self.figures.most_attempts:
            self.breach("repeat", f"{len(case.tries)} attempts", case)
        return one

    def whole(self, request: bytes, one: Try, told_ms: int = 0) -> None:
        """Its last byte has left the gateway: from here on it may have run. `told_ms`: the client's time, as
        the box is told of it."""
        case = self.cases[request]
        over_ns = told_ms * 1_000_000 - (case.until_ns - one.first_ns) - self.figures.deadline_ns
        if over_ns > 0:
            self.breach(
                "deadline", f"{one.box} was told {told_ms} ms, {over_ns / 1e6:.1f} ms past the slack", case
            )
        _, one.whole_ns = self._clock()
        self._note(case, f"attempt to {one.box} whole")
        self._let_out(case, one.whole_ns)
        spec = self.figures.classes.get(case.cls)
        before = [t for t in case.tries if t is not one and t.whole_ns >= 0 and not t.turned_away]
        if spec is None or spec.effect == "safe" or not before:
            return
        first = min(before, key=lambda t: t.whole_ns)
        if spec.effect == "unsafe":
            self.breach("repeat", f"sent to {one.box} while it may have run at {first.box}", case)
        elif self._group(spec.group, first.box) != self._group(spec.group, one.box):
            self.breach("repeat", f"its key went to {one.box}, out of the group of {first.box}", case)
        elif one.first_ns - first.first_ns > spec.window_ns:
            self.breach(
                "repeat",
                f"its key went out {(one.first_ns - first.first_ns) / 1e6:.0f} ms after "
                "the first attempt that may have run",
                case,
            )

    def _let_out(self, case: Case, now: int) -> None:
        """A try counts against its quota once, when its first attempt has left."""
        if self.quotas is None or case.counted:
            return
        case.counted = True
        over = self.quotas.take(now, case.plan, case.customer, case.units)
        if over > 0:
            self.breach(
                "quota",
                f"customer {case.customer.decode()} of {case.plan} is {over:.2f} units "
                "past the stated bound",
                case,
            )

    def _group(self, kind: str, box: str) -> int:
        zone, cell = self.boxes.get(box, (-1, -1))
        return {"all": 0, "zone": zone, "cell": cell}[kind]

    # ---- guide boxes

    def attempt_received(self, box: str, request: bytes, key: bytes, gateway: str, work_ns: int) -> None:
        case = self.cases.get(request)
        step, now = self._clock()
        self.counts["arrivals"] += 1
        if case is None:
            return  # told when it was sent
        self._note(case, f"arrived at {box}")
        if key != case.key:
            self.breach("foreign", f"the key changed on its way to {box}", case)
        if not case.arrived:
            case.arrived = True
            over = self.ceilings.take(now, case.plan, case.customer, case.units)
            if over > 0:
                self.breach(
                    "ceiling",
                    f"customer {case.customer.decode()} of {case.plan} is {over:.2f} units " "past the slack",
                    case,
                )
        calls_before = self.cold.calls.nearest
        over_ns = self.cold.take(now, box, gateway, work_ns)
        if over_ns > 0:
            self.breach("cold", f"{box} was sent {over_ns / 1e6:.0f} ms of work more than it bears", case)
        if self.cold.calls.nearest > max(1.0, calls_before):
            nearest = self.cold.calls.nearest
            self.breach("cold_calls", f"{box} was sent {nearest:.2f} times the calls that it bears", case)

    def attempt_rejected(self, box: str, request: bytes) -> None:
        case = self.cases.get(request)
        if case is None:
            return
        self._note(case, f"turned away by {box}")
        for one in reversed(case.tries):
            if one.box == box and not one.turned_away:
                one.turned_away = True
                return

    def value_produced(self, box: str, request: bytes, value: bytes) -> None:
        self._made.setdefault(request, {})[value] = None

    def protocol_violated(self, where: str, gateway: str, why: str) -> None:
        self.breach("foreign", f"{gateway} sent {where}: {why}")

    # ---- discovery and gateways

    def endpoint_changed(self, box: str, status: str, since_ms: int) -> None:
        _, now = self._clock()
        self.event(f"{box} is {status}")
        self.drains.changed(now, box, status)

    def gateway_notified(self, gateway: str, box: str, status: str, since_ms: int) -> None:
        _, now = self._clock()
        self.counts["told"] += 1
        self.drains.told(now, gateway, box, status)
        self.cold.told(gateway, box, since_ms)

    def started(self, gateway: str) -> None:
        _, now = self._clock()
        self.dead.pop(gateway, None)
        self.drains.started(now, gateway)
        self.cold.forget(gateway)
        self.event(f"{gateway} started")

    def paused(self, gateway: str, for_ns: int) -> None:
        """It gets no CPU for so long: what it has open, and what comes meanwhile, may be that much later."""
        _, now = self._clock()
        self._pauses[gateway] = now + for_ns
        for case in self.cases.values():
            if case.gateway == gateway and case.state == "open":
                self._later(case, for_ns)

    def _later(self, case: Case, by_ns: int) -> None:
        case.due_ns += by_ns
        case.until_ns += by_ns
        self._line_due[case.line] = max(case.due_ns, self._line_due.get(case.line, 0))
        heapq.heappush(self._due, (case.due_ns, case.id))

    def ended(self, gateway: str) -> None:
        """It was killed, or has ended as it was told to: from here on it owes nothing."""
        self.dead[gateway] = None
        self.drains.ended(gateway)
        self.event(f"{gateway} ended")

    # ---- time, and the end

    def watch(self, now: int) -> bool:
        """After every step: what is due by now. True where a rule is broken."""
        due = self._due
        while due and due[0][0] < now:
            at, request = heapq.heappop(due)
            case = self.cases[request]
            if case.state != "open" or case.due_ns > at:
                continue
            if case.gateway in self.dead:
                self.request_voided(request)
            else:
                case.state = "late"
                self.breach("answer", "no answer in its time", case)
        return bool(self.breaches)

    def left_over(self, gateway: str, what: dict[str, int]) -> None:
        """What a gateway still holds when nothing is asked of it any more; only noughts are right."""
        found = ", ".join(f"{n} {name}" for name, n in what.items() if n)
        if found:
            self.breach("resources", f"{gateway} holds at the end: {found}")

    def descriptors(self, gateway: str, most: int, limit: int) -> None:
        if most > limit:
            self.breach("resources", f"{gateway} held {most} of {limit} descriptors")

    def violated(self, gateway: str, text: str) -> None:
        """The gateway itself has counted that one of its invariants was broken (`net.invariants`)."""
        self.breach("invariant", f"{gateway}: {text}")

    def fault(self, gateway: str, text: str) -> None:
        self.breach("resources", f"{gateway}: exception {text}")
