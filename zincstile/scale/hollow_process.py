"""Many gateways in one process without clients and backend connections, each on a thread and loop of its own.

Run as a file, with the measured tree on PYTHONPATH, by `python -P hollow_process.py CONFIG...`. It imports
nothing of this package, so that another tree's gateways can be measured by it. Every gateway runs the whole
of its own program, so that all that control costs is in it; the system counts the processor time of its
thread. SIGHUP has all of them read their configurations again, SIGUSR1 prints all counters, SIGTERM ends the
process.
"""

from __future__ import annotations

import json
import signal
import sys
import threading
from pathlib import Path

SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT)


def resident_bytes() -> int:
    """Memory of this process at present."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def log_event(name: str, event: str, **figures: int) -> None:
    """A line as the gateways' logs have them."""
    sys.stderr.write(f"0 {name} {event} {json.dumps(figures)}\n")
    sys.stderr.flush()


def main(paths: list[str]) -> int:
    """Serves until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # before any thread: this one alone takes them
    sys.modules["ssl"] = None  # type: ignore[assignment]  # as the program itself does
    import asyncio
    import gc

    from zincstile.net.config import Config, load
    from zincstile.net.gateway import Gateway
    from zincstile.net.host import Host

    class HollowHost(Host):
        """The machine, with a configuration of each gateway's own."""

        def __init__(self, path: str) -> None:
            self.path = path

        def reload_config(self) -> Config:
            return load({"RELAY_CONFIG": self.path})

    class HollowLoop(asyncio.SelectorEventLoop):
        """Signals are the main thread's."""

        def add_signal_handler(self, sig: int, callback, *args) -> None:
            pass

    gateways: list[tuple[Gateway, HollowLoop]] = []

    def serve(path: str, started: threading.Event) -> None:
        loop = HollowLoop()
        host = HollowHost(path)

        async def run() -> None:
            gateway = Gateway(host.reload_config(), loop, host)
            gc.freeze()  # as the program itself does
            gateways.append((gateway, loop))
            log_event(gateway.config.name, "thread", tid=threading.get_native_id())
            started.set()
            await gateway.lifecycle.run()

        loop.run_until_complete(run())

    gc.collect()
    log_event("hollow", "baseline", resident_bytes=resident_bytes())
    for path in paths:
        started = threading.Event()
        threading.Thread(target=serve, args=(path, started), daemon=True).start()
        started.wait()
    while True:
        number = signal.sigwait(SIGNALS)
        if number in (signal.SIGTERM, signal.SIGINT):
            return 0
        for gateway, loop in gateways:
            lifecycle = gateway.lifecycle
            loop.call_soon_threadsafe(lifecycle.reload if number == signal.SIGHUP else lifecycle.log_counters)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
