"""Injects faults of a gateway's machine and actions of its operators: in runs with real processes only.

As in `faults`, each function takes the run and the fault and calls methods of the run to inject it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .environment import RealEnvironment
from .plan import Fault

RELOAD_GAP_MS = 40  # between two of a series of reloads


def _nodes(run: RealEnvironment, fault: Fault) -> list[Any]:
    return [run.nodes[n % len(run.nodes)] for n in fault.targets]


def _clock_step(run: RealEnvironment, fault: Fault) -> None:
    """Steps the wall clock by `amount` seconds, and back after the duration unless that is 0."""
    for node in _nodes(run, fault):
        run.step_clock(node, fault.amount)
        if fault.for_ms:
            run.after(fault.for_ms, run.step_clock, node, 0.0)


def _failing_calls(*knobs: str) -> Callable[[RealEnvironment, Fault], None]:
    """Makes a share of these calls (`amount`) fail for the duration."""

    def begin(run: RealEnvironment, fault: Fault) -> None:
        for node in _nodes(run, fault):
            for knob in knobs:
                run.set_knob(node, knob, fault.amount)
                run.after(fault.for_ms, run.set_knob, node, knob, 0.0)

    return begin


def _kill_in_write(run: RealEnvironment, fault: Fault) -> None:
    """Kills a gateway in the middle of its next write to its folder, and restarts it after the duration."""
    for node in _nodes(run, fault):
        run.set_knob(node, "KILL_IN_WRITE", 1.0)
        run.after(fault.for_ms, _restart, run, node)


def _restart(run: RealEnvironment, node: Any) -> None:
    run.set_knob(node, "KILL_IN_WRITE", 0.0)
    if not run.is_running(node):
        run.start_gateway(node)


def _maintenance(run: RealEnvironment, fault: Fault) -> None:
    """Puts backends into maintenance at each gateway of `to` (empty: all), and ends it after the duration;
    0: never."""
    nodes = [run.nodes[n % len(run.nodes)] for n in fault.to] or list(run.nodes)
    for name in dict.fromkeys(run.backend_names[n % len(run.backend_names)] for n in fault.targets):
        for node in nodes:
            run.set_maintenance(node, name, True)
            if fault.for_ms:
                run.after(fault.for_ms, run.set_maintenance, node, name, False)


def _bad_reload(run: RealEnvironment, fault: Fault) -> None:
    """Reloads `amount` times in a row, every other time with a truncated file."""
    for node in _nodes(run, fault):
        for number in range(int(fault.amount)):
            run.after(number * RELOAD_GAP_MS, _reload, run, node, number % 2 == 0)


def _reload(run: RealEnvironment, node: Any, truncated: bool) -> None:
    if run.is_running(node) and not node.stopping:
        run.reload(node, truncated)


KINDS: dict[str, Callable[[Any, Fault], None]] = {
    "clock_step": _clock_step,
    "syscalls": _failing_calls("ACCEPT_SHARE", "CONNECT_SHARE", "SOCKET_SHARE"),
    "short_io": _failing_calls("SHORT_SHARE", "WAIT_SHARE"),
    "broken_io": _failing_calls("BROKEN_SHARE"),
    "disk_write": _failing_calls("WRITE_SHARE"),
    "disk_read": _failing_calls("READ_SHARE"),
    "kill_in_write": _kill_in_write,
    "maintenance": _maintenance,
    "bad_reload": _bad_reload,
}
