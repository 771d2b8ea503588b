"""How each kind of fault is carried out: begun at its instant, and ended after its time.

A new kind is a function here that takes the run and the fault, and a row in `KINDS`; `plan.Kind` names it,
and `plan._fault` says how it is drawn.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from ..standin.clients import Rude, rude_pieces
from ..standin.counter import Counter
from ..virtual.clock import MS, SECOND
from .plan import Fault

if TYPE_CHECKING:
    from .world import Place, Run, Seat

KILL_NS = 3700 * MS  # after SIGTERM, SIGKILL: the longest deadline and 0.7 s
MOVED_S = 1.5  # after a move, discovery's old address closes what is open


def begin(run: Run, fault: Fault) -> None:
    """At its instant."""
    whom = " ".join(str(n) for n in fault.who)
    run.referee.event(f"fault {fault.kind} {whom} for {fault.for_ms} ms".replace("  ", " "))
    run.network.note("fault", fault.kind)
    KINDS[fault.kind](run, fault)


def _after(run: Run, ms: float, then: Callable[..., None], *args: object) -> None:
    run.scheduler.at(run.scheduler.now_ns + int(ms * MS), then, *args)


def _seats(run: Run, fault: Fault) -> list[Seat]:
    return [run.seats[n % len(run.seats)] for n in fault.who]


def _places(run: Run, fault: Fault) -> list[Place]:
    """The boxes that stand in these places now, those that run."""
    names = dict.fromkeys(run.boxes[n % len(run.boxes)] for n in fault.who)
    return [p for p in (run.places[n] for n in names) if p.process.alive]


# ---- gateways


def _crash(run: Run, fault: Fault) -> None:
    for seat in _seats(run, fault):
        run.kill(seat)
        _after(run, fault.for_ms, _restart, run, seat)


def _restart(run: Run, seat: Seat) -> None:
    if not seat.process.alive:
        run.start_gateway(seat)


def _roll(run: Run, fault: Fault) -> None:
    for seat in _seats(run, fault):
        run.terminate(seat)
        run.scheduler.at(run.scheduler.now_ns + KILL_NS, _roll_on, run, seat, seat.process, fault.for_ms)


def _roll_on(run: Run, seat: Seat, process: object, down_ms: int) -> None:
    if seat.process is process:
        run.kill(seat)
        _after(run, down_ms, _restart, run, seat)


def _pause(run: Run, fault: Fault) -> None:
    for seat in _seats(run, fault):
        if seat.process.alive:
            seat.process.pause(fault.for_ms * MS)
            run.referee.paused(seat.name, fault.for_ms * MS)


def _skew(run: Run, fault: Fault) -> None:
    """From the next start on its Unix clock is wrong; it starts anew at once."""
    for seat in _seats(run, fault):
        seat.skew_ns = int(fault.amount * SECOND)
        run.kill(seat)
        _after(run, 50, _restart, run, seat)


# ---- guide boxes


def _deploy(run: Run, fault: Fault) -> None:
    """They drain, end, and are replaced by new ones, which are cold; `amount`: share of the old addresses
    that serve again."""
    for k, place in enumerate(_places(run, fault)):
        _tell(run, place, "Terminating")
        place.box.draining = True
        _after(run, fault.for_ms + 7 * k, _replace, run, place, fault)


def _replace(run: Run, old: Place, fault: Fault) -> None:
    if not old.process.alive:
        return
    old.process.kill()
    _tell(run, old, "Gone")
    same = run.rng.random() < fault.amount
    host = old.host if same else f"10.1.1.{len(run.places)}"
    new = run.box(host, old.port, old.zone, cold=True, cell=old.entry.group if same else None)
    run.boxes[run.boxes.index(old.entry.name)] = new.entry.name
    _after(run, run.rng.uniform(0, 800 if len(fault.who) <= 5 else 3000), _announce, run, new)


def _tell(run: Run, place: Place, status: str) -> None:
    place.entry = replace(place.entry, status=status)
    run.roster.put(place.entry)


def _announce(run: Run, place: Place) -> None:
    if place.process.alive and run.places[place.entry.name] is place:
        _tell(run, place, "Terminating" if place.box.draining else "Ready")


def _box_crash(run: Run, fault: Fault) -> None:
    """Dead at once, told late; the same box comes back cold, and that is told late too."""
    for place in _places(run, fault):
        place.process.kill()
        _after(run, run.rng.uniform(0, 1500), _gone, run, place)
        _after(run, fault.for_ms, _again, run, place, fault)


def _gone(run: Run, place: Place) -> None:
    if run.places[place.entry.name] is place:
        _tell(run, place, "Gone")


def _again(run: Run, old: Place, fault: Fault) -> None:
    name = old.entry.name
    if run.places[name] is not old:
        return
    run.referee.event(f"{name} starts again")
    model = replace(old.model, hangs=False)
    zone, cell = run.referee.boxes[name]
    new = run.place(name, old.host, old.port, zone, cell, model, True)
    _after(run, 1600 * fault.amount, _announce, run, new)


def _drain(run: Run, fault: Fault) -> None:
    """They drain, and after a while, or at once, are ready again."""
    for place in _places(run, fault):
        _tell(run, place, "Terminating")
        place.box.draining = True
        _after(run, fault.for_ms, _undrain, run, place)


def _undrain(run: Run, place: Place) -> None:
    if place.process.alive:
        place.box.draining = False
        _announce(run, place)


def _with_models(name: str, calm: float) -> Callable[[Run, Fault], None]:
    """Something of the boxes is as `amount` says for a while; nobody named: all boxes."""
    def begin_it(run: Run, fault: Fault) -> None:
        places = _places(run, fault) if fault.who else list(run.places.values())
        for place in places:
            setattr(place.model, name, fault.amount)
            _after(run, fault.for_ms, setattr, place.model, name, calm)
    return begin_it


def _hang(run: Run, fault: Fault) -> None:
    for place in _places(run, fault):
        place.model.hangs = True
        _after(run, fault.for_ms, _unhang, place)


def _unhang(place: Place) -> None:
    place.model.hangs = False
    if place.process.alive:
        place.box.loop.call_soon(place.box.resume)


def _refuse(run: Run, fault: Fault) -> None:
    """New connections are refused; those that are open go on."""
    for place in _places(run, fault):
        place.box.refuse()
        _after(run, fault.for_ms, _accept, run, place)


def _accept(run: Run, place: Place) -> None:
    if place.process.alive and (place.host, place.port) not in run.network.listeners:
        run.do(place.process, place.box.start(place.host, place.port))


def _reset(run: Run, fault: Fault) -> None:
    """All connections of these boxes break at once, whatever is on them."""
    for place in _places(run, fault):
        for endpoint in list(place.process.endpoints):
            endpoint.refuse()


def _unreachable(run: Run, fault: Fault) -> None:
    """Cut off: open connections say nothing, new ones never come up."""
    for place in _places(run, fault):
        run.network.hush(place.host)
        _after(run, fault.for_ms, run.network.mend, place.host)


def _lag(run: Run, fault: Fault) -> None:
    """The way to and from them is `amount` milliseconds longer, each way."""
    for place in _places(run, fault):
        run.network.lag_ns[place.host] = int(fault.amount * MS)
        _after(run, fault.for_ms, run.network.lag_ns.pop, place.host, None)


def _full(run: Run, fault: Fault) -> None:
    """They turn everything away."""
    for place in _places(run, fault):
        places, place.model.places = place.model.places, 0
        _after(run, fault.for_ms, setattr, place.model, "places", places)


# ---- what gateways hear


def _peers_cut(run: Run, fault: Fault) -> None:
    for seat in _seats(run, fault):
        for other in run.seats:
            if other is not seat:
                run.network.cut(seat.host, other.host)
                _after(run, fault.for_ms, run.network.mend, seat.host, other.host)


def _peers_loss(run: Run, fault: Fault) -> None:
    run.network.ways.udp_loss = fault.amount
    _after(run, fault.for_ms, setattr, run.network.ways, "udp_loss", run.plan.udp_loss)


def _discovery_late(run: Run, fault: Fault) -> None:
    for seat in _seats(run, fault):
        seat.agent.late_s = fault.amount
        _after(run, fault.for_ms, setattr, seat.agent, "late_s", 0.0)


def _discovery_silent(run: Run, fault: Fault) -> None:
    for seat in _seats(run, fault):
        seat.agent.hush(True)
        _after(run, fault.for_ms, seat.agent.hush, False)


def _watch_lost(run: Run, fault: Fault) -> None:
    """The watches that are open stay open and say nothing more; new ones are served."""
    for seat in _seats(run, fault):
        seat.agent.forget_watches()


def _discovery_moved(run: Run, fault: Fault) -> None:
    """The file names another address; SIGHUP; the old address closes a little later."""
    for seat in _seats(run, fault):
        seat.moves += 1
        seat.discovery = seat.host, 8500 + seat.moves
        agent = seat.agent
        agent.loop.create_task(agent.start(*seat.discovery))
        _after(run, 1, _moved, run, seat)


def _moved(run: Run, seat: Seat) -> None:
    seat.agent.retire(MOVED_S)
    if seat.process.alive and not seat.stopping:
        run.referee.event(f"{seat.name} gets SIGHUP")
        seat.process.signal(signal.SIGHUP)


# ---- the count keeper


def _keeper_gone(run: Run, fault: Fault) -> None:
    """It vanishes, and is back with all it knew."""
    if run.counters:
        run.network.hush("10.2.0.1")
        _after(run, fault.for_ms, run.network.mend, "10.2.0.1")


def _keeper_swapped(run: Run, fault: Fault) -> None:
    """It dies, and one that knows nothing takes its place."""
    if run.counters:
        run.counters[0][0].kill()
        _after(run, fault.for_ms, run.start_counter, 0)


def _keeper_slow(run: Run, fault: Fault) -> None:
    if run.counters:
        counter = run.counters[0][1]
        counter.call_s, counter.per_s = 0.03, 1 / (0.001 + 0.001 * fault.amount)
        _after(run, fault.for_ms, _keeper_quick, counter)


def _keeper_quick(counter: Counter) -> None:
    counter.call_s, counter.per_s = 0.001, 1500.0


def _keeper_split(run: Run, fault: Fault) -> None:
    """These gateways find it elsewhere, where another one counts; later they find the first again."""
    for seat in _seats(run, fault):
        _keeper_at(run, seat, 1)
        _after(run, fault.for_ms, _keeper_at, run, seat, 0)


def _keeper_at(run: Run, seat: Seat, number: int) -> None:
    seat.counter = number
    if run.counters and seat.process.alive and not seat.stopping:
        seat.process.signal(signal.SIGHUP)


# ---- clients


def _shift(run: Run, fault: Fault) -> None:
    """That share of the customers moves to others of their gateways at one stroke."""
    for key in list(run.shares):
        if run.rng.random() < fault.amount:
            run.shares[key] = run.weights.random() ** 2


def _rude(run: Run, fault: Fault) -> None:
    for seat in _seats(run, fault):
        for _ in range(int(fault.amount)):
            _after(run, run.rng.uniform(0, fault.for_ms), _one_rude, run, seat)


def _one_rude(run: Run, seat: Seat) -> None:
    loop, rng = run.clients.loop, run.rng
    rude = Rude(loop, rude_pieces(rng), rng.uniform(0, 0.05), rng.uniform(0.1, 3.5))
    run.do(run.clients, _connect_rude(run, seat, rude))


async def _connect_rude(run: Run, seat: Seat, rude: Rude) -> None:
    try:
        await run.clients.loop.create_connection(lambda: rude, seat.host, 6379)
    except OSError:
        return  # that gateway is down


def _in_traffic(run: Run, fault: Fault) -> None:
    """`surge` and `leave` are drawn with the requests."""


KINDS: dict[str, Callable[[Run, Fault], None]] = {
    "crash": _crash, "roll": _roll, "pause": _pause, "skew": _skew, "deploy": _deploy, "drain": _drain,
    "box_crash": _box_crash, "slow": _with_models("slow", 1.0), "spoil": _with_models("spoils", 0.0),
    "err": _with_models("errs", 0.0), "hang": _hang, "refuse": _refuse, "reset": _reset, "full": _full,
    "unreachable": _unreachable, "peers_cut": _peers_cut, "peers_loss": _peers_loss,
    "discovery_late": _discovery_late, "discovery_silent": _discovery_silent,
    "discovery_moved": _discovery_moved, "shift": _shift, "rude": _rude, "surge": _in_traffic,
    "leave": _in_traffic, "lag": _lag, "extra": _with_models("extra", 0.0),
    "watch_lost": _watch_lost, "keeper_gone": _keeper_gone, "keeper_swapped": _keeper_swapped,
    "keeper_slow": _keeper_slow, "keeper_split": _keeper_split}
