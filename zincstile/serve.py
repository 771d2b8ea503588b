"""One real gateway from its start to its end, configured by the environment (RELAY_CONFIG and its like)."""

from __future__ import annotations

import signal
import sys


def serve() -> int:
    """Runs a gateway until it is told to stop; returns the exit code of the process."""
    # Before anything that takes time: guards a start against a reload, whose signal would end it. What comes
    # before the loop hears signals is kept, as the file may be older than what it tells.
    early: list[int] = []
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda number, _: early.append(number))
    # The gateway speaks no TLS. asyncio does without `ssl` where there is none, which spares each start a
    # twelfth of its CPU and the process 1.3 MB. Commands keep it: their libraries may want it.
    sys.modules["ssl"] = None  # type: ignore[assignment]

    import asyncio
    import gc
    import os
    import time

    from .net.config import Config, ConfigError, load
    from .net.gateway import Gateway
    from .net.transient import AGAIN_S, TRIES, is_lack

    async def run(config: Config) -> None:
        gateway = Gateway(config, asyncio.get_running_loop())
        gc.freeze()  # what stands by now stays
        await gateway.lifecycle.run(early)

    def make_loop() -> asyncio.AbstractEventLoop:
        """Descriptors may be lacking for a moment."""
        for _ in range(TRIES):
            try:
                return asyncio.new_event_loop()
            except OSError as err:
                if not is_lack(err):
                    raise
            time.sleep(AGAIN_S)
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
