"""Injects each kind of fault at its time, and ends it after its duration.

The functions use nothing but an `environment.Environment`, so that virtual time and real processes play the
same plan with the same code. A new kind needs a function here that takes the run and the fault, an entry in
`KINDS`, its name in `plan.Kind`, and its random parameters in `plan._fault`.
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
KILL_MS: Final = 3700  # from SIGTERM to SIGKILL: the longest deadline plus 0.7 s
OLD_ADDRESS_S: Final = 1.5  # after a move, discovery's old address closes its connections
RESTART_MS: Final = 50  # until a gateway whose clock was set wrong starts again
STAGGER_MS: Final = 7  # between the kills of two backends of one deploy
USUAL_CALL_S: Final = 0.001  # latency of the quota service: the default of `QuotaService`
USUAL_CALLS_PER_S: Final = 1500.0  # the default of `QuotaService`
SLOW_CALL_S: Final = 0.03  # latency of a slow quota service


def begin(run: Environment, fault: Fault) -> None:
    """Injects a fault; called at its time."""
    targets = " ".join(str(n) for n in fault.targets)
    run.checker.record_event(f"fault {fault.kind} {targets} for {fault.for_ms} ms".replace("  ", " "))
    run.note("fault", fault.kind)
    KINDS[fault.kind](run, fault)


def _nodes(run: Environment, fault: Fault) -> list[Node]:
    return [run.nodes[n % len(run.nodes)] for n in fault.targets]


def _backends(run: Environment, fault: Fault) -> list[Backend]:
    """Returns the backends that have these numbers at present and are running."""
    names = dict.fromkeys(run.backend_names[n % len(run.backend_names)] for n in fault.targets)
    matching = [run.backends[name] for name in names]
    return [backend for backend in matching if run.backend_is_running(backend)]


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
        run.after(KILL_MS, _kill_after_grace, run, node, node.starts, fault.for_ms)


def _kill_after_grace(run: Environment, node: Node, starts: int, down_ms: int) -> None:
    if node.starts == starts:
        run.kill(node)
        run.after(down_ms, _restart, run, node)


def _pause(run: Environment, fault: Fault) -> None:
    for node in _nodes(run, fault):
        if run.is_running(node):
            run.pause(node, fault.for_ms)


def _skew(run: Environment, fault: Fault) -> None:
    """Restarts the gateway at once with a wrong Unix clock."""
    for node in _nodes(run, fault):
        node.skew_ns = int(fault.amount * SECOND_NS)
        run.kill(node)
        run.after(RESTART_MS, _restart, run, node)


# ---- backends


def _deploy(run: Environment, fault: Fault) -> None:
    """Drains and kills the backends and replaces them by cold ones; `amount` is the share of addresses that
    are used again."""
    for number, backend in enumerate(_backends(run, fault)):
        _publish(run, backend, "Terminating")
        backend.emulator.draining = True
        run.after(fault.for_ms + STAGGER_MS * number, _replace, run, backend, fault)


def _replace(run: Environment, old: Backend, fault: Fault) -> None:
    if not run.backend_is_running(old):
        return
    run.kill_backend(old)
    _publish(run, old, "Gone")
    keep_address = run.rng.random() < fault.amount
    new = run.add_backend(
        old.zone, cold=True, group=old.entry.group if keep_address else None, at=old if keep_address else None
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
    """Kills the backends and restarts them cold; discovery publishes both late."""
    for backend in _backends(run, fault):
        run.kill_backend(backend)
        run.after(run.rng.uniform(0, 1500), _publish_gone, run, backend)
        run.after(fault.for_ms, _restart_backend, run, backend, fault)


def _publish_gone(run: Environment, backend: Backend) -> None:
    if run.backends[backend.entry.name] is backend:
        _publish(run, backend, "Gone")


def _restart_backend(run: Environment, old: Backend, fault: Fault) -> None:
    name = old.entry.name
    if run.backends[name] is not old:
        return
    run.checker.record_event(f"{name} starts again")
    new = run.restart_backend(old)
    run.after(1600 * fault.amount, _announce, run, new)


def _drain(run: Environment, fault: Fault) -> None:
    """Drains the backends; they are ready again after the duration, which may be 0."""
    for backend in _backends(run, fault):
        _publish(run, backend, "Terminating")
        backend.emulator.draining = True
        run.after(fault.for_ms, _undrain, run, backend)


def _undrain(run: Environment, backend: Backend) -> None:
    if run.backend_is_running(backend):
        backend.emulator.draining = False
        _announce(run, backend)


def _with_models(name: str, usual: float) -> Callable[[Environment, Fault], None]:
    """Sets an attribute of the backends' model to `amount` for a while; without targets, of all backends."""

    def set_for_a_while(run: Environment, fault: Fault) -> None:
        backends = _backends(run, fault) if fault.targets else list(run.backends.values())
        for backend in backends:
            setattr(backend.model, name, fault.amount)
            run.after(fault.for_ms, setattr, backend.model, name, usual)

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
    """Refuses new connections; open ones stay usable."""
    for backend in _backends(run, fault):
        backend.emulator.stop_listening()
        run.after(fault.for_ms, run.resume_listening, backend)


def _reset(run: Environment, fault: Fault) -> None:
    """Resets all connections of these backends at once, including busy ones."""
    for backend in _backends(run, fault):
        run.reset_backend(backend)


def _unreachable(run: Environment, fault: Fault) -> None:
    """Drops all traffic: open connections are silent, and new ones are never established."""
    for backend in _backends(run, fault):
        run.set_backend_unreachable(backend, True)
        run.after(fault.for_ms, run.set_backend_unreachable, backend, False)


def _lag(run: Environment, fault: Fault) -> None:
    """Adds `amount` milliseconds of latency to and from the backends, in each direction."""
    for backend in _backends(run, fault):
        run.set_backend_delay(backend, fault.amount)
        run.after(fault.for_ms, run.set_backend_delay, backend, 0.0)


def _full(run: Environment, fault: Fault) -> None:
    """Sets the queue capacity of the backends to 0, so that they reject everything."""
    for backend in _backends(run, fault):
        capacity = backend.model.queue_capacity
        backend.model.queue_capacity = 0
        run.after(fault.for_ms, setattr, backend.model, "queue_capacity", capacity)


# ---- paths between gateways, and discovery


def _gateway_groups(run: Environment, fault: Fault) -> tuple[list[str], list[str]]:
    """Returns the gateways at both ends of the paths: `targets`, and `to` or, if it is empty, all others."""
    group = list(dict.fromkeys(node.name for node in _nodes(run, fault)))
    named = [run.nodes[n % len(run.nodes)].name for n in fault.to]
    return group, named or [node.name for node in run.nodes if node.name not in group]


def _inject(run: Environment, fault: Fault, path_fault: PathFault) -> None:
    """Impairs the datagrams between two groups of gateways; without targets, between all gateways."""
    names = [node.name for node in run.nodes]
    group, others = _gateway_groups(run, fault) if fault.targets else (names, names)
    run.after(fault.for_ms, run.links.inject(paths_between(group, others, fault.way), path_fault))


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
    """Delivers to each gateway only the datagrams of its left neighbour."""
    names = [node.name for node in run.nodes]
    received = {(names[k - 1], name) for k, name in enumerate(names)}
    run.after(
        fault.for_ms,
        run.links.inject([p for p in paths_between(names, names) if p not in received], PathFault(cut=True)),
    )


def _away(run: Environment, fault: Fault) -> None:
    """Partitions gateways from the backends of `to` (empty: all); open connections are not closed."""
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
    """Silences the open watches without closing them; new ones are served."""
    for node in _nodes(run, fault):
        node.agent.stall_connections()


def _discovery_moved(run: Environment, fault: Fault) -> None:
    """Moves discovery to a new address in the configuration file and reloads; the old one closes later."""
    for node in _nodes(run, fault):
        node.moves += 1
        run.move_discovery(node)
        run.after(1, _reload_after_move, run, node)


def _reload_after_move(run: Environment, node: Node) -> None:
    node.agent.retire_oldest_address(OLD_ADDRESS_S)
    if run.is_running(node) and not node.stopping:
        run.checker.record_event(f"{node.name} gets SIGHUP")
        run.reload(node)


# ---- the quota service


def _quota_service_gone(run: Environment, fault: Fault) -> None:
    """Makes the quota service unreachable for the duration; it keeps its state."""
    if run.plan.quota_service:
        run.set_quota_service_unreachable(True)
        run.after(fault.for_ms, run.set_quota_service_unreachable, False)


def _quota_service_swapped(run: Environment, fault: Fault) -> None:
    """Kills the quota service; one with empty state replaces it after the duration."""
    if run.plan.quota_service:
        run.kill_quota_service(0)
        run.after(fault.for_ms, run.start_quota_service, 0)


def _quota_service_slow(run: Environment, fault: Fault) -> None:
    if run.plan.quota_service:
        service = run.quota_service(0)
        service.call_latency_s = SLOW_CALL_S
        service.calls_per_s = 1 / (USUAL_CALL_S + USUAL_CALL_S * fault.amount)
        run.after(fault.for_ms, _restore_quota_service_speed, service)


def _restore_quota_service_speed(service: QuotaService) -> None:
    service.call_latency_s = USUAL_CALL_S
    service.calls_per_s = USUAL_CALLS_PER_S


def _quota_service_split(run: Environment, fault: Fault) -> None:
    """Points these gateways to a second quota service, and back to the first after the duration."""
    for node in _nodes(run, fault):
        _use_quota_service(run, node, 1)
        run.after(fault.for_ms, _use_quota_service, run, node, 0)


def _use_quota_service(run: Environment, node: Node, number: int) -> None:
    node.quota_service_number = number
    if run.plan.quota_service and run.is_running(node) and not node.stopping:
        run.reload(node)


# ---- clients


def _shift(run: Environment, fault: Fault) -> None:
    """Moves a share of the customers (`amount`) to others of their gateways at once."""
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
    """Sends customers that have one of these gateways in their set only to those, all at once, for the
    duration."""
    names = dict.fromkeys(node.name for node in _nodes(run, fault))
    run.preferred_gateways.append(names)
    run.after(fault.for_ms, run.preferred_gateways.remove, names)


def _upgrade(run: Environment, fault: Fault) -> None:
    """Starts the next version of the program, which takes over from the running process."""
    for node in _nodes(run, fault):
        run.upgrade(node)


def _in_traffic(run: Environment, fault: Fault) -> None:
    """Does nothing: `surge` and `leave` are part of the requests (`traffic`)."""


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
