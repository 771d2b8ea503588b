"""Runs one real gateway, configured by the environment (RELAY_CONFIG and other RELAY_ variables)."""

from __future__ import annotations

import signal
import sys


def serve() -> int:
    """Runs a gateway until it is stopped; returns the exit code of the process.

    0: it was stopped; 1: a system call failed at the start, such as binding an address; 2: the configuration
    is invalid.
    """
    early_signals = _collect_early_signals()
    # The gateway uses no TLS, and asyncio works without `ssl`. Blocking its import saves a twelfth of the CPU
    # of each start and 1.3 MB. Commands don't block it, as their libraries may need it.
    sys.modules["ssl"] = None  # type: ignore[assignment]

    import asyncio
    import gc
    import os
    import time

    from .net.config import Config, ConfigError, load
    from .net.gateway import Gateway
    from .net.transient import MAX_ATTEMPTS, RETRY_INTERVAL_S, is_exhaustion

    async def run(config: Config) -> None:
        gateway = Gateway(config, asyncio.get_running_loop())
        gc.freeze()  # objects built so far live until the end: excludes them from collections
        await gateway.lifecycle.run(early_signals)

    def make_loop() -> asyncio.AbstractEventLoop:
        """Creates the event loop; retries while the machine lacks descriptors."""
        for _ in range(MAX_ATTEMPTS):
            try:
                return asyncio.new_event_loop()
            except OSError as err:
                if not is_exhaustion(err):
                    raise
            time.sleep(RETRY_INTERVAL_S)
        return asyncio.new_event_loop()

    try:
        config = load(os.environ)
        with asyncio.Runner(loop_factory=make_loop) as runner:
            runner.run(run(config))
    except ConfigError as err:
        print(f"zincstile: {' '.join(str(err).split())}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"zincstile: can't start: {err}", file=sys.stderr)
        return 1
    return 0


def _collect_early_signals() -> list[int]:
    """Records the signals received before the event loop handles them; returns the list that collects them.

    Called before anything that takes time, since an unhandled SIGHUP would end the process. The reload is
    carried out later, as the configuration may have been read before the signal.
    """
    early_signals: list[int] = []
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda number, _: early_signals.append(number))
    return early_signals
