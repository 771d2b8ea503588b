"""How each kind of fault is carried out: begun at its instant, and ended after its time.

The functions know a `environment.Stage` alone, so that virtual time and real processes play the same plan by
the same code. A new kind is a function here that takes the run and the fault, and a row in `KINDS`;
`plan.Kind` names it, and `plan._fault` says how it is drawn.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..emulators.misbehaving_client import MisbehavingClient, draw_malformed_input
from ..emulators.quota_service import QuotaService
from ..virtual.network_faults import PathFault, paths_between
from . import machine_faults
from .environment import Place, Seat, Stage
from .plan import Fault

SECOND = 1_000_000_000
KILL_MS = 3700  # after SIGTERM, SIGKILL: the longest deadline and 0.7 s
MOVED_S = 1.5  # after a move, discovery's old address closes what is open


def begin(run: Stage, fault: Fault) -> None:
    """At its instant."""
    whom = " ".join(str(n) for n in fault.who)
    run.checker.record_event(f"fault {fault.kind} {whom} for {fault.for_ms} ms".replace("  ", " "))
    run.note("fault", fault.kind)
    KINDS[fault.kind](run, fault)


def _seats(run: Stage, fault: Fault) -> list[Seat]:
    return [run.seats[n % len(run.seats)] for n in fault.who]


def _places(run: Stage, fault: Fault) -> list[Place]:
    """The boxes that stand in these places now, those that run."""
    names = dict.fromkeys(run.boxes[n % len(run.boxes)] for n in fault.who)
    return [p for p in (run.places[n] for n in names) if run.box_runs(p)]


# ---- gateways


def _crash(run: Stage, fault: Fault) -> None:
    for seat in _seats(run, fault):
        run.kill(seat)
        run.after(fault.for_ms, _restart, run, seat)


def _restart(run: Stage, seat: Seat) -> None:
    if not run.running(seat):
        run.start_gateway(seat)


def _roll(run: Stage, fault: Fault) -> None:
    for seat in _seats(run, fault):
        run.terminate(seat)
        run.after(KILL_MS, _roll_on, run, seat, seat.starts, fault.for_ms)


def _roll_on(run: Stage, seat: Seat, starts: int, down_ms: int) -> None:
    if seat.starts == starts:
        run.kill(seat)
        run.after(down_ms, _restart, run, seat)


def _pause(run: Stage, fault: Fault) -> None:
    for seat in _seats(run, fault):
        if run.running(seat):
            run.pause(seat, fault.for_ms)


def _skew(run: Stage, fault: Fault) -> None:
    """From the next start on its Unix clock is wrong; it starts anew at once."""
    for seat in _seats(run, fault):
        seat.skew_ns = int(fault.amount * SECOND)
        run.kill(seat)
        run.after(50, _restart, run, seat)


# ---- guide boxes


def _deploy(run: Stage, fault: Fault) -> None:
    """They drain, end, and are replaced by new ones, which are cold; `amount`: share of the old addresses
    that serve again."""
    for k, place in enumerate(_places(run, fault)):
        _tell(run, place, "Terminating")
        place.box.draining = True
        run.after(fault.for_ms + 7 * k, _replace, run, place, fault)


def _replace(run: Stage, old: Place, fault: Fault) -> None:
    if not run.box_runs(old):
        return
    run.kill_box(old)
    _tell(run, old, "Gone")
    same = run.rng.random() < fault.amount
    new = run.box(old.zone, cold=True, cell=old.entry.group if same else None, at=old if same else None)
    run.boxes[run.boxes.index(old.entry.name)] = new.entry.name
    run.after(run.rng.uniform(0, 800 if len(fault.who) <= 5 else 3000), _announce, run, new)


def _tell(run: Stage, place: Place, status: str) -> None:
    place.entry = replace(place.entry, status=status)
    run.roster.put(place.entry)


def _announce(run: Stage, place: Place) -> None:
    if run.box_runs(place) and run.places[place.entry.name] is place:
        _tell(run, place, "Terminating" if place.box.draining else "Ready")


def _box_crash(run: Stage, fault: Fault) -> None:
    """Dead at once, told late; the same box comes back cold, and that is told late too."""
    for place in _places(run, fault):
        run.kill_box(place)
        run.after(run.rng.uniform(0, 1500), _gone, run, place)
        run.after(fault.for_ms, _again, run, place, fault)


def _gone(run: Stage, place: Place) -> None:
    if run.places[place.entry.name] is place:
        _tell(run, place, "Gone")


def _again(run: Stage, old: Place, fault: Fault) -> None:
    name = old.entry.name
    if run.places[name] is not old:
        return
    run.checker.record_event(f"{name} starts again")
    new = run.box_again(old)
    run.after(1600 * fault.amount, _announce, run, new)


def _drain(run: Stage, fault: Fault) -> None:
    """They drain, and after a while, or at once, are ready again."""
    for place in _places(run, fault):
        _tell(run, place, "Terminating")
        place.box.draining = True
        run.after(fault.for_ms, _undrain, run, place)


def _undrain(run: Stage, place: Place) -> None:
    if run.box_runs(place):
        place.box.draining = False
        _announce(run, place)


def _with_models(name: str, calm: float) -> Callable[[Stage, Fault], None]:
    """Something of the boxes is as `amount` says for a while; nobody named: all boxes."""

    def begin_it(run: Stage, fault: Fault) -> None:
        places = _places(run, fault) if fault.who else list(run.places.values())
        for place in places:
            setattr(place.model, name, fault.amount)
            run.after(fault.for_ms, setattr, place.model, name, calm)

    return begin_it


def _hang(run: Stage, fault: Fault) -> None:
    for place in _places(run, fault):
        place.model.hangs = True
        run.after(fault.for_ms, _unhang, run, place)


def _unhang(run: Stage, place: Place) -> None:
    place.model.hangs = False
    if run.box_runs(place):
        place.box.loop.call_soon(place.box.resume)


def _refuse(run: Stage, fault: Fault) -> None:
    """New connections are refused; those that are open go on."""
    for place in _places(run, fault):
        place.box.stop_listening()
        run.after(fault.for_ms, run.accept_box, place)


def _reset(run: Stage, fault: Fault) -> None:
    """All connections of these boxes break at once, whatever is on them."""
    for place in _places(run, fault):
        run.reset_box(place)


def _unreachable(run: Stage, fault: Fault) -> None:
    """Cut off: open connections say nothing, new ones never come up."""
    for place in _places(run, fault):
        run.hush_box(place, True)
        run.after(fault.for_ms, run.hush_box, place, False)


def _lag(run: Stage, fault: Fault) -> None:
    """The way to and from them is `amount` milliseconds longer, each way."""
    for place in _places(run, fault):
        run.lag_box(place, fault.amount)
        run.after(fault.for_ms, run.lag_box, place, 0.0)


def _full(run: Stage, fault: Fault) -> None:
    """They turn everything away."""
    for place in _places(run, fault):
        places, place.model.queue_capacity = place.model.queue_capacity, 0
        run.after(fault.for_ms, setattr, place.model, "queue_capacity", places)


# ---- what gateways hear


def _others(run: Stage, fault: Fault) -> tuple[list[str], list[str]]:
    """The gateways on both sides of a link: `who`, and `to` or, where that is empty, all others."""
    ones = list(dict.fromkeys(s.name for s in _seats(run, fault)))
    named = [run.seats[n % len(run.seats)].name for n in fault.to]
    return ones, named or [s.name for s in run.seats if s.name not in ones]


def _lay(run: Stage, fault: Fault, trouble: PathFault) -> None:
    """On the datagrams between two groups of gateways; nobody named: between all."""
    names = [s.name for s in run.seats]
    ones, others = _others(run, fault) if fault.who else (names, names)
    run.after(fault.for_ms, run.links.inject(paths_between(ones, others, fault.way), trouble))


def _peers_cut(run: Stage, fault: Fault) -> None:
    _lay(run, fault, PathFault(cut=True))


def _peers_loss(run: Stage, fault: Fault) -> None:
    _lay(run, fault, PathFault(loss_ratio=fault.amount))


def _peers_late(run: Stage, fault: Fault) -> None:
    _lay(run, fault, PathFault(delay_s=fault.amount / 1000))


def _peers_shuffled(run: Stage, fault: Fault) -> None:
    _lay(run, fault, PathFault(jitter_s=fault.amount / 1000))


def _peers_twice(run: Stage, fault: Fault) -> None:
    _lay(run, fault, PathFault(duplicate_ratio=fault.amount))


def _peers_rate(run: Stage, fault: Fault) -> None:
    _lay(run, fault, PathFault(datagrams_per_s=fault.amount))


def _peers_ring(run: Stage, fault: Fault) -> None:
    """Each gateway hears its left neighbour alone."""
    names = [s.name for s in run.seats]
    heard = {(names[k - 1], name) for k, name in enumerate(names)}
    run.after(
        fault.for_ms,
        run.links.inject([p for p in paths_between(names, names) if p not in heard], PathFault(cut=True)),
    )


def _away(run: Stage, fault: Fault) -> None:
    """These gateways and these boxes (none named: all) reach each other no more; connections stay open."""
    for seat in _seats(run, fault):
        for name in [run.boxes[n % len(run.boxes)] for n in fault.to] or list(run.boxes):
            run.part(seat, run.places[name], True)
            run.after(fault.for_ms, run.part, seat, run.places[name], False)


def _discovery_late(run: Stage, fault: Fault) -> None:
    for seat in _seats(run, fault):
        seat.agent.delay_s = fault.amount
        run.after(fault.for_ms, setattr, seat.agent, "delay_s", 0.0)


def _discovery_silent(run: Stage, fault: Fault) -> None:
    for seat in _seats(run, fault):
        seat.agent.silence()
        run.after(fault.for_ms, seat.agent.resume)


def _watch_lost(run: Stage, fault: Fault) -> None:
    """The watches that are open stay open and say nothing more; new ones are served."""
    for seat in _seats(run, fault):
        seat.agent.abandon_connections()


def _discovery_moved(run: Stage, fault: Fault) -> None:
    """The file names another address; SIGHUP; the old address closes a little later."""
    for seat in _seats(run, fault):
        seat.moves += 1
        run.move_discovery(seat)
        run.after(1, _moved, run, seat)


def _moved(run: Stage, seat: Seat) -> None:
    seat.agent.retire_oldest_address(MOVED_S)
    if run.running(seat) and not seat.stopping:
        run.checker.record_event(f"{seat.name} gets SIGHUP")
        run.reload(seat)


# ---- the count keeper


def _keeper_gone(run: Stage, fault: Fault) -> None:
    """It vanishes, and is back with all it knew."""
    if run.plan.keeper:
        run.hush_counter(True)
        run.after(fault.for_ms, run.hush_counter, False)


def _keeper_swapped(run: Stage, fault: Fault) -> None:
    """It dies, and one that knows nothing takes its place."""
    if run.plan.keeper:
        run.kill_counter(0)
        run.after(fault.for_ms, run.start_counter, 0)


def _keeper_slow(run: Stage, fault: Fault) -> None:
    if run.plan.keeper:
        counter = run.counter(0)
        counter.call_latency_s, counter.calls_per_s = 0.03, 1 / (0.001 + 0.001 * fault.amount)
        run.after(fault.for_ms, _keeper_quick, counter)


def _keeper_quick(counter: QuotaService) -> None:
    counter.call_latency_s, counter.calls_per_s = 0.001, 1500.0


def _keeper_split(run: Stage, fault: Fault) -> None:
    """These gateways find it elsewhere, where another one counts; later they find the first again."""
    for seat in _seats(run, fault):
        _keeper_at(run, seat, 1)
        run.after(fault.for_ms, _keeper_at, run, seat, 0)


def _keeper_at(run: Stage, seat: Seat, number: int) -> None:
    seat.counter = number
    if run.plan.keeper and run.running(seat) and not seat.stopping:
        run.reload(seat)


# ---- clients


def _shift(run: Stage, fault: Fault) -> None:
    """That share of the customers moves to others of their gateways at one stroke."""
    for key in list(run.shares):
        if run.rng.random() < fault.amount:
            run.shares[key] = run.weights.random() ** 2


def _rude(run: Stage, fault: Fault) -> None:
    for seat in _seats(run, fault):
        for _ in range(int(fault.amount)):
            run.after(run.rng.uniform(0, fault.for_ms), _one_rude, run, seat)


def _one_rude(run: Stage, seat: Seat) -> None:
    loop, rng = run.front.loop, run.rng
    run.rude(
        seat, MisbehavingClient(loop, draw_malformed_input(rng), rng.uniform(0, 0.05), rng.uniform(0.1, 3.5))
    )


def _move(run: Stage, fault: Fault) -> None:
    """Customers that have one of these gateways in their set come in by those alone, all at one stroke, and
    afterwards as before."""
    names = dict.fromkeys(s.name for s in _seats(run, fault))
    run.drawn_to.append(names)
    run.after(fault.for_ms, run.drawn_to.remove, names)


def _upgrade(run: Stage, fault: Fault) -> None:
    """The next version starts beside this one and takes over."""
    for seat in _seats(run, fault):
        run.upgrade(seat)


def _in_traffic(run: Stage, fault: Fault) -> None:
    """`surge` and `leave` are drawn with the requests."""


KINDS: dict[str, Callable[[Stage, Fault], None]] = {
    "crash": _crash,
    "roll": _roll,
    "pause": _pause,
    "skew": _skew,
    "deploy": _deploy,
    "drain": _drain,
    "box_crash": _box_crash,
    "slow": _with_models("slowdown", 1.0),
    "spoil": _with_models("corrupt_ratio", 0.0),
    "err": _with_models("error_ratio", 0.0),
    "hang": _hang,
    "refuse": _refuse,
    "reset": _reset,
    "full": _full,
    "unreachable": _unreachable,
    "peers_cut": _peers_cut,
    "peers_loss": _peers_loss,
    "discovery_late": _discovery_late,
    "discovery_silent": _discovery_silent,
    "discovery_moved": _discovery_moved,
    "shift": _shift,
    "rude": _rude,
    "surge": _in_traffic,
    "leave": _in_traffic,
    "lag": _lag,
    "extra": _with_models("extra_ratio", 0.0),
    "watch_lost": _watch_lost,
    "keeper_gone": _keeper_gone,
    "keeper_swapped": _keeper_swapped,
    "keeper_slow": _keeper_slow,
    "keeper_split": _keeper_split,
    "peers_late": _peers_late,
    "peers_shuffled": _peers_shuffled,
    "peers_twice": _peers_twice,
    "peers_rate": _peers_rate,
    "peers_ring": _peers_ring,
    "away": _away,
    "move": _move,
    "upgrade": _upgrade,
    **machine_faults.KINDS,
}
