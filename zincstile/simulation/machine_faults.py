"""How the faults of a gateway's machine and the acts of its operators are carried out: real processes only.

As in `faults`, each function takes the run and the fault; the run says how it is done.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .environment import RealEnvironment
from .plan import Fault

RELOAD_GAP_MS = 40  # between two reloads of a storm


def _nodes(run: RealEnvironment, fault: Fault) -> list[Any]:
    return [run.nodes[n % len(run.nodes)] for n in fault.targets]


def _clock_step(run: RealEnvironment, fault: Fault) -> None:
    """The wall clock is `amount` seconds off from now on; back again after its time, unless that is 0."""
    for node in _nodes(run, fault):
        run.step_clock(node, fault.amount)
        if fault.for_ms:
            run.after(fault.for_ms, run.step_clock, node, 0.0)


def _with_shares(*knobs: str) -> Callable[[RealEnvironment, Fault], None]:
    """A part of these calls fails for a while."""

    def begin(run: RealEnvironment, fault: Fault) -> None:
        for node in _nodes(run, fault):
            for knob in knobs:
                run.set_knob(node, knob, fault.amount)
                run.after(fault.for_ms, run.set_knob, node, knob, 0.0)

    return begin


def _kill_in_write(run: RealEnvironment, fault: Fault) -> None:
    """Killed in the middle of its next write to its folder, and started again a while later."""
    for node in _nodes(run, fault):
        run.set_knob(node, "KILL_IN_WRITE", 1.0)
        run.after(fault.for_ms, _started_again, run, node)


def _started_again(run: RealEnvironment, node: Any) -> None:
    run.set_knob(node, "KILL_IN_WRITE", 0.0)
    if not run.is_running(node):
        run.start_gateway(node)


def _maintenance(run: RealEnvironment, fault: Fault) -> None:
    """Operators take these boxes out at each gateway of `to` (none: all), and put them back after its time;
    0: never."""
    nodes = [run.nodes[n % len(run.nodes)] for n in fault.to] or list(run.nodes)
    for name in dict.fromkeys(run.backend_names[n % len(run.backend_names)] for n in fault.targets):
        for node in nodes:
            run.set_maintenance(node, name, True)
            if fault.for_ms:
                run.after(fault.for_ms, run.set_maintenance, node, name, False)


def _bad_reload(run: RealEnvironment, fault: Fault) -> None:
    """`amount` reloads in a row, every other one with half a file."""
    for node in _nodes(run, fault):
        for number in range(int(fault.amount)):
            run.after(number * RELOAD_GAP_MS, _one_reload, run, node, number % 2 == 0)


def _one_reload(run: RealEnvironment, node: Any, half: bool) -> None:
    if run.is_running(node) and not node.stopping:
        run.reload(node, half)


KINDS: dict[str, Callable[[Any, Fault], None]] = {
    "clock_step": _clock_step,
    "syscalls": _with_shares("ACCEPT_SHARE", "CONNECT_SHARE", "SOCKET_SHARE"),
    "short_io": _with_shares("SHORT_SHARE", "WAIT_SHARE"),
    "broken_io": _with_shares("BROKEN_SHARE"),
    "disk_write": _with_shares("WRITE_SHARE"),
    "disk_read": _with_shares("READ_SHARE"),
    "kill_in_write": _kill_in_write,
    "maintenance": _maintenance,
    "bad_reload": _bad_reload,
}
