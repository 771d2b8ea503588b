"""One real gateway from its start to its end, configured by the environment (RELAY_CONFIG and its like)."""

from __future__ import annotations

import signal
import sys


def serve() -> int:
    """Runs a gateway until it is told to stop; returns the exit code of the process.

    0: it was stopped; 1: the machine refused what it needs, such as an address; 2: the configuration can't be
    used.
    """
    early_signals = _collect_early_signals()
    # The gateway speaks no TLS. asyncio does without `ssl` where there is none, which spares each start a
    # twelfth of its CPU and the process 1.3 MB. Commands keep it: their libraries may want it.
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
        gc.freeze()  # what is built by now lives until the end: no collection has to look at it
        await gateway.lifecycle.run(early_signals)

    def make_loop() -> asyncio.AbstractEventLoop:
        """Makes the event loop; tries again where the machine lacks descriptors for a moment."""
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
    """Keeps the signals that come before the event loop handles them; returns the list that they are put in.

    Done before anything that takes time: guards a start against a reload, whose signal would end it. The
    reload is carried out later, as the file that was read may be older than the signal.
    """
    early_signals: list[int] = []
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda number, _: early_signals.append(number))
    return early_signals
