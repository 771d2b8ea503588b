"""How each kind of fault is carried out: begun at its instant, and ended after its time.

The functions know an `environment.Environment` alone, so that virtual time and real processes play the
same plan by the same code. A new kind is a function here that takes the run and the fault, and a row in
`KINDS`; `plan.Kind` names it, and `plan._fault` says how it is drawn.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from ..emulators.misbehaving_client import MisbehavingClient, draw_malformed_input
from ..emulators.quota_service import QuotaService
from ..virtual.network_faults import PathFault, paths_between
from . import machine_faults
from .environment import Backend, Environment, Node
from .plan import Fault

SECOND_NS: Final = 1_000_000_000
KILL_MS: Final = 3700  # from SIGTERM to SIGKILL: the longest deadline and 0.7 s
MOVED_S: Final = 1.5  # after a move, discovery's old address closes what is open
RESTART_MS: Final = 50  # until a gateway whose clock is wrong starts again
STAGGER_MS: Final = 7  # between the ends of two backends of one deploy
USUAL_CALL_S: Final = 0.001  # of the quota service: `QuotaService`'s own figure
USUAL_CALLS_PER_S: Final = 1500.0  # likewise
SLOW_CALL_S: Final = 0.03  # of a quota service that is slow


def begin(run: Environment, fault: Fault) -> None:
    """At its instant."""
    whom = " ".join(str(n) for n in fault.targets)
    run.checker.record_event(f"fault {fault.kind} {whom} for {fault.for_ms} ms".replace("  ", " "))
    run.note("fault", fault.kind)
    KINDS[fault.kind](run, fault)


def _nodes(run: Environment, fault: Fault) -> list[Node]:
    return [run.nodes[n % len(run.nodes)] for n in fault.targets]


def _backends(run: Environment, fault: Fault) -> list[Backend]:
    """The running ones of the backends that have these numbers now."""
    names = dict.fromkeys(run.backend_names[n % len(run.backend_names)] for n in fault.targets)
    chosen = [run.backends[name] for name in names]
    return [backend for backend in chosen if run.backend_is_running(backend)]


# ---- gateways


def _crash(run: Environment, fault: Fault) -> None:
    for node in _nodes(run, fault):
        run.kill(node)
        run.after(fault.for_ms, _restart, run, node)


def _restart(run: Environment, node: Node) -> None:
    if not run.is_running(node):
        run.start_gateway(node)


def _roll(run: Environment, fault: Fault) -> None:
    for node in _nodes(run, fault):
        run.terminate(node)
        run.after(KILL_MS, _roll_on, run, node, node.starts, fault.for_ms)


def _roll_on(run: Environment, node: Node, starts: int, down_ms: int) -> None:
    if node.starts == starts:
        run.kill(node)
        run.after(down_ms, _restart, run, node)


def _pause(run: Environment, fault: Fault) -> None:
    for node in _nodes(run, fault):
        if run.is_running(node):
            run.pause(node, fault.for_ms)


def _skew(run: Environment, fault: Fault) -> None:
    """From the next start on its Unix clock is wrong; it starts anew at once."""
    for node in _nodes(run, fault):
        node.skew_ns = int(fault.amount * SECOND_NS)
        run.kill(node)
        run.after(RESTART_MS, _restart, run, node)


# ---- backends


def _deploy(run: Environment, fault: Fault) -> None:
    """They drain, end, and are replaced by new ones, which are cold; `amount`: share of the old addresses
    that serve again."""
    for number, backend in enumerate(_backends(run, fault)):
        _publish(run, backend, "Terminating")
        backend.emulator.draining = True
        run.after(fault.for_ms + STAGGER_MS * number, _replace, run, backend, fault)


def _replace(run: Environment, old: Backend, fault: Fault) -> None:
    if not run.backend_is_running(old):
        return
    run.kill_backend(old)
    _publish(run, old, "Gone")
    same = run.rng.random() < fault.amount
    new = run.add_backend(
        old.zone, cold=True, group=old.entry.group if same else None, at=old if same else None
    )
    run.backend_names[run.backend_names.index(old.entry.name)] = new.entry.name
    run.after(run.rng.uniform(0, 800 if len(fault.targets) <= 5 else 3000), _announce, run, new)


def _publish(run: Environment, backend: Backend, status: str) -> None:
    backend.entry = replace(backend.entry, status=status)
    run.endpoint_list.put(backend.entry)


def _announce(run: Environment, backend: Backend) -> None:
    if run.backend_is_running(backend) and run.backends[backend.entry.name] is backend:
        _publish(run, backend, "Terminating" if backend.emulator.draining else "Ready")


def _box_crash(run: Environment, fault: Fault) -> None:
    """Killed at once, published late; the same backend comes back cold, and that is published late too."""
    for backend in _backends(run, fault):
        run.kill_backend(backend)
        run.after(run.rng.uniform(0, 1500), _gone, run, backend)
        run.after(fault.for_ms, _again, run, backend, fault)


def _gone(run: Environment, backend: Backend) -> None:
    if run.backends[backend.entry.name] is backend:
        _publish(run, backend, "Gone")


def _again(run: Environment, old: Backend, fault: Fault) -> None:
    name = old.entry.name
    if run.backends[name] is not old:
        return
    run.checker.record_event(f"{name} starts again")
    new = run.restart_backend(old)
    run.after(1600 * fault.amount, _announce, run, new)


def _drain(run: Environment, fault: Fault) -> None:
    """They drain, and after a while, or at once, are ready again."""
    for backend in _backends(run, fault):
        _publish(run, backend, "Terminating")
        backend.emulator.draining = True
        run.after(fault.for_ms, _undrain, run, backend)


def _undrain(run: Environment, backend: Backend) -> None:
    if run.backend_is_running(backend):
        backend.emulator.draining = False
        _announce(run, backend)


def _with_models(name: str, calm: float) -> Callable[[Environment, Fault], None]:
    """A value of the backends' model is `amount` for a while; none named: all backends."""

    def set_for_a_while(run: Environment, fault: Fault) -> None:
        backends = _backends(run, fault) if fault.targets else list(run.backends.values())
        for backend in backends:
            setattr(backend.model, name, fault.amount)
            run.after(fault.for_ms, setattr, backend.model, name, calm)

    return set_for_a_while


def _hang(run: Environment, fault: Fault) -> None:
    for backend in _backends(run, fault):
        backend.model.hangs = True
        run.after(fault.for_ms, _unhang, run, backend)


def _unhang(run: Environment, backend: Backend) -> None:
    backend.model.hangs = False
    if run.backend_is_running(backend):
        backend.emulator.loop.call_soon(backend.emulator.resume)


def _refuse(run: Environment, fault: Fault) -> None:
    """New connections are refused; those that are open go on."""
    for backend in _backends(run, fault):
        backend.emulator.stop_listening()
        run.after(fault.for_ms, run.resume_listening, backend)


def _reset(run: Environment, fault: Fault) -> None:
    """All connections of these backends break at once, whatever is on them."""
    for backend in _backends(run, fault):
        run.reset_backend(backend)


def _unreachable(run: Environment, fault: Fault) -> None:
    """Cut off: open connections say nothing, new ones never come up."""
    for backend in _backends(run, fault):
        run.set_backend_unreachable(backend, True)
        run.after(fault.for_ms, run.set_backend_unreachable, backend, False)


def _lag(run: Environment, fault: Fault) -> None:
    """The way to and from them is `amount` milliseconds longer, each way."""
    for backend in _backends(run, fault):
        run.set_backend_delay(backend, fault.amount)
        run.after(fault.for_ms, run.set_backend_delay, backend, 0.0)


def _full(run: Environment, fault: Fault) -> None:
    """They reject everything."""
    for backend in _backends(run, fault):
        capacity = backend.model.queue_capacity
        backend.model.queue_capacity = 0
        run.after(fault.for_ms, setattr, backend.model, "queue_capacity", capacity)


# ---- paths between gateways, and discovery


def _others(run: Environment, fault: Fault) -> tuple[list[str], list[str]]:
    """The gateways on both sides of a link: `who`, and `to` or, where that is empty, all others."""
    ones = list(dict.fromkeys(node.name for node in _nodes(run, fault)))
    named = [run.nodes[n % len(run.nodes)].name for n in fault.to]
    return ones, named or [node.name for node in run.nodes if node.name not in ones]


def _inject(run: Environment, fault: Fault, path_fault: PathFault) -> None:
    """On the datagrams between two groups of gateways; nobody named: between all."""
    names = [node.name for node in run.nodes]
    ones, others = _others(run, fault) if fault.targets else (names, names)
    run.after(fault.for_ms, run.links.inject(paths_between(ones, others, fault.way), path_fault))


def _peers_cut(run: Environment, fault: Fault) -> None:
    _inject(run, fault, PathFault(cut=True))


def _peers_loss(run: Environment, fault: Fault) -> None:
    _inject(run, fault, PathFault(loss_ratio=fault.amount))


def _peers_late(run: Environment, fault: Fault) -> None:
    _inject(run, fault, PathFault(delay_s=fault.amount / 1000))


def _peers_shuffled(run: Environment, fault: Fault) -> None:
    _inject(run, fault, PathFault(jitter_s=fault.amount / 1000))


def _peers_twice(run: Environment, fault: Fault) -> None:
    _inject(run, fault, PathFault(duplicate_ratio=fault.amount))


def _peers_rate(run: Environment, fault: Fault) -> None:
    _inject(run, fault, PathFault(datagrams_per_s=fault.amount))


def _peers_ring(run: Environment, fault: Fault) -> None:
    """Each gateway receives from its left neighbour alone."""
    names = [node.name for node in run.nodes]
    received = {(names[k - 1], name) for k, name in enumerate(names)}
    run.after(
        fault.for_ms,
        run.links.inject([p for p in paths_between(names, names) if p not in received], PathFault(cut=True)),
    )


def _away(run: Environment, fault: Fault) -> None:
    """These gateways and these backends (none named: all) reach each other no more; connections stay open."""
    for node in _nodes(run, fault):
        named = [run.backend_names[n % len(run.backend_names)] for n in fault.to]
        for name in named or list(run.backend_names):
            run.set_partitioned(node, run.backends[name], True)
            run.after(fault.for_ms, run.set_partitioned, node, run.backends[name], False)


def _discovery_late(run: Environment, fault: Fault) -> None:
    for node in _nodes(run, fault):
        node.agent.delay_s = fault.amount
        run.after(fault.for_ms, setattr, node.agent, "delay_s", 0.0)


def _discovery_silent(run: Environment, fault: Fault) -> None:
    for node in _nodes(run, fault):
        node.agent.silence()
        run.after(fault.for_ms, node.agent.resume)


def _watch_lost(run: Environment, fault: Fault) -> None:
    """The watches that are open stay open and say nothing more; new ones are served."""
    for node in _nodes(run, fault):
        node.agent.stall_connections()


def _discovery_moved(run: Environment, fault: Fault) -> None:
    """The file names another address; SIGHUP; the old address closes a little later."""
    for node in _nodes(run, fault):
        node.moves += 1
        run.move_discovery(node)
        run.after(1, _moved, run, node)


def _moved(run: Environment, node: Node) -> None:
    node.agent.retire_oldest_address(MOVED_S)
    if run.is_running(node) and not node.stopping:
        run.checker.record_event(f"{node.name} gets SIGHUP")
        run.reload(node)


# ---- the quota service


def _quota_service_gone(run: Environment, fault: Fault) -> None:
    """It vanishes, and is back with all it knew."""
    if run.plan.quota_service:
        run.set_quota_service_unreachable(True)
        run.after(fault.for_ms, run.set_quota_service_unreachable, False)


def _quota_service_swapped(run: Environment, fault: Fault) -> None:
    """It dies, and one that knows nothing takes its place."""
    if run.plan.quota_service:
        run.kill_quota_service(0)
        run.after(fault.for_ms, run.start_quota_service, 0)


def _quota_service_slow(run: Environment, fault: Fault) -> None:
    if run.plan.quota_service:
        service = run.quota_service(0)
        service.call_latency_s = SLOW_CALL_S
        service.calls_per_s = 1 / (USUAL_CALL_S + USUAL_CALL_S * fault.amount)
        run.after(fault.for_ms, _quota_service_quick, service)


def _quota_service_quick(service: QuotaService) -> None:
    service.call_latency_s = USUAL_CALL_S
    service.calls_per_s = USUAL_CALLS_PER_S


def _quota_service_split(run: Environment, fault: Fault) -> None:
    """These gateways find it elsewhere, where another one counts; later they find the first again."""
    for node in _nodes(run, fault):
        _quota_service_at(run, node, 1)
        run.after(fault.for_ms, _quota_service_at, run, node, 0)


def _quota_service_at(run: Environment, node: Node, number: int) -> None:
    node.quota_service_number = number
    if run.plan.quota_service and run.is_running(node) and not node.stopping:
        run.reload(node)


# ---- clients


def _shift(run: Environment, fault: Fault) -> None:
    """That share of the customers moves to others of their gateways at one stroke."""
    for key in list(run.customer_weights):
        if run.rng.random() < fault.amount:
            run.customer_weights[key] = run.weight_rng.random() ** 2


def _connect_misbehaving(run: Environment, fault: Fault) -> None:
    for node in _nodes(run, fault):
        for _ in range(int(fault.amount)):
            run.after(run.rng.uniform(0, fault.for_ms), _connect_one_misbehaving, run, node)


def _connect_one_misbehaving(run: Environment, node: Node) -> None:
    loop, rng = run.load_balancer.loop, run.rng
    run.connect_misbehaving_client(
        node, MisbehavingClient(loop, draw_malformed_input(rng), rng.uniform(0, 0.05), rng.uniform(0.1, 3.5))
    )


def _move(run: Environment, fault: Fault) -> None:
    """Customers that have one of these gateways in their set come in by those alone, all at one stroke, and
    afterwards as before."""
    names = dict.fromkeys(node.name for node in _nodes(run, fault))
    run.preferred_gateways.append(names)
    run.after(fault.for_ms, run.preferred_gateways.remove, names)


def _upgrade(run: Environment, fault: Fault) -> None:
    """The next version starts beside this one and takes over."""
    for node in _nodes(run, fault):
        run.upgrade(node)


def _in_traffic(run: Environment, fault: Fault) -> None:
    """`surge` and `leave` are drawn with the requests."""


KINDS: dict[str, Callable[[Environment, Fault], None]] = {
    "crash": _crash,
    "roll": _roll,
    "pause": _pause,
    "skew": _skew,
    "deploy": _deploy,
    "drain": _drain,
    "box_crash": _box_crash,
    "slow": _with_models("slowdown_factor", 1.0),
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
    "rude": _connect_misbehaving,
    "surge": _in_traffic,
    "leave": _in_traffic,
    "lag": _lag,
    "extra": _with_models("extra_reply_ratio", 0.0),
    "watch_lost": _watch_lost,
    "keeper_gone": _quota_service_gone,
    "keeper_swapped": _quota_service_swapped,
    "keeper_slow": _quota_service_slow,
    "keeper_split": _quota_service_split,
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
