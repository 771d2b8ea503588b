"""How the faults of a gateway's machine and the acts of its operators are carried out: real processes only.

As in `faults`, each function takes the run and the fault; the run says how it is done.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .environment import RealStage
from .plan import Fault

RELOAD_GAP_MS = 40  # between two reloads of a storm


def _seats(run: RealStage, fault: Fault) -> list[Any]:
    return [run.seats[n % len(run.seats)] for n in fault.who]


def _clock_step(run: RealStage, fault: Fault) -> None:
    """The wall clock is `amount` seconds off from now on; back again after its time, unless that is 0."""
    for seat in _seats(run, fault):
        run.step_clock(seat, fault.amount)
        if fault.for_ms:
            run.after(fault.for_ms, run.step_clock, seat, 0.0)


def _with_shares(*knobs: str) -> Callable[[RealStage, Fault], None]:
    """A part of these calls fails for a while."""

    def begin(run: RealStage, fault: Fault) -> None:
        for seat in _seats(run, fault):
            for knob in knobs:
                run.set_knob(seat, knob, fault.amount)
                run.after(fault.for_ms, run.set_knob, seat, knob, 0.0)

    return begin


def _kill_in_write(run: RealStage, fault: Fault) -> None:
    """Killed in the middle of its next write to its folder, and started again a while later."""
    for seat in _seats(run, fault):
        run.set_knob(seat, "KILL_IN_WRITE", 1.0)
        run.after(fault.for_ms, _started_again, run, seat)


def _started_again(run: RealStage, seat: Any) -> None:
    run.set_knob(seat, "KILL_IN_WRITE", 0.0)
    if not run.running(seat):
        run.start_gateway(seat)


def _maintenance(run: RealStage, fault: Fault) -> None:
    """Operators take these boxes out at each gateway of `to` (none: all), and put them back after its time;
    0: never."""
    seats = [run.seats[n % len(run.seats)] for n in fault.to] or list(run.seats)
    for name in dict.fromkeys(run.boxes[n % len(run.boxes)] for n in fault.who):
        for seat in seats:
            run.maintain(seat, name, True)
            if fault.for_ms:
                run.after(fault.for_ms, run.maintain, seat, name, False)


def _bad_reload(run: RealStage, fault: Fault) -> None:
    """`amount` reloads in a row, every other one with half a file."""
    for seat in _seats(run, fault):
        for number in range(int(fault.amount)):
            run.after(number * RELOAD_GAP_MS, _one_reload, run, seat, number % 2 == 0)


def _one_reload(run: RealStage, seat: Any, half: bool) -> None:
    if run.running(seat) and not seat.stopping:
        run.reload(seat, half)


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
